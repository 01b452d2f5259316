// Finds targets and runs that are too slow.

#include "run_speed.h"

#include <algorithm>

namespace cuminbridge {

namespace {

constexpr Millis kMinAge(300); // the progress of younger runs shows nothing yet
// Work that should be done by now, in whole runs, from which the speed of a
// target can be told.
constexpr double kMinExpectedRuns = 1.0;
// A run is replaced only if the rest of it takes longer than a new run times
// kRestartFactor, as the learned run time may be too short, plus kRestartCost,
// which stopping and starting take.
constexpr double kRestartFactor = 1.5;
constexpr Millis kRestartCost(300);
constexpr double kAllPercent = 100;

} // namespace

bool
IsOldEnoughToJudge(const RunProgress& aRun)
{
  return aRun.age_ >= kMinAge;
}

std::optional<double>
SpeedOf(const std::vector<RunProgress>& aRuns)
{
  double expected = 0;
  double done = 0;
  for (const auto& run : aRuns) {
    if (!IsOldEnoughToJudge(run)) {
      continue;
    }
    expected += std::min(
      (kAllPercent - run.firstPercent_) / kAllPercent,
      static_cast<double>(run.age_.count()) /
        static_cast<double>(std::max<std::int64_t>(1, run.expected_.count())));
    done += (run.percent_ - run.firstPercent_) / kAllPercent;
  }
  return expected < kMinExpectedRuns ? std::nullopt
                                     : std::optional(done / expected);
}

bool
IsWorthReplacing(const RunProgress& aRun)
{
  if (!IsOldEnoughToJudge(aRun)) {
    return false;
  }
  const double restarted =
    kRestartFactor * static_cast<double>(aRun.expected_.count()) +
    static_cast<double>(kRestartCost.count());
  constexpr double kMinProgress = 0.1; // percent; stands for no progress
  const double left =
    static_cast<double>(aRun.age_.count()) * (kAllPercent - aRun.percent_) /
    std::max(kMinProgress, 1.0 * (aRun.percent_ - aRun.firstPercent_));
  return left > restarted;
}

} // namespace cuminbridge
