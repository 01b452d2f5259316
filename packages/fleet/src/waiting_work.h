// Internal: work items that wait for free capacity.

#ifndef cuminbridge_fleet_waiting_work_h
#define cuminbridge_fleet_waiting_work_h

#include "state.h"

namespace cuminbridge {

// The waiting work items of one pool.
struct WaitingWork
{
  std::int64_t cpu_ = 0;        // needed by all of them, thousandths of a core
  std::int64_t largestCpu_ = 0; // needed by the largest one, likewise
  int items_ = 0;
  int topPriorityItems_ = 0; // items of priority 0 among them
  // Targets that the pool lacks for items that may not share one with others of
  // their step.
  int lackingTargets_ = 0;
};

// By pool: items whose step is ready and whose client account is within its
// limit. Fillers need no processor time of their own and add nothing to cpu_.
std::map<std::string, WaitingWork> WaitingWorkByPool(const FleetState& aState);

// True if a step's items may start: all steps that it depends on are done.
bool IsReady(const JobEntry& aJob,
             const Occurrence& aOccurrence,
             std::size_t aStep);

int CountWaitingItems(const StepState& aStep);

// Calls aVisit(job, occurrence number, step number) for each ready step with
// waiting items, of the jobs that aWants(job) is true for.
template<typename Wants, typename Visit>
void
ForEachWaitingStep(const FleetState& aState, Wants aWants, Visit aVisit)
{
  for (const auto& id : aState.activeJobs_) {
    auto& job = *aState.jobs_.at(id);
    if (job.unassigned_ == 0 || !aWants(job)) {
      continue;
    }
    for (const auto& [number, occurrence] : job.occurrences_) {
      for (std::size_t step = 0; step < occurrence.steps_.size(); ++step) {
        if (CountWaitingItems(occurrence.steps_[step]) > 0 &&
            IsReady(job, occurrence, step)) {
          aVisit(job, number, step);
        }
      }
    }
  }
}

} // namespace cuminbridge

#endif // cuminbridge_fleet_waiting_work_h
