// Internal: contact with targets: lists, renewals and expired leases.

#ifndef cuminbridge_fleet_targets_h
#define cuminbridge_fleet_targets_h

#include "state.h"

namespace cuminbridge {

// A run whose job has not arrived after this time belongs to no job. Jobs
// arrive within milliseconds, and within 1.5 s if only the watch on the store
// reports them.
inline constexpr Millis kUnknownRunGrace(2500);

void HandleTargetList(FleetState& aState, const TargetsSeen& aSeen);
void HandleRenewalAnswer(FleetState& aState, const RenewalAnswered& aAnswer);

// Has the target stored anew. It gets no work before that is done.
void RecordTarget(FleetState& aState, Target& aTarget, const std::string& aId);

// The target's process has ended. If it goes on reporting itself all the same,
// it is asked again.
void SetExited(Target& aTarget);

// Another process has answered at the target's address: its own has ended, with
// all runs. The start and the clock of the other are 0 if it did not tell them.
void ReleaseReplaced(FleetState& aState,
                     Target& aTarget,
                     std::int64_t aStartUnixMs,
                     std::int64_t aClockMs);

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

// Whether starts may rely on the target's capacity as this owner knows it. True
// if the target itself rejects what does not fit.
bool IsCapacityKnown(const FleetState& aState, const Target& aTarget);

} // namespace cuminbridge

#endif // cuminbridge_fleet_targets_h
