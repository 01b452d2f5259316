// Which VMs move between pools.

#include "moves.h"

#include <algorithm>

namespace cuminbridge {

namespace {

// The longest idle VM that a pool can spare, or null.
IdleVm*
Spare(PoolView& aPool, const MoveOptions& aOptions, Millis aIdle)
{
  const bool isTight =
    !aPool.isStandby_ && aPool.size_ <= aOptions.leastInPool_;
  if (aPool.idle_.empty() || isTight) {
    return nullptr;
  }
  auto longest =
    std::max_element(aPool.idle_.begin(),
                     aPool.idle_.end(),
                     [](const IdleVm& aLeft, const IdleVm& aRight) {
                       return aLeft.idle_ < aRight.idle_;
                     });
  return aPool.isStandby_ || longest->idle_ >= aIdle ? &*longest : nullptr;
}

void
Give(PoolView& aFrom, const IdleVm& aVm)
{
  --aFrom.size_;
  aFrom.idle_.erase(std::find(aFrom.idle_.begin(), aFrom.idle_.end(), aVm));
}

// Standby first, then the pool with the most idle VMs and nothing waiting.
PoolView*
ChooseDonor(std::vector<PoolView>& aPools,
            const PoolView& aNeedy,
            const MoveOptions& aOptions)
{
  PoolView* best = nullptr;
  for (auto& pool : aPools) {
    if (&pool == &aNeedy || MissingCpu(pool, aOptions) > 0 ||
        !Spare(pool, aOptions, aOptions.lendAfter_)) {
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
    static_cast<double>(aPool.offeredCpu_) / aOptions.fullPart_);
  std::int64_t idle = 0;
  for (const auto& vm : aPool.idle_) {
    idle += vm.cpu_;
  }
  return std::max(aPool.waitingCpu_ - idle, offered - aPool.capacityCpu_) -
         aPool.comingCpu_;
}

std::vector<Move>
PlanMoves(std::vector<PoolView> aPools, const MoveOptions& aOptions)
{
  std::vector<Move> moves;
  std::vector<PoolView*> needy;
  PoolView* standby = nullptr;
  for (auto& pool : aPools) {
    if (pool.isStandby_) {
      standby = &pool;
    } else if (MissingCpu(pool, aOptions) > 0) {
      needy.push_back(&pool);
    }
  }
  std::sort(needy.begin(),
            needy.end(),
            [&](const PoolView* aLeft, const PoolView* aRight) {
              return MissingCpu(*aLeft, aOptions) >
                     MissingCpu(*aRight, aOptions);
            });
  for (auto* pool : needy) {
    while (MissingCpu(*pool, aOptions) > 0 &&
           moves.size() < aOptions.mostAtOnce_) {
      auto* donor = ChooseDonor(aPools, *pool, aOptions);
      if (!donor) {
        break;
      }
      const IdleVm vm = *Spare(*donor, aOptions, aOptions.lendAfter_);
      Give(*donor, vm);
      pool->comingCpu_ += std::max<std::int64_t>(1, vm.cpu_);
      moves.push_back({ vm.name_, pool->name_ });
    }
  }
  if (!standby || !needy.empty()) {
    return moves;
  }
  for (auto& pool : aPools) {
    // A pool whose turn of demand is still to come keeps its VMs for it.
    while (!pool.isStandby_ && pool.hadTurn_ && pool.waitingCpu_ == 0 &&
           moves.size() < aOptions.mostAtOnce_) {
      const auto* vm = Spare(pool, aOptions, aOptions.parkAfter_);
      if (!vm) {
        break;
      }
      moves.push_back({ vm->name_, standby->name_ });
      Give(pool, IdleVm(*vm));
    }
  }
  return moves;
}

} // namespace cuminbridge
