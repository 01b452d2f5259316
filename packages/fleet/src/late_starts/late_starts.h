// Internal: starts that got no answer and may still be carried out.
//
// Such a start may be carried out seconds later, by whichever process its
// target then has. A process that has answered a call with a higher token
// refuses it, whatever its run number; the next process under the target's id
// has seen no token, and the deadline of the start lies on the clock of the
// process before. So each of these starts raises the token of all later calls
// to its target, and the target is called at short intervals for as long as the
// start may come: its next process then meets such a call soon after it begins.
//
// The item starts again only while the target is in contact. Else it waits
// until the start can't come any more, as another process may have begun there
// that nothing is known of.

#ifndef cuminbridge_fleet_late_starts_h
#define cuminbridge_fleet_late_starts_h

#include "state.h"

namespace cuminbridge {

// Longest time from the end of the call of an unanswered start until the start
// is carried out.
constexpr Millis kLateStartTime(12000);

// A start of the item got no answer; aRun is null if it was given up before.
// Calls to the target that are made after this fence it off.
void NoteUnansweredStart(FleetState& aState,
                         Target& aTarget,
                         const ItemName& aItem,
                         Run* aRun);

// As an earlier owner recorded it. A start that was recorded as sent may not
// have been answered.
void RestoreLateStart(FleetState& aState,
                      const ItemName& aItem,
                      const std::string& aTarget,
                      WallTime aUntil);
// Whichever target it was, an earlier owner may have left starts there
// unanswered that it has not recorded.
void ExpectStartsOfEarlierOwners(FleetState& aState, Target& aTarget);

// Whether an unanswered start may still be carried out by some process of the
// target.
bool AwaitsLateStart(const FleetState& aState, const Target& aTarget);

// Whether the item has to wait because a start of it that got no answer may be
// carried out at a process that nothing is known of. It is dispatched again a
// little later.
bool MustAwaitLateStart(FleetState& aState, const ItemName& aItem);

// Whether the call that asked for the list fences the start of the run off: if
// the run is not listed, it can't begin there any more.
bool IsFencedBy(const Run& aRun, const RenewalAnswered& aAnswer);

// Time between two calls to a target that awaits a late start. It grows with
// the number of such targets, to bound the calls of this process.
Millis LookInterval(const FleetState& aState);
// Whether the target is to be called now for that reason alone.
bool IsLookDue(const FleetState& aState, const Target& aTarget);

// A target has left a call unanswered. Counts that, and returns whether it is
// called again before it counts as unresponsive: one that is idle and awaits a
// late start is called often, and a single call may be lost.
bool NoteMissedLook(const FleetState& aState, Target& aTarget);

// Forgets starts that can't come any more.
void ForgetLateStarts(FleetState& aState);

} // namespace cuminbridge

#endif // cuminbridge_fleet_late_starts_h
