// Which busy VMs take no more work, so that they can soon move.

#include "lending.h"

#include <algorithm>
#include <tuple>

namespace cuminbridge {

namespace {

// A VM that stays busy for longer comes too late for a peak of some seconds.
constexpr Millis kLongestRelease(3000);

struct Releasable
{
  PoolView* pool_ = nullptr;
  BusyVm vm_;
};

bool
IsLender(const PoolView& aPool, const MoveOptions& aOptions)
{
  return !aPool.isStandby_ && aPool.waitingCpu_ == 0 &&
         MissingCpu(aPool, aOptions) <= 0;
}

} // namespace

std::int64_t
LackingCpu(const std::vector<PoolView>& aPools, const MoveOptions& aOptions)
{
  std::int64_t lacking = 0;
  for (const auto& pool : aPools) {
    const auto missing = pool.isStandby_ ? 0 : MissingCpu(pool, aOptions);
    lacking += std::max<std::int64_t>(0, missing);
    if (missing <= 0) {
      for (const auto& vm : pool.idle_) {
        lacking -= vm.cpu_;
      }
    }
  }
  return lacking;
}

std::int64_t
SpareCpu(const PoolView& aPool, const MoveOptions& aOptions)
{
  const auto offered = static_cast<std::int64_t>(
    static_cast<double>(aPool.offeredCpu_) / aOptions.maxUtilisation_);
  return aPool.capacityCpu_ -
         std::max(offered, aPool.usedCpu_ + aPool.waitingCpu_);
}

std::vector<std::string>
PlanReleases(std::vector<PoolView> aPools, const MoveOptions& aOptions)
{
  auto lacking = LackingCpu(aPools, aOptions);
  std::vector<Releasable> releasable;
  for (auto& pool : aPools) {
    if (lacking <= 0 || !IsLender(pool, aOptions)) {
      continue;
    }
    for (const auto& vm : pool.busy_) {
      if (vm.untilEmpty_ <= kLongestRelease) {
        releasable.push_back({ &pool, vm });
      }
    }
  }
  std::sort(releasable.begin(),
            releasable.end(),
            [](const Releasable& aLeft, const Releasable& aRight) {
              return std::tie(aLeft.vm_.untilEmpty_, aLeft.vm_.name_) <
                     std::tie(aRight.vm_.untilEmpty_, aRight.vm_.name_);
            });
  std::vector<std::string> released;
  for (auto& [pool, vm] : releasable) {
    if (lacking <= 0) {
      break;
    }
    auto left = *pool;
    --left.size_;
    left.capacityCpu_ -= vm.cpu_;
    left.usedCpu_ -= vm.usedCpu_;
    if (left.size_ < aOptions.minVms_ || SpareCpu(left, aOptions) < 0) {
      continue;
    }
    *pool = std::move(left);
    lacking -= vm.cpu_;
    released.push_back(vm.name_);
  }
  return released;
}

} // namespace cuminbridge
