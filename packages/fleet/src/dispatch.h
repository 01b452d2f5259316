// Internal: starts waiting work items on targets, in the pools where something
// changed.

#ifndef cuminbridge_fleet_dispatch_h
#define cuminbridge_fleet_dispatch_h

#include "state.h"

namespace cuminbridge {

// The waiting work items of one pool.
struct WaitingWork
{
  std::int64_t cpu_ = 0;        // needed by all of them, thousandths of a core
  std::int64_t largestCpu_ = 0; // needed by the largest one, likewise
  int items_ = 0;
  int topPriorityItems_ = 0; // items of priority 0 among them
  // Targets that the pool lacks for items that may not share one with others of
  // their step.
  int lackingTargets_ = 0;
};

void Dispatch(FleetState& aState);

// By pool: items whose step is ready and whose client account is within its
// limit. Fillers need no processor time of their own and add nothing to cpu_.
std::map<std::string, WaitingWork> WaitingWorkByPool(const FleetState& aState);

// True if a step's items may start: all steps that it depends on are done.
bool IsReady(const JobEntry& aJob,
             const Occurrence& aOccurrence,
             std::size_t aStep);

// The limit of an account that this owner may use. 0 in a part means no limit.
Resources UsableLimit(const FleetState& aState, const Account& aAccount);

// What the waiting items of each account need whose steps may start now.
std::map<std::string, Resources> WaitingNeedsByAccount(
  const FleetState& aState);

// True if a client account stays within its limit with aMore running besides
// what it has running now.
bool IsWithinLimit(const FleetState& aState,
                   const std::string& aAccount,
                   const Resources& aMore);

} // namespace cuminbridge

#endif // cuminbridge_fleet_dispatch_h
