// Updates pools and their targets after a change of the configuration or of the
// platform's list of VMs.

#include "routing.h"
#include "slots.h"

namespace cuminbridge::forwarder {

namespace {

TargetState&
FindOrAddTarget(Entry& aEntry, const std::string& aAddress)
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
      TargetState& old = FindOrAddTarget(aEntry, aEntry.options_.oldScheduler_);
      old.isOldScheduler_ = true;
      aPool.targets_.push_back(&old);
    }
    return;
  }
  for (const std::string& vm : aPool.config_->vms_) {
    TargetState& target = FindOrAddTarget(aEntry, vm);
    aPool.ejected_ += target.isEjected_ ? 1 : 0;
    AssignSlots(aEntry, target);
    aPool.targets_.push_back(&target);
  }
}

} // namespace

void
OnConfigInForce(EventContext& aContext, const SnapshotPtr& aOld)
{
  Entry& entry = aContext.entry_;
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
  DispatchAll(aContext);
}

void
OnVmListRead(EventContext& aContext, const VmListRead& aList)
{
  Entry& entry = aContext.entry_;
  for (const VmState& vm : aList.changed_) {
    entry.fleet_.vms_[vm.address_] = vm;
    const auto target = entry.routing_.targets_.find(vm.address_);
    if (target != entry.routing_.targets_.end()) {
      target->second.status_ = vm.status_;
    }
  }
  if (!aList.changed_.empty()) {
    DispatchAll(aContext);
  }
}

} // namespace cuminbridge::forwarder
