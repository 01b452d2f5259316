// Decides which VMs move between pools.

#include "moves.h"

#include <algorithm>

namespace cuminbridge {

namespace {

// The VM of a pool that has been idle longest, or null if the pool must keep
// all its VMs or none has been idle for aMinIdle. Standby VMs need not be idle.
IdleVm*
FindSpareVm(PoolView& aPool, const MoveOptions& aOptions, Millis aMinIdle)
{
  const bool mustKeepAll = !aPool.isStandby_ && aPool.size_ <= aOptions.minVms_;
  if (aPool.idle_.empty() || mustKeepAll) {
    return nullptr;
  }
  auto longest =
    std::max_element(aPool.idle_.begin(),
                     aPool.idle_.end(),
                     [](const IdleVm& aLeft, const IdleVm& aRight) {
                       return aLeft.idle_ < aRight.idle_;
                     });
  return aPool.isStandby_ || longest->idle_ >= aMinIdle ? &*longest : nullptr;
}

void
RemoveIdleVm(PoolView& aPool, const IdleVm& aVm)
{
  --aPool.size_;
  aPool.idle_.erase(std::find(aPool.idle_.begin(), aPool.idle_.end(), aVm));
}

// Standby first, else the pool with the most idle VMs that lacks no capacity
// itself. Null if no pool can spare a VM.
PoolView*
ChooseDonor(std::vector<PoolView>& aPools,
            const PoolView& aReceiver,
            const MoveOptions& aOptions)
{
  PoolView* best = nullptr;
  for (auto& pool : aPools) {
    if (&pool == &aReceiver || MissingCpu(pool, aOptions) > 0 ||
        !FindSpareVm(pool, aOptions, aOptions.moveAfterIdle_)) {
      continue;
    }
    const bool isBetter = !best || (pool.isStandby_ && !best->isStandby_) ||
                          (pool.isStandby_ == best->isStandby_ &&
                           pool.idle_.size() > best->idle_.size());
    if (isBetter) {
      best = &pool;
    }
  }
  return best;
}

} // namespace

std::int64_t
MissingCpu(const PoolView& aPool, const MoveOptions& aOptions)
{
  const auto offered = static_cast<std::int64_t>(
    static_cast<double>(aPool.offeredCpu_) / aOptions.maxUtilisation_);
  std::int64_t idle = 0;
  for (const auto& vm : aPool.idle_) {
    idle += vm.cpu_;
  }
  // At least 1 for a pool without VMs: their size is not known then.
  const std::int64_t vmCpu =
    aPool.size_ == 0
      ? 1
      : std::max<std::int64_t>(1, aPool.capacityCpu_ / aPool.size_);
  return std::max({ aPool.waitingCpu_ - idle,
                    offered - aPool.capacityCpu_,
                    aPool.lackingVms_ * vmCpu }) -
         aPool.incomingCpu_;
}

std::vector<Move>
PlanMoves(std::vector<PoolView> aPools, const MoveOptions& aOptions)
{
  std::vector<Move> moves;
  std::vector<PoolView*> receivers;
  PoolView* standby = nullptr;
  for (auto& pool : aPools) {
    if (pool.isStandby_) {
      standby = &pool;
    } else if (MissingCpu(pool, aOptions) > 0) {
      receivers.push_back(&pool);
    }
  }
  std::sort(receivers.begin(),
            receivers.end(),
            [&](const PoolView* aLeft, const PoolView* aRight) {
              return MissingCpu(*aLeft, aOptions) >
                     MissingCpu(*aRight, aOptions);
            });
  for (auto* pool : receivers) {
    while (MissingCpu(*pool, aOptions) > 0 &&
           moves.size() < aOptions.maxMoves_) {
      auto* donor = ChooseDonor(aPools, *pool, aOptions);
      if (!donor) {
        break;
      }
      const IdleVm vm = *FindSpareVm(*donor, aOptions, aOptions.moveAfterIdle_);
      RemoveIdleVm(*donor, vm);
      pool->incomingCpu_ += std::max<std::int64_t>(1, vm.cpu_);
      moves.push_back({ vm.name_, pool->name_ });
    }
  }
  if (!standby || !receivers.empty()) {
    return moves;
  }
  for (auto& pool : aPools) {
    // A pool keeps its VMs for a demand peak that is still to come.
    while (!pool.isStandby_ && pool.isPastPeak_ && pool.waitingCpu_ == 0 &&
           moves.size() < aOptions.maxMoves_) {
      const auto* vm = FindSpareVm(pool, aOptions, aOptions.standbyAfterIdle_);
      if (!vm) {
        break;
      }
      moves.push_back({ vm->name_, standby->name_ });
      RemoveIdleVm(pool, IdleVm(*vm));
    }
  }
  return moves;
}

} // namespace cuminbridge
