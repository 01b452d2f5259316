// Moves of VMs between pools: makes the snapshots for PlanMoves() and carries
// out what it decides.

#include "vms.h"

#include <algorithm>

#include "ended_targets.h"
#include "evacuation/evacuation.h"
#include "fleet_waves.h"
#include "jobs.h"
#include "moves.h"
#include "scarcity/lending.h"
#include "vm_orders.h"
#include "waiting_work.h"

namespace cuminbridge {

namespace {

// VMs move for an expected demand peak this much earlier than the move itself
// takes. A peak is detected only after some of its jobs have arrived, so it
// really begins earlier than recorded.
constexpr Millis kPeakLead(500);
// Idle VMs stay in their pool if a peak is expected within this time after the
// lead. A shorter time on standby is not worth the two moves.
constexpr Millis kKeepForPeak(2500);

bool
IsMovable(const FleetState& aState, const std::string& aVm)
{
  return IsUp(aState, aVm) && !HasOpenOrder(aState, aVm) &&
         MayOrder(aState, aVm) && !IsDownForOpenWave(aState, aVm);
}

// Adds the VM of a target with runs to the snapshot of its pool, if it can move
// once they have ended.
void
AddBusyVm(FleetState& aState, const Target& aTarget, PoolView& aView)
{
  const auto& vm = aTarget.report_.vm_;
  BusyVm busy{
    vm, Millis(0), aTarget.report_.capacity_.cpu_, aTarget.used_.cpu_
  };
  for (const auto& run : aTarget.runs_) {
    const auto item = FindItem(aState, run.item_);
    if (run.isLongRunning_ || !item.job_) {
      return;
    }
    const auto left = ExpectedRunTime(aState, *item.job_, *item.spec_) -
                      (aState.now_ - run.sentAt_);
    busy.untilEmpty_ =
      std::max(busy.untilEmpty_, std::chrono::duration_cast<Millis>(left));
  }
  if (IsMovable(aState, vm)) {
    aView.busy_.push_back(std::move(busy));
  }
}

// The mean of the loads that all cells are offered, if all have reported
// recently. Jobs are divided evenly, so it tells better than the cell's own
// load what comes next.
std::int64_t
MeanOfferedCpu(const FleetState& aState,
               const std::string& aPool,
               std::int64_t aOwn)
{
  std::int64_t sum = aOwn;
  int cells = 1;
  for (const auto& [cell, peer] : aState.peers_) {
    const auto offered = peer.offeredCpu_.find(aPool);
    if (peer.IsRecent(aState.now_)) {
      ++cells;
      sum += offered == peer.offeredCpu_.end() ? 0 : offered->second;
    }
  }
  return cells == aState.options_.cells_ ? sum / cells : aOwn;
}

// Adds a demand sample for each pool, and to the snapshots what the peaks seen
// so far let expect.
void
ApplyPeaks(FleetState& aState, std::map<std::string, PoolView>& aViews)
{
  std::size_t pools = 0;
  for (const auto& [name, view] : aViews) {
    pools += view.isStandby_ ? 0 : 1;
  }
  const auto now = aState.TimeOfDay();
  const auto lead = aState.options_.moveTime_ + kPeakLead;
  for (auto& [name, view] : aViews) {
    if (view.isStandby_) {
      continue;
    }
    auto& peak = aState.demandPeaks_[name];
    const auto mean = MeanOfferedCpu(aState, name, view.offeredCpu_);
    view.offeredCpu_ = std::max(view.offeredCpu_, mean);
    if (AddDemandSample(peak, { mean, view.capacityCpu_, now })) {
      peak.lastPeak_.pool_ = name;
      aState.mustStoreDemandPeaks_ = true;
      aState.Log(peak.isActive_ ? "turn_began" : "turn_ended",
                 "",
                 "",
                 "",
                 "pool " + name + ": offered load " +
                   std::to_string(view.offeredCpu_) +
                   ", mean of the last whole peak " +
                   std::to_string(peak.lastPeak_.meanCpu_) +
                   " thousandths of a core, period " +
                   std::to_string(peak.lastPeak_.period_.count()) + " ms");
    }
    const auto soon =
      ExpectedPeakCpu(aState.demandPeaks_, name, pools, now, lead);
    view.offeredCpu_ =
      std::max(view.offeredCpu_ + ExpectedRise(peak, lead), soon);
    const bool isNear =
      ExpectedPeakCpu(
        aState.demandPeaks_, name, pools, now, lead + kKeepForPeak) > 0;
    view.isPastPeak_ = HasHadPeak(peak) && !isNear;
  }
}

std::vector<PoolView>
MakePoolViews(FleetState& aState)
{
  const auto waitingByPool = WaitingWorkByPool(aState);
  std::map<std::string, PoolView> views;
  std::map<std::string, std::int64_t> largestTarget; // cpu, by pool
  std::int64_t largestStandby = 0;                   // cpu
  for (const auto& pool : aState.config_.pools_) {
    auto& view = views[pool.name_];
    view.name_ = pool.name_;
    view.isStandby_ = pool.isStandby_;
    const auto waiting = waitingByPool.find(pool.name_);
    if (waiting != waitingByPool.end()) {
      view.waitingCpu_ = waiting->second.cpu_;
      view.lackingVms_ = waiting->second.lackingTargets_;
    }
    view.offeredCpu_ = OfferedCpu(aState, pool.name_);
  }
  for (auto& [id, target] : aState.targets_) {
    const auto view = views.find(target.report_.pool_);
    if (view == views.end() || view->second.isStandby_ ||
        !target.IsUsable(aState.now_)) {
      continue;
    }
    ++view->second.size_;
    view->second.capacityCpu_ += target.report_.capacity_.cpu_;
    auto& largest = largestTarget[target.report_.pool_];
    largest = std::max(largest, target.report_.capacity_.cpu_);
    view->second.usedCpu_ += target.used_.cpu_;
    if (!target.runs_.empty()) {
      AddBusyVm(aState, target, view->second);
    } else if (IsMovable(aState, target.report_.vm_)) {
      // A released one has been held empty for this.
      const auto idle = target.releasedUntil_ > aState.now_
                          ? MoveOptions().moveAfterIdle_
                          : Millis(0);
      view->second.idle_.push_back(
        { target.report_.vm_,
          std::max<Millis>(idle, aState.now_ - target.idleSince_),
          target.report_.capacity_.cpu_ });
    }
  }
  for (const auto& [name, vm] : aState.vms_) {
    const auto view = views.find(vm.pool_);
    if (view != views.end() && view->second.isStandby_ &&
        IsMovable(aState, name) && !IsEvacuated(aState, vm)) {
      ++view->second.size_;
      view->second.idle_.push_back({ name, Millis(0), vm.capacity_.cpu_ });
      largestStandby = std::max(largestStandby, vm.capacity_.cpu_);
    }
  }
  for (const auto& [name, work] : waitingByPool) {
    const auto view = views.find(name);
    // Idle targets are no capacity for an item that needs more than any has.
    if (view != views.end() && work.largestCpu_ > largestTarget[name] &&
        work.largestCpu_ <= largestStandby) {
      view->second.lackingVms_ = std::max(view->second.lackingVms_, 1);
    }
  }
  for (const auto& [name, order] : aState.vmOrders_) {
    const auto view = views.find(order.pool_);
    if (!order.isMaintenance_ && view != views.end()) {
      const auto vm = aState.vms_.find(name);
      view->second.incomingCpu_ +=
        vm == aState.vms_.end() || IsEvacuated(aState, vm->second)
          ? 0
          : vm->second.capacity_.cpu_;
    }
  }
  ApplyPeaks(aState, views);
  std::vector<PoolView> rows;
  rows.reserve(views.size());
  for (auto& [name, view] : views) {
    rows.push_back(std::move(view));
  }
  return rows;
}

// Holds back new work from VMs that other pools lack. Each plan renews this, so
// that a pool whose own load rises uses them again.
void
ReleaseVms(FleetState& aState,
           const std::vector<PoolView>& aPools,
           const MoveOptions& aOptions)
{
  const auto until = aState.now_ + 2 * aState.options_.planInterval_;
  for (const auto& vm : PlanReleases(aPools, aOptions)) {
    auto* target = TargetOfVm(aState, vm);
    if (target && target->releasedUntil_ <= aState.now_) {
      aState.Log("vm_released",
                 "",
                 "",
                 target->report_.id_,
                 "pool " + target->report_.pool_ +
                   " can spare it and others lack room; it takes no more work "
                   "until it moves or its pool needs it");
    }
    if (target) {
      target->releasedUntil_ = until;
    }
  }
}

void
PlanAllMoves(FleetState& aState)
{
  MoveOptions options;
  options.maxMoves_ = aState.options_.maxMovesPerPlan_;
  const auto pools = MakePoolViews(aState);
  aState.isRoomScarce_ =
    aState.options_.releasesVms_ && LackingCpu(pools, options) > 0;
  if (aState.options_.releasesVms_) {
    ReleaseVms(aState, pools, options);
  }
  for (const auto& move : PlanMoves(pools, options)) {
    VmOrder order;
    order.pool_ = move.pool_;
    PlanOrder(aState, move.vm_, std::move(order));
  }
}

} // namespace

void
HandleVms(FleetState& aState, const VmsSeen& aSeen)
{
  aState.vms_.clear();
  for (const auto& vm : aSeen.vms_) {
    aState.vms_[vm.name_] = vm;
  }
  aState.vmsSeen_ = aSeen.askedAt_;
  NoteMissingVms(aState);
  ConfirmOrders(aState);
  ReleaseEndedTargets(aState, aSeen);
}

void
PlanVms(FleetState& aState)
{
  if (!aState.IsSoleOwner() || aState.isReconciling_ ||
      aState.now_ < aState.nextPlan_ ||
      aState.now_ - aState.vmsSeen_ > kOrderTimeout) {
    return;
  }
  aState.nextPlan_ = aState.now_ + aState.options_.planInterval_;
  CloseOrders(aState);
  PlanWaves(aState);
  PlanAllMoves(aState);
}

} // namespace cuminbridge
