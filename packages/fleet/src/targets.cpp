// Contact with targets: lists, renewals and expired leases.

#include "targets.h"

#include <algorithm>

#include "jobs.h"
#include "relocate.h"
#include "runs.h"

namespace cuminbridge {

namespace {

constexpr double kSlowestClock = 1.02;    // a target's clock may be 2% slow
constexpr Millis kExpirySlack(150);       // a target may notice an expiry late
constexpr Millis kUnresponsiveRetry(300); // between calls to such a target
// Long poll while a run is stopping. A run takes at most 200 ms to stop.
constexpr Millis kStopWait(250);
// A target answers a renewal at once while it lists ends that the renewal does
// not acknowledge. The next renewal therefore waits until those ends are
// stored, but no longer than this.
constexpr Millis kStoreWait(400);
// A run whose job has not arrived after this time belongs to no job. Jobs
// arrive within milliseconds, and within 1.5 s if only the watch on the store
// reports them.
constexpr Millis kUnknownRunGrace(2500);
constexpr std::size_t kMaxListedEnds = 500; // in one answer of a target

// Has the target stored anew. It gets no work before that is done.
void
RecordTarget(FleetState& aState, Target& aTarget, const std::string& aId)
{
  aTarget.isRecorded_ = false;
  aTarget.isRecording_ = true;
  aState.unrecordedTargets_.insert(aId);
}

// Whether all leases on a target have surely expired.
bool
HaveLeasesExpired(const FleetState& aState, const Target& aTarget)
{
  const bool hasUnconfirmed = [&] {
    for (const auto& run : aTarget.runs_) {
      if (run.isUnconfirmed_) {
        return true;
      }
    }
    return false;
  }();
  if (hasUnconfirmed && aState.now_ < InheritedWorkExpiry(aState)) {
    return false;
  }
  return ClockOf(aState, aTarget) >= aTarget.leaseUntil_ + kExpirySlack.count();
}

// Another process has started at the target and knows no earlier runs.
void
BeginIncarnation(FleetState& aState,
                 Target& aTarget,
                 std::int64_t aStartUnixMs,
                 std::int64_t aClockMs)
{
  if (aTarget.startUnixMs_ != 0) {
    aState.Log("target_restarted",
               "",
               "",
               aTarget.report_.id_,
               std::string("process started at ") +
                 std::to_string(aStartUnixMs) + ", the one before at " +
                 std::to_string(aTarget.startUnixMs_) + " (Unix ms)");
  }
  const auto lastDeadline = aTarget.leaseUntil_;
  aTarget.startUnixMs_ = aStartUnixMs;
  aTarget.endsApplied_ = 0;
  aTarget.endsStored_ = 0;
  aTarget.endsInBatch_ = 0;
  aTarget.endsAcknowledged_ = 0;
  aTarget.clockMs_ = 0;
  UpdateClock(aState, aTarget, aClockMs);
  // A start or a renewal for the previous process may have reached this one,
  // with a deadline on the previous clock. The target shortens a deadline that
  // lies further ahead than longestLease_.
  aTarget.leaseUntil_ =
    std::min(lastDeadline, aClockMs + aState.options_.longestLease_.count());
  aTarget.contact_ = Contact::Unreconciled;
  aTarget.nextRenewal_ = aState.now_;
  aTarget.hasExited_ = false;
  aTarget.isUnfenced_ = !aState.mayOrderVms_;
  aTarget.isCordoned_ = false;
  aTarget.leavingUntil_ = aState.now_;
  aTarget.idleSince_ = aState.now_;
  aTarget.consecutiveFailures_ = 0;
  aTarget.slowUntil_ = aState.now_;
  for (auto& run : aTarget.runs_) {
    // A confirmed run is lost unless the new process lists it. A start without
    // an answer may still reach the new process.
    run.isUnconfirmed_ = run.isUnconfirmed_ || run.confirmedAt_.has_value();
  }
}

// Whether a run that this owner has no record of is the current run of its
// item: an earlier owner started it without storing that, and its number is
// above all that are known of the item. An older unconfirmed run of the item
// has ended then, and is released.
bool
SupersedesUnconfirmed(FleetState& aState,
                      const ItemRef& aRef,
                      std::int64_t aRun)
{
  if (!aRef.item_ || aRef.job_->HasEnded() ||
      aRef.item_->phase_ == ItemPhase::Done || aRun <= aRef.item_->run_) {
    return false;
  }
  if (aRef.item_->phase_ == ItemPhase::Waiting) {
    return true;
  }
  auto& target = aState.targets_[aRef.item_->target_];
  for (const auto& run : target.runs_) {
    if (run.run_ == aRef.item_->run_ && run.isUnconfirmed_ &&
        FindItem(aState, run.item_).item_ == aRef.item_) {
      const Run unconfirmed = run;
      ReleaseRun(aState, target, unconfirmed.item_, unconfirmed.run_);
      return true;
    }
  }
  return false;
}

// Applies one entry of a target's list of ended runs.
void
ApplyEnd(FleetState& aState, Target& aTarget, const EndedRun& aEnd)
{
  auto* run = FindRun(aTarget, aEnd.item_, aEnd.run_);
  const auto ref = FindItem(aState, aEnd.item_);
  bool isCurrent = false;
  if (run) {
    // Runs of earlier owners teach nothing: their start time is not known.
    if (aEnd.kind_ == EndKind::Done && ref.item_ &&
        run->isStartedByThisOwner_) {
      aState.runTimes_[ref.job_->job_.queue_].Learn(ref.spec_->estimate_,
                                                    aState.now_ - run->sentAt_);
    }
    isCurrent = ref.item_ && ref.item_->phase_ == ItemPhase::Assigned &&
                ref.item_->run_ == aEnd.run_ &&
                ref.item_->target_ == aTarget.report_.id_;
    if (!aEnd.checkpoint_.empty()) {
      run->checkpoint_ = aEnd.checkpoint_;
    }
    ReleaseRun(aState, aTarget, aEnd.item_, aEnd.run_);
  } else {
    isCurrent = SupersedesUnconfirmed(aState, ref, aEnd.run_);
    if (isCurrent && !aEnd.checkpoint_.empty()) {
      ref.item_->checkpoint_ = aEnd.checkpoint_;
    }
  }
  if (!ref.item_) {
    return;
  }
  ref.item_->run_ = std::max(ref.item_->run_, aEnd.run_);
  if (aEnd.kind_ == EndKind::Done) {
    aTarget.consecutiveFailures_ = 0;
    if (isCurrent) {
      FinishItem(aState, aEnd.item_, ref);
    }
    return;
  }
  if (aEnd.kind_ == EndKind::Failed) {
    ++aTarget.consecutiveFailures_;
    ref.item_->avoidedTarget_ = aTarget.report_.id_;
    FailItem(aState, aEnd.item_, ref, aEnd.run_);
  }
  static const char* const kEndNames[] = {
    "done",
    "failed",
    "stopped",
    "its lease expired",
    "another member of its gang ended",
    "the other members of its gang did not start"
  };
  aState.Log("run_ended",
             aEnd.item_.job_,
             FormatItem(aEnd.item_),
             aTarget.report_.id_,
             kEndNames[static_cast<int>(aEnd.kind_)]);
}

// Adopts or stops a run that the target lists and this owner has no record of.
void
HandleUnrecordedRun(FleetState& aState,
                    Target& aTarget,
                    const RunningRun& aSeen)
{
  const auto ref = FindItem(aState, aSeen.item_);
  const bool isWanted = SupersedesUnconfirmed(aState, ref, aSeen.run_);
  Run run;
  run.item_ = aSeen.item_;
  run.run_ = aSeen.run_;
  run.phase_ = RunPhase::Running;
  run.sentAt_ = aState.now_;
  run.confirmedAt_ = aState.now_;
  run.percent_ = aSeen.percent_;
  run.checkpoint_ = aSeen.checkpoint_;
  run.usage_ = aSeen.usage_;
  run.progressBaseAt_ = aState.now_;
  run.basePercent_ = aSeen.percent_;
  if (isWanted) {
    AddRun(aState, aTarget, std::move(run));
    aState.Log("run_adopted",
               aSeen.item_.job_,
               FormatItem(aSeen.item_),
               aTarget.report_.id_,
               "run " + std::to_string(aSeen.run_));
    return;
  }
  const bool isUnknown = !ref.job_;
  auto& added = AddRun(aState, aTarget, std::move(run));
  if (isUnknown) {
    added.isJobUnknown_ = true; // its job may still arrive
  } else {
    Stop(aState, aTarget, added, "not the current run of its work item");
  }
}

// Takes in what the target lists about a recorded run.
void
UpdateListedRun(Target& aTarget,
                const RunningRun& aSeen,
                Run& aRun,
                Instant aNow)
{
  aRun.percent_ = aSeen.percent_;
  aRun.usage_ = aSeen.usage_;
  aRun.isUnconfirmed_ = false;
  if (!aRun.progressBaseAt_) {
    aRun.progressBaseAt_ = aNow;
    aRun.basePercent_ = aSeen.percent_;
  }
  if (!aSeen.checkpoint_.empty()) {
    aRun.checkpoint_ = aSeen.checkpoint_;
  }
  if (!aRun.confirmedAt_) {
    aRun.confirmedAt_ = aNow;
  }
  if (aRun.phase_ == RunPhase::Starting) {
    aRun.phase_ = RunPhase::Running;
  }
  if (aTarget.consecutiveFailures_ > 0 && aRun.isLongRunning_ &&
      aRun.percent_ == 100) {
    aTarget.consecutiveFailures_ = 0;
  }
}

// Whether the answer lists the run as ended, behind an end of an unknown job.
// The target will list it again.
bool
HasUnappliedEnd(const Target& aTarget,
                const RenewalAnswered& aAnswer,
                const Run& aRun)
{
  return std::any_of(
    aAnswer.ended_.begin(), aAnswer.ended_.end(), [&](const EndedRun& aEnd) {
      return aEnd.number_ > aTarget.endsApplied_ && aEnd.run_ == aRun.run_ &&
             aEnd.item_ == aRun.item_;
    });
}

// Releases runs that the target would have listed if they were still there.
void
ReleaseAbsent(FleetState& aState,
              Target& aTarget,
              const RenewalAnswered& aAnswer)
{
  std::vector<std::pair<ItemName, std::int64_t>> absent;
  for (const auto& run : aTarget.runs_) {
    const bool isListed = [&] {
      for (const auto& seen : aAnswer.running_) {
        if (seen.run_ == run.run_ && seen.item_ == run.item_) {
          return true;
        }
      }
      return false;
    }();
    const bool hasNoNewerConfirmation =
      !run.confirmedAt_ || *run.confirmedAt_ < aAnswer.sentAt_;
    const bool mustBeListed =
      (run.isUnconfirmed_ && hasNoNewerConfirmation) ||
      (run.confirmedAt_ && *run.confirmedAt_ < aAnswer.sentAt_) ||
      (run.stoppedAt_ && *run.stoppedAt_ < aAnswer.sentAt_);
    if (!isListed && mustBeListed && !HasUnappliedEnd(aTarget, aAnswer, run)) {
      absent.emplace_back(run.item_, run.run_);
    }
  }
  for (const auto& [item, run] : absent) {
    aState.Log("run_lost",
               item.job_,
               FormatItem(item),
               aTarget.report_.id_,
               "its target no longer lists it");
    ++aState.counts_.lost_;
    ReleaseRun(aState, aTarget, item, run);
  }
}

// An earlier owner that did not know of a restart may have sent deadlines on
// the clock of the previous process. For as long as such a lease may last, no
// lease on a young process counts as expired.
void
AllowForPreviousClock(const FleetState& aState,
                      Target& aTarget,
                      std::int64_t aClockMs)
{
  const auto& options = aState.options_;
  const WallTime born{ Millis(aTarget.startUnixMs_) };
  const bool isYoung =
    aState.TimeOfDay() - born < options.ownerAllowance_ + options.longestLease_;
  if (aState.term_ > 1 && !aTarget.hasListedRuns_ && isYoung) {
    aTarget.leaseUntil_ =
      std::max(aTarget.leaseUntil_, aClockMs + options.longestLease_.count());
  }
}

// Takes in the lists of running and ended runs of a target.
void
HandleRunLists(FleetState& aState,
               Target& aTarget,
               const RenewalAnswered& aAnswer)
{
  if (aTarget.startUnixMs_ != aAnswer.startUnixMs_) {
    BeginIncarnation(aState, aTarget, aAnswer.startUnixMs_, aAnswer.clockMs_);
  }
  UpdateClock(aState, aTarget, aAnswer.clockMs_);
  AllowForPreviousClock(aState, aTarget, aAnswer.clockMs_);
  aTarget.hasListedRuns_ = true;
  aTarget.listedAt_ = aAnswer.sentAt_;
  aTarget.wasSilentBefore_ = false;
  if (aTarget.isStoredSilent_) {
    aTarget.isStoredSilent_ = false;
    RecordTarget(aState, aTarget, aTarget.report_.id_);
  }
  if (aTarget.contact_ != Contact::Good) {
    if (aTarget.contact_ == Contact::Unresponsive) {
      aState.Log(
        "target_back", "", "", aTarget.report_.id_, "the target answers again");
    }
    aTarget.contact_ = Contact::Good;
    aState.dirtyPools_.insert(aTarget.report_.pool_);
  }
  for (const auto& end : aAnswer.ended_) {
    // The job may still arrive, and the target will list this end again.
    if (aState.jobs_.count(end.item_.job_) == 0 &&
        aState.now_ - aState.began_ < kUnknownRunGrace) {
      break;
    }
    if (end.number_ > aTarget.endsApplied_) {
      aTarget.endsApplied_ = end.number_;
      ApplyEnd(aState, aTarget, end);
    }
  }
  for (const auto& seen : aAnswer.running_) {
    auto* run = FindRun(aTarget, seen.item_, seen.run_);
    if (run) {
      UpdateListedRun(aTarget, seen, *run, aState.now_);
    } else {
      HandleUnrecordedRun(aState, aTarget, seen);
    }
  }
  if (aAnswer.ended_.size() < kMaxListedEnds) {
    ReleaseAbsent(aState, aTarget, aAnswer);
  }
}

bool
NeedsRenewal(const Target& aTarget)
{
  return !aTarget.runs_.empty() ||
         ((aTarget.isListed_ || aTarget.isInherited_) &&
          aTarget.contact_ != Contact::Good) ||
         aTarget.endsStored_ > aTarget.endsAcknowledged_;
}

// Whether the target has accepted a stop and the run has yet to end.
bool
HasStopped(const Target& aTarget)
{
  for (const auto& run : aTarget.runs_) {
    if (run.phase_ == RunPhase::Stopping && run.stoppedAt_) {
      return true;
    }
  }
  return false;
}

// Whether fillers run there beside work that serves requests.
bool
NeedsPacing(const Target& aTarget)
{
  bool hasServing = false;
  bool hasFiller = false;
  for (const auto& run : aTarget.runs_) {
    hasServing = hasServing || run.targetLatency_.count() > 0;
    hasFiller = hasFiller || run.isFiller_;
  }
  return hasServing && hasFiller;
}

// Whether a long-running item there is not at work yet. Others of its step may
// have to wait for it.
bool
HasStartingItem(const Target& aTarget)
{
  constexpr int kAtWork = 100; // percent
  return std::any_of(
    aTarget.runs_.begin(), aTarget.runs_.end(), [](const Run& aRun) {
      return aRun.isLongRunning_ && aRun.percent_ < kAtWork;
    });
}

// Whether a run there ends by itself.
bool
HasBatchRuns(const Target& aTarget)
{
  return std::any_of(aTarget.runs_.begin(),
                     aTarget.runs_.end(),
                     [](const Run& aRun) { return !aRun.isLongRunning_; });
}

void
SendRenewal(FleetState& aState, Target& aTarget)
{
  RenewTarget effect;
  effect.target_ = aTarget.report_.id_;
  effect.address_ = aTarget.report_.address_;
  effect.acknowledgedEnds_ =
    aTarget.contact_ == Contact::Good ? aTarget.endsStored_ : 0;
  aTarget.endsAcknowledged_ =
    std::max(aTarget.endsAcknowledged_, effect.acknowledgedEnds_);
  if (aTarget.contact_ == Contact::Good && !aTarget.runs_.empty()) {
    effect.wait_ = HasStopped(aTarget) || HasStartingItem(aTarget) ? kStopWait
                   : NeedsPacing(aTarget)  ? aState.options_.pacedRenewalWait_
                   : HasBatchRuns(aTarget) ? aState.options_.batchRenewalWait_
                                           : aState.options_.renewalWait_;
  }
  // An unresponsive target is asked without renewing its leases. A renewal that
  // gets no answer would delay the time when its runs have surely expired.
  if (aTarget.clockMs_ != 0 && aTarget.contact_ != Contact::Unresponsive) {
    effect.leaseUntil_ =
      ExtendLease(aState, aTarget, aState.options_.targetLease_);
  }
  effect.limit_ = aTarget.contact_ == Contact::Good
                    ? effect.wait_ + aState.options_.renewalGrace_
                    : aState.options_.reconcileTimeout_;
  aTarget.isRenewalPending_ = true;
  aState.Emit(std::move(effect));
}

void
RetryStops(FleetState& aState, Target& aTarget)
{
  for (auto& run : aTarget.runs_) {
    if (run.isJobUnknown_ && run.phase_ == RunPhase::Running &&
        aState.now_ - run.sentAt_ >= kUnknownRunGrace) {
      Stop(aState, aTarget, run, "its job has not arrived");
    }
    if (run.phase_ == RunPhase::Stopping && !run.stoppedAt_ &&
        aState.now_ - run.stopSentAt_ >= aState.options_.stopRetry_) {
      Stop(aState, aTarget, run, "");
    }
  }
}

} // namespace

void
UpdateWatchedTargets(FleetState& aState)
{
  for (const auto& [id, target] : aState.targets_) {
    if (NeedsRenewal(target)) {
      aState.watchedTargets_.insert(id);
    }
  }
}

Instant
InheritedWorkExpiry(const FleetState& aState)
{
  const auto& options = aState.options_;
  const auto lease =
    std::chrono::duration_cast<Millis>(options.targetLease_ * kSlowestClock);
  const auto allowance = aState.previousOwner_ == PreviousOwner::Unknown
                           ? options.ownerAllowance_
                           : Millis(0);
  return std::max(aState.inheritedUntil_,
                  aState.began_ + allowance + lease + kExpirySlack);
}

void
HandleTargetList(FleetState& aState, const TargetsSeen& aSeen)
{
  aState.hasTargets_ = true;
  for (auto& [id, target] : aState.targets_) {
    target.isListed_ = false;
  }
  for (const auto& report : aSeen.targets_) {
    auto& target = aState.targets_[report.id_];
    const bool isNewIncarnation = target.startUnixMs_ != report.startUnixMs_;
    const bool isNewReport =
      isNewIncarnation || target.report_.sequence_ != report.sequence_;
    if (isNewIncarnation && report.startUnixMs_ > target.startUnixMs_) {
      BeginIncarnation(aState, target, report.startUnixMs_, report.clockMs_);
    }
    if (!target.report_.isDraining_ && report.isDraining_) {
      aState.Log("target_draining",
                 "",
                 "",
                 report.id_,
                 std::string("draining, at least ") +
                   std::to_string(report.remaining_.count()) + " ms left");
    }
    if (target.report_.sequence_ != report.sequence_ || isNewIncarnation) {
      aState.dirtyPools_.insert(report.pool_);
    }
    const bool isNew = !target.isRecorded_ && !target.isRecording_;
    if (isNew || target.report_.address_ != report.address_) {
      RecordTarget(aState, target, report.id_);
    }
    target.report_ = report;
    target.isListed_ = true;
    if (isNewReport) {
      UpdateClock(aState, target, report.clockMs_);
    }
  }
  for (auto it = aState.targets_.begin(); it != aState.targets_.end();) {
    auto& target = it->second;
    target.isInherited_ = target.isInherited_ && !target.hasExited_ &&
                          aState.now_ < InheritedWorkExpiry(aState);
    if (!target.isListed_ && !target.isInherited_ && target.runs_.empty() &&
        !target.isRenewalPending_) {
      aState.unrecordedTargets_.erase(it->first);
      aState.removedTargets_.insert(it->first);
      it = aState.targets_.erase(it);
    } else {
      ++it;
    }
  }
  aState.byPool_.clear();
  for (auto& [id, target] : aState.targets_) {
    if (target.isListed_) {
      aState.byPool_[target.report_.pool_].push_back(&target);
    }
  }
  UpdateWatchedTargets(aState);
}

void
HandleRenewalAnswer(FleetState& aState, const RenewalAnswered& aAnswer)
{
  const auto found = aState.targets_.find(aAnswer.target_);
  if (found == aState.targets_.end()) {
    return;
  }
  auto& target = found->second;
  target.isRenewalPending_ = false;
  target.nextRenewal_ = aState.now_;
  switch (aAnswer.outcome_) {
    case RenewalOutcome::Answered:
      HandleRunLists(aState, target, aAnswer);
      ReplaceSlowRuns(aState, target);
      break;
    case RenewalOutcome::Fenced:
      aState.Emit(StepDown{});
      break;
    case RenewalOutcome::OtherIncarnation:
    case RenewalOutcome::Refused:
      if (!target.hasExited_) {
        aState.Log("target_gone",
                   "",
                   "",
                   aAnswer.target_,
                   aAnswer.outcome_ == RenewalOutcome::Refused
                     ? "connection refused"
                     : "another process answers at its address");
      }
      target.hasExited_ = true;
      target.contact_ = Contact::Unresponsive;
      target.nextRenewal_ = aState.now_ + kUnresponsiveRetry;
      ReleaseAll(aState, target, "the process of its target has ended");
      break;
    case RenewalOutcome::Unresponsive:
      if (target.contact_ != Contact::Unresponsive) {
        aState.Log("target_silent",
                   "",
                   "",
                   aAnswer.target_,
                   "no valid answer within the time limit");
      }
      target.contact_ = Contact::Unresponsive;
      target.nextRenewal_ = aState.now_ + kUnresponsiveRetry;
      if (!target.isStoredSilent_) {
        target.isStoredSilent_ = true;
        RecordTarget(aState, target, aAnswer.target_);
      }
      break;
  }
}

void
MaintainTarget(FleetState& aState, Target& aTarget)
{
  if (aTarget.contact_ != Contact::Good && !aTarget.runs_.empty() &&
      HaveLeasesExpired(aState, aTarget)) {
    ReleaseAll(
      aState, aTarget, "its lease expired while its target was unresponsive");
  }
  RetryStops(aState, aTarget);
  const bool waitsForStore = aTarget.endsApplied_ > aTarget.endsStored_ &&
                             aState.now_ < aTarget.nextRenewal_ + kStoreWait;
  if (!aTarget.isRenewalPending_ && aTarget.nextRenewal_ <= aState.now_ &&
      !waitsForStore && NeedsRenewal(aTarget) &&
      !aTarget.report_.address_.empty()) {
    SendRenewal(aState, aTarget);
  }
}

void
MaintainTargets(FleetState& aState)
{
  if (!aState.hasJobs_ || !aState.hasTargets_) {
    return;
  }
  for (auto it = aState.watchedTargets_.begin();
       it != aState.watchedTargets_.end();) {
    const auto target = aState.targets_.find(*it);
    if (target == aState.targets_.end() || !NeedsRenewal(target->second)) {
      it = aState.watchedTargets_.erase(it);
      continue;
    }
    MaintainTarget(aState, target->second);
    ++it;
  }
}

bool
IsReconciled(const FleetState& aState)
{
  if (!aState.hasJobs_ || !aState.hasTargets_) {
    return false;
  }
  for (const auto& [id, target] : aState.targets_) {
    if ((target.isListed_ || target.isInherited_) &&
        target.contact_ == Contact::Unreconciled && !target.wasSilentBefore_) {
      return false;
    }
  }
  return true;
}

} // namespace cuminbridge
