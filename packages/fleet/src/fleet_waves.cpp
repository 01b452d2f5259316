// Maintenance waves of the fleet: makes the snapshots for PlanWave() and
// carries out what it decides.

#include "fleet_waves.h"

#include <algorithm>

#include "ended_targets.h"
#include "vm_orders.h"
#include "waves.h"

namespace cuminbridge {

namespace {

bool
IsInMaintenance(const FleetState& aState, const std::string& aVm)
{
  const auto vm = aState.vms_.find(aVm);
  return vm != aState.vms_.end() && vm->second.state_ == VmState::Maintenance;
}

// Whether a VM of the wave has been removed from the fleet.
bool
IsRemoved(const WaveState& aWave, const std::string& aVm)
{
  const auto missing = aWave.listsWithout_.find(aVm);
  return missing != aWave.listsWithout_.end() &&
         missing->second >= kListsToBeGone;
}

int
CountLongRunning(const Target& aTarget)
{
  return static_cast<int>(std::count_if(
    aTarget.runs_.begin(), aTarget.runs_.end(), [](const Run& aRun) {
      return aRun.isLongRunning_;
    }));
}

// Lets no new runs onto a VM's target, so that it becomes empty and the VM can
// go down.
void
Cordon(FleetState& aState, const std::string& aVm)
{
  if (auto* target = TargetOfVm(aState, aVm)) {
    target->isCordoned_ = true;
    target->cordonedAt_ = aState.now_;
    aState.Log("target_cordoned",
               "",
               "",
               target->report_.id_,
               "no new runs, so that its VM can go down for a wave");
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
  view.isRoomScarce_ = aState.isRoomScarce_;
  view.down_ = static_cast<int>(aWave.down_.size());
  for (const auto& name : aWave.wave_.vms_) {
    // The previous owner may have sent an order for the VM that was not
    // answered.
    const bool mayBeDown =
      IsInMaintenance(aState, name) || !MayOrder(aState, name);
    view.down_ += mayBeDown && aWave.down_.count(name) == 0 ? 1 : 0;
    if (aWave.maintenanceBegun_.count(name) != 0 || IsRemoved(aWave, name)) {
      continue;
    }
    WaveVm vm;
    vm.name_ = name;
    vm.isUp_ = IsUp(aState, name);
    vm.hasOrder_ = HasOpenOrder(aState, name) || !MayOrder(aState, name);
    if (const auto* target = TargetOfVm(aState, name)) {
      vm.isCordoned_ = target->isCordoned_;
      vm.runs_ = static_cast<int>(target->runs_.size());
      vm.longRunningRuns_ = CountLongRunning(*target);
      // What runs there is unknown while the target does not answer.
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
    const bool isRemoved =
      order == aState.vmOrders_.end() && IsRemoved(aWave, down->first);
    down = isBack || isRemoved ? aWave.down_.erase(down) : std::next(down);
  }
  const auto view = MakeWaveView(aState, aWave);
  const auto plan = PlanWave(view);
  for (const auto& vm : plan.maintenance_) {
    VmOrder order;
    order.isMaintenance_ = true;
    order.wave_ = aWave.wave_.number_;
    aWave.down_[vm] = aState.now_;
    PlanOrder(aState, vm, std::move(order));
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
               "wave " + std::to_string(number) + " is completed, " +
                 std::to_string(view.age_.count()) +
                 " ms after it was first seen");
  }
}

void
MarkDueTargets(FleetState& aState)
{
  std::set<std::string> due;
  for (const auto& [number, wave] : aState.waves_) {
    if (wave.isCompleted_) {
      continue;
    }
    for (const auto& vm : wave.wave_.vms_) {
      if (wave.maintenanceBegun_.count(vm) == 0) {
        due.insert(vm);
      }
    }
  }
  for (auto& [id, target] : aState.targets_) {
    target.awaitsMaintenance_ = due.count(target.report_.vm_) != 0;
  }
}

} // namespace

WaveRecord
RecordOf(const WaveState& aWave)
{
  return { aWave.firstSeenAt_,
           { aWave.maintenanceBegun_.begin(), aWave.maintenanceBegun_.end() } };
}

void
HandleWaves(FleetState& aState, const WavesSeen& aSeen)
{
  for (const auto& wave : aSeen.waves_) {
    const auto known = aState.waves_.find(wave.number_);
    if (known != aState.waves_.end()) {
      known->second.wave_.maxDown_ = wave.maxDown_; // parts of cells change
      continue;
    }
    auto& entry = aState.waves_[wave.number_];
    entry.wave_ = wave;
    entry.seenAt_ = aState.now_;
    entry.firstSeenAt_ = aState.TimeOfDay();
    const auto loaded = aState.loadedWaves_.find(wave.number_);
    if (loaded != aState.loadedWaves_.end()) {
      const auto& record = loaded->second;
      entry.firstSeenAt_ = std::min(entry.firstSeenAt_, record.firstSeenAt_);
      entry.seenAt_ = aState.now_ - (aState.TimeOfDay() - entry.firstSeenAt_);
      entry.maintenanceBegun_.insert(record.maintenanceBegun_.begin(),
                                     record.maintenanceBegun_.end());
      // Some may still be down. PlanOneWave() removes each once a later list of
      // VMs shows it as up.
      for (const auto& vm : record.maintenanceBegun_) {
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
               "wave " + std::to_string(wave.number_) + ": maintenance of " +
                 std::to_string(wave.vms_.size()) + " VMs within " +
                 std::to_string(wave.duration_.count()) + " ms, at most " +
                 std::to_string(wave.maxDown_) + " down at once");
  }
}

void
NoteMissingVms(FleetState& aState)
{
  for (auto& [number, wave] : aState.waves_) {
    for (const auto& vm : wave.wave_.vms_) {
      if (aState.vms_.count(vm) != 0) {
        wave.listsWithout_.erase(vm);
      } else {
        ++wave.listsWithout_[vm];
      }
    }
  }
}

bool
IsDownForOpenWave(const FleetState& aState, const std::string& aVm)
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
  MarkDueTargets(aState);
  for (auto& [number, wave] : aState.waves_) {
    if (!wave.isCompleted_) {
      PlanOneWave(aState, wave);
    }
  }
}

} // namespace cuminbridge
