// Internal: runs on targets, from start to end.

#ifndef cuminbridge_fleet_runs_h
#define cuminbridge_fleet_runs_h

#include "state.h"

namespace cuminbridge {

// The target's clock is at least this now.
std::int64_t ClockOf(const FleetState& aState, const Target& aTarget);
void TakeClock(FleetState& aState, Target& aTarget, std::int64_t aClockMs);

// Whether a clock that a target told is not the one it had: its process is
// another one.
bool IsOtherClock(const FleetState& aState,
                  const Target& aTarget,
                  std::int64_t aClockMs);

// The deadline of a lease that is sent now. What the target may have been sent
// before is no reason to send more: the next owner reckons with the usual time.
std::int64_t ExtendLease(const FleetState& aState, Target& aTarget);

Run* FindRun(Target& aTarget, const ItemName& aItem, std::int64_t aRun);

// Sends the start of an item on a target and reserves its room there.
void Start(FleetState& aState,
           const ItemName& aItem,
           ItemRef aRef,
           Target& aTarget,
           std::int64_t aRun,
           std::string aTicket);

// Adds a run that the target is known or presumed to have.
Run& AddRun(FleetState& aState, Target& aTarget, Run aRun);

// Takes a run off a target; its item waits again if it was this run's.
void ReleaseRun(FleetState& aState,
                Target& aTarget,
                const ItemName& aItem,
                std::int64_t aRun);
void ReleaseAll(FleetState& aState, Target& aTarget, const char* aWhy);

void Stop(FleetState& aState, Target& aTarget, Run& aRun, const char* aWhy);
// Stops each run of a job.
void StopJob(FleetState& aState, const JobEntry& aJob, const char* aWhy);

void TakeStart(FleetState& aState, const StartAnswered& aAnswer);
void TakeStop(FleetState& aState, const StopAnswered& aAnswer);

} // namespace cuminbridge

#endif // cuminbridge_fleet_runs_h
