// Which VM of a maintenance wave goes next.

#include "waves.h"

#include <algorithm>

namespace cuminbridge {

namespace {

// The pace is set for this part of the duration, so that the last VMs have time
// to become empty: a late tenth costs as much as some thirty small jobs.
constexpr double kUsedPart = 0.5;

bool
IsBehind(const WaveView& aWave)
{
  const double part =
    static_cast<double>(aWave.age_.count()) /
    (kUsedPart *
     static_cast<double>(std::max<std::int64_t>(1, aWave.duration_.count())));
  const double begun =
    static_cast<double>(aWave.total_ - static_cast<int>(aWave.waiting_.size()) +
                        1) /
    std::max(1, aWave.total_);
  return begun <= part + 1.0 / std::max(1, aWave.total_);
}

} // namespace

WavePlan
PlanWave(const WaveView& aWave)
{
  WavePlan plan;
  int room = aWave.maxDown_ - aWave.down_;
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
  if (!IsBehind(aWave)) {
    return plan;
  }
  // One more than can go down now, as it takes a while to become empty.
  std::sort(
    busy.begin(), busy.end(), [](const WaveVm* aLeft, const WaveVm* aRight) {
      return std::make_pair(aLeft->lastingRuns_, aLeft->runs_) <
             std::make_pair(aRight->lastingRuns_, aRight->runs_);
    });
  int wanted = aWave.maxDown_ + 1 - cordoned;
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
