// Orders for VMs: plans, stores, sends and closes them.

#include "vm_orders.h"

#include <algorithm>
#include <utility>

#include "evidence.h"
#include "fleet_waves.h"
#include "targets.h"

namespace cuminbridge {

namespace {

// A VM that has not joined its new pool this long after the platform took the
// order is not expected there any more.
constexpr Millis kMoveTimeout(6000);
// An order that took longer than this to store is dropped, and planned anew if
// it is still wanted.
constexpr Millis kStoreLimit(500);
// After the platform refused an order, nothing is placed on the VM for this
// long.
constexpr Millis kRefusalPause(500);

// Why a stored order may not be sent, or null if it may. What held when it was
// planned must still hold.
const char*
ReasonNotToSend(FleetState& aState,
                const std::string& aVm,
                const VmOrder& aOrder)
{
  const auto* target = TargetOfVm(aState, aVm);
  if (target && !target->runs_.empty()) {
    return "not sent: its target has runs";
  }
  if (!aState.IsSoleOwner()) {
    return "not sent: the lease on the fleet may run out before it arrives";
  }
  // The next owner orders nothing for the VM for a fixed time after the
  // recorded one, so the order must be sent soon after it was recorded.
  return aState.now_ - aOrder.sentAt_ > kStoreLimit
           ? "not sent: storing it took too long"
           : nullptr;
}

// Whether the target's process may have begun after the operation that an
// answered order speaks of. The order itself may have been carried out long
// before its answer is known, and the target may be the one that it brought. If
// an earlier order was carried out and its answer lost, the platform answers a
// repeated one that it is done already.
bool
MayHaveBegunAfter(const FleetState& aState,
                  const std::string& aVm,
                  const VmOrder& aOrder,
                  const Target& aTarget)
{
  // Longest time for which an order of the previous owner is repeated.
  constexpr Millis kRepeatTime(10000);
  const auto unanswered = aState.unansweredOrders_.find(aVm);
  const auto firstSentAt = unanswered == aState.unansweredOrders_.end()
                             ? aOrder.sentAt_
                             : unanswered->second;
  if (aTarget.incarnationSeenAt_ >= firstSentAt) {
    return true;
  }
  const auto recordedAt = OrderedBeforeAt(aState, aVm);
  return recordedAt && aState.TimeOfDay() - *recordedAt < kRepeatTime &&
         WallTime(Millis(aTarget.startUnixMs_)) > *recordedAt;
}

// An order was carried out, as its answer or the list of VMs shows.
void
HandleCarriedOut(FleetState& aState,
                 const std::string& aVm,
                 VmOrder& aOrder,
                 const char* aShownBy)
{
  aOrder.isAnswered_ = true;
  aOrder.doneAt_ = aState.now_;
  auto* target = TargetOfVm(aState, aVm);
  if (target && MayHaveBegunAfter(aState, aVm, aOrder, *target)) {
    target->leavingUntil_ = aState.now_;
    target->isCordoned_ = false;
  } else if (target && !target->runs_.empty()) {
    // None was there when the order was sent, and an answer looks no different
    // if an earlier order was carried out. The next list tells.
    target->leavingUntil_ = aState.now_ + kOrderTimeout;
    aState.Log("target_doubted",
               "",
               "",
               target->report_.id_,
               "its VM was ordered away, and it has runs; order sent " +
                 FormatAge(aState, aOrder.sentAt_) + ", " + aShownBy + "; " +
                 DescribeVm(aState, *target) + "; " +
                 DescribeContact(aState, *target) + ", first seen " +
                 FormatAge(aState, target->incarnationSeenAt_));
    aState.Emit(RequestVmList{});
  } else if (target) {
    SetExited(*target);
  }
  aState.unansweredOrders_.erase(aVm);
  if (aOrder.isMaintenance_) {
    ++aState.counts_.maintenanceStarts_;
    auto& wave = aState.waves_[aOrder.wave_];
    wave.maintenanceBegun_.insert(aVm);
    wave.down_[aVm] = aState.now_;
    StoreWave effect;
    effect.wave_ = aOrder.wave_;
    effect.record_ = RecordOf(wave);
    aState.Emit(std::move(effect));
  } else {
    ++aState.counts_.moves_;
  }
}

} // namespace

std::optional<WallTime>
OrderedBeforeAt(const FleetState& aState, const std::string& aVm)
{
  const auto before = aState.orderAllowedFrom_.find(aVm);
  if (before == aState.orderAllowedFrom_.end()) {
    return std::nullopt;
  }
  return aState.TimeOfDay() +
         (before->second - OrderPause(aState.options_) - aState.now_);
}

Millis
OrderPause(const FleetOptions& aOptions)
{
  return aOptions.vmOrderLease_ + aOptions.clockSkew_;
}

Target*
TargetOfVm(FleetState& aState, const std::string& aVm)
{
  Target* found = nullptr;
  for (auto& [id, target] : aState.targets_) {
    // Unlisted targets count: such a target may have lost contact with the
    // store and nothing else.
    if (target.report_.vm_ == aVm && !target.hasExited_ &&
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

bool
MayOrder(const FleetState& aState, const std::string& aVm)
{
  const auto before = aState.orderAllowedFrom_.find(aVm);
  return before == aState.orderAllowedFrom_.end() ||
         before->second <= aState.now_;
}

void
PlanOrder(FleetState& aState, const std::string& aVm, VmOrder aOrder)
{
  aOrder.sentAt_ = aState.now_;
  if (auto* target = TargetOfVm(aState, aVm)) {
    target->leavingUntil_ = aState.now_ + kOrderTimeout;
  }
  aOrder.recordedAt_ = aState.TimeOfDay();
  aState.newOrders_.push_back({ aVm, aOrder.recordedAt_ });
  aState.mustStoreOrders_ = true;
  aState.isUrgent_ = true;
  aState.vmOrders_[aVm] = std::move(aOrder);
}

void
HandleVmOrderAnswer(FleetState& aState, const VmOrderAnswered& aAnswer)
{
  const auto found = aState.vmOrders_.find(aAnswer.vm_);
  if (found == aState.vmOrders_.end()) {
    return;
  }
  auto& order = found->second;
  auto* target = TargetOfVm(aState, aAnswer.vm_);
  if (aAnswer.outcome_ == VmOrderOutcome::Done) {
    HandleCarriedOut(aState, aAnswer.vm_, order, "it was answered");
    return;
  }
  if (aAnswer.outcome_ == VmOrderOutcome::Unknown) {
    return; // stays open until CloseOrders() finds that it timed out
  }
  static const char* const kOutcomes[] = {
    "done",
    "the VM is not up, or it is leaving",
    "no such VM, pool or wave, or a newer owner",
    "too many calls; nothing was done",
    "no answer",
  };
  aState.Log("vm_order_refused",
             "",
             "",
             aAnswer.vm_,
             kOutcomes[static_cast<int>(aAnswer.outcome_)]);
  if (order.isMaintenance_) {
    aState.waves_[order.wave_].down_.erase(aAnswer.vm_);
  }
  if (target) {
    target->leavingUntil_ = aState.now_ + kRefusalPause;
  }
  aState.vmOrders_.erase(found);
}

void
AddOrdersToBatch(FleetState& aState, StoreProgress& aBatch)
{
  if (aState.mustStoreDemandPeaks_) {
    aState.mustStoreDemandPeaks_ = false;
    aBatch.hasDemandPeaks_ = true;
    for (const auto& [pool, peak] : aState.demandPeaks_) {
      if (HasHadPeak(peak)) {
        aBatch.demandPeaks_.push_back(peak.lastPeak_);
      }
    }
  }
  if (!aState.mustStoreOrders_) {
    return;
  }
  aState.mustStoreOrders_ = false;
  aBatch.hasOrders_ = true;
  aBatch.orders_ = std::exchange(aState.newOrders_, {});
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
    if (const char* why = ReasonNotToSend(aState, vm, order)) {
      aState.Log("vm_order_dropped", "", "", vm, why);
      if (order.isMaintenance_) {
        aState.waves_[order.wave_].down_.erase(vm);
      }
      it = aState.vmOrders_.erase(it);
      continue;
    }
    order.isStored_ = true;
    order.sentAt_ = aState.now_;
    if (auto* target = TargetOfVm(aState, vm)) {
      target->leavingUntil_ = aState.now_ + kOrderTimeout;
    }
    aState.Log(order.isMaintenance_ ? "vm_upkeep" : "vm_move",
               "",
               "",
               vm,
               order.isMaintenance_
                 ? "maintenance for wave " + std::to_string(order.wave_)
                 : "move to pool " + order.pool_);
    if (order.isMaintenance_) {
      aState.Emit(MaintainVm{ vm, order.wave_ });
    } else {
      aState.Emit(MoveVm{ vm, order.pool_ });
    }
    ++it;
  }
}

void
ConfirmOrders(FleetState& aState)
{
  std::vector<std::string> carriedOut;
  for (const auto& [name, order] : aState.vmOrders_) {
    const auto vm = aState.vms_.find(name);
    if (!order.isStored_ || order.isAnswered_ || vm == aState.vms_.end() ||
        aState.vmsSeen_ < order.sentAt_) {
      continue;
    }
    if (order.isMaintenance_ ? vm->second.state_ == VmState::Maintenance
                             : vm->second.pool_ == order.pool_) {
      carriedOut.push_back(name);
    }
  }
  for (const auto& vm : carriedOut) {
    aState.Log("vm_order_seen", "", "", vm, "the list of VMs shows its effect");
    HandleCarriedOut(
      aState, vm, aState.vmOrders_.at(vm), "the list of VMs shows it");
  }
}

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
                             !target->hasExited_;
      const bool isListed = aState.vmsSeen_ > *order.doneAt_ + kListLag &&
                            IsUp(aState, vm) &&
                            aState.vms_.at(vm).pool_ == order.pool_;
      const auto* pool = FindPool(aState.config_, order.pool_);
      isOver = order.isMaintenance_ || hasJoined ||
               (pool && pool->isStandby_ && isListed) ||
               aState.now_ > *order.doneAt_ + kMoveTimeout;
    } else {
      isOver = order.isStored_ && aState.now_ > order.sentAt_ + kOrderTimeout;
      if (isOver) {
        aState.unansweredOrders_.emplace(vm, order.sentAt_);
      }
    }
    it = isOver ? aState.vmOrders_.erase(it) : std::next(it);
  }
}

} // namespace cuminbridge
