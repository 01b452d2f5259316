// Internal: starts what can start, in the pools where something changed.

#ifndef cuminbridge_fleet_dispatch_h
#define cuminbridge_fleet_dispatch_h

#include "state.h"

namespace cuminbridge {

// An item of a step that waits for room, or for its account's limit.
struct Demand
{
  std::int64_t cpu_ = 0;    // waiting, in thousandths of a core
  std::int64_t widest_ = 0; // of one item
  int items_ = 0;
  int urgent_ = 0; // items of priority 0 among them
};

void Dispatch(FleetState& aState);

// What waits for room in each pool, whose turn has come.
std::map<std::string, Demand> WaitingDemand(const FleetState& aState);

// True if a step's items may start: all steps before it are done.
bool IsReady(const JobEntry& aJob,
             const Occurrence& aOccurrence,
             std::size_t aStep);

// True if a client account may have aMore running besides what it has.
bool IsWithinLimit(const FleetState& aState,
                   const std::string& aAccount,
                   const Resources& aMore);

} // namespace cuminbridge

#endif // cuminbridge_fleet_dispatch_h
