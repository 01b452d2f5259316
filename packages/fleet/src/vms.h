// Internal: orders for VMs: moves between pools and upkeep in waves.

#ifndef cuminbridge_fleet_vms_h
#define cuminbridge_fleet_vms_h

#include "state.h"

namespace cuminbridge {

void TakeVms(FleetState& aState, const VmsSeen& aSeen);
void TakeWaves(FleetState& aState, const WavesSeen& aSeen);
void TakeVmOrder(FleetState& aState, const VmOrderAnswered& aAnswer);

// Orders go out once the store has them, so that the next owner knows them.
void AddOrdersToBatch(FleetState& aState, StoreProgress& aBatch);
void SendStoredOrders(FleetState& aState);

// Plans waves and moves, if it is time.
void PlanVms(FleetState& aState);

// Moves lasting work off targets that are to become empty, as far as its steps
// allow.
void Evacuate(FleetState& aState);

} // namespace cuminbridge

#endif // cuminbridge_fleet_vms_h
