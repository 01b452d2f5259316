// Internal: contact with targets: lists, renewals and expired leases.

#ifndef cuminbridge_fleet_targets_h
#define cuminbridge_fleet_targets_h

#include "state.h"

namespace cuminbridge {

void HandleTargetList(FleetState& aState, const TargetsSeen& aSeen);
void HandleRenewalAnswer(FleetState& aState, const RenewalAnswered& aAnswer);

// Adds the targets that need renewals to the watched ones. Start() adds its
// target itself.
void UpdateWatchedTargets(FleetState& aState);

// Sends the renewals and stops that are due and releases runs whose leases have
// surely expired: for all watched targets, or for one target.
void MaintainTargets(FleetState& aState);
void MaintainTarget(FleetState& aState, Target& aTarget);

// When the last lease from an earlier owner expires: until then, its work may
// run on a target that cannot be asked.
Instant InheritedWorkExpiry(const FleetState& aState);

// True once every target in the list or of the previous owner has answered or
// is known to be unresponsive.
bool IsReconciled(const FleetState& aState);

} // namespace cuminbridge

#endif // cuminbridge_fleet_targets_h
