// Contact with targets: lists, renewals and expired leases.

#include "targets.h"

#include <algorithm>
#include <utility>

#include "contact/renewals.h"
#include "crashes.h"
#include "evacuation/evacuation.h"
#include "jobs.h"
#include "late_starts/late_starts.h"
#include "relocate.h"
#include "restarts/restarts.h"
#include "run_lists.h"
#include "runs.h"

namespace cuminbridge {

namespace {

constexpr double kSlowestClock = 1.02;    // a target's clock may be 2% slow
constexpr Millis kExpirySlack(150);       // a target may notice an expiry late
constexpr Millis kUnresponsiveRetry(300); // between calls to such a target
// A target answers a renewal at once while it lists ends that the renewal does
// not acknowledge. The next renewal therefore waits until those ends are
// stored, but no longer than this.
constexpr Millis kStoreWait(400);

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

void
SetUnresponsive(FleetState& aState, Target& aTarget, RenewalOutcome aOutcome)
{
  const bool isLost = aTarget.contact_ != Contact::Unresponsive;
  if (isLost) {
    aTarget.unresponsiveSince_ = aState.now_;
    AllowForCallsUntilNow(aState, aTarget);
  }
  aTarget.contact_ = Contact::Unresponsive;
  // A refusal comes at once: until shortly before the first one, runs were
  // listed.
  const bool isRecent = isLost && aOutcome == RenewalOutcome::Refused;
  for (auto& run : aTarget.runs_) {
    run.mayHaveEnded_ =
      run.mayHaveEnded_ || (!isRecent && !run.AwaitsStartAnswer());
  }
  aTarget.nextRenewal_ =
    aState.now_ + (AwaitsLateStart(aState, aTarget)
                     ? std::min(kUnresponsiveRetry, LookInterval(aState) / 2)
                     : kUnresponsiveRetry);
  const bool mayHaveUnknownRuns =
    aTarget.isInherited_ && !aTarget.hasListedRuns_;
  if (!aTarget.hasExited_ && (mayHaveUnknownRuns || !aTarget.runs_.empty())) {
    aState.Emit(RequestVmList{});
  }
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

// Whether the process before may have written the answer: it was asked before
// the present one was known. What it lists is gone, and its numbers of ends say
// nothing about those of the present one.
bool
IsOfProcessBefore(const Target& aTarget, const RenewalAnswered& aAnswer)
{
  return aAnswer.startUnixMs_ < aTarget.startUnixMs_ &&
         aAnswer.sentAt_ <= aTarget.incarnationSeenAt_;
}

// A report of a target whose process counts as ended. One may have been on its
// way when it ended.
void
NoteReportAfterExit(FleetState& aState, Target& aTarget)
{
  constexpr int kReportsOfLiveTarget = 2;
  if (++aTarget.reportsSinceExit_ >= kReportsOfLiveTarget) {
    aState.Log("target_back",
               "",
               "",
               aTarget.report_.id_,
               "it goes on reporting itself; " +
                 DescribeContact(aState, aTarget) +
                 NoteReturn(aState, aTarget));
    aTarget.hasExited_ = false;
    aTarget.isReplaced_ = false;
    aTarget.contact_ = Contact::Unreconciled;
    aTarget.nextRenewal_ = aState.now_;
  }
}

} // namespace

void
RecordTarget(FleetState& aState, Target& aTarget, const std::string& aId)
{
  aTarget.isRecorded_ = false;
  aTarget.isRecording_ = true;
  aState.unrecordedTargets_.insert(aId);
}

void
SetExited(Target& aTarget)
{
  aTarget.hasExited_ = true;
  aTarget.reportsSinceExit_ = 0;
}

void
ReleaseReplaced(FleetState& aState,
                Target& aTarget,
                std::int64_t aStartUnixMs,
                std::int64_t aClockMs)
{
  const auto evidence =
    "another process answers at its address, born " +
    (aStartUnixMs == 0 ? "unknown" : std::to_string(aStartUnixMs)) +
    ", clock " + (aClockMs == 0 ? "unknown" : std::to_string(aClockMs)) + "; " +
    DescribeContact(aState, aTarget) + "; " + DescribeLease(aState, aTarget);
  if (!aTarget.hasExited_) {
    aState.Log("target_gone", "", "", aTarget.report_.id_, evidence);
  }
  SetExited(aTarget);
  aTarget.isReplaced_ = true;
  ReleaseEnded(
    aState, aTarget, { "the process of its target has ended", evidence });
}

void
UpdateWatchedTargets(FleetState& aState)
{
  aState.targetsAwaitingStarts_ = 0;
  for (const auto& [id, target] : aState.targets_) {
    const bool awaitsStart = AwaitsLateStart(aState, target);
    aState.targetsAwaitingStarts_ += awaitsStart ? 1 : 0;
    if (awaitsStart || NeedsRenewal(target)) {
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
  auto lastRenewal = aState.began_;
  if (aState.previousOwner_ != PreviousOwner::HandedOver) {
    lastRenewal += options.ownerAllowance_;
  }
  if (aState.previousOwner_ == PreviousOwner::Ended) {
    lastRenewal = std::min(lastRenewal, aState.previousOwnerEndedAt_);
  }
  return std::max(aState.inheritedUntil_, lastRenewal + lease + kExpirySlack);
}

bool
IsCapacityKnown(const FleetState& aState, const Target& aTarget)
{
  const auto* pool = FindPool(aState.config_, aTarget.report_.pool_);
  if (pool && pool->rejectsOverload_) {
    return true;
  }
  // What such a run needs is not known, even while it is being stopped.
  if (std::any_of(aTarget.runs_.begin(),
                  aTarget.runs_.end(),
                  [](const Run& aRun) { return aRun.isJobUnknown_; })) {
    return false;
  }
  const auto& options = aState.options_;
  const Millis age(ClockOf(aState, aTarget) - aTarget.report_.clockMs_);
  return aTarget.clockMs_ != 0 &&
         age + options.startTimeout_ <= options.maxReportAge_;
}

void
HandleTargetList(FleetState& aState, const TargetsSeen& aSeen)
{
  ForgetOldLosses(aState);
  aState.hasTargets_ = true;
  aState.targetsAskedAt_ = aSeen.askedAt_;
  for (auto& [id, target] : aState.targets_) {
    target.isListed_ = false;
  }
  for (const auto& report : aSeen.targets_) {
    auto& target = aState.targets_[report.id_];
    const bool isNewIncarnation = target.startUnixMs_ != report.startUnixMs_;
    const bool isNewReport =
      isNewIncarnation || target.report_.sequence_ != report.sequence_;
    if (isNewIncarnation && report.startUnixMs_ > target.startUnixMs_) {
      BeginIncarnation(aState,
                       target,
                       report.startUnixMs_,
                       report.clockMs_,
                       aState.options_.maxReportAge_);
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
    if (isNewReport && target.HasReported()) {
      UpdateClock(aState, target, report.clockMs_);
    }
    if (isNewReport && !isNewIncarnation && target.hasExited_) {
      NoteReportAfterExit(aState, target);
    }
  }
  for (auto it = aState.targets_.begin(); it != aState.targets_.end();) {
    auto& target = it->second;
    target.isInherited_ = target.isInherited_ && !target.hasExited_ &&
                          aState.now_ < InheritedWorkExpiry(aState);
    if (!target.isListed_ && !target.isInherited_ && target.runs_.empty() &&
        !target.isRenewalPending_ && !AwaitsLateStart(aState, target)) {
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
  MarkEvacuatedTargets(aState);
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
  if (std::exchange(target.isProbed_, false)) {
    aState.dirtyPools_.insert(target.report_.pool_);
  }
  switch (aAnswer.outcome_) {
    case RenewalOutcome::Answered:
      if (IsOfProcessBefore(target, aAnswer)) {
        break;
      }
      HandleRunLists(aState, target, aAnswer);
      ReplaceSlowRuns(aState, target);
      break;
    case RenewalOutcome::Fenced:
      if (aAnswer.process_ == target.process_) {
        aState.Emit(StepDown{});
      } // else the next process has refused a call for the one before
      break;
    case RenewalOutcome::OtherIncarnation:
      ReleaseReplaced(aState, target, aAnswer.startUnixMs_, aAnswer.clockMs_);
      SetUnresponsive(aState, target, aAnswer.outcome_);
      break;
    case RenewalOutcome::Refused:
    case RenewalOutcome::Unresponsive:
      if (aAnswer.outcome_ == RenewalOutcome::Unresponsive &&
          NoteMissedLook(aState, target)) {
        target.nextLook_ = aState.now_;
        break;
      }
      if (target.contact_ != Contact::Unresponsive) {
        aState.Log("target_silent",
                   "",
                   "",
                   aAnswer.target_,
                   std::string(aAnswer.outcome_ == RenewalOutcome::Refused
                                 ? "connection refused"
                                 : "no valid answer within the time limit") +
                     "; asked " + FormatAge(aState, aAnswer.sentAt_) + "; " +
                     std::to_string(target.runs_.size()) + " runs there; " +
                     DescribeContact(aState, target) + "; " +
                     DescribeLease(aState, target));
      }
      SetUnresponsive(aState, target, aAnswer.outcome_);
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
    ReleaseAll(aState,
               aTarget,
               { "its lease expired while its target was unresponsive",
                 DescribeLease(aState, aTarget) + "; " +
                   DescribeContact(aState, aTarget) });
  }
  RetryStops(aState, aTarget);
  const bool waitsForStore = aTarget.endsApplied_ > aTarget.endsStored_ &&
                             aState.now_ < aTarget.nextRenewal_ + kStoreWait;
  if (!aTarget.isRenewalPending_ && aTarget.nextRenewal_ <= aState.now_ &&
      !waitsForStore && (NeedsRenewal(aTarget) || IsLookDue(aState, aTarget)) &&
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
    if (target == aState.targets_.end() ||
        !(NeedsRenewal(target->second) ||
          AwaitsLateStart(aState, target->second))) {
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
