// Internal: contact with targets: lists, renewals, lapses.

#ifndef cuminbridge_fleet_targets_h
#define cuminbridge_fleet_targets_h

#include "state.h"

namespace cuminbridge {

void TakeTargets(FleetState& aState, const TargetsSeen& aSeen);
void TakeHold(FleetState& aState, const HoldAnswered& aAnswer);

// Finds the targets that need looking after; Start() adds its own.
void AttendAll(FleetState& aState);

// Sends the renewals that are due, gives up what has surely lapsed.
void KeepContact(FleetState& aState);
void KeepTarget(FleetState& aState, Target& aTarget); // the same for one

// Latest moment at which something that the owner before us left on a target
// can still run, if we cannot ask the target.
Instant InheritedLapse(const FleetState& aState);

// True once every listed target has answered or is known to be silent.
bool HasLooked(const FleetState& aState);

} // namespace cuminbridge

#endif // cuminbridge_fleet_targets_h
