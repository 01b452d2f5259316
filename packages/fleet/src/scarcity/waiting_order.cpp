// The waiting steps of a pool, in the order in which they start.

#include "waiting_order.h"

#include <algorithm>
#include <map>

#include "job_cost.h"
#include "jobs.h"
#include "occurrences/occurrences.h"
#include "waiting_work.h"

namespace cuminbridge {

namespace {

// A job that takes longer than this many times its objective is worth nothing
// to its caller.
constexpr int kHopelessFactor = 3;
// A job that waits longer than this many times its objective is overdue.
constexpr int kOverdueFactor = 10;

// A waiting step, and its job as far as it is ranked.
struct RankedStep
{
  WaitingStep waiting_;
  WaitingJob job_;
};

bool
RanksByCost(const FleetState& aState, const std::string& aPool)
{
  const auto* pool = FindPool(aState.config_, aPool);
  return aState.options_.ranksByCost_ && pool && pool->rejectsOverload_;
}

Millis
WaitedSince(const FleetState& aState, const JobEntry& aJob)
{
  return std::chrono::duration_cast<Millis>(aState.now_ - aJob.arrived_);
}

Lateness
LatenessOf(Millis aEnd, Millis aObjective)
{
  return aEnd <= aObjective                     ? Lateness::InTime
         : aEnd <= kHopelessFactor * aObjective ? Lateness::Late
                                                : Lateness::Hopeless;
}

RankedStep
DescribeStep(const FleetState& aState,
             JobEntry& aJob,
             int aNumber,
             std::size_t aStep,
             bool aRanksByCost)
{
  const auto& occurrence = aJob.occurrences_.at(aNumber);
  RankedStep described{ { &aJob, aNumber, aStep, {} }, {} };
  auto& key = described.waiting_.key_;
  key.priority_ = aJob.job_.priority_;
  key.isLongRunning_ = aJob.job_.steps_[aStep].isLongRunning_;
  key.isBeyondShare_ = aJob.isBeyondShare_;
  key.arrived_ = aJob.arrived_;
  if (key.isLongRunning_) {
    return described;
  }
  key.work_ = RemainingWork(aState, aJob, &occurrence);
  if (aJob.job_.repeats_ > 0 && !aRanksByCost) {
    return described;
  }
  // Each time of a repeating job counts as one that has just arrived.
  const auto waited =
    aJob.job_.repeats_ > 0 ? Millis(0) : WaitedSince(aState, aJob);
  const auto objective = CompletionObjective(aState, aJob);
  auto& job = described.job_;
  job.criticalPath_ = RemainingCriticalPath(aState, aJob, &occurrence);
  if (!aRanksByCost) {
    key.lateness_ = LatenessOf(waited + job.criticalPath_, objective);
    return described;
  }
  key.lateness_ =
    LatenessOf(waited + ShortestTime(job.criticalPath_), objective);
  job.wholeWork_ = RemainingWork(aState, aJob, nullptr);
  job.workLeft_ = key.work_;
  job.untilObjective_ = objective - waited;
  return described;
}

void
RankByCost(std::vector<RankedStep>& aSteps)
{
  const auto isRanked = [](const RankedStep& aStep) {
    const auto& key = aStep.waiting_.key_;
    return !key.isLongRunning_ && key.lateness_ == Lateness::InTime;
  };
  std::map<std::string, std::pair<QueueMeans, int>> sums; // by queue
  for (const auto& step : aSteps) {
    if (isRanked(step)) {
      auto& [sum, count] = sums[step.waiting_.job_->job_.queue_];
      sum.work_ += step.job_.wholeWork_;
      sum.criticalPath_ += static_cast<double>(step.job_.criticalPath_.count());
      ++count;
    }
  }
  for (auto& [queue, entry] : sums) {
    entry.first.work_ /= entry.second;
    entry.first.criticalPath_ /= entry.second;
  }
  for (auto& step : aSteps) {
    if (isRanked(step)) {
      step.waiting_.key_.rank_ =
        RankOf(step.job_, sums[step.waiting_.job_->job_.queue_].first);
    }
  }
}

bool
IsOverdue(const FleetState& aState, const JobEntry& aJob)
{
  return WaitedSince(aState, aJob) >
         kOverdueFactor * CompletionObjective(aState, aJob);
}

// Puts the oldest overdue job first, unless one is at work.
void
AdvanceOverdue(const FleetState& aState,
               const std::string& aPool,
               std::vector<WaitingStep>& aWaiting)
{
  const JobEntry* oldest = nullptr;
  for (const auto& step : aWaiting) {
    if (step.key_.lateness_ == Lateness::Hopeless &&
        (!oldest || step.job_->arrived_ < oldest->arrived_) &&
        IsOverdue(aState, *step.job_)) {
      oldest = step.job_;
    }
  }
  if (!oldest) {
    return;
  }
  for (const auto& id : aState.activeJobs_) {
    const auto& job = *aState.jobs_.at(id);
    const bool isAtWork =
      job.job_.repeats_ == 0 && !job.job_.steps_.front().isLongRunning_ &&
      PoolOf(aState, job) == aPool &&
      std::any_of(job.occurrences_.begin(),
                  job.occurrences_.end(),
                  [](const auto& aEntry) { return HasRuns(aEntry.second); });
    if (&job != oldest && isAtWork && IsOverdue(aState, job)) {
      return;
    }
  }
  for (auto& step : aWaiting) {
    if (step.job_ == oldest) {
      step.key_.isBeyondShare_ = false;
      step.key_.lateness_ = Lateness::InTime;
      step.key_.rank_ = 0;
    }
  }
}

} // namespace

std::vector<WaitingStep>
OrderWaitingSteps(const FleetState& aState, const std::string& aPool)
{
  const bool ranksByCost = RanksByCost(aState, aPool);
  std::vector<RankedStep> steps;
  ForEachWaitingStep(
    aState,
    [&](const JobEntry& aJob) { return PoolOf(aState, aJob) == aPool; },
    [&](JobEntry& aJob, int aNumber, std::size_t aStep) {
      steps.push_back(DescribeStep(aState, aJob, aNumber, aStep, ranksByCost));
    });
  if (ranksByCost) {
    RankByCost(steps);
  }
  std::vector<WaitingStep> waiting;
  waiting.reserve(steps.size());
  for (const auto& step : steps) {
    waiting.push_back(step.waiting_);
  }
  if (ranksByCost) {
    AdvanceOverdue(aState, aPool, waiting);
  }
  std::sort(waiting.begin(),
            waiting.end(),
            [](const WaitingStep& aLeft, const WaitingStep& aRight) {
              return IsScheduledBefore(aLeft.key_, aRight.key_);
            });
  return waiting;
}

} // namespace cuminbridge
