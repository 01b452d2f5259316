// Pacing of fillers beside work that serves requests.

#include "pacing.h"

#include <algorithm>

namespace cuminbridge {

namespace {

// Fractions of the expected tail latency.
constexpr double kHighTail = 0.85; // above it, the pace goes down
constexpr double kLowTail = 0.6;   // below it, the pace goes up

constexpr int kMinPace = 4;       // percent; a pace below it becomes 0
constexpr int kPaceIncrease = 10; // percent added at once
constexpr int kPaceDivisor = 3;   // divides the pace when it goes down
// What targets list as the progress of a long-running item that serves.
constexpr int kAtWorkPercent = 100;

// The worst tail latency of the serving runs on a target, as a fraction of the
// latency that their users expect; 0 if none of them is at work.
double
WorstTail(const Target& aTarget)
{
  double worst = 0;
  for (const auto& run : aTarget.runs_) {
    if (run.targetLatency_.count() > 0 && run.percent_ == kAtWorkPercent) {
      worst = std::max(worst,
                       static_cast<double>(run.usage_) /
                         static_cast<double>(run.targetLatency_.count()));
    }
  }
  return worst;
}

} // namespace

int
NextPace(int aPace, double aWorstTail)
{
  if (aWorstTail > kHighTail) {
    const int slower = aPace / kPaceDivisor;
    return slower < kMinPace ? 0 : slower;
  }
  if (aWorstTail < kLowTail) {
    return std::min(kFullPace, aPace + kPaceIncrease);
  }
  return aPace;
}

void
PaceFillers(FleetState& aState)
{
  for (auto& [id, target] : aState.targets_) {
    if (target.contact_ != Contact::Good) {
      continue;
    }
    const double worst = WorstTail(target);
    for (auto& run : target.runs_) {
      if (!run.isFiller_ || run.phase_ != RunPhase::Running ||
          aState.now_ - run.pacedAt_ < aState.options_.paceInterval_) {
        continue;
      }
      const int pace = NextPace(run.pace_, worst);
      if (pace == run.pace_) {
        continue;
      }
      run.pace_ = pace;
      run.pacedAt_ = aState.now_;
      aState.Emit(PaceRun{ id,
                           target.report_.address_,
                           target.process_,
                           run.item_,
                           run.run_,
                           pace });
    }
  }
}

} // namespace cuminbridge
