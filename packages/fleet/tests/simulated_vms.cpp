// The VMs of a SimulatedFleet, and the service that lists and moves them.

#include "simulated_fleet_parts.h"

namespace cuminbridge {

namespace {

constexpr Millis kNetworkDelay(2);     // one way, between any two processes
constexpr Millis kCallTimeout(1000);   // until an owner gives up an order
constexpr Millis kForever(1000000000); // longer than any test

} // namespace

void
SimulatedFleet::AddTarget(const std::string& aPool,
                          const std::string& aVm,
                          Instant aStartedAt,
                          bool aRejectsOverload)
{
  auto target = std::make_unique<SimulatedTarget>();
  const auto id = aPool + "-" + std::to_string(targets_.size());
  target->id_ = id;
  target->pool_ = aPool;
  target->vm_ = aVm.empty() ? "vm-" + id : aVm;
  target->dataCentre_ = std::to_string(targets_.size() % 2);
  target->startedAt_ = aStartedAt;
  target->incarnation_ = target->startedAt_.time_since_epoch().count();
  target->capacity_ = { 8000, 32000, 0 };
  target->capacities_[target->startedAt_] = target->capacity_;
  target->rejectsOverload_ = aRejectsOverload;
  vms_[target->vm_] = { aPool, id, {} };
  targets_[id] = std::move(target);
  if (!aRejectsOverload) {
    SendHeartbeats(id);
  }
}

void
SimulatedFleet::AddStandbyVms(int aCount)
{
  areVmsMoved_ = true;
  config_.pools_.push_back({ "standby", true, true });
  for (int index = 0; index < aCount; ++index) {
    vms_["vm-standby-" + std::to_string(index)] = { "standby", "", {} };
  }
}

// A VM whose target has ended is down until the next one begins.
std::vector<Vm>
SimulatedFleet::ListedVms() const
{
  std::vector<Vm> vms;
  for (const auto& [name, entry] : vms_) {
    Vm vm;
    vm.name_ = name;
    vm.pool_ = entry.pool_;
    vm.capacity_ = { 8000, 32000, 0 };
    vm.state_ = entry.movingUntil_ > now_ ? VmState::Moving : VmState::Up;
    const auto target = targets_.find(entry.target_);
    if (target != targets_.end()) {
      vm.capacity_ = target->second->capacity_;
      vm.dataCentre_ = target->second->dataCentre_;
    }
    if (vm.state_ == VmState::Up && target != targets_.end()) {
      const bool isDown = target->second->downUntil_ > now_;
      vm.state_ = isDown ? VmState::Down : VmState::Up;
      vm.target_ = isDown ? "" : entry.target_;
    }
    vms.push_back(std::move(vm));
  }
  return vms;
}

void
SimulatedFleet::CarryOutMove(const std::shared_ptr<SimulatedOwner>& aOwner,
                             const MoveVm& aMove)
{
  At(kNetworkDelay, [this, aOwner, aMove] {
    auto& vm = vms_.at(aMove.vm_);
    const bool isDone = vm.pool_ == aMove.pool_;
    const auto target = targets_.find(vm.target_);
    if (!isDone && target != targets_.end()) {
      EndProcess(*target->second);
      target->second->downUntil_ = now_ + kForever;
      target->second->delistedUntil_ = now_ + kForever;
    }
    if (!isDone) {
      const auto moveTime = FleetOptions{}.moveTime_;
      vm = { aMove.pool_, "", now_ + moveTime };
      if (!FindPool(config_, aMove.pool_)->isStandby_) {
        At(moveTime,
           [this, aMove] { AddTarget(aMove.pool_, aMove.vm_, now_, true); });
      }
    }
    const bool isAnswered = vmServiceAwayUntil_ <= now_;
    At(isAnswered ? kNetworkDelay : kCallTimeout,
       [this, aOwner, aMove, isAnswered] {
         Deliver(*aOwner,
                 VmOrderAnswered{ aMove.vm_,
                                  isAnswered ? VmOrderOutcome::Done
                                             : VmOrderOutcome::Unknown });
       });
  });
}

void
SimulatedFleet::RequestEvacuation(const std::string& aDataCentre)
{
  evacuations_.emplace(aDataCentre, now_);
}

void
SimulatedFleet::EndEvacuation(const std::string& aDataCentre)
{
  evacuations_.erase(aDataCentre);
}

void
SimulatedFleet::ListEvacuations(const std::shared_ptr<SimulatedOwner>& aOwner)
{
  constexpr Millis kInterval(1000);
  if (aOwner->hasEnded_ || aOwner->replacedAt_) {
    return;
  }
  const bool isReadable =
    ownerCutUntil_ <= now_ && evacuationsHiddenUntil_ <= now_;
  if (isReadable) {
    EvacuationsSeen seen;
    seen.askedAt_ = now_;
    At(kNetworkDelay, [this, aOwner, seen]() mutable {
      for (const auto& [dataCentre, askedAt] : evacuations_) {
        seen.dataCentres_.insert(dataCentre);
      }
      At(kNetworkDelay, [this, aOwner, seen] { Deliver(*aOwner, seen); });
    });
  }
  At(kInterval, [this, aOwner] { ListEvacuations(aOwner); });
}

// The owner may not know of the request for a part of the limit, in which a
// start that it sent may also be on its way.
void
SimulatedFleet::CheckEvacuation(const SimulatedTarget& aTarget,
                                const StartRun& aStart)
{
  const auto asked = evacuations_.find(aTarget.dataCentre_);
  if (asked != evacuations_.end() && now_ > asked->second + kEvacuationLimit) {
    ReportViolation("item started in an evacuated data centre: " +
                    FormatItem(aStart.item_));
  }
}

} // namespace cuminbridge
