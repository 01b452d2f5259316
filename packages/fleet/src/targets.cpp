// Contact with targets: lists, renewals, lapses.

#include "targets.h"

#include <algorithm>

#include "jobs.h"
#include "relocate.h"
#include "runs.h"

namespace cuminbridge {

namespace {

constexpr double kSlowestClock = 1.02; // a target's clock may be 2% slow
constexpr Millis kLapseSlack(150);     // for a target that is late to notice
constexpr Millis kSilentRetry(300);    // between calls to a silent target
constexpr Millis kStopWait(250);       // a stop takes 200 ms at most
// A renewal is answered at once while ends are listed that it does not cover:
// the next one waits for the store, but no longer than this.
constexpr Millis kStoreWait(400);
// A run whose job has not been told by then belongs to none. Jobs are told
// within milliseconds, and within a second and a half by the watch alone.
constexpr Millis kUnknownStays(2500);
constexpr std::size_t kFullList = 500; // a target lists no more ends at once

bool
HasLapsed(const FleetState& aState, const Target& aTarget)
{
  const bool hasInherited = [&] {
    for (const auto& run : aTarget.runs_) {
      if (run.isPresumed_) {
        return true;
      }
    }
    return false;
  }();
  if (hasInherited && aState.now_ < InheritedLapse(aState)) {
    return false;
  }
  return ClockOf(aState, aTarget) >= aTarget.leaseUntil_ + kLapseSlack.count();
}

// Another process has begun at the target: it knows nothing of before.
void
BeginLife(FleetState& aState,
          Target& aTarget,
          std::int64_t aBorn,
          std::int64_t aClockMs)
{
  if (aTarget.born_ != 0) {
    aState.Log("target_restarted",
               "",
               "",
               aTarget.report_.id_,
               std::to_string(aTarget.born_) + " -> " + std::to_string(aBorn));
  }
  const auto sentUntil = aTarget.leaseUntil_;
  aTarget.born_ = aBorn;
  aTarget.endsTaken_ = 0;
  aTarget.endsStored_ = 0;
  aTarget.endsInBatch_ = 0;
  aTarget.endsTold_ = 0;
  aTarget.clockMs_ = 0;
  TakeClock(aState, aTarget, aClockMs);
  // A start or a renewal that was meant for the process before may have come to
  // this one, with a deadline on the former clock. Targets shorten what is too
  // long.
  aTarget.leaseUntil_ =
    std::min(sentUntil, aClockMs + aState.options_.longestLease_.count());
  aTarget.contact_ = Contact::Unseen;
  aTarget.nextHold_ = aState.now_;
  aTarget.isGone_ = false;
  aTarget.isUnfenced_ = !aState.mayOrderVms_;
  aTarget.isCordoned_ = false;
  aTarget.leavingUntil_ = aState.now_;
  aTarget.idleSince_ = aState.now_;
  aTarget.failuresInRow_ = 0;
  aTarget.slowUntil_ = aState.now_;
  for (auto& run : aTarget.runs_) {
    // Gone unless the new process lists it. A start that is not answered yet
    // may still come to it.
    run.isPresumed_ = run.isPresumed_ || run.confirmedAt_.has_value();
  }
}

// A run that the owner before us started and did not record: newer than all
// that we know of its item. What we presumed of older runs is over then.
bool
SupersedesPresumed(FleetState& aState, const ItemRef& aRef, std::int64_t aRun)
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
    if (run.run_ == aRef.item_->run_ && run.isPresumed_ &&
        FindItem(aState, run.item_).item_ == aRef.item_) {
      const Run presumed = run;
      ReleaseRun(aState, target, presumed.item_, presumed.run_);
      return true;
    }
  }
  return false;
}

