// Work that leaves its target.

#include "relocate.h"

#include <algorithm>

#include "runs.h"

namespace cuminbridge {

namespace {

// Lasting work leaves a cordoned target even without room elsewhere after this.
constexpr Millis kEvacuateAnyway(3000);
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

bool
HasRoomElsewhere(FleetState& aState, const Target& aFrom, const ItemRef& aRef)
{
  for (const auto& [id, target] : aState.targets_) {
    if (id == aFrom.report_.id_ || !target.IsUsable(aState.now_) ||
        target.report_.pool_ != aFrom.report_.pool_) {
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
  for (auto& [id, target] : aState.targets_) {
    if (target.contact_ != Contact::Good ||
        (!target.isCordoned_ && !target.report_.isDraining_)) {
      continue;
    }
    const bool isLate =
      target.isCordoned_ && aState.now_ - target.cordonedAt_ > kEvacuateAnyway;
    for (auto& run : target.runs_) {
      const auto ref = FindItem(aState, run.item_);
      if (!run.isLasting_ || run.phase_ != RunPhase::Running || !ref.item_) {
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

} // namespace cuminbridge
