// Internal: data centres that their operator empties. They count as lost
// capacity from the request on until it is removed. Until the operator's limit
// is reached, work that is no longer than this limit may still start there,
// after all other targets, while VMs are borrowed in its place. Then nothing
// starts there; long-running items leave as far as their step's availability
// allows.
//
// Answers the load of a third of the targets leaving at once and coming back,
// at the peak of the demand.

#ifndef cuminbridge_fleet_evacuation_h
#define cuminbridge_fleet_evacuation_h

#include "state.h"
#include "waiting_work.h"

namespace cuminbridge {

// Time that a start needs to reach its target.
inline constexpr Millis kLeastStartTime(300);

// Within this, something that starts now has to reach its target, so that no
// evacuation that is not known yet forbids it there. Nothing if the deployment
// asks for no evacuations.
std::optional<Millis> TimeToReachTarget(const EvacuationState& aEvacuations,
                                        Millis aMaxAge,
                                        Instant aNow);

// Whether starts on the target may still arrive in time.
bool IsClosed(const Target& aTarget, Instant aNow);
bool IsEvacuated(const FleetState& aState, const Vm& aVm);
// Whether a run may begin on a target that is being evacuated.
bool MayStillRun(const FleetState& aState,
                 const Target& aTarget,
                 const JobEntry& aJob,
                 const Step& aStep);

// Whether long-running items leave the target now. They give way to work that
// waits for room in their pool.
bool MustBeEmptied(const FleetState& aState,
                   const Target& aTarget,
                   const std::map<std::string, WaitingWork>& aWaiting);

void HandleEvacuations(FleetState& aState, const EvacuationsSeen& aSeen);
// Sets Target::isEvacuated_ and closesAt_. Call it after the list of targets
// has changed.
void MarkEvacuatedTargets(FleetState& aState);
// Logs each waiting step once whose label only evacuated targets have.
void NoteStepsThatWait(FleetState& aState);

} // namespace cuminbridge

#endif // cuminbridge_fleet_evacuation_h