void
ApplyEnd(FleetState& aState, Target& aTarget, const EndedRun& aEnd)
{
  auto* run = FindRun(aTarget, aEnd.item_, aEnd.run_);
  const auto ref = FindItem(aState, aEnd.item_);
  const bool isOurs = run != nullptr;
  bool isCurrent = false;
  if (isOurs) {
    // When others' runs began is not known.
    if (aEnd.kind_ == EndKind::Done && ref.item_ && run->isOurs_) {
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
    isCurrent = SupersedesPresumed(aState, ref, aEnd.run_);
    if (isCurrent && !aEnd.checkpoint_.empty()) {
      ref.item_->checkpoint_ = aEnd.checkpoint_;
    }
  }
  if (!ref.item_) {
    return;
  }
  ref.item_->run_ = std::max(ref.item_->run_, aEnd.run_);
  if (aEnd.kind_ == EndKind::Done) {
    aTarget.failuresInRow_ = 0;
    if (isCurrent) {
      FinishItem(aState, aEnd.item_, ref);
    }
    return;
  }
  if (aEnd.kind_ == EndKind::Failed) {
    ++aTarget.failuresInRow_;
    ref.item_->avoid_ = aTarget.report_.id_;
    FailItem(aState, aEnd.item_, ref, aEnd.run_);
  }
  static const char* const kNames[] = { "done",   "failed", "stopped",
                                        "lapsed", "broken", "alone" };
  aState.Log("run_ended",
             aEnd.item_.job_,
             FormatItem(aEnd.item_),
             aTarget.report_.id_,
             kNames[static_cast<int>(aEnd.kind_)]);
}

// A run that the target lists and that we have no record of.
void
MeetRun(FleetState& aState, Target& aTarget, const RunningRun& aSeen)
{
  const auto ref = FindItem(aState, aSeen.item_);
  const bool isWanted = SupersedesPresumed(aState, ref, aSeen.run_);
  Run run;
  run.item_ = aSeen.item_;
  run.run_ = aSeen.run_;
  run.phase_ = RunPhase::Running;
  run.sentAt_ = aState.now_;
  run.confirmedAt_ = aState.now_;
  run.percent_ = aSeen.percent_;
  run.checkpoint_ = aSeen.checkpoint_;
  run.usage_ = aSeen.usage_;
  run.progressFrom_ = aState.now_;
  run.percentThen_ = aSeen.percent_;
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
    added.isUnknown_ = true; // its job may not have been told yet
  } else {
    Stop(aState, aTarget, added, "no longer wanted");
  }
}

void
TakeRunning(Target& aTarget, const RunningRun& aSeen, Run& aRun, Instant aNow)
{
  aRun.percent_ = aSeen.percent_;
  aRun.usage_ = aSeen.usage_;
  aRun.isPresumed_ = false;
  if (!aRun.progressFrom_) {
    aRun.progressFrom_ = aNow;
    aRun.percentThen_ = aSeen.percent_;
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
  if (aTarget.failuresInRow_ > 0 && aRun.isLongRunning_ &&
      aRun.percent_ == 100) {
    aTarget.failuresInRow_ = 0;
  }
}

// Runs that the target must have listed if they were still there.
void
ReleaseAbsent(FleetState& aState, Target& aTarget, const HoldAnswered& aAnswer)
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
    const bool isOlder =
      !run.confirmedAt_ || *run.confirmedAt_ < aAnswer.sentAt_;
    const bool wasThere =
      (run.isPresumed_ && isOlder) ||
      (run.confirmedAt_ && *run.confirmedAt_ < aAnswer.sentAt_) ||
      (run.stoppedAt_ && *run.stoppedAt_ < aAnswer.sentAt_);
    if (!isListed && wasThere) {
      absent.emplace_back(run.item_, run.run_);
    }
  }
  for (const auto& [item, run] : absent) {
    aState.Log("run_lost",
               item.job_,
               FormatItem(item),
               aTarget.report_.id_,
               "not listed by its target");
    ++aState.counts_.lost_;
    ReleaseRun(aState, aTarget, item, run);
  }
}

// An owner before us that had not heard of a restart has sent deadlines on the
// clock of the process before: for as long as they may reach, no lease on a
// young process is taken for lapsed.
void
AllowForFormerClock(const FleetState& aState,
                    Target& aTarget,
                    std::int64_t aClockMs)
{
  const auto& options = aState.options_;
  const WallTime born{ Millis(aTarget.born_) };
  const bool isYoung =
    aState.TimeOfDay() - born < options.ownerAllowance_ + options.longestLease_;
  if (aState.term_ > 1 && !aTarget.wasSeen_ && isYoung) {
    aTarget.leaseUntil_ =
      std::max(aTarget.leaseUntil_, aClockMs + options.longestLease_.count());
  }
}

