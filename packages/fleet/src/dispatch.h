// Internal: starts waiting work items on targets, in the pools where something
// changed.

#ifndef cuminbridge_fleet_dispatch_h
#define cuminbridge_fleet_dispatch_h

#include <functional>

#include "placing.h"
#include "state.h"

namespace cuminbridge {

void Dispatch(FleetState& aState);

// Calls aVisit for each step of the pool whose items wait and may start, in the
// order in which they are started.
using WaitingVisitor = std::function<
  void(const JobEntry&, const StepState&, const Step&, const SchedulingKey&)>;
void VisitWaiting(const FleetState& aState,
                  const std::string& aPool,
                  const WaitingVisitor& aVisit);

} // namespace cuminbridge

#endif // cuminbridge_fleet_dispatch_h
