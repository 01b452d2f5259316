// Internal: decides which jobs go to another cell. Pure functions.
//
// The fleet is divided into cells, and chance gives one cell more work than it
// can run while another has free capacity. Designed for demand peaks, in which
// the jobs of a cell arrive unevenly and wide jobs need much at once.

#ifndef cuminbridge_fleet_transfers_h
#define cuminbridge_fleet_transfers_h

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "placing.h"

namespace cuminbridge {

// Capacity that no work waits for, by pool, in thousandths of a core.
using FreeCpu = std::map<std::string, std::int64_t>;

// Whether the candidates have free capacity for this many items of a step.
bool FitsItems(const std::vector<Candidate>& aCandidates,
               const Step& aStep,
               int aItems);

// The cell to which a job goes that needs aCpu in aPool now: the one with the
// most free capacity there. Nothing if none has enough.
std::optional<int> ChooseCell(const std::map<int, FreeCpu>& aPeers,
                              const std::string& aPool,
                              std::int64_t aCpu);

} // namespace cuminbridge

#endif // cuminbridge_fleet_transfers_h