void
TakeLists(FleetState& aState, Target& aTarget, const HoldAnswered& aAnswer)
{
  if (aTarget.born_ != aAnswer.born_) {
    BeginLife(aState, aTarget, aAnswer.born_, aAnswer.clockMs_);
  }
  TakeClock(aState, aTarget, aAnswer.clockMs_);
  AllowForFormerClock(aState, aTarget, aAnswer.clockMs_);
  aTarget.wasSeen_ = true;
  if (aTarget.contact_ != Contact::Good) {
    if (aTarget.contact_ == Contact::Silent) {
      aState.Log("target_back", "", "", aTarget.report_.id_, "answers again");
    }
    aTarget.contact_ = Contact::Good;
    aState.dirtyPools_.insert(aTarget.report_.pool_);
  }
  for (const auto& end : aAnswer.ended_) {
    // Its job may not have been told yet: the target will list it again.
    if (!FindItem(aState, end.item_).job_ &&
        aState.now_ - aState.began_ < kUnknownStays) {
      break;
    }
    if (end.number_ > aTarget.endsTaken_) {
      aTarget.endsTaken_ = end.number_;
      ApplyEnd(aState, aTarget, end);
    }
  }
  for (const auto& seen : aAnswer.running_) {
    auto* run = FindRun(aTarget, seen.item_, seen.run_);
    if (run) {
      TakeRunning(aTarget, seen, *run, aState.now_);
    } else {
      MeetRun(aState, aTarget, seen);
    }
  }
  if (aAnswer.ended_.size() < kFullList) {
    ReleaseAbsent(aState, aTarget, aAnswer);
  }
}

bool
NeedsHold(const Target& aTarget)
{
  return !aTarget.runs_.empty() ||
         ((aTarget.isListed_ || aTarget.isInherited_) &&
          aTarget.contact_ != Contact::Good) ||
         aTarget.endsStored_ > aTarget.endsTold_;
}

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

bool
HasPacing(const Target& aTarget)
{
  bool hasServing = false;
  bool hasFiller = false;
  for (const auto& run : aTarget.runs_) {
    hasServing = hasServing || run.targetLatency_.count() > 0;
    hasFiller = hasFiller || run.isFiller_;
  }
  return hasServing && hasFiller;
}

// Whether something runs there that ends by itself.
bool
HasBatch(const Target& aTarget)
{
  return std::any_of(aTarget.runs_.begin(),
                     aTarget.runs_.end(),
                     [](const Run& aRun) { return !aRun.isLongRunning_; });
}

void
SendHold(FleetState& aState, Target& aTarget)
{
  HoldTarget effect;
  effect.target_ = aTarget.report_.id_;
  effect.address_ = aTarget.report_.address_;
  effect.lastSeen_ =
    aTarget.contact_ == Contact::Good ? aTarget.endsStored_ : 0;
  aTarget.endsTold_ = std::max(aTarget.endsTold_, effect.lastSeen_);
  if (aTarget.contact_ == Contact::Good && !aTarget.runs_.empty()) {
    effect.wait_ = HasStopped(aTarget)  ? kStopWait
                   : HasPacing(aTarget) ? aState.options_.pacingWait_
                   : HasBatch(aTarget)  ? aState.options_.runWait_
                                        : aState.options_.holdWait_;
  }
  // A silent target is only asked: renewing without an answer would put off
  // the time at which all that ran there has surely lapsed.
  if (aTarget.clockMs_ != 0 && aTarget.contact_ != Contact::Silent) {
    effect.leaseUntil_ = ExtendLease(aState, aTarget);
  }
  effect.limit_ = aTarget.contact_ == Contact::Good
                    ? effect.wait_ + aState.options_.holdGrace_
                    : aState.options_.lookLimit_;
  aTarget.isHolding_ = true;
  aState.Emit(std::move(effect));
}

void
RetryStops(FleetState& aState, Target& aTarget)
{
  for (auto& run : aTarget.runs_) {
    if (run.isUnknown_ && run.phase_ == RunPhase::Running &&
        aState.now_ - run.sentAt_ >= kUnknownStays) {
      Stop(aState, aTarget, run, "of no known job");
    }
    if (run.phase_ == RunPhase::Stopping && !run.stoppedAt_ &&
        aState.now_ - run.stopSentAt_ >= aState.options_.stopRetry_) {
      Stop(aState, aTarget, run, "");
    }
  }
}

} // namespace

void
AttendAll(FleetState& aState)
{
  for (const auto& [id, target] : aState.targets_) {
    if (NeedsHold(target)) {
      aState.attended_.insert(id);
    }
  }
}

Instant
InheritedLapse(const FleetState& aState)
{
  const auto& options = aState.options_;
  const auto lease =
    std::chrono::duration_cast<Millis>(options.targetLease_ * kSlowestClock);
  const auto allowance = aState.former_ == FormerOwner::Unknown
                           ? options.ownerAllowance_
                           : Millis(0);
  return std::max(aState.inheritedUntil_,
                  aState.began_ + allowance + lease + kLapseSlack);
}

