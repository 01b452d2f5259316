// Orders for VMs: moves between pools and upkeep in waves.

#include "vms.h"

#include <algorithm>

#include "dispatch.h"
#include "moves.h"
#include "runs.h"
#include "waves.h"

namespace cuminbridge {

namespace {

// A VM is taken to be back once the platform has listed it as up this long
// after the order, which covers a list that was read before the order.
constexpr Millis kListLag(1200);
// An order without an answer may be carried out until then.
constexpr Millis kOrderDoubt(3000);
// A VM that was ordered to move is expected in its pool for this long.
constexpr Millis kMoveExpected(6000);
// An order whose record took longer to store is planned anew.
constexpr Millis kRecordTime(500);
constexpr Millis kBusyPause(500); // after the platform called a VM busy
// Lasting work leaves a cordoned target even without room elsewhere after this.
constexpr Millis kEvacuateAnyway(3000);
// VMs set out for a turn of demand this long before they have to, as a turn
// shows only after some of its jobs.
constexpr Millis kTurnLead(500);
// Idle VMs stay for a turn that comes within this: as long as parking them
// would have to last to be worth its two moves.
constexpr Millis kKeepForTurn(2500);
constexpr int kAtWork = 100; // percent of a lasting item that is at work

Target*
TargetOfVm(FleetState& aState, const std::string& aVm)
{
  Target* found = nullptr;
  for (auto& [id, target] : aState.targets_) {
    // Also one that the list has lost: it may be cut off from the store only.
    if (target.report_.vm_ == aVm && !target.isGone_ &&
        (!found || target.report_.born_ > found->report_.born_)) {
      found = &target;
    }
  }
  return found;
}

bool
HasOpenOrder(const FleetState& aState, const std::string& aVm)
{
  return aState.vmOrders_.count(aVm) != 0;
}

bool
IsUp(const FleetState& aState, const std::string& aVm)
{
  const auto vm = aState.vms_.find(aVm);
  return vm != aState.vms_.end() && vm->second.state_ == VmState::Up;
}

bool
IsInUpkeep(const FleetState& aState, const std::string& aVm)
{
  const auto vm = aState.vms_.find(aVm);
  return vm != aState.vms_.end() && vm->second.state_ == VmState::Upkeep;
}

int
CountLasting(const Target& aTarget)
{
  return static_cast<int>(std::count_if(
    aTarget.runs_.begin(), aTarget.runs_.end(), [](const Run& aRun) {
      return aRun.isLasting_;
    }));
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

//-----------------------------------------------------------------------------
// [SECTION] Waves
//-----------------------------------------------------------------------------

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

bool
IsKnownVm(const FleetState& aState, const std::string& aVm)
{
  return aState.vms_.count(aVm) != 0;
}

// Orders of the owner before us for this VM are long enough ago.
bool
MayOrder(const FleetState& aState, const std::string& aVm)
{
  const auto before = aState.orderedBefore_.find(aVm);
  return before == aState.orderedBefore_.end() || before->second <= aState.now_;
}

WaveRecord
RecordOf(const WaveState& aWave)
{
  return { aWave.seen_, { aWave.done_.begin(), aWave.done_.end() } };
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

//-----------------------------------------------------------------------------
// [SECTION] Moves
//-----------------------------------------------------------------------------

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

bool
IsMovable(const FleetState& aState, const std::string& aVm)
{
  return IsUp(aState, aVm) && !HasOpenOrder(aState, aVm) &&
         MayOrder(aState, aVm) && !IsInOpenWave(aState, aVm);
}

// Adds what is expected of the turns of demand, and learns from the views.
void
ApplyTurns(FleetState& aState, std::map<std::string, PoolView>& aViews)
{
  std::size_t pools = 0;
  for (const auto& [name, view] : aViews) {
    pools += view.isStandby_ ? 0 : 1;
  }
  const auto now = aState.TimeOfDay();
  const auto lead = aState.options_.moveTime_ + kTurnLead;
  for (auto& [name, view] : aViews) {
    if (view.isStandby_) {
      continue;
    }
    auto& turn = aState.turns_[name];
    if (NoteDemand(turn, { view.offeredCpu_, view.capacityCpu_, now })) {
      turn.known_.pool_ = name;
      aState.mustStoreTurns_ = true;
      aState.Log(turn.isOn_ ? "turn_began" : "turn_ended",
                 "",
                 "",
                 "",
                 name + " offered " + std::to_string(view.offeredCpu_) +
                   " mean " + std::to_string(turn.known_.meanCpu_) +
                   " period " + std::to_string(turn.known_.period_.count()) +
                   " ms");
    }
    const auto soon = ExpectedCpu(aState.turns_, name, pools, now, lead);
    view.offeredCpu_ =
      std::max(view.offeredCpu_ + ExpectedRise(turn, lead), soon);
    const bool isNear =
      ExpectedCpu(aState.turns_, name, pools, now, lead + kKeepForTurn) > 0;
    view.hadTurn_ = HasHadTurn(turn) && !isNear;
  }
}

std::vector<PoolView>
MakePoolViews(FleetState& aState)
{
  const auto demands = WaitingDemand(aState);
  std::map<std::string, PoolView> views;
  for (const auto& pool : aState.config_.pools_) {
    auto& view = views[pool.name_];
    view.name_ = pool.name_;
    view.isStandby_ = pool.isStandby_;
    const auto demand = demands.find(pool.name_);
    if (demand != demands.end()) {
      view.waitingCpu_ = demand->second.cpu_;
    }
    const auto offered = aState.offered_.find(pool.name_);
    if (offered != aState.offered_.end()) {
      constexpr double kThousandths = 1000;
      view.offeredCpu_ = static_cast<std::int64_t>(
        kThousandths *
        offered->second.At(aState.now_, offered->second.memory_));
    }
  }
  for (auto& [id, target] : aState.targets_) {
    const auto view = views.find(target.report_.pool_);
    if (view == views.end() || view->second.isStandby_ ||
        !target.IsUsable(aState.now_)) {
      continue;
    }
    ++view->second.size_;
    view->second.capacityCpu_ += target.report_.capacity_.cpu_;
    if (target.runs_.empty() && IsMovable(aState, target.report_.vm_)) {
      view->second.idle_.push_back({ target.report_.vm_,
                                     aState.now_ - target.idleSince_,
                                     target.report_.capacity_.cpu_ });
    }
  }
  for (const auto& [name, vm] : aState.vms_) {
    const auto view = views.find(vm.pool_);
    if (view != views.end() && view->second.isStandby_ &&
        IsMovable(aState, name)) {
      ++view->second.size_;
      view->second.idle_.push_back({ name, Millis(0), vm.capacity_.cpu_ });
    }
  }
  for (const auto& [name, order] : aState.vmOrders_) {
    const auto view = views.find(order.pool_);
    if (!order.isUpkeep_ && view != views.end()) {
      const auto vm = aState.vms_.find(name);
      view->second.comingCpu_ +=
        vm == aState.vms_.end() ? 0 : vm->second.capacity_.cpu_;
    }
  }
  ApplyTurns(aState, views);
  std::vector<PoolView> rows;
  rows.reserve(views.size());
  for (auto& [name, view] : views) {
    rows.push_back(std::move(view));
  }
  return rows;
}

void
PlanAllMoves(FleetState& aState)
{
  MoveOptions options;
  options.mostAtOnce_ = aState.options_.movesInPlan_;
  for (const auto& move : PlanMoves(MakePoolViews(aState), options)) {
    VmOrder order;
    order.pool_ = move.pool_;
    SendOrder(aState, move.vm_, std::move(order));
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
TakeVms(FleetState& aState, const VmsSeen& aSeen)
{
  aState.vms_.clear();
  for (const auto& vm : aSeen.vms_) {
    aState.vms_[vm.name_] = vm;
  }
  aState.vmsSeen_ = aSeen.askedAt_;
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

namespace {

// What held when the order was planned must still hold once it is stored.
bool
MaySend(FleetState& aState, const std::string& aVm, const VmOrder& aOrder)
{
  const auto* target = TargetOfVm(aState, aVm);
  const bool isIdle = !target || target->runs_.empty();
  // The next owner counts from the time in the record.
  const bool isRecent = aState.now_ - aOrder.sentAt_ <= kRecordTime;
  return aState.mayOrderVms_ && isIdle && isRecent;
}

} // namespace

void
SendStoredOrders(FleetState& aState)
{
  for (auto it = aState.vmOrders_.begin(); it != aState.vmOrders_.end();) {
    auto& [vm, order] = *it;
    if (order.isStored_ || !order.isInBatch_) {
      ++it;
      continue;
    }
    if (!MaySend(aState, vm, order)) {
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

void
PlanVms(FleetState& aState)
{
  if (!aState.mayOrderVms_ || aState.isLooking_ ||
      aState.now_ < aState.nextPlan_ ||
      aState.now_ - aState.vmsSeen_ > kOrderDoubt) {
    return;
  }
  aState.nextPlan_ = aState.now_ + aState.options_.planInterval_;
  CloseOrders(aState);
  MarkDue(aState);
  for (auto& [number, wave] : aState.waves_) {
    if (!wave.isCompleted_) {
      PlanOneWave(aState, wave);
    }
  }
  PlanAllMoves(aState);
}

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
