// Work items that ran where a target's process ended by itself.

#include "crashes.h"

#include <algorithm>

#include "jobs.h"
#include "runs.h"
#include "vm_orders.h"

namespace cuminbridge {

namespace {

// Crashes after which an item is given up: soon after its start ...
constexpr int kEarlyLimit = 2;
// ... likewise for long-running items, as the others of a job end with one ...
constexpr int kLongRunningLimit = 3;
// ... at any time while it surely ran ...
constexpr int kConfirmedLimit = 3;
// ... and with those where it may not have run, or another is the likely cause.
constexpr std::size_t kLimit = 5;
// Suspects that are tried together on one target.
constexpr int kMaxGroup = 8;

CrashKind
KindOf(const Run& aRun, Instant aEndedBy)
{
  if (!aRun.confirmedAt_ && aRun.isStartedByThisOwner_) {
    return aRun.wasTargetInContact_ ? CrashKind::Unanswered
                                    : CrashKind::Unreached;
  }
  if (!aRun.confirmedAt_ || aRun.mayHaveEnded_ || aRun.isExplained_) {
    return CrashKind::Uncertain;
  }
  return aRun.isStartedByThisOwner_ && !aRun.hasPassedStart_ &&
             aEndedBy - aRun.sentAt_ < kStartupTime
           ? CrashKind::Early
           : CrashKind::Late;
}

std::string
FormatTargets(const std::vector<Crash>& aCrashes)
{
  std::string targets;
  for (const auto& crash : aCrashes) {
    targets += targets.empty() ? "" : ", ";
    targets += crash.target_;
  }
  return targets;
}

// Whether an order of this owner or an earlier one may end the process. The one
// that joins once an order was carried out is not meant by it.
bool
IsOrdered(const FleetState& aState, const Target& aTarget)
{
  const auto& vm = aTarget.report_.vm_;
  const auto order = aState.vmOrders_.find(vm);
  if (order != aState.vmOrders_.end() && !order->second.isAnswered_) {
    return true;
  }
  const auto before = OrderedBeforeAt(aState, vm);
  return before && !MayOrder(aState, vm) &&
         WallTime(Millis(aTarget.startUnixMs_)) <= *before;
}

bool
IsStarting(const FleetState& aState, const Run& aRun)
{
  return aRun.isStartedByThisOwner_ &&
         aState.now_ - aRun.sentAt_ < kStartupTime;
}

// Whether the item may be tried beside others: its only crash says nothing
// about which run was the cause.
bool
MayShareTrial(const ItemState& aItem)
{
  return aItem.crashes_.size() == 1 &&
         aItem.crashes_.front().kind_ == CrashKind::Early;
}

bool
IsOnTrial(const FleetState& aState, const Run& aRun)
{
  const auto longest =
    aRun.confirmedAt_ ? kStartupTime : aState.options_.startTimeout_;
  return aRun.isTrial_ && !aRun.hasPassedStart_ &&
         aState.now_ - aRun.sentAt_ < longest;
}

} // namespace

bool
IsOverCrashLimit(const std::vector<Crash>& aCrashes, bool aIsLongRunning)
{
  int early = 0;
  int confirmed = 0;
  std::size_t unreached = 0;
  for (const auto& crash : aCrashes) {
    early += crash.kind_ == CrashKind::Early ? 1 : 0;
    confirmed +=
      crash.kind_ == CrashKind::Early || crash.kind_ == CrashKind::Late ? 1 : 0;
    unreached += crash.kind_ == CrashKind::Unreached ? 1 : 0;
  }
  // Targets that fall silent together are one event.
  const auto counted =
    aCrashes.size() - unreached + std::min<std::size_t>(unreached, 1);
  return early >= (aIsLongRunning ? kLongRunningLimit : kEarlyLimit) ||
         confirmed >= kConfirmedLimit || counted >= kLimit;
}

bool
IsSuspect(const ItemState& aItem)
{
  return std::any_of(
    aItem.crashes_.begin(), aItem.crashes_.end(), [](const Crash& aCrash) {
      return aCrash.kind_ == CrashKind::Early ||
             aCrash.kind_ == CrashKind::Unanswered ||
             aCrash.kind_ == CrashKind::Unreached;
    });
}

bool
IsCrash(const FleetState& aState, const Target& aTarget)
{
  // Without a start time the target was neither listed nor has it answered: it
  // may have drained.
  return aTarget.startUnixMs_ != 0 && !aTarget.report_.isDraining_ &&
         aTarget.leavingUntil_ <= aState.now_ && !IsOrdered(aState, aTarget);
}

void
NoteCrash(FleetState& aState, Target& aTarget)
{
  // A run that had lived until a later one started is hardly the cause if that
  // was on trial. Nor is one beyond its start if others were not. Of several
  // that were tried together, each is to be tried alone.
  std::optional<Instant> lastTrial;
  for (const auto& run : aTarget.runs_) {
    if (IsOnTrial(aState, run)) {
      lastTrial = std::max(lastTrial.value_or(run.sentAt_), run.sentAt_);
    }
  }
  const bool isGroup =
    lastTrial &&
    std::count_if(
      aTarget.runs_.begin(), aTarget.runs_.end(), [&](const Run& aRun) {
        return IsOnTrial(aState, aRun) && aRun.sentAt_ == *lastTrial;
      }) > 1;
  const bool hadStarting = CountStarting(aState, aTarget) > 0;
  for (auto& run : aTarget.runs_) {
    if (!run.processEndedBy_) {
      run.processEndedBy_ = aState.now_;
      run.isExplained_ = isGroup || (lastTrial && run.sentAt_ < *lastTrial) ||
                         (hadStarting && !IsStarting(aState, run));
    }
  }
}

std::optional<std::string>
CountCrash(FleetState& aState, const Target& aTarget, const Run& aRun)
{
  const auto ref = FindItem(aState, aRun.item_);
  if (!aRun.processEndedBy_ || aRun.AwaitsStartAnswer() || !ref.item_ ||
      ref.job_->HasEnded() ||
      (aRun.stoppedAt_ && *aRun.stoppedAt_ < *aRun.processEndedBy_) ||
      ref.item_->phase_ == ItemPhase::Done) {
    return std::nullopt;
  }
  auto& crashes = ref.item_->crashes_;
  const auto endedBy = *aRun.processEndedBy_;
  const auto kind = KindOf(aRun, endedBy);
  const bool isCounted =
    std::any_of(crashes.begin(), crashes.end(), [&](const Crash& aCrash) {
      return aCrash.run_ == aRun.run_;
    });
  if (isCounted || (aRun.isLongRunning_ && kind != CrashKind::Early)) {
    return std::nullopt;
  }
  crashes.push_back({ aTarget.report_.id_, aRun.run_, kind });
  ++aState.counts_.crashed_;
  ref.job_->hasCrashes_ = true;
  if (IsSuspect(*ref.item_)) {
    ref.step_->hasPassedTrial_ = false;
  }
  MarkDirty(aState, *ref.job_);
  aState.isUrgent_ = true;
  aState.Log("run_crashed",
             aRun.item_.job_,
             FormatItem(aRun.item_),
             aTarget.report_.id_,
             "its target's process ended at most " +
               std::to_string((endedBy - aRun.sentAt_).count()) +
               " ms after its start" +
               (aRun.confirmedAt_ ? "" : ", which was not answered") +
               (kind == CrashKind::Unreached
                  ? " by a target that had not answered shortly before"
                  : "") +
               (aRun.isExplained_ ? ", with another start there" : "") +
               "; crash " + std::to_string(crashes.size()) + " of the item");
  if (!IsOverCrashLimit(crashes, aRun.isLongRunning_)) {
    return std::nullopt;
  }
  aState.Log("crash_limit_reached",
             aRun.item_.job_,
             FormatItem(aRun.item_),
             aTarget.report_.id_,
             "targets that crashed under it: " + FormatTargets(crashes));
  return aRun.item_.job_;
}

void
GiveUp(FleetState& aState, const std::string& aJob)
{
  const auto job = aState.jobs_.find(aJob);
  if (job != aState.jobs_.end() && !job->second->HasEnded()) {
    EndJob(aState, *job->second, JobState::Failed);
  }
}

void
ReleaseEnded(FleetState& aState, Target& aTarget, const Ground& aGround)
{
  std::set<std::string> givenUp;
  if (IsCrash(aState, aTarget)) {
    NoteCrash(aState, aTarget);
  }
  for (const auto& run : aTarget.runs_) {
    if (auto job = CountCrash(aState, aTarget, run)) {
      givenUp.insert(std::move(*job));
    }
  }
  // Another process has answered, and may answer the starts on their way too:
  // that shows that these have not begun.
  ReleaseAll(aState, aTarget, aGround, PendingStarts::Keep);
  for (const auto& job : givenUp) {
    GiveUp(aState, job);
  }
}

void
ForgetCrashes(FleetState& aState, const ItemName& aItem)
{
  const auto ref = FindItem(aState, aItem);
  if (ref.item_ && !ref.item_->crashes_.empty()) {
    ref.item_->crashes_.clear();
    ref.item_->crashesInBatch_ = 0;
    ref.item_->crashesStored_ = 0;
    MarkDirty(aState, *ref.job_);
  }
}

std::size_t
CountStarting(const FleetState& aState, const Target& aTarget)
{
  return static_cast<std::size_t>(std::count_if(
    aTarget.runs_.begin(), aTarget.runs_.end(), [&](const Run& aRun) {
      return IsStarting(aState, aRun);
    }));
}

bool
HasTrial(const FleetState& aState, const Target& aTarget)
{
  return std::any_of(aTarget.runs_.begin(),
                     aTarget.runs_.end(),
                     [&](const Run& aRun) { return IsOnTrial(aState, aRun); });
}

bool
MayJoinTrial(FleetState& aState,
             const Target& aTarget,
             const ItemName& aName,
             const ItemState& aItem)
{
  int group = 0;
  for (const auto& run : aTarget.runs_) {
    if (!IsOnTrial(aState, run)) {
      continue;
    }
    const auto ref = FindItem(aState, run.item_);
    if (run.sentAt_ != aState.now_ || run.item_.job_ == aName.job_ ||
        !ref.item_ || !MayShareTrial(*ref.item_)) {
      return false;
    }
    ++group;
  }
  return MayShareTrial(aItem) && group > 0 && group < kMaxGroup;
}

bool
MayTrySuspect(FleetState& aState, StepState& aStep)
{
  bool isTrying = false;
  for (const auto& item : aStep.items_) {
    if (item.phase_ != ItemPhase::Assigned || !IsSuspect(item)) {
      continue;
    }
    const auto target = aState.targets_.find(item.target_);
    if (target == aState.targets_.end()) {
      continue;
    }
    for (const auto& run : target->second.runs_) {
      if (run.isTrial_ && run.run_ == item.run_ &&
          FindItem(aState, run.item_).item_ == &item) {
        // From a target that does not answer, nothing is learned.
        const bool isHeardOf = target->second.contact_ == Contact::Good;
        const bool isOnTrial = IsOnTrial(aState, run);
        isTrying = isTrying || (isHeardOf && isOnTrial);
        aStep.hasPassedTrial_ = aStep.hasPassedTrial_ || run.hasPassedStart_ ||
                                (isHeardOf && run.confirmedAt_ && !isOnTrial);
      }
    }
  }
  return aStep.hasPassedTrial_ || !isTrying;
}

} // namespace cuminbridge
