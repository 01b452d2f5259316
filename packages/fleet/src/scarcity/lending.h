// Internal: which busy VMs take no more work, so that they can soon move to
// pools that lack room. A pure function of a snapshot.
//
// Designed for demand peaks that follow each other from pool to pool. After its
// peak a pool has more room than its work needs, but a little of that work is
// on each of its VMs, so none is idle while the next pool's jobs wait.

#ifndef cuminbridge_fleet_scarcity_lending_h
#define cuminbridge_fleet_scarcity_lending_h

#include <string>
#include <vector>

#include "moves.h"

namespace cuminbridge {

// Processor capacity that a pool does not need, in thousandths of a core: for
// what is at work or waits there, nor for what it is offered or expects soon.
std::int64_t SpareCpu(const PoolView& aPool, const MoveOptions& aOptions);

// What pools lack beyond the idle VMs that can move to them; 0 or less if they
// lack nothing.
std::int64_t LackingCpu(const std::vector<PoolView>& aPools,
                        const MoveOptions& aOptions);

// The VMs that take no more work until the next plan. As many as other pools
// lack beyond what idle VMs can give them; those that are empty first; and no
// more than their pools can spare.
std::vector<std::string> PlanReleases(std::vector<PoolView> aPools,
                                      const MoveOptions& aOptions);

} // namespace cuminbridge

#endif // cuminbridge_fleet_scarcity_lending_h
