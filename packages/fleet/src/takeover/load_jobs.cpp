// What an owner makes of the records of the one before.

#include <algorithm>

#include "crashes.h"
#include "jobs.h"
#include "late_starts/late_starts.h"
#include "occurrences/occurrences.h"
#include "restarts/restarts.h"
#include "runs.h"
#include "vm_orders.h"

namespace cuminbridge {

namespace {

// Restores one item from the progress that an earlier owner stored.
void
RestoreItem(FleetState& aState,
            JobEntry& aJob,
            const ItemProgress& aFrom,
            WallTime aChanged)
{
  if (aFrom.occurrence_ < 0 || aFrom.occurrence_ >= OccurrencesOf(aJob.job_) ||
      aFrom.step_ < 0 ||
      static_cast<std::size_t>(aFrom.step_) >= aJob.job_.steps_.size()) {
    return;
  }
  auto& occurrence = FindOccurrence(aState, aJob, aFrom.occurrence_);
  auto& step = occurrence.steps_[static_cast<std::size_t>(aFrom.step_)];
  const auto& spec = aJob.job_.steps_[static_cast<std::size_t>(aFrom.step_)];
  if (aFrom.index_ < 0 || aFrom.index_ >= spec.count_) {
    return;
  }
  auto& item = step.items_[static_cast<std::size_t>(aFrom.index_)];
  if (item.phase_ == ItemPhase::Done) {
    return;
  }
  item.failedRuns_ = aFrom.failedRuns_;
  item.run_ = aFrom.run_;
  item.checkpoint_ = aFrom.checkpoint_;
  item.crashes_ = aFrom.crashes_;
  item.crashesStored_ = item.crashes_.size();
  aJob.hasCrashes_ = aJob.hasCrashes_ || !item.crashes_.empty();
  if (aFrom.isDone_) {
    MarkItemDone(aJob, occurrence, step, spec, item);
    CloseIfDone(aState, aJob, aFrom.occurrence_);
    return;
  }
  const ItemName name{
    aJob.job_.id_, aFrom.occurrence_, aFrom.step_, aFrom.index_
  };
  for (const auto& start : aFrom.lateStarts_) {
    RestoreLateStart(aState, name, start.target_, start.until_);
  }
  if (aFrom.target_.empty()) {
    return;
  }
  RestoreLateStart(aState, name, aFrom.target_, aChanged + kLateStartTime);
  auto& target = aState.targets_[aFrom.target_];
  target.report_.id_ = aFrom.target_;
  Run run;
  run.item_ = name;
  run.run_ = aFrom.run_;
  run.phase_ = RunPhase::Running;
  run.isUnconfirmed_ = true;
  run.sentAt_ = aState.now_;
  AddRun(aState, target, std::move(run));
}

void
RestoreJob(FleetState& aState, JobEntry& aJob, const Progress& aProgress)
{
  aJob.storedState_ = aProgress.state_;
  aJob.state_ = aProgress.state_;
  if (aJob.HasEnded()) {
    aJob.ended_ = aState.now_;
    return;
  }
  RestoreDoneOccurrences(aJob, aProgress);
  for (const auto& item : aProgress.items_) {
    RestoreItem(aState, aJob, item, aProgress.changed_);
  }
}

} // namespace

void
LoadJobs(FleetState& aState, const JobsLoaded& aLoaded)
{
  aState.hasJobs_ = true;
  aState.term_ = aLoaded.term_;
  aState.previousOwner_ = aLoaded.previousOwner_;
  aState.previousOwnerEndedAt_ = aState.now_;
  // Upper bound on the wait for earlier owners, whatever the clocks say.
  const auto longest =
    aState.options_.ownerAllowance_ + 2 * aState.options_.targetLease_;
  // Another machine has stored the bound, by its own time of day.
  const auto until = aLoaded.inheritedUntil_ + aState.options_.clockSkew_;
  aState.inheritedUntil_ =
    aState.now_ + std::clamp(until - aState.TimeOfDay(), Millis(0), longest);
  aState.loadedWaves_ = aLoaded.waves_;
  for (const auto& order : aLoaded.orders_) {
    const auto apart = OrderPause(aState.options_);
    const auto age =
      std::clamp(aState.TimeOfDay() - order.at_, Millis(0), apart);
    // A VM has a record for each of its orders, in no particular sequence.
    auto& from = aState.orderAllowedFrom_[order.vm_];
    from = std::max(from, aState.now_ + (apart - age));
  }
  for (const auto& peak : aLoaded.demandPeaks_) {
    aState.demandPeaks_[peak.pool_].lastPeak_ = peak;
  }
  for (auto& [id, target] : aState.targets_) {
    if (target.startUnixMs_ != 0) { // listed before the records were read
      target.hasRestarted_ = true;  // as far as can be told
      AllowForPreviousClock(aState,
                            target,
                            LatestClock(aState,
                                        target,
                                        ClockOf(aState, target),
                                        aState.options_.maxReportAge_));
    }
  }
  for (const auto& stored : aLoaded.targets_) {
    auto& target = aState.targets_[stored.id_];
    target.isInherited_ = true;
    ExpectStartsOfEarlierOwners(aState, target);
    target.wasOnVm_ = true;
    target.isRecorded_ = true;
    target.isStoredSilent_ = stored.isSilent_;
    target.wasSilentBefore_ = stored.isSilent_;
    if (!target.isListed_) {
      target.report_.id_ = stored.id_;
      target.report_.address_ = stored.address_;
      target.report_.pool_ = stored.pool_;
    }
  }
  auto jobs = aLoaded.jobs_;
  std::stable_sort(
    jobs.begin(), jobs.end(), [](const Job& aLeft, const Job& aRight) {
      return aLeft.accepted_ < aRight.accepted_;
    });
  for (const auto& job : jobs) {
    auto& entry = InsertJob(aState, job);
    entry.wasLoaded_ = true;
    entry.isGuest_ = aLoaded.guests_.count(job.id_) != 0;
    const auto progress = aLoaded.progress_.find(job.id_);
    if (progress != aLoaded.progress_.end()) {
      RestoreJob(aState, entry, progress->second);
    }
    if (entry.HasEnded()) {
      continue;
    }
    aState.activeJobs_.insert(job.id_);
    OpenOccurrences(aState, entry);
    EndIfDone(aState, entry);
  }
  // Only the end of older jobs is stored.
  for (const auto& [id, progress] : aLoaded.progress_) {
    if (aState.jobs_.count(id) == 0 && IsEnd(progress.state_)) {
      Job job;
      job.id_ = id;
      RestoreJob(aState, InsertJob(aState, job), progress);
    }
  }
  for (const auto& job : aLoaded.cancelled_) {
    CancelJob(aState, job);
  }
  for (const auto& job : jobs) {
    ApplyEarlyCancellation(aState, job.id_);
  }
  aState.Log("jobs_loaded",
             "",
             "",
             "",
             std::to_string(aLoaded.jobs_.size()) +
               " jobs loaded from the store, of which " +
               std::to_string(aState.activeJobs_.size()) + " have not ended");
}

} // namespace cuminbridge
