// Internal: runs on targets and their leases.

#ifndef cuminbridge_fleet_runs_h
#define cuminbridge_fleet_runs_h

#include "evidence.h"

namespace cuminbridge {

// A lower bound of the target's clock now, in ms.
std::int64_t ClockOf(const FleetState& aState, const Target& aTarget);
// Takes in a clock reading of the target; 0 is none.
void UpdateClock(FleetState& aState, Target& aTarget, std::int64_t aClockMs);

// Whether the clock reading in the answer to a call sent then is too low to
// come from the process that is known at the target: another process has
// started there. How late the answer is read does not matter.
bool HasClockRestarted(const Target& aTarget,
                       std::int64_t aClockMs,
                       Instant aSentAt);

// Returns the deadline of a lease that is sent now, and records it. A deadline
// never exceeds the usual lease, even if a later one was sent before, because
// the next owner waits only for the usual lease.
std::int64_t ExtendLease(const FleetState& aState,
                         Target& aTarget,
                         Millis aTime);

Run* FindRun(Target& aTarget, const ItemName& aItem, std::int64_t aRun);

// Sends the start of an item to a target and reserves its resources there.
void Start(FleetState& aState,
           const ItemName& aItem,
           ItemRef aRef,
           Target& aTarget,
           std::int64_t aRun,
           std::string aTicket);

// Adds a run that the target has or may have, and reserves its resources.
Run& AddRun(FleetState& aState, Target& aTarget, Run aRun);

// Removes a run from a target. Its item waits again if it was assigned to this
// run.
void ReleaseRun(FleetState& aState,
                Target& aTarget,
                const ItemName& aItem,
                std::int64_t aRun);
// Removes all runs of a target and counts them as lost.
enum class PendingStarts // see Run::AwaitsStartAnswer()
{
  Release,
  Keep,
};
void ReleaseAll(FleetState& aState,
                Target& aTarget,
                const Ground& aGround,
                PendingStarts aPending = PendingStarts::Release);

// Sends a stop. The run stays until the target no longer lists it.
void Stop(FleetState& aState,
          Target& aTarget,
          Run& aRun,
          const std::string& aWhy);
// Stops all runs of a job.
void StopJob(FleetState& aState, const JobEntry& aJob, const char* aWhy);

void HandleStartAnswer(FleetState& aState, const StartAnswered& aAnswer);
void HandleStopAnswer(FleetState& aState, const StopAnswered& aAnswer);

} // namespace cuminbridge

#endif // cuminbridge_fleet_runs_h
