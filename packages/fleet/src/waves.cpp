// Decides which VMs of a maintenance wave go next.

#include "waves.h"

#include <algorithm>
#include <cmath>

namespace cuminbridge {

namespace {

// Busy VMs are cordoned at a pace that ends after this fraction of the
// duration, so that the last ones have time to become empty. A tenth of the
// wave that is late costs as much as some thirty small jobs.
constexpr double kBusyFraction = 0.5;
// Idle VMs go down at a faster pace, but not all together, as the next demand
// peak needs them.
constexpr double kIdleFraction = 0.4;
// Either pace while room is scarce. It leaves the last VMs time to become
// empty.
constexpr double kScarceFraction = 0.75;
// The pace for idle VMs is ahead by this time, so that a wave begins at once.
constexpr Millis kIdleAhead(500);

// VMs whose maintenance should have begun, at a pace that ends after aFraction
// of the duration.
int
CountDue(const WaveView& aWave, Millis aAge, double aFraction)
{
  const auto duration = std::max<std::int64_t>(1, aWave.duration_.count());
  const double fraction = static_cast<double>(aAge.count()) /
                          (aFraction * static_cast<double>(duration));
  return static_cast<int>(
    std::ceil(std::min(1.0, fraction) * static_cast<double>(aWave.total_)));
}

} // namespace

WavePlan
PlanWave(const WaveView& aWave)
{
  WavePlan plan;
  if (aWave.maxDown_ <= 0) {
    return plan;
  }
  const double idleFraction =
    aWave.isRoomScarce_ ? kScarceFraction : kIdleFraction;
  const double busyFraction =
    aWave.isRoomScarce_ ? kScarceFraction : kBusyFraction;
  const int begun = aWave.total_ - static_cast<int>(aWave.waiting_.size());
  const int idleDue =
    CountDue(aWave, aWave.age_ + kIdleAhead, idleFraction) - begun;
  int quota = std::min(aWave.maxDown_ - aWave.down_, idleDue);
  int cordoned = 0;
  std::vector<const WaveVm*> busy;
  for (const auto& vm : aWave.waiting_) {
    cordoned += vm.isCordoned_ ? 1 : 0;
    if (vm.hasOrder_ || !vm.isUp_) {
      continue;
    }
    if (vm.runs_ == 0 && quota > 0) {
      plan.maintenance_.push_back(vm.name_);
      --quota;
    } else if (!vm.isCordoned_ && vm.runs_ > 0) {
      busy.push_back(&vm);
    }
  }
  std::sort(
    busy.begin(), busy.end(), [](const WaveVm* aLeft, const WaveVm* aRight) {
      return std::make_pair(aLeft->longRunningRuns_, aLeft->runs_) <
             std::make_pair(aRight->longRunningRuns_, aRight->runs_);
    });
  const int behind = CountDue(aWave, aWave.age_, busyFraction) + 1 - begun;
  // Cordons one VM more than can go down now, as it takes a while to become
  // empty.
  int wanted =
    behind <= 0 ? 0 : std::min(aWave.maxDown_, behind) + 1 - cordoned;
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
