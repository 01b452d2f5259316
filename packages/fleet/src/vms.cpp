// Which VMs move between pools: views for PlanMoves(), and what it decides.

#include "vms.h"

#include <algorithm>

#include "dispatch.h"
#include "fleet_waves.h"
#include "moves.h"
#include "vm_orders.h"

namespace cuminbridge {

namespace {

// VMs set out for a turn of demand this long before they have to, as a turn
// shows only after some of its jobs.
constexpr Millis kTurnLead(500);
// Idle VMs stay for a turn that comes within this: as long as parking them
// would have to last to be worth its two moves.
constexpr Millis kKeepForTurn(2500);

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
    auto& turn = aState.demandPeaks_[name];
    if (NoteDemand(turn, { view.offeredCpu_, view.capacityCpu_, now })) {
      turn.known_.pool_ = name;
      aState.mustStoreDemandPeaks_ = true;
      aState.Log(turn.isOn_ ? "turn_began" : "turn_ended",
                 "",
                 "",
                 "",
                 name + " offered " + std::to_string(view.offeredCpu_) +
                   " mean " + std::to_string(turn.known_.meanCpu_) +
                   " period " + std::to_string(turn.known_.period_.count()) +
                   " ms");
    }
    const auto soon = ExpectedCpu(aState.demandPeaks_, name, pools, now, lead);
    view.offeredCpu_ =
      std::max(view.offeredCpu_ + ExpectedRise(turn, lead), soon);
    const bool isNear =
      ExpectedCpu(aState.demandPeaks_, name, pools, now, lead + kKeepForTurn) >
      0;
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
    const auto offered = aState.offeredLoads_.find(pool.name_);
    if (offered != aState.offeredLoads_.end()) {
      constexpr double kThousandths = 1000;
      view.offeredCpu_ = static_cast<std::int64_t>(
        kThousandths *
        offered->second.At(aState.now_, offered->second.decayTime_));
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
    if (!order.isMaintenance_ && view != views.end()) {
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
  options.mostAtOnce_ = aState.options_.maxMovesPerPlan_;
  for (const auto& move : PlanMoves(MakePoolViews(aState), options)) {
    VmOrder order;
    order.pool_ = move.pool_;
    SendOrder(aState, move.vm_, std::move(order));
  }
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
PlanVms(FleetState& aState)
{
  if (!aState.mayOrderVms_ || aState.isReconciling_ ||
      aState.now_ < aState.nextPlan_ ||
      aState.now_ - aState.vmsSeen_ > kOrderDoubt) {
    return;
  }
  aState.nextPlan_ = aState.now_ + aState.options_.planInterval_;
  CloseOrders(aState);
  PlanWaves(aState);
  PlanAllMoves(aState);
}

} // namespace cuminbridge
