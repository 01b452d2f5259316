// Writes changes to the store and deletes old records.

#include "storing.h"

#include "jobs.h"
#include "occurrences/occurrences.h"
#include "vm_orders.h"

namespace cuminbridge {

namespace {

// The next owner waits for these as this one does.
void
AddLateStarts(const FleetState& aState,
              ItemProgress& aRow,
              const std::string& aJob)
{
  if (aState.lateStarts_.empty()) {
    return;
  }
  const auto found = aState.lateStarts_.find(
    { aJob, aRow.occurrence_, aRow.step_, aRow.index_ });
  if (found == aState.lateStarts_.end()) {
    return;
  }
  for (const auto& start : found->second) {
    aRow.lateStarts_.push_back(
      { start.target_, aState.TimeOfDay() + (start.until_ - aState.now_) });
  }
}

Progress
ProgressOf(const FleetState& aState, const JobEntry& aJob)
{
  Progress progress;
  progress.state_ = aJob.state_;
  progress.changed_ = aState.TimeOfDay();
  if (aJob.HasEnded()) {
    return progress;
  }
  for (const auto& range : aJob.closedOccurrences_) {
    progress.doneOccurrences_.emplace_back(boost::icl::first(range),
                                           boost::icl::last(range));
  }
  for (const auto& [number, occurrence] : aJob.occurrences_) {
    for (std::size_t step = 0; step < occurrence.steps_.size(); ++step) {
      const auto& items = occurrence.steps_[step].items_;
      for (std::size_t index = 0; index < items.size(); ++index) {
        const auto& item = items[index];
        if (item.phase_ == ItemPhase::Waiting && item.run_ == 0) {
          continue;
        }
        ItemProgress row;
        row.occurrence_ = number;
        row.step_ = static_cast<int>(step);
        row.index_ = static_cast<int>(index);
        row.isDone_ = item.phase_ == ItemPhase::Done;
        row.failedRuns_ = item.failedRuns_;
        row.run_ = item.run_;
        row.checkpoint_ = item.checkpoint_;
        row.crashes_ = item.crashes_;
        if (item.phase_ == ItemPhase::Assigned) {
          row.target_ = item.target_;
        }
        AddLateStarts(aState, row, aJob.job_.id_);
        progress.items_.push_back(std::move(row));
      }
    }
  }
  return progress;
}

// Calls aVisit(item) for each item of the job, if any of them has crashes.
template<typename Visit>
void
ForEachCrashedItem(JobEntry& aJob, Visit aVisit)
{
  if (!aJob.hasCrashes_) {
    return;
  }
  for (auto& [number, occurrence] : aJob.occurrences_) {
    for (auto& step : occurrence.steps_) {
      for (auto& item : step.items_) {
        aVisit(item);
      }
    }
  }
}

} // namespace

void
StoreChanges(FleetState& aState)
{
  const bool isIdle = aState.dirtyJobs_.empty() &&
                      aState.unrecordedTargets_.empty() &&
                      aState.removedTargets_.empty() &&
                      !aState.mustStoreOrders_ && !aState.mustStoreDemandPeaks_;
  if (!aState.hasJobs_ || aState.batch_ != 0 || isIdle ||
      (aState.now_ < aState.nextStore_ && !aState.isUrgent_)) {
    return;
  }
  StoreProgress effect;
  aState.batch_ = effect.batch_ = ++aState.lastBatch_;
  aState.batchStates_.clear();
  for (const auto& id : aState.dirtyJobs_) {
    auto& job = *aState.jobs_[id];
    job.isDirty_ = false;
    aState.batchStates_.emplace_back(id, job.state_);
    effect.jobs_.emplace_back(id, ProgressOf(aState, job));
    ForEachCrashedItem(job, [](ItemState& aItem) {
      aItem.crashesInBatch_ = aItem.crashes_.size();
    });
  }
  for (auto& [id, target] : aState.targets_) {
    target.endsInBatch_ = target.endsApplied_;
  }
  aState.batchTargets_.clear();
  for (const auto& id : aState.unrecordedTargets_) {
    const auto& report = aState.targets_[id].report_;
    effect.newTargets_.emplace_back(
      id, report.address_, report.pool_, aState.targets_[id].isStoredSilent_);
    aState.batchTargets_.push_back(id);
    aState.removedTargets_.erase(id);
  }
  aState.unrecordedTargets_.clear();
  effect.removedTargets_.assign(aState.removedTargets_.begin(),
                                aState.removedTargets_.end());
  aState.removedTargets_.clear();
  AddOrdersToBatch(aState, effect);
  aState.dirtyJobs_.clear();
  aState.isUrgent_ = false;
  aState.nextStore_ = aState.now_ + aState.options_.storeInterval_;
  aState.Emit(std::move(effect));
}

void
HandleProgressStored(FleetState& aState, std::uint64_t aBatch)
{
  if (aBatch != aState.batch_) {
    return;
  }
  aState.batch_ = 0;
  for (const auto& [id, state] : aState.batchStates_) {
    const auto job = aState.jobs_.find(id);
    if (job != aState.jobs_.end()) {
      job->second->storedState_ = state;
      ForEachCrashedItem(*job->second, [](ItemState& aItem) {
        aItem.crashesStored_ = aItem.crashesInBatch_;
      });
      if (job->second->hasCrashes_) {
        aState.dirtyPools_.insert(PoolOf(aState, *job->second));
      }
    }
  }
  for (auto& [id, target] : aState.targets_) {
    target.endsStored_ = std::max(target.endsStored_, target.endsInBatch_);
  }
  SendStoredOrders(aState);
  for (const auto& id : aState.batchTargets_) {
    const auto target = aState.targets_.find(id);
    // Changed again since the batch was made: the next batch stores it.
    const bool isChanged = aState.unrecordedTargets_.count(id) != 0;
    if (target != aState.targets_.end() && !target->second.isRecorded_ &&
        !isChanged) {
      target->second.isRecorded_ = true;
      target->second.isRecording_ = false;
      aState.dirtyPools_.insert(target->second.report_.pool_);
    }
  }
}

void
DeleteExpiredJobs(FleetState& aState)
{
  constexpr std::size_t kMaxJobs = 10; // in one write of three records each
  DeleteJobRecords effect;
  for (const auto& [id, job] : aState.jobs_) {
    if (job->HasEnded() && !job->isDirty_ && job->storedState_ == job->state_ &&
        aState.now_ - job->ended_ > aState.options_.keepEnded_) {
      effect.jobs_.push_back(id);
      if (effect.jobs_.size() == kMaxJobs) {
        break;
      }
    }
  }
  for (const auto& id : effect.jobs_) {
    DropOccurrences(aState, *aState.jobs_[id]);
    aState.jobs_.erase(id);
  }
  if (!effect.jobs_.empty()) {
    aState.Emit(std::move(effect));
  }
}

} // namespace cuminbridge
