// Internal: targets that start again under their id.
//
// The next process knows nothing of the one before, its clock begins anew, and
// it takes calls that were meant for the one before: nothing but their token
// tells them apart (see TargetToken()).

#ifndef cuminbridge_fleet_restarts_h
#define cuminbridge_fleet_restarts_h

#include "state.h"

namespace cuminbridge {

// Another process has started at the target and knows no earlier runs.
void BeginIncarnation(FleetState& aState,
                      Target& aTarget,
                      std::int64_t aStartUnixMs,
                      std::int64_t aClockMs,
                      Millis aMaxClockAge = Millis(0));

// Numbers a process of which nothing was known, so that its target refuses
// calls for the one before.
void NumberProcess(FleetState& aState, Target& aTarget, bool aHasRestarted);
// The target's process has answered a call at aClockMs. If that was one for it,
// it refuses calls for the process before from now on, and a lease that such a
// call has brought lasts no longer than from now.
void AllowForHeldUpCalls(const FleetState& aState,
                         Target& aTarget,
                         std::int64_t aClockMs,
                         int aProcess);

// The target's process has left its first call unanswered: a call for the
// process before may have come until now.
void AllowForCallsUntilNow(const FleetState& aState, Target& aTarget);

// The most that the clock of a target's process shows now, if it showed
// aClockMs at most aMaxAge ago: it begins with the process.
std::int64_t LatestClock(const FleetState& aState,
                         const Target& aTarget,
                         std::int64_t aClockMs,
                         Millis aMaxAge);

// An earlier owner that did not know of a restart may have sent deadlines on
// the clock of the previous process. For as long as such a lease may last, no
// lease on a young process counts as expired.
void AllowForPreviousClock(const FleetState& aState,
                           Target& aTarget,
                           std::int64_t aClockMs);

} // namespace cuminbridge

#endif // cuminbridge_fleet_restarts_h
