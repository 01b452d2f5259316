// Internal: VMs as the platform lists them, and their moves between pools.

#ifndef cuminbridge_fleet_vms_h
#define cuminbridge_fleet_vms_h

#include "state.h"

namespace cuminbridge {

void TakeVms(FleetState& aState, const VmsSeen& aSeen);

// Plans waves and moves, if it is time.
void PlanVms(FleetState& aState);

} // namespace cuminbridge

#endif // cuminbridge_fleet_vms_h
