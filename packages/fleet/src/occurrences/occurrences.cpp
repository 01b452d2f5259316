// The occurrences of a job, from their due time until their items are done.

#include "occurrences/occurrences.h"

#include <algorithm>

#include "jobs.h"
#include "waiting_work.h"

namespace cuminbridge {

namespace {

// Open occurrences of one job that have waiting items. Each dispatch orders
// their steps, beside those of all other jobs.
constexpr int kMaxWaitingOccurrences = 64;
// Targets list the last runs of a job within this time after its end.
constexpr Millis kItemsKept(2000);
// Items and steps of the open occurrences of one job, unless a single one has
// more. As many items are allowed in a job that does not repeat.
constexpr std::int64_t kMaxOpenItems = 50000;

void
CountStepDone(JobEntry& aJob, Occurrence& aOccurrence)
{
  ++aOccurrence.stepsDone_;
  if (aOccurrence.stepsDone_ == aOccurrence.steps_.size()) {
    ++aJob.occurrencesDone_;
  }
}

std::int64_t
CountItemsAndSteps(const Job& aJob)
{
  auto count = std::max<std::int64_t>(1, std::ssize(aJob.steps_));
  for (const auto& step : aJob.steps_) {
    count += step.count_;
  }
  return count;
}

Occurrence&
OpenOccurrence(FleetState& aState, JobEntry& aJob, int aNumber)
{
  auto& occurrence = aJob.occurrences_[aNumber];
  if (occurrence.steps_.empty()) {
    aState.openItems_[aJob.job_.account_] += CountItemsAndSteps(aJob.job_);
    if (aJob.HasEnded()) {
      aState.endedOpenJobs_.insert(aJob.job_.id_);
    }
    occurrence.steps_.resize(aJob.job_.steps_.size());
    for (std::size_t step = 0; step < occurrence.steps_.size(); ++step) {
      const auto& spec = aJob.job_.steps_[step];
      occurrence.steps_[step].items_.resize(
        static_cast<std::size_t>(spec.count_));
      aJob.unassigned_ += spec.count_;
      if (spec.count_ == 0) {
        CountStepDone(aJob, occurrence);
      }
    }
  }
  return occurrence;
}

// The shared state of the closed occurrences.
Occurrence&
ClosedOccurrence(JobEntry& aJob)
{
  auto& closed = aJob.closedOccurrence_;
  if (closed.steps_.empty()) {
    closed.steps_.resize(aJob.job_.steps_.size());
    closed.stepsDone_ = closed.steps_.size();
    for (std::size_t step = 0; step < closed.steps_.size(); ++step) {
      const int count = aJob.job_.steps_[step].count_;
      ItemState done;
      done.phase_ = ItemPhase::Done;
      closed.steps_[step].items_.assign(static_cast<std::size_t>(count), done);
      closed.steps_[step].done_ = count;
    }
  }
  return closed;
}

bool
HasWaitingItems(const Occurrence& aOccurrence)
{
  return std::any_of(
    aOccurrence.steps_.begin(),
    aOccurrence.steps_.end(),
    [](const StepState& aStep) { return CountWaitingItems(aStep) > 0; });
}

void
CountClosed(FleetState& aState, const JobEntry& aJob, std::size_t aOccurrences)
{
  const auto found = aState.openItems_.find(aJob.job_.account_);
  if (found != aState.openItems_.end()) {
    found->second -=
      CountItemsAndSteps(aJob.job_) * static_cast<std::int64_t>(aOccurrences);
    if (found->second <= 0) {
      aState.openItems_.erase(found);
    }
  }
}

// Whether an account may have one more occurrence open. Each may have one.
bool
HasRoom(const FleetState& aState, const JobEntry& aJob)
{
  const auto open = aState.openItems_.find(aJob.job_.account_);
  return open == aState.openItems_.end() ||
         open->second + CountItemsAndSteps(aJob.job_) <=
           aState.options_.maxOpenItems_;
}

// The occurrences of a repeating job that may be opened now, due or not, as far
// as its account has room.
int
CountRoom(const JobEntry& aJob)
{
  const auto& open = aJob.occurrences_;
  const auto waiting =
    std::count_if(open.begin(), open.end(), [](const auto& aEntry) {
      return HasWaitingItems(aEntry.second);
    });
  const auto most =
    std::max<std::int64_t>(1, kMaxOpenItems / CountItemsAndSteps(aJob.job_));
  const auto room =
    std::min(kMaxWaitingOccurrences - static_cast<std::int64_t>(waiting),
             most - static_cast<std::int64_t>(open.size()));
  return static_cast<int>(std::max<std::int64_t>(0, room));
}

// The first occurrence from aNumber on that has not been opened.
int
SkipOpened(const JobEntry& aJob, int aNumber)
{
  auto number = aNumber;
  while (true) {
    const auto closed = aJob.closedOccurrences_.find(number);
    if (closed != aJob.closedOccurrences_.end()) {
      number = boost::icl::last(*closed) + 1;
    } else if (aJob.occurrences_.count(number) != 0) {
      ++number;
    } else {
      return number;
    }
  }
}

} // namespace

int
OccurrencesOf(const Job& aJob)
{
  return std::max(1, aJob.repeats_);
}

WallTime
DueTime(const Job& aJob, int aNumber)
{
  return aJob.firstRun_ + aNumber * aJob.interval_;
}

Occurrence&
FindOccurrence(FleetState& aState, JobEntry& aJob, int aNumber)
{
  return boost::icl::contains(aJob.closedOccurrences_, aNumber)
           ? ClosedOccurrence(aJob)
           : OpenOccurrence(aState, aJob, aNumber);
}

void
MarkItemDone(JobEntry& aJob,
             Occurrence& aOccurrence,
             StepState& aStep,
             const Step& aSpec,
             ItemState& aItem)
{
  if (aItem.phase_ == ItemPhase::Waiting) {
    --aJob.unassigned_;
  } else if (aItem.phase_ == ItemPhase::Assigned) {
    --aStep.assigned_; // another run of it is done
  }
  aItem.phase_ = ItemPhase::Done;
  aItem.checkpoint_.clear();
  ++aStep.done_;
  if (aStep.done_ == aSpec.count_) {
    CountStepDone(aJob, aOccurrence);
  }
}

void
CloseIfDone(FleetState& aState, JobEntry& aJob, int aNumber)
{
  const auto found = aJob.occurrences_.find(aNumber);
  if (aJob.job_.repeats_ > 0 && found != aJob.occurrences_.end() &&
      found->second.stepsDone_ == found->second.steps_.size()) {
    aJob.occurrences_.erase(found);
    CountClosed(aState, aJob, 1);
    aJob.closedOccurrences_.insert(aNumber);
  }
}

void
RestoreDoneOccurrences(JobEntry& aJob, const Progress& aProgress)
{
  using Interval = OccurrenceSet::interval_type;
  for (const auto& [first, last] : aProgress.doneOccurrences_) {
    aJob.closedOccurrences_.insert(Interval::closed(
      std::max(0, first), std::min(last, OccurrencesOf(aJob.job_) - 1)));
  }
  aJob.occurrencesDone_ =
    static_cast<int>(boost::icl::cardinality(aJob.closedOccurrences_));
}

void
OpenOccurrences(FleetState& aState, JobEntry& aJob)
{
  const auto& job = aJob.job_;
  if (job.repeats_ <= 0) {
    if (aJob.occurrences_.empty() && HasRoom(aState, aJob)) {
      OpenOccurrence(aState, aJob, 0);
      aState.dirtyPools_.insert(PoolOf(aState, aJob));
    }
    return;
  }
  const auto now = aState.TimeOfDay();
  for (int room = CountRoom(aJob); room > 0; --room) {
    const int number = SkipOpened(aJob, aJob.nextOccurrence_);
    aJob.nextOccurrence_ = number;
    if (number >= job.repeats_ || DueTime(job, number) > now ||
        !HasRoom(aState, aJob)) {
      return;
    }
    OpenOccurrence(aState, aJob, number);
    CloseIfDone(aState, aJob, number); // it may have no items
    aState.dirtyPools_.insert(PoolOf(aState, aJob));
  }
}

void
OpenAllOccurrences(FleetState& aState)
{
  std::vector<JobEntry*> active;
  active.reserve(aState.activeJobs_.size());
  for (const auto& id : aState.activeJobs_) {
    active.push_back(aState.jobs_[id].get());
  }
  if (std::any_of(active.begin(), active.end(), [](const JobEntry* aJob) {
        return aJob->occurrences_.empty();
      })) {
    std::stable_sort(active.begin(),
                     active.end(),
                     [](const JobEntry* aLeft, const JobEntry* aRight) {
                       return aLeft->arrived_ < aRight->arrived_;
                     });
  }
  for (auto* job : active) {
    OpenOccurrences(aState, *job);
    aState.dirtyPools_.insert(PoolOf(aState, *job));
    EndIfDone(aState, *job); // removes it from the active ones
  }
}

bool
HasRuns(const Occurrence& aOccurrence)
{
  return std::any_of(
    aOccurrence.steps_.begin(),
    aOccurrence.steps_.end(),
    [](const StepState& aStep) { return aStep.assigned_ > 0; });
}

void
DropOccurrences(FleetState& aState, JobEntry& aJob)
{
  CountClosed(aState, aJob, aJob.occurrences_.size());
  aJob.occurrences_.clear();
  aJob.closedOccurrence_ = {};
}

void
DropEndedOccurrences(FleetState& aState)
{
  std::erase_if(aState.endedOpenJobs_, [&](const std::string& aId) {
    const auto found = aState.jobs_.find(aId);
    if (found == aState.jobs_.end()) {
      return true;
    }
    auto& job = *found->second;
    const bool hasRuns =
      std::any_of(job.occurrences_.begin(),
                  job.occurrences_.end(),
                  [](const auto& aEntry) { return HasRuns(aEntry.second); });
    const bool isOver = !hasRuns && aState.now_ - job.ended_ >= kItemsKept;
    if (isOver) {
      DropOccurrences(aState, job);
    }
    return isOver;
  });
}

} // namespace cuminbridge
