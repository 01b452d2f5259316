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
// Items and steps of the open occurrences of one job, unless a single one has
// more. As many items are allowed in a job that does not repeat.
constexpr std::size_t kMaxOpenItems = 50000;

void
CountStepDone(JobEntry& aJob, Occurrence& aOccurrence)
{
  ++aOccurrence.stepsDone_;
  if (aOccurrence.stepsDone_ == aOccurrence.steps_.size()) {
    ++aJob.occurrencesDone_;
  }
}

Occurrence&
OpenOccurrence(JobEntry& aJob, int aNumber)
{
  auto& occurrence = aJob.occurrences_[aNumber];
  if (occurrence.steps_.empty()) {
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

std::size_t
CountItemsAndSteps(const Job& aJob)
{
  auto count = aJob.steps_.size();
  for (const auto& step : aJob.steps_) {
    count += static_cast<std::size_t>(step.count_);
  }
  return count;
}

bool
HasWaitingItems(const Occurrence& aOccurrence)
{
  return std::any_of(
    aOccurrence.steps_.begin(),
    aOccurrence.steps_.end(),
    [](const StepState& aStep) { return CountWaitingItems(aStep) > 0; });
}

// The occurrences that may be opened now, due or not.
int
CountRoom(const JobEntry& aJob)
{
  const auto& open = aJob.occurrences_;
  const auto waiting =
    std::count_if(open.begin(), open.end(), [](const auto& aEntry) {
      return HasWaitingItems(aEntry.second);
    });
  const auto most =
    std::max<std::size_t>(1, kMaxOpenItems / CountItemsAndSteps(aJob.job_));
  const auto room = std::min(
    kMaxWaitingOccurrences - static_cast<std::int64_t>(waiting),
    static_cast<std::int64_t>(most) - static_cast<std::int64_t>(open.size()));
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
FindOccurrence(JobEntry& aJob, int aNumber)
{
  return boost::icl::contains(aJob.closedOccurrences_, aNumber)
           ? ClosedOccurrence(aJob)
           : OpenOccurrence(aJob, aNumber);
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
CloseIfDone(JobEntry& aJob, int aNumber)
{
  const auto found = aJob.occurrences_.find(aNumber);
  if (aJob.job_.repeats_ > 0 && found != aJob.occurrences_.end() &&
      found->second.stepsDone_ == found->second.steps_.size()) {
    aJob.occurrences_.erase(found);
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
    FindOccurrence(aJob, 0);
    return;
  }
  const auto now = aState.TimeOfDay();
  for (int room = CountRoom(aJob); room > 0; --room) {
    const int number = SkipOpened(aJob, aJob.nextOccurrence_);
    aJob.nextOccurrence_ = number;
    if (number >= job.repeats_ || DueTime(job, number) > now) {
      return;
    }
    OpenOccurrence(aJob, number);
    CloseIfDone(aJob, number); // it may have no items
    aState.dirtyPools_.insert(PoolOf(aState, aJob));
  }
}

} // namespace cuminbridge
