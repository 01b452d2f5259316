// Internal: the waiting steps of a pool, in the order in which they start.

#ifndef cuminbridge_fleet_scarcity_waiting_order_h
#define cuminbridge_fleet_scarcity_waiting_order_h

#include <string>
#include <vector>

#include "placing.h"
#include "state.h"

namespace cuminbridge {

// A step of one occurrence whose items wait and may start.
struct WaitingStep
{
  JobEntry* job_ = nullptr;
  int occurrence_ = 0;
  std::size_t step_ = 0;
  SchedulingKey key_;
};

// In a pool that may lack room, jobs that can still be in time go by RankOf().
// Of jobs that have waited very long, one at a time goes before them, so that
// none waits for ever.
std::vector<WaitingStep> OrderWaitingSteps(const FleetState& aState,
                                           const std::string& aPool);

} // namespace cuminbridge

#endif // cuminbridge_fleet_scarcity_waiting_order_h
