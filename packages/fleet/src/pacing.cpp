// How much fillers may work beside work that serves.

#include "pacing.h"

#include <algorithm>

namespace cuminbridge {

namespace {

constexpr double kTooNear = 0.85; // of the target tail: slow fillers down
constexpr double kFar = 0.6;      // of the target tail: let them work more
constexpr int kSlowestPace = 4;   // below it they are halted
constexpr int kPaceStep = 10;     // percent up at once
constexpr int kPaceCut = 3;       // divides the pace when the tail is too near
constexpr int kAtWork = 100;      // percent of a lasting item that is at work

double
WorstTail(const Target& aTarget)
{
  double worst = 0;
  for (const auto& run : aTarget.runs_) {
    if (run.targetLatency_.count() > 0 && run.percent_ == kAtWork) {
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
  if (aWorstTail > kTooNear) {
    const int slower = aPace / kPaceCut;
    return slower < kSlowestPace ? 0 : slower;
  }
  if (aWorstTail < kFar) {
    return std::min(kFullPace, aPace + kPaceStep);
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
      aState.Emit(
        PaceRun{ id, target.report_.address_, run.item_, run.run_, pace });
    }
  }
}

} // namespace cuminbridge
