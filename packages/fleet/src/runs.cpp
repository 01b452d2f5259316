// Runs on targets and their leases.

#include "runs.h"

#include <algorithm>

#include "contact/contact.h"
#include "crashes.h"
#include "evacuation/evacuation.h"
#include "jobs.h"
#include "late_starts/late_starts.h"
#include "restarts/restarts.h"
#include "targets.h"

namespace cuminbridge {

namespace {

constexpr double kSlowestClock = 1.02; // a target's clock may be 2% slow
// What a steady clock of another process may run ahead of this one's, and what
// is lost by counting in whole milliseconds.
constexpr double kFastestClock = 1.02;
constexpr std::int64_t kRoundingMs = 2;
// Run numbers that each owner has for one item. An owner's numbers lie above
// all that earlier owners gave out; no item is started this often by one owner.
constexpr std::int64_t kRunsPerTerm = 256;
// Pauses before the next start on a target ...
constexpr Millis kNoCapacityPause(300); // ... without free capacity
constexpr Millis kRejectedPause(1000);  // ... that rejected a start

// The highest run number that an earlier owner may have given out.
std::int64_t
LastRunOfEarlierTerms(const FleetState& aState)
{
  return (aState.term_ - 1) * kRunsPerTerm;
}

// Within this, a start has to reach its target.
Millis
StartTime(const FleetState& aState, const Target& aTarget)
{
  const auto& options = aState.options_;
  auto time = std::min(options.startTimeout_, options.targetLease_);
  const auto evacuations = TimeToReachTarget(
    aState.evacuations_, options.maxEvacuationsAge_, aState.now_);
  time = std::min(time, evacuations.value_or(time));
  if (aTarget.isEvacuated_) {
    time = std::min(
      time,
      std::chrono::duration_cast<Millis>(aTarget.closesAt_ - aState.now_));
  }
  if (!aState.targetsAskedAt_ || !aState.MayReachStore()) {
    return time;
  }
  return std::min(
    time, options.maxTargetsAge_ - (aState.now_ - *aState.targetsAskedAt_));
}

// Assigns a run's item to the run, if the item is waiting.
void
Assign(FleetState& aState, Run& aRun, Target& aTarget)
{
  const auto ref = FindItem(aState, aRun.item_);
  aRun.isSurplus_ = ref.item_ && ref.item_->phase_ != ItemPhase::Waiting;
  if (aRun.isSurplus_) {
    ++ref.item_->surplusRuns_;
  }
  if (!ref.item_ || aRun.isSurplus_) {
    return;
  }
  ref.item_->phase_ = ItemPhase::Assigned;
  --ref.job_->unassigned_;
  ref.item_->highestRun_ = ref.item_->LastRun();
  ref.item_->run_ = aRun.run_;
  ref.item_->target_ = aTarget.report_.id_;
  ++ref.step_->assigned_;
  if (!ref.job_->HasEnded()) {
    MarkDirty(aState, *ref.job_);
  }
}

// What the target's clock showed at least at that time.
std::int64_t
LeastClockAt(const Target& aTarget, Instant aAt)
{
  const auto elapsed = static_cast<double>((aAt - aTarget.clockAt_).count());
  const auto passed =
    elapsed < 0 ? elapsed * kFastestClock : elapsed / kSlowestClock;
  return aTarget.clockMs_ + static_cast<std::int64_t>(passed);
}

} // namespace

std::int64_t
ClockOf(const FleetState& aState, const Target& aTarget)
{
  return LeastClockAt(aTarget, aState.now_);
}

void
UpdateClock(FleetState& aState, Target& aTarget, std::int64_t aClockMs)
{
  if (aClockMs > 0 &&
      (aTarget.clockMs_ == 0 || aClockMs > ClockOf(aState, aTarget))) {
    aTarget.clockMs_ = aClockMs;
    aTarget.clockAt_ = aState.now_;
  }
}

std::int64_t
ExtendLease(const FleetState& aState, Target& aTarget, Millis aTime)
{
  const auto until = ClockOf(aState, aTarget) + aTime.count();
  aTarget.leaseUntil_ = std::max(aTarget.leaseUntil_, until);
  return until;
}

bool
HasClockRestarted(const Target& aTarget, std::int64_t aClockMs, Instant aSentAt)
{
  return aClockMs > 0 && aTarget.clockMs_ != 0 &&
         aClockMs + kRoundingMs < LeastClockAt(aTarget, aSentAt);
}

Run*
FindRun(Target& aTarget, const ItemName& aItem, std::int64_t aRun)
{
  for (auto& run : aTarget.runs_) {
    if (run.run_ == aRun && run.item_ == aItem) {
      return &run;
    }
  }
  return nullptr;
}

Run&
AddRun(FleetState& aState, Target& aTarget, Run aRun)
{
  const auto ref = FindItem(aState, aRun.item_);
  if (ref.spec_) {
    aRun.needs_ = ref.spec_->needs_;
    if (ref.spec_->isFiller_) {
      aRun.needs_.cpu_ = 0; // it uses only what other runs leave
    }
    aRun.account_ = ref.job_->job_.account_;
    aRun.isLongRunning_ = ref.spec_->isLongRunning_;
    aRun.isFiller_ = ref.spec_->isFiller_;
    aRun.targetLatency_ = ref.spec_->targetLatency_;
    aRun.isTrial_ = IsSuspect(*ref.item_);
    auto& sum = aState.running_[aRun.account_];
    sum += ref.spec_->needs_;
  }
  aTarget.used_ += aRun.needs_;
  Assign(aState, aRun, aTarget);
  aTarget.runs_.push_back(std::move(aRun));
  return aTarget.runs_.back();
}

void
Start(FleetState& aState,
      const ItemName& aItem,
      ItemRef aRef,
      Target& aTarget,
      std::int64_t aRun,
      std::string aTicket)
{
  Run run;
  run.item_ = aItem;
  run.run_ = std::max(aRun, LastRunOfEarlierTerms(aState) + 1);
  run.sentAt_ = aState.now_;
  run.isStartedByThisOwner_ = true;
  run.isStartPending_ = true;
  run.wasTargetInContact_ = IsInContact(aState, aTarget);
  run.progressBaseAt_ = aState.now_;
  StartRun effect;
  effect.target_ = aTarget.report_.id_;
  effect.address_ = aTarget.report_.address_;
  effect.process_ = aTarget.process_;
  effect.item_ = aItem;
  effect.run_ = run.run_;
  effect.spec_ = aRef.job_->job_.spec_;
  effect.checkpoint_ = aRef.item_->checkpoint_;
  effect.ticket_ = std::move(aTicket);
  // Short, so that a start that is held up on its way is rejected. The renewal
  // that follows at once extends it.
  effect.leaseUntil_ = ExtendLease(aState, aTarget, StartTime(aState, aTarget));
  AddRun(aState, aTarget, std::move(run));
  aState.watchedTargets_.insert(aTarget.report_.id_);
  ++aState.counts_.starts_;
  aState.Emit(std::move(effect));
}

void
ReleaseRun(FleetState& aState,
           Target& aTarget,
           const ItemName& aItem,
           std::int64_t aRun)
{
  const auto found = std::find_if(
    aTarget.runs_.begin(), aTarget.runs_.end(), [&](const Run& aThis) {
      return aThis.run_ == aRun && aThis.item_ == aItem;
    });
  if (found == aTarget.runs_.end()) {
    return;
  }
  const Run run = std::move(*found);
  aTarget.runs_.erase(found);
  aTarget.used_ -= run.needs_;
  if (aTarget.runs_.empty()) {
    aTarget.idleSince_ = aState.now_;
  }
  aState.dirtyPools_.insert(aTarget.report_.pool_);
  const auto ref = FindItem(aState, run.item_);
  if (!ref.item_) {
    return;
  }
  aState.running_[run.account_] -= ref.spec_->needs_;
  if (run.isSurplus_ && ref.item_->surplusRuns_ > 0) {
    --ref.item_->surplusRuns_;
    aState.dirtyPools_.insert(PoolOf(aState, *ref.job_));
  }
  if (ref.item_->phase_ == ItemPhase::Assigned && ref.item_->run_ == aRun &&
      ref.item_->target_ == aTarget.report_.id_) {
    ref.item_->phase_ = ItemPhase::Waiting;
    ++ref.job_->unassigned_;
    ref.item_->target_.clear();
    --ref.step_->assigned_;
    if (!run.checkpoint_.empty()) {
      ref.item_->checkpoint_ = run.checkpoint_;
    }
    aState.dirtyPools_.insert(PoolOf(aState, *ref.job_));
    if (!ref.job_->HasEnded()) {
      MarkDirty(aState, *ref.job_);
    }
  }
}

void
ReleaseAll(FleetState& aState,
           Target& aTarget,
           const Ground& aGround,
           PendingStarts aPending)
{
  std::vector<Run> lost;
  for (const auto& run : aTarget.runs_) {
    if (aPending == PendingStarts::Release || !run.AwaitsStartAnswer()) {
      lost.push_back(run);
    }
  }
  for (auto run = lost.rbegin(); run != lost.rend(); ++run) {
    NoteLoss(aState, aTarget, *run, aGround);
    ReleaseRun(aState, aTarget, run->item_, run->run_);
  }
  if (!lost.empty()) {
    NoteGivenUp(aState, aTarget);
  }
}

void
Stop(FleetState& aState, Target& aTarget, Run& aRun, const std::string& aWhy)
{
  if (aRun.phase_ != RunPhase::Stopping) {
    aState.Log("run_stopped",
               aRun.item_.job_,
               FormatItem(aRun.item_),
               aTarget.report_.id_,
               aWhy);
  }
  aRun.phase_ = RunPhase::Stopping;
  aRun.stopSentAt_ = aState.now_;
  aState.Emit(StopRun{ aTarget.report_.id_,
                       aTarget.report_.address_,
                       aTarget.process_,
                       aRun.item_,
                       aRun.run_ });
}

void
StopJob(FleetState& aState, const JobEntry& aJob, const char* aWhy)
{
  for (const auto& [number, occurrence] : aJob.occurrences_) {
    for (std::size_t step = 0; step < occurrence.steps_.size(); ++step) {
      const auto& items = occurrence.steps_[step].items_;
      for (std::size_t index = 0; index < items.size(); ++index) {
        if (items[index].target_.empty()) {
          continue;
        }
        auto& target = aState.targets_[items[index].target_];
        const ItemName name{
          aJob.job_.id_, number, static_cast<int>(step), static_cast<int>(index)
        };
        auto* run = FindRun(target, name, items[index].run_);
        if (run && run->phase_ != RunPhase::Stopping) {
          Stop(aState, target, *run, aWhy);
        }
      }
    }
  }
}

void
HandleStartAnswer(FleetState& aState, const StartAnswered& aAnswer)
{
  const auto found = aState.targets_.find(aAnswer.target_);
  if (found == aState.targets_.end()) {
    return;
  }
  auto& target = found->second;
  const bool hasRestarted =
    HasClockRestarted(target, aAnswer.clockMs_, aAnswer.sentAt_);
  if (hasRestarted) {
    // The target has restarted, and neither its report nor a renewal has shown
    // that yet. Leases on it now run on the clock of the new process.
    target.mayHaveRestarted_ = true;
    NumberProcess(aState, target, true);
    target.firstListedEnd_ = 0;
    target.lastListedEnd_ = 0;
    target.clockMs_ = 0;
    target.leaseUntil_ =
      std::min(target.leaseUntil_,
               aAnswer.clockMs_ + aState.options_.longestLease_.count());
  }
  // Else the process before may have answered.
  if (hasRestarted || aAnswer.sentAt_ > target.incarnationSeenAt_) {
    UpdateClock(aState, target, aAnswer.clockMs_);
  }
  if (aAnswer.clockMs_ != 0 &&
      aAnswer.outcome_ != StartOutcome::OtherIncarnation) {
    target.heardAt_ = aState.now_;
  }
  auto* run = FindRun(target, aAnswer.item_, aAnswer.run_);
  const auto ref = FindItem(aState, aAnswer.item_);
  if (aAnswer.outcome_ == StartOutcome::Unknown) {
    NoteUnansweredStart(aState, target, aAnswer.item_, run);
  } else if (aAnswer.outcome_ == StartOutcome::Started) {
    MarkBegun(aState, ref.job_);
  }
  if (!run) {
    return;
  }
  run->isStartPending_ = false;
  if (aAnswer.outcome_ == StartOutcome::Started) {
    if (ref.item_) {
      ref.item_->isStartUnanswered_ = false;
    }
    run->processEndedBy_.reset(); // the new process has started it
    run->isExplained_ = false;
    run->confirmedAt_ = aState.now_;
    if (run->phase_ == RunPhase::Starting) {
      run->phase_ = RunPhase::Running;
    }
    return;
  }
  ++aState.counts_.startsRefused_;
  static const char* const kOutcomeNames[] = {
    "started",
    "fenced by a newer owner",
    "run number is not newer than one that the target has seen",
    "lease had expired on arrival",
    "no free capacity",
    "ticket is not valid",
    "rejected by the target",
    "another process answers at its address",
    "request not sent",
    "no answer"
  };
  aState.Log("start_not_taken",
             aAnswer.item_.job_,
             FormatItem(aAnswer.item_),
             aAnswer.target_,
             kOutcomeNames[static_cast<int>(aAnswer.outcome_)]);
  if (aAnswer.outcome_ == StartOutcome::Unknown) {
    if (ref.item_) {
      ref.item_->isStartUnanswered_ = true;
      ref.item_->avoidedTarget_ = aAnswer.target_;
    }
    // The start may still be carried out. An answered stop rules that out.
    Stop(aState, target, *run, "its start was not answered");
    return;
  }
  ReleaseRun(aState, target, aAnswer.item_, aAnswer.run_);
  switch (aAnswer.outcome_) {
    case StartOutcome::Fenced:
      if (aAnswer.process_ == target.process_) {
        aState.Emit(StepDown{});
      }
      break;
    case StartOutcome::BadTicket:
      if (ref.step_) {
        ref.step_->tickets_.erase(aAnswer.target_);
      }
      break;
    case StartOutcome::OtherIncarnation:
      // Else it tells of the process before, which had another address.
      if (aAnswer.sentAt_ > target.incarnationSeenAt_) {
        ReleaseReplaced(aState, target, 0, aAnswer.clockMs_);
      }
      break;
    case StartOutcome::Rejected:
      target.avoidUntil_ = aState.now_ + kRejectedPause;
      break;
    case StartOutcome::TooLate:
    case StartOutcome::NotSent:
      target.contact_ = Contact::Unreconciled;
      target.nextRenewal_ = aState.now_;
      break;
    case StartOutcome::NoCapacity:
      target.avoidUntil_ = aState.now_ + kNoCapacityPause;
      target.contact_ = Contact::Unreconciled;
      target.nextRenewal_ = aState.now_;
      break;
    default:
      break;
  }
}

void
HandleStopAnswer(FleetState& aState, const StopAnswered& aAnswer)
{
  const auto found = aState.targets_.find(aAnswer.target_);
  if (found == aState.targets_.end()) {
    return;
  }
  auto* run = FindRun(found->second, aAnswer.item_, aAnswer.run_);
  if (aAnswer.isDone_) {
    found->second.heardAt_ = aState.now_;
  }
  if (run && aAnswer.isDone_ && !run->stoppedAt_) {
    run->stoppedAt_ = aState.now_;
  }
}

} // namespace cuminbridge
