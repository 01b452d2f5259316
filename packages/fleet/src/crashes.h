// Internal: which work items ran where a target's process ended by itself, how
// often that gives an item up, and how such items start again.

#ifndef cuminbridge_fleet_crashes_h
#define cuminbridge_fleet_crashes_h

#include "evidence.h"

namespace cuminbridge {

// A run that has lived this long has not crashed its target by starting.
constexpr Millis kStartupTime(500);
// A run that its target lists when it is this old has passed its start. It is
// no more on trial.
constexpr Millis kTrialTime(100);

// Whether an item with these crashes is given up.
bool IsOverCrashLimit(const std::vector<Crash>& aCrashes, bool aIsLongRunning);

// Whether an item may be what crashed its target. It starts again alone, and
// only once its crashes are stored.
bool IsSuspect(const ItemState& aItem);

// Whether the end of the target's process now would be a crash: neither an
// order for its VM nor draining explains it.
bool IsCrash(const FleetState& aState, const Target& aTarget);

// The target's process has ended. Counts a crash against the items that ran
// there if it is one, releases their runs, and gives up items beyond the limit.
// A run whose start has not been answered is kept until it is.
void ReleaseEnded(FleetState& aState, Target& aTarget, const Ground& aGround);

// The target's process has crashed: notes that for the runs there, of which a
// new process may still list some, and which of them are hardly the cause.
void NoteCrash(FleetState& aState, Target& aTarget);

// Counts a noted crash against the item of a run. Returns the item's job if the
// item has to be given up; all runs of the target that are lost with this one
// have to be released before.
std::optional<std::string> CountCrash(FleetState& aState,
                                      const Target& aTarget,
                                      const Run& aRun);
// Fails a job for which CountCrash() asked that.
void GiveUp(FleetState& aState, const std::string& aJob);

// A long-running item is at work: earlier crashes do not count any more.
void ForgetCrashes(FleetState& aState, const ItemName& aItem);

// Runs there that this owner started less than kStartupTime ago.
std::size_t CountStarting(const FleetState& aState, const Target& aTarget);
// Whether a suspect that was started there may still crash the target.
bool HasTrial(const FleetState& aState, const Target& aTarget);
// Whether the item may be started there together with suspects of other jobs
// that were sent a moment ago. If their target crashes, each is tried alone.
bool MayJoinTrial(FleetState& aState,
                  const Target& aTarget,
                  const ItemName& aName,
                  const ItemState& aItem);
// Whether one more suspect of the step may start now. Items of a step are
// alike: the others wait until one has lived through its start.
bool MayTrySuspect(FleetState& aState, StepState& aStep);

} // namespace cuminbridge

#endif // cuminbridge_fleet_crashes_h
