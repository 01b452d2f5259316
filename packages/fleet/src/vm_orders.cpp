// Orders for VMs: recorded, sent, answered, closed.

#include "vm_orders.h"

#include <algorithm>

#include "fleet_waves.h"
#include "runs.h"

namespace cuminbridge {

namespace {

// A VM that was ordered to move is expected in its pool for this long.
constexpr Millis kMoveExpected(6000);
// An order whose record took longer to store is planned anew.
constexpr Millis kRecordTime(500);
constexpr Millis kBusyPause(500); // after the platform called a VM busy

// Why an order that was planned and is now stored may not be sent: what held
// then must still hold. Null if it may.
const char*
WhyNotToSend(FleetState& aState, const std::string& aVm, const VmOrder& aOrder)
{
  const auto* target = TargetOfVm(aState, aVm);
  if (target && !target->runs_.empty()) {
    return "work runs there";
  }
  if (!aState.mayOrderVms_) {
    return "the lease may run out";
  }
  // The next owner counts from the time in the record.
  return aState.now_ - aOrder.sentAt_ > kRecordTime ? "stored too late"
                                                    : nullptr;
}

} // namespace

Target*
TargetOfVm(FleetState& aState, const std::string& aVm)
{
  Target* found = nullptr;
  for (auto& [id, target] : aState.targets_) {
    // Also one that the list has lost: it may be cut off from the store only.
    if (target.report_.vm_ == aVm && !target.isGone_ &&
        (!found || target.report_.startUnixMs_ > found->report_.startUnixMs_)) {
      found = &target;
    }
  }
  return found;
}

bool
IsUp(const FleetState& aState, const std::string& aVm)
{
  const auto vm = aState.vms_.find(aVm);
  return vm != aState.vms_.end() && vm->second.state_ == VmState::Up;
}

bool
HasOpenOrder(const FleetState& aState, const std::string& aVm)
{
  return aState.vmOrders_.count(aVm) != 0;
}

// Orders of the owner before us for this VM are long enough ago.
bool
MayOrder(const FleetState& aState, const std::string& aVm)
{
  const auto before = aState.orderedBefore_.find(aVm);
  return before == aState.orderedBefore_.end() || before->second <= aState.now_;
}

void
SendOrder(FleetState& aState, const std::string& aVm, VmOrder aOrder)
{
  aOrder.sentAt_ = aState.now_;
  if (auto* target = TargetOfVm(aState, aVm)) {
    target->leavingUntil_ = aState.now_ + kOrderDoubt;
  }
  aOrder.recordedAt_ = aState.TimeOfDay();
  aState.recentOrders_.push_back({ aVm, aOrder.recordedAt_ });
  aState.mustStoreOrders_ = true;
  aState.isUrgent_ = true;
  aState.vmOrders_[aVm] = std::move(aOrder);
}

void
TakeVmOrder(FleetState& aState, const VmOrderAnswered& aAnswer)
{
  const auto found = aState.vmOrders_.find(aAnswer.vm_);
  if (found == aState.vmOrders_.end()) {
    return;
  }
  auto& order = found->second;
  auto* target = TargetOfVm(aState, aAnswer.vm_);
  if (aAnswer.outcome_ == VmOrderOutcome::Done) {
    order.isAnswered_ = true;
    order.doneAt_ = aState.now_;
    if (target) {
      target->isGone_ = true;
      ReleaseAll(aState, *target, "its VM was taken away");
    }
    if (order.isUpkeep_) {
      ++aState.counts_.upkeeps_;
      auto& wave = aState.waves_[order.wave_];
      wave.done_.insert(aAnswer.vm_);
      wave.down_[aAnswer.vm_] = aState.now_;
      StoreWave effect;
      effect.wave_ = order.wave_;
      effect.record_ = RecordOf(wave);
      aState.Emit(std::move(effect));
    } else {
      ++aState.counts_.moves_;
    }
    return;
  }
  if (aAnswer.outcome_ == VmOrderOutcome::Unknown) {
    return; // it stays open until its outcome must show
  }
  aState.Log("vm_order_refused",
             "",
             "",
             aAnswer.vm_,
             "outcome " + std::to_string(static_cast<int>(aAnswer.outcome_)));
  if (order.isUpkeep_) {
    aState.waves_[order.wave_].down_.erase(aAnswer.vm_);
  }
  if (target) {
    target->leavingUntil_ = aState.now_ + kBusyPause;
  }
  aState.vmOrders_.erase(found);
}

void
AddOrdersToBatch(FleetState& aState, StoreProgress& aBatch)
{
  if (aState.mustStoreTurns_) {
    aState.mustStoreTurns_ = false;
    aBatch.hasTurns_ = true;
    for (const auto& [pool, turn] : aState.turns_) {
      if (HasHadTurn(turn)) {
        aBatch.turns_.push_back(turn.known_);
      }
    }
  }
  if (!aState.mustStoreOrders_) {
    return;
  }
  aState.mustStoreOrders_ = false;
  aBatch.hasOrders_ = true;
  const auto apart = aState.options_.vmOrderLease_ + aState.options_.clockSkew_;
  while (!aState.recentOrders_.empty() &&
         aState.TimeOfDay() - aState.recentOrders_.front().at_ > apart) {
    aState.recentOrders_.pop_front();
  }
  aBatch.orders_.assign(aState.recentOrders_.begin(),
                        aState.recentOrders_.end());
  for (auto& [vm, order] : aState.vmOrders_) {
    order.isInBatch_ = true;
  }
}

void
SendStoredOrders(FleetState& aState)
{
  for (auto it = aState.vmOrders_.begin(); it != aState.vmOrders_.end();) {
    auto& [vm, order] = *it;
    if (order.isStored_ || !order.isInBatch_) {
      ++it;
      continue;
    }
    if (const char* why = WhyNotToSend(aState, vm, order)) {
      aState.Log("vm_order_dropped", "", "", vm, why);
      if (order.isUpkeep_) {
        aState.waves_[order.wave_].down_.erase(vm);
      }
      it = aState.vmOrders_.erase(it);
      continue;
    }
    order.isStored_ = true;
    order.sentAt_ = aState.now_;
    if (auto* target = TargetOfVm(aState, vm)) {
      target->leavingUntil_ = aState.now_ + kOrderDoubt;
    }
    aState.Log(order.isUpkeep_ ? "vm_upkeep" : "vm_move",
               "",
               "",
               vm,
               order.isUpkeep_ ? "wave " + std::to_string(order.wave_)
                               : "to " + order.pool_);
    if (order.isUpkeep_) {
      aState.Emit(UpkeepVm{ vm, order.wave_ });
    } else {
      aState.Emit(MoveVm{ vm, order.pool_ });
    }
    ++it;
  }
}

// Orders whose outcome shows in the list, or that were given up.
void
CloseOrders(FleetState& aState)
{
  for (auto it = aState.vmOrders_.begin(); it != aState.vmOrders_.end();) {
    const auto& [vm, order] = *it;
    bool isOver = false;
    if (order.isAnswered_) {
      const auto* target = TargetOfVm(aState, vm);
      const bool hasJoined = target && target->report_.pool_ == order.pool_ &&
                             target->contact_ == Contact::Good &&
                             !target->isGone_;
      const bool isListed = aState.vmsSeen_ > *order.doneAt_ + kListLag &&
                            IsUp(aState, vm) &&
                            aState.vms_.at(vm).pool_ == order.pool_;
      const auto* pool = FindPool(aState.config_, order.pool_);
      isOver = order.isUpkeep_ || hasJoined ||
               (pool && pool->isStandby_ && isListed) ||
               aState.now_ > *order.doneAt_ + kMoveExpected;
    } else {
      isOver = order.isStored_ && aState.now_ > order.sentAt_ + kOrderDoubt;
    }
    it = isOver ? aState.vmOrders_.erase(it) : std::next(it);
  }
}

} // namespace cuminbridge
