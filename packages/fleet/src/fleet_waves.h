// Internal: the maintenance waves of the fleet.

#ifndef cuminbridge_fleet_fleet_waves_h
#define cuminbridge_fleet_fleet_waves_h

#include "state.h"

namespace cuminbridge {

void TakeWaves(FleetState& aState, const WavesSeen& aSeen);
// Orders upkeep and empties targets, as PlanWave() decides.
void PlanWaves(FleetState& aState);
WaveRecord RecordOf(const WaveState& aWave);
// Whether the VM is down for a wave that is not over.
bool IsInOpenWave(const FleetState& aState, const std::string& aVm);

} // namespace cuminbridge

#endif // cuminbridge_fleet_fleet_waves_h
