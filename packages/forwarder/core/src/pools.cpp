// Pools and their targets, as tickets and the platform's list change them.

#include "routing.h"
#include "slots.h"

namespace cuminbridge::forwarder {

namespace {

TargetState&
FindTarget(Entry& aEntry, const std::string& aAddress)
{
  TargetState& target = aEntry.routing_.targets_[aAddress];
  if (target.address_.empty()) {
    target.address_ = aAddress;
    const auto vm = aEntry.fleet_.vms_.find(aAddress);
    if (vm != aEntry.fleet_.vms_.end()) {
      target.status_ = vm->second.status_;
    }
  }
  return target;
}

void
RebuildTargets(Entry& aEntry, PoolState& aPool)
{
  aPool.targets_.clear();
  aPool.ejected_ = 0;
  if (aPool.config_->scheduler_ == Scheduler::Old) {
    if (!aEntry.options_.oldScheduler_.empty()) {
      TargetState& old = FindTarget(aEntry, aEntry.options_.oldScheduler_);
      old.isOldScheduler_ = true;
      aPool.targets_.push_back(&old);
    }
    return;
  }
  for (const std::string& vm : aPool.config_->vms_) {
    TargetState& target = FindTarget(aEntry, vm);
    aPool.ejected_ += target.isEjected_ ? 1 : 0;
    AssignSlots(aEntry, target);
    aPool.targets_.push_back(&target);
  }
}

} // namespace

void
OnConfigInForce(Turn& aTurn, const SnapshotPtr& aOld)
{
  Entry& entry = aTurn.entry_;
  const Config& config = *entry.agreement_.inForce_->config_;
  for (const auto& [name, pool] : config.pools_) {
    const bool isSame = aOld && aOld->config_->pools_.contains(name) &&
                        aOld->config_->pools_.at(name) == pool;
    PoolState& state = entry.routing_.pools_[name];
    if (!isSame || !state.config_) {
      state.config_ = pool;
      RebuildTargets(entry, state);
    }
  }
  DispatchAll(aTurn);
}

void
OnVmListRead(Turn& aTurn, const VmListRead& aList)
{
  Entry& entry = aTurn.entry_;
  for (const VmState& vm : aList.changed_) {
    entry.fleet_.vms_[vm.address_] = vm;
    const auto target = entry.routing_.targets_.find(vm.address_);
    if (target != entry.routing_.targets_.end()) {
      target->second.status_ = vm.status_;
    }
  }
  if (!aList.changed_.empty()) {
    DispatchAll(aTurn);
  }
}

} // namespace cuminbridge::forwarder
