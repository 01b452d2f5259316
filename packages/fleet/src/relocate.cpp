// Work that leaves its target.

#include "relocate.h"

#include <algorithm>

#include "jobs.h"
#include "run_pace.h"
#include "runs.h"

namespace cuminbridge {

namespace {

// Lasting work leaves a cordoned target even without room elsewhere after this.
constexpr Millis kEvacuateAnyway(3000);
// A target that was found slow comes last for this long, then it is tried
// again.
constexpr Millis kSlowTime(4000);
// Runs of one item that are stopped for being slow: its own work may be long.
constexpr int kMostReplaced = 2;
constexpr int kAtWork = 100; // percent of a lasting item that is at work

bool
IsAtWork(FleetState& aState, const ItemName& aName, const ItemState& aItem)
{
  const auto target = aState.targets_.find(aItem.target_);
  if (aItem.phase_ != ItemPhase::Assigned || target == aState.targets_.end() ||
      target->second.contact_ != Contact::Good) {
    return false;
  }
  const auto* run = FindRun(target->second, aName, aItem.run_);
  return run && run->phase_ == RunPhase::Running && run->percent_ == kAtWork;
}

// Whether stopping one more item of the step keeps its availability.
bool
MayStop(FleetState& aState, const ItemName& aName, const ItemRef& aRef)
{
  if (aRef.spec_->maxUnavailable_ == 0) {
    return true;
  }
  int away = 1; // the one that would be stopped
  auto name = aName;
  for (name.index_ = 0; name.index_ < aRef.spec_->count_; ++name.index_) {
    const auto& item =
      aRef.step_->items_[static_cast<std::size_t>(name.index_)];
    const bool isOther = name.index_ != aName.index_;
    away += isOther && !IsAtWork(aState, name, item) ? 1 : 0;
  }
  return away <= aRef.spec_->maxUnavailable_;
}

// Whether advice allows the target, as far as it was asked for.
bool
IsAdvised(const StepState& aStep, const std::string& aTarget)
{
  const auto ticket = aStep.tickets_.find(aTarget);
  return aStep.tickets_.empty() ||
         (ticket != aStep.tickets_.end() && !ticket->second.text_.empty());
}

bool
HasRoomElsewhere(FleetState& aState, const Target& aFrom, const ItemRef& aRef)
{
  for (const auto& [id, target] : aState.targets_) {
    if (id == aFrom.report_.id_ || !target.IsUsable(aState.now_) ||
        target.report_.pool_ != aFrom.report_.pool_ ||
        target.slowUntil_ > aState.now_ || !IsAdvised(*aRef.step_, id)) {
      continue;
    }
    Resources free = target.report_.capacity_;
    free -= target.used_;
    int same = 0;
    for (const auto& run : target.runs_) {
      const bool isSame = FindItem(aState, run.item_).step_ == aRef.step_;
      same += isSame ? 1 : 0;
    }
    if (aRef.spec_->needs_.Fits(free) &&
        (aRef.spec_->maxPerTarget_ == 0 || same < aRef.spec_->maxPerTarget_)) {
      return true;
    }
  }
  return false;
}

// Nothing for a run whose pace tells nothing of its target.
std::optional<RunPace>
PaceOf(FleetState& aState, const Target& aTarget, const Run& aRun)
{
  const auto ref = FindItem(aState, aRun.item_);
  if (!ref.item_ || !aRun.progressFrom_ || aRun.isLongRunning_ ||
      aRun.isFiller_ || aRun.phase_ != RunPhase::Running ||
      ref.spec_->isGang_ || ref.spec_->prefersSameRack_) {
    return std::nullopt;
  }
  const bool isRemote = !ref.spec_->dataRack_.empty() &&
                        ref.spec_->dataRack_ != aTarget.report_.rack_;
  const double factor = isRemote ? aState.options_.remoteFactor_ : 1;
  const auto expected = ExpectRun(aState, *ref.job_, *ref.spec_);
  return RunPace{ aState.now_ - *aRun.progressFrom_,
                  std::chrono::duration_cast<Millis>(factor * expected),
                  aRun.percentThen_,
                  aRun.percent_ };
}

} // namespace

void
Evacuate(FleetState& aState)
{
  for (auto& [id, target] : aState.targets_) {
    if (target.contact_ != Contact::Good ||
        (!target.isCordoned_ && !target.report_.isDraining_)) {
      continue;
    }
    const bool isLate =
      target.isCordoned_ && aState.now_ - target.cordonedAt_ > kEvacuateAnyway;
    for (auto& run : target.runs_) {
      const auto ref = FindItem(aState, run.item_);
      if (!run.isLongRunning_ || run.phase_ != RunPhase::Running ||
          !ref.item_) {
        continue;
      }
      const bool mayStop =
        target.report_.isDraining_ || MayStop(aState, run.item_, ref);
      if (mayStop && (isLate || HasRoomElsewhere(aState, target, ref))) {
        Stop(aState, target, run, "moved off its target");
      }
    }
  }
}

void
ReplaceSlowRuns(FleetState& aState, Target& aTarget)
{
  std::vector<RunPace> paces;
  for (const auto& run : aTarget.runs_) {
    if (const auto pace = PaceOf(aState, aTarget, run)) {
      paces.push_back(*pace);
    }
  }
  const auto speed = SpeedOf(paces);
  if (!speed || *speed >= kSlowSpeed) {
    return;
  }
  if (aTarget.slowUntil_ <= aState.now_) {
    aState.Log("target_slow",
               "",
               "",
               aTarget.report_.id_,
               "speed " + std::to_string(*speed) + " of " +
                 std::to_string(paces.size()) + " runs");
  }
  aTarget.slowUntil_ = aState.now_ + kSlowTime;
  for (auto& run : aTarget.runs_) {
    const auto pace = PaceOf(aState, aTarget, run);
    const auto ref = FindItem(aState, run.item_);
    if (pace && IsWorthReplacing(*pace) &&
        ref.item_->replaced_ < kMostReplaced &&
        HasRoomElsewhere(aState, aTarget, ref)) {
      ++ref.item_->replaced_;
      ref.item_->avoid_ = aTarget.report_.id_;
      Stop(aState, aTarget, run, "too slow on its target");
    }
  }
}

} // namespace cuminbridge