void
TakeTargets(FleetState& aState, const TargetsSeen& aSeen)
{
  aState.hasTargets_ = true;
  for (auto& [id, target] : aState.targets_) {
    target.isListed_ = false;
  }
  for (const auto& report : aSeen.targets_) {
    auto& target = aState.targets_[report.id_];
    const bool isNewLife = target.born_ != report.startUnixMs_;
    const bool isNewReport =
      isNewLife || target.report_.sequence_ != report.sequence_;
    if (isNewLife && report.startUnixMs_ > target.born_) {
      BeginLife(aState, target, report.startUnixMs_, report.clockMs_);
    }
    if (!target.report_.isDraining_ && report.isDraining_) {
      aState.Log("target_draining",
                 "",
                 "",
                 report.id_,
                 std::to_string(report.remaining_.count()) + " ms left");
    }
    if (target.report_.sequence_ != report.sequence_ || isNewLife) {
      aState.dirtyPools_.insert(report.pool_);
    }
    if (!target.isRecorded_ || target.report_.address_ != report.address_) {
      target.isRecorded_ = false;
      aState.mustStoreTargets_ = true;
    }
    target.report_ = report;
    target.isListed_ = true;
    if (isNewReport) {
      TakeClock(aState, target, report.clockMs_);
    }
  }
  for (auto it = aState.targets_.begin(); it != aState.targets_.end();) {
    auto& target = it->second;
    target.isInherited_ = target.isInherited_ && !target.isGone_ &&
                          aState.now_ < InheritedLapse(aState);
    if (!target.isListed_ && !target.isInherited_ && target.runs_.empty() &&
        !target.isHolding_) {
      aState.mustStoreTargets_ = aState.mustStoreTargets_ || target.isRecorded_;
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
  AttendAll(aState);
}

void
TakeHold(FleetState& aState, const HoldAnswered& aAnswer)
{
  const auto found = aState.targets_.find(aAnswer.target_);
  if (found == aState.targets_.end()) {
    return;
  }
  auto& target = found->second;
  target.isHolding_ = false;
  target.nextHold_ = aState.now_;
  switch (aAnswer.outcome_) {
    case HoldOutcome::Answered:
      TakeLists(aState, target, aAnswer);
      ReplaceSlowRuns(aState, target);
      break;
    case HoldOutcome::Fenced:
      aState.Emit(Abdicate{});
      break;
    case HoldOutcome::OtherLife:
    case HoldOutcome::Refused:
      if (!target.isGone_) {
        aState.Log("target_gone",
                   "",
                   "",
                   aAnswer.target_,
                   aAnswer.outcome_ == HoldOutcome::Refused
                     ? "connection refused"
                     : "another process at its address");
      }
      target.isGone_ = true;
      target.contact_ = Contact::Silent;
      target.nextHold_ = aState.now_ + kSilentRetry;
      ReleaseAll(aState, target, "its target has ended");
      break;
    case HoldOutcome::Silent:
      if (target.contact_ != Contact::Silent) {
        aState.Log("target_silent", "", "", aAnswer.target_, "no answer");
      }
      target.contact_ = Contact::Silent;
      target.nextHold_ = aState.now_ + kSilentRetry;
      break;
  }
}

void
KeepTarget(FleetState& aState, Target& aTarget)
{
  if (aTarget.contact_ != Contact::Good && !aTarget.runs_.empty() &&
      HasLapsed(aState, aTarget)) {
    ReleaseAll(aState, aTarget, "lease lapsed on a silent target");
  }
  RetryStops(aState, aTarget);
  const bool mustWait = aTarget.endsTaken_ > aTarget.endsStored_ &&
                        aState.now_ < aTarget.nextHold_ + kStoreWait;
  if (!aTarget.isHolding_ && aTarget.nextHold_ <= aState.now_ && !mustWait &&
      NeedsHold(aTarget) && !aTarget.report_.address_.empty()) {
    SendHold(aState, aTarget);
  }
}

void
KeepContact(FleetState& aState)
{
  if (!aState.hasJobs_ || !aState.hasTargets_) {
    return;
  }
  for (auto it = aState.attended_.begin(); it != aState.attended_.end();) {
    const auto target = aState.targets_.find(*it);
    if (target == aState.targets_.end() || !NeedsHold(target->second)) {
      it = aState.attended_.erase(it);
      continue;
    }
    KeepTarget(aState, target->second);
    ++it;
  }
}

bool
HasLooked(const FleetState& aState)
{
  if (!aState.hasJobs_ || !aState.hasTargets_) {
    return false;
  }
  for (const auto& [id, target] : aState.targets_) {
    if ((target.isListed_ || target.isInherited_) &&
        target.contact_ == Contact::Unseen) {
      return false;
    }
  }
  return true;
}

} // namespace cuminbridge
