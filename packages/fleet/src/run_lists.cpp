// What targets list as running and as ended.

#include "run_lists.h"

#include <algorithm>

#include "crashes.h"
#include "jobs.h"
#include "late_starts/late_starts.h"
#include "restarts/restarts.h"
#include "runs.h"
#include "target_record/deliveries.h"
#include "targets.h"

namespace cuminbridge {

namespace {

constexpr std::size_t kMaxListedEnds = 500; // in one answer of a target
// What targets list as the progress of a long-running item that is at work.
constexpr int kAtWorkPercent = 100;

// Whether a run that this owner has no record of is the current run of its
// item. Either this owner has given it up and has not started another one, or
// an earlier owner started it without storing that, and its number is above all
// that are known of the item. An older unconfirmed run of the item has ended
// then, and is released.
bool
IsCurrentRun(FleetState& aState, const ItemRef& aRef, std::int64_t aRun)
{
  if (!aRef.item_ || aRef.job_->HasEnded() ||
      aRef.item_->phase_ == ItemPhase::Done || aRun < aRef.item_->LastRun()) {
    return false;
  }
  if (aRef.item_->phase_ == ItemPhase::Waiting) {
    return true;
  }
  if (aRun == aRef.item_->run_) {
    return false;
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

// Stops what still runs of an item, or of its gang, once a run is done: the
// owner may have given that run up and started another one.
void
StopOtherRuns(FleetState& aState, const EndedRun& aDone, const ItemRef& aRef)
{
  auto name = aDone.item_;
  for (std::size_t index = 0; index < aRef.step_->items_.size(); ++index) {
    const auto& item = aRef.step_->items_[index];
    name.index_ = static_cast<int>(index);
    const bool isMeant = aRef.spec_->isGang_ || &item == aRef.item_;
    if (!isMeant || item.phase_ != ItemPhase::Assigned ||
        item.run_ == aDone.run_) {
      continue;
    }
    auto& target = aState.targets_[item.target_];
    if (auto* run = FindRun(target, name, item.run_)) {
      Stop(aState, target, *run, "another run of its work item is done");
    }
  }
}

const char*
NameOf(EndKind aKind)
{
  static const char* const kNames[] = {
    "done",
    "failed",
    "stopped",
    "its lease expired",
    "another member of its gang ended",
    "the other members of its gang did not start"
  };
  return kNames[static_cast<int>(aKind)];
}

// Logs and counts an end that neither finishes nor fails its item. Ends of runs
// that were stopped are expected if the run is current.
void
NoteIgnoredEnd(FleetState& aState,
               const Target& aTarget,
               const EndedRun& aEnd,
               const ItemRef& aRef,
               bool aIsRecorded,
               bool aIsCurrent)
{
  const auto& id = aTarget.report_.id_;
  const bool isDone = aEnd.kind_ == EndKind::Done;
  const bool hasJobEnded = aRef.job_ && aRef.job_->HasEnded();
  const bool isItemDone = aRef.item_ && aRef.item_->phase_ == ItemPhase::Done;
  const bool isCounted =
    isDone ? aRef.item_ && !isItemDone && !hasJobEnded
           : aIsCurrent || (aEnd.kind_ == EndKind::Failed && !hasJobEnded);
  // An end of the run that finished the item may be listed to the next owner
  // too, and members of a gang end after the one that finished it.
  const bool hasFinishedItem = isItemDone && aEnd.run_ >= aRef.item_->run_ &&
                               (!aIsRecorded || aRef.spec_->isGang_);
  if (isCounted || hasFinishedItem) {
    return;
  }
  ++aState.counts_.endsIgnored_;
  // Of a job that had ended before this owner began, the items are not known.
  if (isDone && !aIsCurrent &&
      (aRef.item_ || IsNotedAsLost(aState, id, aEnd.item_, aEnd.run_))) {
    ++aState.counts_.endsDoneIgnored_;
  }
  aState.Log("end_ignored",
             aEnd.item_.job_,
             FormatItem(aEnd.item_),
             id,
             std::string(NameOf(aEnd.kind_)) + "; " +
               DescribeUnwanted(aState, id, aEnd.item_, aEnd.run_));
}

// A run that was given up has done its work.
void
LogDoneAfterLoss(FleetState& aState,
                 const Target& aTarget,
                 const EndedRun& aEnd)
{
  const auto& id = aTarget.report_.id_;
  if (IsNotedAsLost(aState, id, aEnd.item_, aEnd.run_)) {
    aState.Log("run_ended",
               aEnd.item_.job_,
               FormatItem(aEnd.item_),
               id,
               std::string(NameOf(aEnd.kind_)) + "; " +
                 DescribeUnwanted(aState, id, aEnd.item_, aEnd.run_));
  }
}

// Applies one entry of a target's list of ended runs. What a run has done
// counts even if the run was given up: the target forgets the end as soon as it
// is acknowledged.
void
ApplyEnd(FleetState& aState, Target& aTarget, const EndedRun& aEnd)
{
  auto* run = FindRun(aTarget, aEnd.item_, aEnd.run_);
  const auto ref = FindItem(aState, aEnd.item_);
  MarkBegun(aState, ref.job_);
  const bool isRecorded = run != nullptr;
  bool isCurrent = false;
  if (run) {
    // Runs of earlier owners teach nothing: their start time is not known.
    if (aEnd.kind_ == EndKind::Done && ref.item_ &&
        run->isStartedByThisOwner_) {
      NoteDelivery(aState, aTarget, *run, ref);
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
    isCurrent = IsCurrentRun(aState, ref, aEnd.run_);
    if (isCurrent && !aEnd.checkpoint_.empty()) {
      ref.item_->checkpoint_ = aEnd.checkpoint_;
    }
  }
  NoteIgnoredEnd(aState, aTarget, aEnd, ref, isRecorded, isCurrent);
  if (!ref.item_) {
    return;
  }
  if (aEnd.kind_ == EndKind::Done) {
    aTarget.consecutiveFailures_ = 0;
    if (ref.item_->phase_ != ItemPhase::Done) {
      LogDoneAfterLoss(aState, aTarget, aEnd);
    }
    StopOtherRuns(aState, aEnd, ref);
    ref.item_->run_ = std::max(ref.item_->run_, aEnd.run_);
    FinishItem(aState, aEnd.item_, ref);
    return;
  }
  ref.item_->run_ = std::max(ref.item_->run_, aEnd.run_);
  if (aEnd.kind_ == EndKind::Failed) {
    ++aTarget.consecutiveFailures_;
    ref.item_->avoidedTarget_ = aTarget.report_.id_;
    FailItem(aState, aEnd.item_, ref, aEnd.run_);
  }
  aState.Log("run_ended",
             aEnd.item_.job_,
             FormatItem(aEnd.item_),
             aTarget.report_.id_,
             NameOf(aEnd.kind_));
}

// Adopts or stops a run that the target lists and this owner has no record of.
void
HandleUnrecordedRun(FleetState& aState,
                    Target& aTarget,
                    const RunningRun& aSeen)
{
  const auto ref = FindItem(aState, aSeen.item_);
  MarkBegun(aState, ref.job_);
  const bool isWanted = IsCurrentRun(aState, ref, aSeen.run_);
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
  // Told first: AddRun() assigns the item to the run until that is stopped.
  const auto unwanted =
    DescribeUnwanted(aState, aTarget.report_.id_, aSeen.item_, aSeen.run_);
  const bool isUnknown = aState.jobs_.count(aSeen.item_.job_) == 0;
  auto& added = AddRun(aState, aTarget, std::move(run));
  if (isUnknown) {
    added.isJobUnknown_ = true; // its job may still arrive
  } else {
    ++aState.counts_.stoppedUnwanted_;
    Stop(aState,
         aTarget,
         added,
         "not the current run of its work item; " + unwanted);
  }
}

// Takes in what the target lists about a recorded run.
void
UpdateListedRun(Target& aTarget,
                const RunningRun& aSeen,
                Run& aRun,
                Instant aNow)
{
  aRun.hasPassedStart_ =
    aRun.hasPassedStart_ || (aRun.isStartedByThisOwner_ &&
                             aTarget.listedAt_ - aRun.sentAt_ >= kTrialTime);
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
  aRun.processEndedBy_.reset();
  aRun.mayHaveEnded_ = false;
  aRun.isExplained_ = false;
  if (aRun.phase_ == RunPhase::Starting) {
    aRun.phase_ = RunPhase::Running;
  }
  if (aTarget.consecutiveFailures_ > 0 && aRun.isLongRunning_ &&
      aRun.percent_ == kAtWorkPercent) {
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
      (run.stoppedAt_ && *run.stoppedAt_ < aAnswer.sentAt_) ||
      IsFencedBy(run, aAnswer);
    if (!isListed && mustBeListed && !HasUnappliedEnd(aTarget, aAnswer, run)) {
      absent.emplace_back(run.item_, run.run_);
    }
  }
  std::set<std::string> givenUp;
  for (const auto& [item, run] : absent) {
    const auto* lost = FindRun(aTarget, item, run);
    auto job = lost ? CountCrash(aState, aTarget, *lost) : std::nullopt;
    if (job) {
      givenUp.insert(std::move(*job));
    }
    if (lost) {
      NoteLoss(aState,
               aTarget,
               *lost,
               { "its target no longer lists it",
                 "list asked for " + FormatAge(aState, aAnswer.sentAt_) +
                   " with " + std::to_string(aAnswer.running_.size()) +
                   " running and " + std::to_string(aAnswer.ended_.size()) +
                   " ended; process born " +
                   std::to_string(aAnswer.startUnixMs_) });
    }
    ReleaseRun(aState, aTarget, item, run);
  }
  for (const auto& job : givenUp) {
    GiveUp(aState, job);
  }
}

} // namespace

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
  AllowForHeldUpCalls(aState, aTarget, aAnswer.clockMs_, aAnswer.process_);
  if (!aTarget.hasListedRuns_) {
    aTarget.firstListedAt_ = aAnswer.sentAt_;
  }
  aTarget.hasListedRuns_ = true;
  aTarget.mayHaveRestarted_ = false;
  aTarget.listedAt_ = aAnswer.sentAt_;
  aTarget.wasSilentBefore_ = false;
  const auto& ended = aAnswer.ended_;
  aTarget.firstListedEnd_ = ended.empty() ? 0 : ended.front().number_;
  aTarget.lastListedEnd_ = ended.empty() ? 0 : ended.back().number_;
  aTarget.endsListedAt_ = aState.now_;
  if (aTarget.isStoredSilent_) {
    aTarget.isStoredSilent_ = false;
    RecordTarget(aState, aTarget, aTarget.report_.id_);
  }
  const auto givenUp = NoteReturn(aState, aTarget);
  if (aTarget.contact_ == Contact::Unresponsive || !givenUp.empty()) {
    aState.Log("target_back",
               "",
               "",
               aTarget.report_.id_,
               "the target answers again; " + DescribeContact(aState, aTarget) +
                 "; " + DescribeLease(aState, aTarget) + givenUp);
  }
  aTarget.heardAt_ = aState.now_;
  aTarget.looksMissed_ = 0;
  if (aTarget.contact_ != Contact::Good) {
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
      if (!run->confirmedAt_) {
        MarkBegun(aState, FindItem(aState, run->item_).job_);
      }
      UpdateListedRun(aTarget, seen, *run, aState.now_);
      if (run->isTrial_ && run->hasPassedStart_) {
        aState.dirtyPools_.insert(aTarget.report_.pool_);
      }
      if (run->isLongRunning_ && run->percent_ == kAtWorkPercent) {
        ForgetCrashes(aState, run->item_);
      }
    } else {
      HandleUnrecordedRun(aState, aTarget, seen);
    }
  }
  if (aAnswer.ended_.size() < kMaxListedEnds) {
    ReleaseAbsent(aState, aTarget, aAnswer);
  }
}

} // namespace cuminbridge
