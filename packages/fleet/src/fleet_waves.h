// Internal: carries out the maintenance waves of the fleet.

#ifndef cuminbridge_fleet_fleet_waves_h
#define cuminbridge_fleet_fleet_waves_h

#include "state.h"

namespace cuminbridge {

// Adds the waves that are new to this owner, with what the store holds of them.
void HandleWaves(FleetState& aState, const WavesSeen& aSeen);
// Counts the lists of VMs that lack a VM of a wave.
void NoteMissingVms(FleetState& aState);
// Orders maintenance and cordons targets, as PlanWave() decides.
void PlanWaves(FleetState& aState);
WaveRecord RecordOf(const WaveState& aWave);
// Whether the VM is down, or ordered down, for a wave that is not completed.
bool IsDownForOpenWave(const FleetState& aState, const std::string& aVm);

} // namespace cuminbridge

#endif // cuminbridge_fleet_fleet_waves_h
