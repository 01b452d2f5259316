// Which busy VMs take no more work while other pools lack room. The load:
// demand peaks that follow each other from pool to pool.

#include <algorithm>

#include <catch2/catch.hpp>

#include "scarcity/lending.h"

using namespace cuminbridge;

namespace {

constexpr std::int64_t kVmCpu = 32000;

// A pool after its peak: each VM still has a little work.
PoolView
MakeEbbing(int aVms, std::int64_t aUsedOnEach)
{
  PoolView pool;
  pool.name_ = "ebbing";
  pool.size_ = aVms;
  pool.capacityCpu_ = aVms * kVmCpu;
  pool.usedCpu_ = aVms * aUsedOnEach;
  for (int number = 0; number < aVms; ++number) {
    pool.busy_.push_back({ "vm-" + std::to_string(number),
                           Millis(100 + 50 * number),
                           kVmCpu,
                           aUsedOnEach });
  }
  return pool;
}

PoolView
MakeFlooded(std::int64_t aWaitingCpu)
{
  PoolView pool;
  pool.name_ = "flooded";
  pool.size_ = 10;
  pool.capacityCpu_ = 10 * kVmCpu;
  pool.usedCpu_ = pool.capacityCpu_;
  pool.waitingCpu_ = aWaitingCpu;
  return pool;
}

} // namespace

TEST_CASE("a pool after its peak releases the VMs that are empty first")
{
  const auto released =
    PlanReleases({ MakeEbbing(20, 7000), MakeFlooded(5 * kVmCpu) }, {});
  CHECK(released ==
        std::vector<std::string>{ "vm-0", "vm-1", "vm-2", "vm-3", "vm-4" });
}

TEST_CASE("idle VMs and VMs on their way come before busy ones")
{
  auto ebbing = MakeEbbing(20, 7000);
  ebbing.idle_ = { { "idle-0", Millis(0), kVmCpu },
                   { "idle-1", Millis(0), kVmCpu } };
  auto flooded = MakeFlooded(5 * kVmCpu);
  flooded.incomingCpu_ = 2 * kVmCpu;
  CHECK(PlanReleases({ ebbing, flooded }, {}).size() == 1);
  flooded.incomingCpu_ = 3 * kVmCpu;
  CHECK(PlanReleases({ ebbing, flooded }, {}).empty());
}

TEST_CASE("a pool keeps what its own work needs, now and soon")
{
  const auto flooded = MakeFlooded(100 * kVmCpu);
  auto ebbing = MakeEbbing(20, 7000);
  // 20 x 7 of 20 x 32 cores are in use; what the released VMs use will end.
  const auto released = PlanReleases({ ebbing, flooded }, {});
  CHECK(released.size() == 18);
  ebbing.offeredCpu_ = 10 * kVmCpu * 8 / 10; // a peak that is expected
  CHECK(PlanReleases({ ebbing, flooded }, {}).size() == 10);
  ebbing.offeredCpu_ = 20 * kVmCpu;
  CHECK(PlanReleases({ ebbing, flooded }, {}).empty());
  ebbing.offeredCpu_ = 0;
  ebbing.waitingCpu_ = 1000;
  CHECK(PlanReleases({ ebbing, flooded }, {}).empty());
}

TEST_CASE("VMs that stay busy for long are not released")
{
  auto ebbing = MakeEbbing(4, 7000);
  for (auto& vm : ebbing.busy_) {
    vm.untilEmpty_ = Millis(8000);
  }
  CHECK(PlanReleases({ ebbing, MakeFlooded(100 * kVmCpu) }, {}).empty());
}

TEST_CASE("nothing is released while no pool lacks room")
{
  CHECK(PlanReleases({ MakeEbbing(20, 100), MakeFlooded(0) }, {}).empty());
}
