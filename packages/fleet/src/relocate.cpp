// Moves work off its target.

#include "relocate.h"

#include <algorithm>

#include "evacuation/evacuation.h"
#include "jobs.h"
#include "run_speed.h"
#include "runs.h"
#include "target_record/deliveries.h"
#include "targets.h"

namespace cuminbridge {

namespace {

// Once a target has been cordoned for this long, long-running work leaves it
// even if no other target has free capacity. Its availability is still kept.
constexpr Millis kEvacuationWait(3000);
// A target that was found slow is avoided for this long, then tried again.
constexpr Millis kSlowPeriod(4000);
// Runs of one item that are stopped for being slow. After that the item itself
// is taken to need long, not its targets to be slow.
constexpr int kMaxReplacements = 2;
// What targets list as the progress of a long-running item that is at work.
constexpr int kAtWorkPercent = 100;

// Whether the target may still list runs that the former owner has stopped.
bool
MayListStoppedRuns(const FleetState& aState, const Target& aTarget)
{
  return aState.term_ > 1 &&
         aTarget.listedAt_ < aTarget.firstListedAt_ + aState.options_.stopTime_;
}

bool
IsAtWork(FleetState& aState, const ItemName& aName, const ItemState& aItem)
{
  // Renewals wait for up to 1 s, and each answer is followed by the next one.
  constexpr Millis kMaxListAge(2500);
  const auto target = aState.targets_.find(aItem.target_);
  if (aItem.phase_ != ItemPhase::Assigned || target == aState.targets_.end() ||
      target->second.contact_ != Contact::Good ||
      target->second.report_.isDraining_ || // stopped soon in any case
      MayListStoppedRuns(aState, target->second) ||
      aState.now_ - target->second.listedAt_ > kMaxListAge) {
    return false;
  }
  const auto* run = FindRun(target->second, aName, aItem.run_);
  return run && run->phase_ == RunPhase::Running &&
         run->percent_ == kAtWorkPercent;
}

// Whether the item may stop with no more items of its step away than the step
// allows. Items that are not at work count as away.
bool
MayStop(FleetState& aState, const ItemName& aName, const ItemRef& aRef)
{
  if (aRef.spec_->maxUnavailable_ == 0) {
    return true;
  }
  int away = 1; // the item that would be stopped
  auto name = aName;
  for (name.index_ = 0; name.index_ < aRef.spec_->count_; ++name.index_) {
    const auto& item =
      aRef.step_->items_[static_cast<std::size_t>(name.index_)];
    const bool isOther = name.index_ != aName.index_;
    away += isOther && !IsAtWork(aState, name, item) ? 1 : 0;
  }
  return away <= aRef.spec_->maxUnavailable_;
}

// Whether advice allows the target. True if none was asked for.
bool
IsAllowedByAdvice(const StepState& aStep, const std::string& aTarget)
{
  const auto ticket = aStep.tickets_.find(aTarget);
  return aStep.tickets_.empty() ||
         (ticket != aStep.tickets_.end() && !ticket->second.text_.empty());
}

bool
HasCapacityElsewhere(FleetState& aState,
                     const Target& aFrom,
                     const ItemRef& aRef)
{
  for (const auto& [id, target] : aState.targets_) {
    if (id == aFrom.report_.id_ || !target.IsUsable(aState.now_) ||
        !IsCapacityKnown(aState, target) ||
        target.report_.pool_ != aFrom.report_.pool_ ||
        target.slowUntil_ > aState.now_ ||
        !IsAllowedByAdvice(*aRef.step_, id)) {
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

} // namespace

void
Evacuate(FleetState& aState)
{
  std::map<std::string, WaitingWork> waiting;
  if (!aState.evacuations_.asked_.empty()) {
    waiting = WaitingWorkByPool(aState);
  }
  for (auto& [id, target] : aState.targets_) {
    if (target.contact_ != Contact::Good ||
        (!target.isCordoned_ && !target.report_.isDraining_ &&
         !MustBeEmptied(aState, target, waiting))) {
      continue;
    }
    const bool isOverdue =
      target.isCordoned_ && aState.now_ - target.cordonedAt_ > kEvacuationWait;
    for (auto& run : target.runs_) {
      const auto ref = FindItem(aState, run.item_);
      if (!run.isLongRunning_ || run.phase_ != RunPhase::Running ||
          !ref.item_) {
        continue;
      }
      const bool mayStop =
        target.report_.isDraining_ || MayStop(aState, run.item_, ref);
      if (mayStop && (isOverdue || HasCapacityElsewhere(aState, target, ref))) {
        Stop(
          aState, target, run, "its target is cordoned, evacuated or drains");
      }
    }
  }
}

void
ReplaceSlowRuns(FleetState& aState, Target& aTarget)
{
  std::vector<RunProgress> listed;
  for (const auto& run : aTarget.runs_) {
    if (const auto progress = ProgressOf(aState, aTarget, run)) {
      listed.push_back(*progress);
    }
  }
  const auto speed = SpeedOf(listed);
  if (!speed || *speed >= kSlowSpeed) {
    return;
  }
  const auto chance = ChanceOfUsualSpeed(aState, aTarget);
  if (chance && *chance >= kSlowChance) {
    return; // long runs, not a slow target
  }
  if (aTarget.slowUntil_ <= aState.now_) {
    aState.Log("target_slow",
               "",
               "",
               aTarget.report_.id_,
               "works at " + std::to_string(*speed) +
                 " of the expected speed, judged by " +
                 std::to_string(listed.size()) + " runs; " +
                 (chance
                    ? "chance of that at usual speed " + std::to_string(*chance)
                    : "usual run times are not learned yet"));
  }
  aTarget.slowUntil_ = aState.now_ + kSlowPeriod;
  for (auto& run : aTarget.runs_) {
    const auto progress = ProgressOf(aState, aTarget, run);
    const auto ref = FindItem(aState, run.item_);
    if (progress && IsWorthReplacing(*progress) &&
        ref.item_->slowReplacements_ < kMaxReplacements &&
        HasCapacityElsewhere(aState, aTarget, ref)) {
      ++ref.item_->slowReplacements_;
      ref.item_->avoidedTarget_ = aTarget.report_.id_;
      Stop(
        aState, aTarget, run, "its target is slow; it starts again elsewhere");
    }
  }
}

} // namespace cuminbridge
