// Jobs and their work items, from arrival to end.

#include "jobs.h"

#include <algorithm>
#include <cmath>

#include "crashes.h"
#include "late_starts/late_starts.h"
#include "occurrences/occurrences.h"
#include "restarts/restarts.h"
#include "runs.h"
#include "targets.h"
#include "vm_orders.h"

namespace cuminbridge {

namespace {

// Adds a new job to the offered load of its pool. The load decays over half of
// the job's critical path: long enough to show the beginning of a demand peak,
// and short enough that one job alone does not look like a peak.
void
RecordOfferedLoad(FleetState& aState, const JobEntry& aJob)
{
  if (aJob.job_.repeats_ > 0 || aJob.job_.steps_.front().isLongRunning_) {
    return;
  }
  constexpr Millis kMinDecayTime(400);
  const auto decayTime =
    std::max(kMinDecayTime, RemainingCriticalPath(aState, aJob, nullptr) / 2);
  aState.offeredLoads_[PoolOf(aState, aJob)].Add(
    RemainingWork(aState, aJob, nullptr), decayTime, aState.now_);
}

// Assigns a new job the runs that targets listed before the job arrived.
void
AdoptUnknownRuns(FleetState& aState, const std::string& aJob)
{
  for (auto& [id, target] : aState.targets_) {
    std::vector<Run> adopted;
    std::erase_if(target.runs_, [&](const Run& aRun) {
      const bool isOfJob = aRun.isJobUnknown_ && aRun.item_.job_ == aJob;
      if (isOfJob) {
        adopted.push_back(aRun);
      }
      return isOfJob;
    });
    for (auto& run : adopted) {
      MarkBegun(aState, aState.jobs_[aJob].get());
      run.isJobUnknown_ = false;
      AddRun(aState, target, std::move(run));
    }
  }
}

// Counts a job against the share of its client account.
void
ApplyShare(FleetState& aState, JobEntry& aJob)
{
  const auto* account = FindAccount(aState.config_, aJob.job_.account_);
  if (!account || aJob.job_.repeats_ > 0) {
    return;
  }
  aJob.isBeyondShare_ =
    !ConsumeShare(aState.shares_[account->name_],
                  account->weight_ / std::max(1, aState.options_.cells_),
                  aJob.job_.accepted_);
}

} // namespace

void
ApplyEarlyCancellation(FleetState& aState, const std::string& aJob)
{
  if (aState.earlyCancellations_.erase(aJob) != 0) {
    CancelJob(aState, aJob);
  }
}

JobEntry&
InsertJob(FleetState& aState, const Job& aJob)
{
  auto entry = std::make_unique<JobEntry>();
  entry->job_ = aJob;
  // A job that an earlier owner accepted has waited since then. That wait comes
  // from times of day, which may be wrong, so it is bounded.
  constexpr Millis kLongestWait(3600000);
  entry->arrived_ =
    aState.now_ -
    std::clamp(aState.TimeOfDay() - aJob.accepted_, Millis(0), kLongestWait);
  ApplyShare(aState, *entry);
  auto& slot = aState.jobs_[aJob.id_];
  slot = std::move(entry);
  return *slot;
}

ItemRef
FindItem(FleetState& aState, const ItemName& aName)
{
  ItemRef ref;
  const auto job = aState.jobs_.find(aName.job_);
  if (job == aState.jobs_.end()) {
    return ref;
  }
  auto& entry = *job->second;
  const auto step = static_cast<std::size_t>(aName.step_);
  if (aName.occurrence_ >= OccurrencesOf(entry.job_) ||
      step >= entry.job_.steps_.size() ||
      aName.index_ >= entry.job_.steps_[step].count_) {
    return ref;
  }
  auto& occurrence = FindOccurrence(aState, entry, aName.occurrence_);
  ref.job_ = &entry;
  ref.spec_ = &entry.job_.steps_[step];
  ref.step_ = &occurrence.steps_[step];
  ref.item_ = &ref.step_->items_[static_cast<std::size_t>(aName.index_)];
  return ref;
}

Millis
ExpectedRunTime(const FleetState& aState,
                const JobEntry& aJob,
                const Step& aStep)
{
  const auto learned = aState.runTimes_.find(aJob.job_.queue_);
  return learned == aState.runTimes_.end()
           ? aStep.estimate_
           : learned->second.Expect(aStep.estimate_);
}

Millis
RemainingCriticalPath(const FleetState& aState,
                      const JobEntry& aJob,
                      const Occurrence* aOccurrence)
{
  const auto& steps = aJob.job_.steps_;
  std::vector<Millis> ends(steps.size(), Millis(0));
  Millis longest(0);
  for (std::size_t step = 0; step < steps.size(); ++step) {
    Millis begin(0);
    for (const int before : steps[step].after_) {
      begin = std::max(begin, ends[static_cast<std::size_t>(before)]);
    }
    const bool isDone =
      aOccurrence && aOccurrence->steps_[step].done_ == steps[step].count_;
    ends[step] =
      begin + (isDone ? Millis(0) : ExpectedRunTime(aState, aJob, steps[step]));
    longest = std::max(longest, ends[step]);
  }
  return longest;
}

double
RemainingWork(const FleetState& aState,
              const JobEntry& aJob,
              const Occurrence* aOccurrence)
{
  constexpr double kThousandths = 1000;
  double work = 0;
  const auto& steps = aJob.job_.steps_;
  for (std::size_t step = 0; step < steps.size(); ++step) {
    const int done = aOccurrence ? aOccurrence->steps_[step].done_ : 0;
    work +=
      static_cast<double>(steps[step].count_ - done) *
      static_cast<double>(steps[step].needs_.cpu_) / kThousandths *
      static_cast<double>(ExpectedRunTime(aState, aJob, steps[step]).count());
  }
  return work;
}

Millis
CompletionObjective(const FleetState& aState, const JobEntry& aJob)
{
  const auto criticalPath = RemainingCriticalPath(aState, aJob, nullptr);
  return std::chrono::duration_cast<Millis>(
           std::chrono::duration<double, std::milli>(
             aJob.job_.stretch_ * static_cast<double>(criticalPath.count()))) +
         aJob.job_.allowance_;
}

double
OfferedLoad::At(Instant aNow, Millis aDecayTime) const
{
  const auto age = static_cast<double>((aNow - updatedAt_).count());
  return cores_ * std::exp(-age / static_cast<double>(aDecayTime.count()));
}

std::int64_t
OfferedCpu(const FleetState& aState, const std::string& aPool)
{
  constexpr double kThousandths = 1000;
  const auto found = aState.offeredLoads_.find(aPool);
  return found == aState.offeredLoads_.end()
           ? 0
           : static_cast<std::int64_t>(
               kThousandths *
               found->second.At(aState.now_, found->second.decayTime_));
}

void
OfferedLoad::Add(double aCoreMillis, Millis aDecayTime, Instant aNow)
{
  decayTime_ = aDecayTime;
  cores_ = At(aNow, aDecayTime) +
           aCoreMillis / static_cast<double>(aDecayTime.count());
  updatedAt_ = aNow;
}

const std::string&
PoolOf(const FleetState& aState, const JobEntry& aJob)
{
  const auto* queue = FindQueueByName(aState.config_, aJob.job_.queue_);
  return queue ? queue->pool_ : aJob.job_.pool_;
}

void
AddJob(FleetState& aState, const Job& aJob, bool aIsGuest)
{
  if (aState.jobs_.count(aJob.id_) != 0) {
    return;
  }
  auto& entry = InsertJob(aState, aJob);
  entry.isGuest_ = aIsGuest;
  aState.activeJobs_.insert(aJob.id_);
  OpenOccurrences(aState, entry);
  RecordOfferedLoad(aState, entry);
  AdoptUnknownRuns(aState, aJob.id_);
  ApplyEarlyCancellation(aState, aJob.id_);
  EndIfDone(aState, entry);
  aState.dirtyPools_.insert(PoolOf(aState, entry));
}

void
CancelJob(FleetState& aState, const std::string& aJob)
{
  const auto found = aState.jobs_.find(aJob);
  if (found == aState.jobs_.end()) {
    aState.earlyCancellations_[aJob] = aState.now_;
  } else if (!found->second->HasEnded()) {
    EndJob(aState, *found->second, JobState::Cancelled);
  }
}

void
ForgetEarlyCancellations(FleetState& aState)
{
  // By then the records or the watch of the store have shown its job.
  constexpr Millis kLongestWait(10000);
  std::erase_if(aState.earlyCancellations_, [&](const auto& aEntry) {
    return aState.now_ - aEntry.second > kLongestWait;
  });
}

void
MarkDirty(FleetState& aState, JobEntry& aJob)
{
  aJob.isDirty_ = true;
  aState.dirtyJobs_.insert(aJob.job_.id_);
}

void
MarkBegun(FleetState& aState, JobEntry* aJob)
{
  if (aJob && aJob->state_ == JobState::Queued) {
    aJob->state_ = JobState::Serving;
    MarkDirty(aState, *aJob);
  }
}

void
EndJob(FleetState& aState, JobEntry& aJob, JobState aEndState)
{
  aJob.state_ = aEndState;
  aJob.ended_ = aState.now_;
  aState.activeJobs_.erase(aJob.job_.id_);
  aState.endedOpenJobs_.insert(aJob.job_.id_);
  aState.isUrgent_ = true;
  ++aState.counts_.jobsEnded_;
  MarkDirty(aState, aJob);
  StopJob(aState, aJob, "job ended");
  static const char* const kStateNames[] = {
    "queued", "serving", "completed", "failed", "cancelled"
  };
  aState.Log("job_ended",
             aJob.job_.id_,
             "",
             "",
             std::string(kStateNames[static_cast<int>(aEndState)]) + " after " +
               std::to_string((aState.now_ - aJob.arrived_).count()) + " ms");
}

void
EndIfDone(FleetState& aState, JobEntry& aJob)
{
  if (!aJob.HasEnded() && aJob.occurrencesDone_ == OccurrencesOf(aJob.job_)) {
    EndJob(aState, aJob, JobState::Completed);
  }
}

void
FinishItem(FleetState& aState, const ItemName& aName, ItemRef aRef)
{
  auto& entry = *aRef.job_;
  if (entry.HasEnded() || aRef.item_->phase_ == ItemPhase::Done) {
    return;
  }
  auto& occurrence = FindOccurrence(aState, entry, aName.occurrence_);
  aRef.step_->hasPassedTrial_ =
    aRef.step_->hasPassedTrial_ || IsSuspect(*aRef.item_);
  MarkItemDone(entry, occurrence, *aRef.step_, *aRef.spec_, *aRef.item_);
  if (aRef.spec_->isGang_) {
    // The success of one member completes the whole gang.
    for (auto& item : aRef.step_->items_) {
      if (item.phase_ != ItemPhase::Done) {
        MarkItemDone(entry, occurrence, *aRef.step_, *aRef.spec_, item);
      }
    }
  }
  CloseIfDone(aState, entry, aName.occurrence_);
  ++aState.counts_.done_;
  MarkDirty(aState, entry);
  aState.dirtyPools_.insert(PoolOf(aState, entry));
  EndIfDone(aState, entry);
}

// Records a failed run of an item unless it is recorded already. Returns the
// number of failed runs of the item, or of its gang.
int
CountFailure(const ItemRef& aRef, std::int64_t aRun)
{
  auto& runs = aRef.item_->failedRuns_;
  if (std::find(runs.begin(), runs.end(), aRun) == runs.end()) {
    runs.push_back(aRun);
  }
  if (!aRef.spec_->isGang_) {
    return static_cast<int>(runs.size());
  }
  std::set<std::int64_t> gangRuns;
  for (const auto& item : aRef.step_->items_) {
    gangRuns.insert(item.failedRuns_.begin(), item.failedRuns_.end());
  }
  return static_cast<int>(gangRuns.size());
}

void
FailItem(FleetState& aState,
         const ItemName& aName,
         ItemRef aRef,
         std::int64_t aRun)
{
  auto& entry = *aRef.job_;
  ++aState.counts_.failed_;
  if (entry.HasEnded() || aRef.item_->phase_ == ItemPhase::Done) {
    return;
  }
  MarkDirty(aState, entry);
  if (aRef.spec_->isLongRunning_) {
    return; // starts again however often it fails
  }
  const int failures = CountFailure(aRef, aRun);
  if (failures >= entry.job_.attempts_) {
    aState.Log("attempts_used_up",
               aName.job_,
               FormatItem(aName),
               aRef.item_->avoidedTarget_,
               std::to_string(failures) + " failed runs, the limit is " +
                 std::to_string(entry.job_.attempts_));
    EndJob(aState, entry, JobState::Failed);
  }
}

} // namespace cuminbridge
