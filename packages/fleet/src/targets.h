// Internal: contact with targets: lists, renewals, lapses.

#ifndef cuminbridge_fleet_targets_h
#define cuminbridge_fleet_targets_h

#include "state.h"

namespace cuminbridge {

void TakeTargets(FleetState& aState, const TargetsSeen& aSeen);
void TakeHold(FleetState& aState, const HoldAnswered& aAnswer);

// Sends the renewals that are due, gives up what has surely lapsed.
void KeepContact(FleetState& aState);

// True once every listed target has answered or is known to be silent.
bool HasLooked(const FleetState& aState);

} // namespace cuminbridge

#endif // cuminbridge_fleet_targets_h
