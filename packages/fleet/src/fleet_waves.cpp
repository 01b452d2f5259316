// Maintenance waves of the fleet: views for PlanWave(), and what it decides.

#include "fleet_waves.h"

#include <algorithm>

#include "vm_orders.h"
#include "waves.h"

namespace cuminbridge {

namespace {

bool
IsInUpkeep(const FleetState& aState, const std::string& aVm)
{
  const auto vm = aState.vms_.find(aVm);
  return vm != aState.vms_.end() && vm->second.state_ == VmState::Maintenance;
}

bool
IsKnownVm(const FleetState& aState, const std::string& aVm)
{
  return aState.vms_.count(aVm) != 0;
}

int
CountLasting(const Target& aTarget)
{
  return static_cast<int>(std::count_if(
    aTarget.runs_.begin(), aTarget.runs_.end(), [](const Run& aRun) {
      return aRun.isLongRunning_;
    }));
}

// Empties a target before its VM goes down.
void
Cordon(FleetState& aState, const std::string& aVm)
{
  if (auto* target = TargetOfVm(aState, aVm)) {
    target->isCordoned_ = true;
    target->cordonedAt_ = aState.now_;
    aState.Log("target_cordoned", "", "", target->report_.id_, "wave");
  }
}

WaveView
MakeWaveView(FleetState& aState, const WaveState& aWave)
{
  WaveView view;
  view.total_ = static_cast<int>(aWave.wave_.vms_.size());
  view.maxDown_ = aWave.wave_.maxDown_;
  view.age_ = aState.now_ - aWave.seenAt_;
  view.duration_ = aWave.wave_.duration_;
  view.down_ = static_cast<int>(aWave.down_.size());
  for (const auto& name : aWave.wave_.vms_) {
    // The owner before us may have ordered these without an answer.
    const bool mayBeDown = IsInUpkeep(aState, name) || !MayOrder(aState, name);
    view.down_ += mayBeDown && aWave.down_.count(name) == 0 ? 1 : 0;
    if (aWave.done_.count(name) != 0 || !IsKnownVm(aState, name)) {
      continue;
    }
    WaveVm vm;
    vm.name_ = name;
    vm.isUp_ = IsUp(aState, name);
    vm.isOrdered_ = HasOpenOrder(aState, name) || !MayOrder(aState, name);
    if (const auto* target = TargetOfVm(aState, name)) {
      vm.isCordoned_ = target->isCordoned_;
      vm.runs_ = static_cast<int>(target->runs_.size());
      vm.lastingRuns_ = CountLasting(*target);
      // What runs there is not known before it has told.
      vm.isUp_ = vm.isUp_ && target->contact_ == Contact::Good;
    } else {
      vm.isUp_ = vm.isUp_ && aState.vms_.at(name).target_.empty();
    }
    view.waiting_.push_back(std::move(vm));
  }
  return view;
}

void
PlanOneWave(FleetState& aState, WaveState& aWave)
{
  for (auto down = aWave.down_.begin(); down != aWave.down_.end();) {
    const auto order = aState.vmOrders_.find(down->first);
    const bool isBack = order == aState.vmOrders_.end() &&
                        IsUp(aState, down->first) &&
                        aState.vmsSeen_ > down->second + kListLag;
    const bool isNoMore =
      order == aState.vmOrders_.end() && !IsKnownVm(aState, down->first);
    down = isBack || isNoMore ? aWave.down_.erase(down) : std::next(down);
  }
  const auto view = MakeWaveView(aState, aWave);
  const auto plan = PlanWave(view);
  for (const auto& vm : plan.upkeep_) {
    VmOrder order;
    order.isUpkeep_ = true;
    order.wave_ = aWave.wave_.number_;
    aWave.down_[vm] = aState.now_;
    SendOrder(aState, vm, std::move(order));
  }
  for (const auto& vm : plan.cordon_) {
    Cordon(aState, vm);
  }
  if (view.waiting_.empty()) {
    aWave.isCompleted_ = true;
    const auto number = aWave.wave_.number_;
    aState.Emit(StoreWave{ number, RecordOf(aWave), true });
    aState.Log("wave_completed",
               "",
               "",
               "",
               std::to_string(number) + " after " +
                 std::to_string(view.age_.count()) + " ms");
  }
}

void
MarkDue(FleetState& aState)
{
  std::set<std::string> due;
  for (const auto& [number, wave] : aState.waves_) {
    if (wave.isCompleted_) {
      continue;
    }
    for (const auto& vm : wave.wave_.vms_) {
      if (wave.done_.count(vm) == 0) {
        due.insert(vm);
      }
    }
  }
  for (auto& [id, target] : aState.targets_) {
    target.isDueSoon_ = due.count(target.report_.vm_) != 0;
  }
}

} // namespace

WaveRecord
RecordOf(const WaveState& aWave)
{
  return { aWave.seen_, { aWave.done_.begin(), aWave.done_.end() } };
}

void
TakeWaves(FleetState& aState, const WavesSeen& aSeen)
{
  for (const auto& wave : aSeen.waves_) {
    if (aState.waves_.count(wave.number_) != 0) {
      continue;
    }
    auto& entry = aState.waves_[wave.number_];
    entry.wave_ = wave;
    entry.seenAt_ = aState.now_;
    entry.seen_ = aState.TimeOfDay();
    const auto loaded = aState.loadedWaves_.find(wave.number_);
    if (loaded != aState.loadedWaves_.end()) {
      const auto& record = loaded->second;
      entry.seen_ = std::min(entry.seen_, record.seen_);
      entry.seenAt_ = aState.now_ - (aState.TimeOfDay() - entry.seen_);
      entry.done_.insert(record.upkeepDone_.begin(), record.upkeepDone_.end());
      // Some may still be down; the list tells once it is fresh.
      for (const auto& vm : record.upkeepDone_) {
        entry.down_[vm] = aState.now_;
      }
    }
    StoreWave effect;
    effect.wave_ = wave.number_;
    effect.record_ = RecordOf(entry);
    aState.Emit(std::move(effect));
    aState.Log("wave_seen",
               "",
               "",
               "",
               std::to_string(wave.number_) + ": " +
                 std::to_string(wave.vms_.size()) + " VMs in " +
                 std::to_string(wave.duration_.count()) + " ms, " +
                 std::to_string(wave.maxDown_) + " at once");
  }
}

bool
IsInOpenWave(const FleetState& aState, const std::string& aVm)
{
  for (const auto& [number, wave] : aState.waves_) {
    if (!wave.isCompleted_ && wave.down_.count(aVm) != 0) {
      return true;
    }
  }
  return false;
}

void
PlanWaves(FleetState& aState)
{
  MarkDue(aState);
  for (auto& [number, wave] : aState.waves_) {
    if (!wave.isCompleted_) {
      PlanOneWave(aState, wave);
    }
  }
}

} // namespace cuminbridge
