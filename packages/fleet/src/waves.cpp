// Which VM of a maintenance wave goes next.

#include "waves.h"

#include <algorithm>
#include <cmath>

namespace cuminbridge {

namespace {

// Busy VMs are emptied at a pace that ends after this part of the duration, so
// that the last ones have time to become empty: a late tenth costs as much as
// some thirty small jobs.
constexpr double kBusyPart = 0.5;
// Idle VMs are taken at a faster one, but not all together: they are what the
// next turn of demand needs.
constexpr double kIdlePart = 0.4;
constexpr Millis kIdleAhead(500); // a wave begins with what this time allows

// VMs whose upkeep should have begun, at a pace that ends after aPart of the
// duration.
int
CountDue(const WaveView& aWave, Millis aAge, double aPart)
{
  const auto duration = std::max<std::int64_t>(1, aWave.duration_.count());
  const double part =
    static_cast<double>(aAge.count()) / (aPart * static_cast<double>(duration));
  return static_cast<int>(
    std::ceil(std::min(1.0, part) * static_cast<double>(aWave.total_)));
}

} // namespace

WavePlan
PlanWave(const WaveView& aWave)
{
  WavePlan plan;
  const int begun = aWave.total_ - static_cast<int>(aWave.waiting_.size());
  const int ahead = CountDue(aWave, aWave.age_ + kIdleAhead, kIdlePart) - begun;
  int room = std::min(aWave.maxDown_ - aWave.down_, ahead);
  int cordoned = 0;
  std::vector<const WaveVm*> busy;
  for (const auto& vm : aWave.waiting_) {
    cordoned += vm.isCordoned_ ? 1 : 0;
    if (vm.isOrdered_ || !vm.isUp_) {
      continue;
    }
    if (vm.runs_ == 0 && room > 0) {
      plan.upkeep_.push_back(vm.name_);
      --room;
    } else if (!vm.isCordoned_ && vm.runs_ > 0) {
      busy.push_back(&vm);
    }
  }
  const int behind = CountDue(aWave, aWave.age_, kBusyPart) + 1 - begun;
  if (behind <= 0) {
    return plan;
  }
  // One more than can go down now, as it takes a while to become empty.
  std::sort(
    busy.begin(), busy.end(), [](const WaveVm* aLeft, const WaveVm* aRight) {
      return std::make_pair(aLeft->lastingRuns_, aLeft->runs_) <
             std::make_pair(aRight->lastingRuns_, aRight->runs_);
    });
  int wanted = std::min(aWave.maxDown_, behind) + 1 - cordoned;
  for (const auto* vm : busy) {
    if (wanted <= 0) {
      break;
    }
    plan.cordon_.push_back(vm->name_);
    --wanted;
  }
  return plan;
}

} // namespace cuminbridge
