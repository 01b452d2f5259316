// Internal: what the log tells of the grounds on which runs are given up, and
// of what becomes of such runs. No decision depends on it.

#ifndef cuminbridge_fleet_evidence_h
#define cuminbridge_fleet_evidence_h

#include "state.h"

namespace cuminbridge {

// Why runs are given up.
struct Ground
{
  std::string reason_;
  std::string evidence_; // what it rests on, with ages
};

// As "340 ms ago", or "never".
std::string FormatAge(const FleetState& aState, std::optional<Instant> aAt);

// The target's process, when it was last heard of, and its lease.
std::string DescribeContact(const FleetState& aState, const Target& aTarget);
std::string DescribeLease(const FleetState& aState, const Target& aTarget);
// What the last list of VMs shows of the target's VM, and how old it is.
std::string DescribeVm(const FleetState& aState, const Target& aTarget);
// The number of a run, and whether its target ever confirmed it.
std::string DescribeRun(const FleetState& aState, const Run& aRun);
// When and why a run was given up, if it was, and the item's current run.
std::string DescribeUnwanted(FleetState& aState,
                             const std::string& aTarget,
                             const ItemName& aItem,
                             std::int64_t aRun);

// Logs a run that is given up and remembers it.
void NoteLoss(FleetState& aState,
              const Target& aTarget,
              const Run& aRun,
              const Ground& aGround);
// The process of the target has been given up, with the runs noted as lost.
void NoteGivenUp(FleetState& aState, const Target& aTarget);
// Whether this run of the target was given up.
bool IsNotedAsLost(const FleetState& aState,
                   const std::string& aTarget,
                   const ItemName& aItem,
                   std::int64_t aRun);
// Forgets runs that were given up long ago.
void ForgetOldLosses(FleetState& aState);
// Another process runs at the target.
void ForgetLoss(FleetState& aState,
                const Target& aTarget,
                std::int64_t aStartUnixMs);
// The target is heard of. Counts it if its process had been given up, and
// returns "; " and what was given up; empty if nothing was.
std::string NoteReturn(FleetState& aState, const Target& aTarget);

} // namespace cuminbridge

#endif // cuminbridge_fleet_evidence_h
