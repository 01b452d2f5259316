// Internal: the occurrences of a job. One that does not repeat has a single
// one, number 0.
//
// A request of a few bytes can ask for a million of them, or for thousands of
// items. The state of items is kept for a bounded part of each client account's
// jobs: a due occurrence is opened once there is room for it, and closed once
// all its items are done. Closed ones share one state, in which every item is
// done.

#ifndef cuminbridge_fleet_occurrences_h
#define cuminbridge_fleet_occurrences_h

#include "state.h"

namespace cuminbridge {

int OccurrencesOf(const Job& aJob);

// The time at which an occurrence of a repeating job may start.
WallTime DueTime(const Job& aJob, int aNumber);

// The state of an occurrence, which is opened if that has not been done.
Occurrence& FindOccurrence(FleetState& aState, JobEntry& aJob, int aNumber);

void MarkItemDone(JobEntry& aJob,
                  Occurrence& aOccurrence,
                  StepState& aStep,
                  const Step& aSpec,
                  ItemState& aItem);

// Closes an occurrence of a repeating job if all its items are done. References
// to its state are invalid then.
void CloseIfDone(FleetState& aState, JobEntry& aJob, int aNumber);

// Closes the occurrences whose items are all done by the record of an earlier
// owner. No occurrence has been opened before.
void RestoreDoneOccurrences(JobEntry& aJob, const Progress& aProgress);

// Opens occurrences that are due, as many as there is room for.
void OpenOccurrences(FleetState& aState, JobEntry& aJob);

// Opens what is due of all jobs that have not ended, the oldest first, and
// completes those that have no items.
void OpenAllOccurrences(FleetState& aState);

// Whether a run of it is, or may be, on a target.
bool HasRuns(const Occurrence& aOccurrence);

// Forgets the state of a job's items.
void DropOccurrences(FleetState& aState, JobEntry& aJob);
// Likewise for jobs that ended a while ago, once no run of them is left.
void DropEndedOccurrences(FleetState& aState);

} // namespace cuminbridge

#endif // cuminbridge_fleet_occurrences_h
