// Internal: jobs and their work items, from arrival to end.

#ifndef cuminbridge_fleet_jobs_h
#define cuminbridge_fleet_jobs_h

#include "state.h"

namespace cuminbridge {

// Restores the stored jobs and the unconfirmed runs of earlier owners. In
// takeover/load_jobs.cpp.
void LoadJobs(FleetState& aState, const JobsLoaded& aLoaded);
// Adds the entry of a job that is new here, without its runs.
JobEntry& InsertJob(FleetState& aState, const Job& aJob);
void AddJob(FleetState& aState, const Job& aJob, bool aIsGuest);
// Keeps the cancellation of a job that is not known yet.
void CancelJob(FleetState& aState, const std::string& aJob);
// Cancels a job whose cancellation became known before it.
void ApplyEarlyCancellation(FleetState& aState, const std::string& aJob);
// Drops kept cancellations whose job can't arrive any more.
void ForgetEarlyCancellations(FleetState& aState);

// The pool that serves a job now: the configured one of its queue, or the one
// from its submission if the queue no longer exists.
const std::string& PoolOf(const FleetState& aState, const JobEntry& aJob);

// Expected times and work of a job: its estimates, corrected by the run times
// learned for its queue. With an occurrence, what remains to be done there;
// without one, the whole job.
Millis ExpectedRunTime(const FleetState& aState,
                       const JobEntry& aJob,
                       const Step& aStep);
Millis RemainingCriticalPath(const FleetState& aState,
                             const JobEntry& aJob,
                             const Occurrence* aOccurrence);
double RemainingWork(const FleetState& aState, // in core-milliseconds
                     const JobEntry& aJob,
                     const Occurrence* aOccurrence);
// The objective of a job: the time from its arrival to its completion.
Millis CompletionObjective(const FleetState& aState, const JobEntry& aJob);

// Marks a job's progress as changed, so that the next batch stores it.
void MarkDirty(FleetState& aState, JobEntry& aJob);
// Some work item of the job, if there is one, is known to have been started by
// its target. A job stays begun, whatever becomes of its runs.
void MarkBegun(FleetState& aState, JobEntry* aJob);
// Ends a job and stops its runs.
void EndJob(FleetState& aState, JobEntry& aJob, JobState aEndState);
// Completes a job whose occurrences are all done. Those of steps without items
// are from the start.
void EndIfDone(FleetState& aState, JobEntry& aJob);

// An item succeeded: completes the job with its last item.
void FinishItem(FleetState& aState, const ItemName& aName, ItemRef aRef);
// A run of an item failed: fails the job if its attempts are used up.
void FailItem(FleetState& aState,
              const ItemName& aName,
              ItemRef aRef,
              std::int64_t aRun);

// Load that arriving work offers to a pool now, in thousandths of a core.
std::int64_t OfferedCpu(const FleetState& aState, const std::string& aPool);

} // namespace cuminbridge

#endif // cuminbridge_fleet_jobs_h
