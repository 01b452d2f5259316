// Internal: the life of jobs, from their arrival to their end.

#ifndef cuminbridge_fleet_jobs_h
#define cuminbridge_fleet_jobs_h

#include "state.h"

namespace cuminbridge {

void LoadJobs(FleetState& aState, const JobsLoaded& aLoaded);
void AddJob(FleetState& aState, const Job& aJob);
void CancelJob(FleetState& aState, const std::string& aJob);

// The pool that serves a job now.
const std::string& PoolOf(const FleetState& aState, const JobEntry& aJob);

// What the learned run times make of a job's estimates. Without an occurrence,
// of the whole job; with one, of what is not done there.
Millis ExpectRun(const FleetState& aState,
                 const JobEntry& aJob,
                 const Step& aStep);
Millis ChainLeft(const FleetState& aState,
                 const JobEntry& aJob,
                 const Occurrence* aOccurrence);
double WorkLeft(const FleetState& aState, // in core-milliseconds
                const JobEntry& aJob,
                const Occurrence* aOccurrence);
// Time from its arrival in which a job is to be completed.
Millis ObjectiveOf(const FleetState& aState, const JobEntry& aJob);

// Creates the occurrences whose time has come. Returns when the next is due.
void OpenOccurrences(FleetState& aState, JobEntry& aJob);

void MarkDirty(FleetState& aState, JobEntry& aJob);
void EndJob(FleetState& aState, JobEntry& aJob, JobState aHow);

// One item has ended well, or badly by its own fault.
void FinishItem(FleetState& aState, const ItemName& aName, ItemRef aRef);
void FailItem(FleetState& aState,
              const ItemName& aName,
              ItemRef aRef,
              std::int64_t aRun);

} // namespace cuminbridge

#endif // cuminbridge_fleet_jobs_h
