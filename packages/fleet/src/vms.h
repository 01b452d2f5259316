// Internal: VMs as the platform lists them, and their moves between pools.

#ifndef cuminbridge_fleet_vms_h
#define cuminbridge_fleet_vms_h

#include "state.h"

namespace cuminbridge {

// Replaces the list of VMs.
void HandleVms(FleetState& aState, const VmsSeen& aSeen);

// Plans waves and moves, once in each plan interval. Does nothing before
// reconciliation is done, while no VM may be ordered, and while the list of VMs
// is too old.
void PlanVms(FleetState& aState);

} // namespace cuminbridge

#endif // cuminbridge_fleet_vms_h
