// Which runs are too slow.

#include "run_pace.h"

#include <algorithm>

namespace cuminbridge {

namespace {

constexpr Millis kSettled(300); // younger runs have shown nothing yet
// Expected work, in whole runs, from which the speed of a target shows.
constexpr double kEnough = 1.0;
// What is left must exceed a new run by this, as the learned time may be short;
// and by what stopping and starting take.
constexpr double kGain = 1.5;
constexpr Millis kRestart(300);
constexpr double kWhole = 100; // percent

} // namespace

std::optional<double>
SpeedOf(const std::vector<RunPace>& aRuns)
{
  double expected = 0;
  double done = 0;
  for (const auto& run : aRuns) {
    if (run.age_ < kSettled) {
      continue;
    }
    expected += std::min(
      (kWhole - run.percentThen_) / kWhole,
      static_cast<double>(run.age_.count()) /
        static_cast<double>(std::max<std::int64_t>(1, run.expected_.count())));
    done += (run.percent_ - run.percentThen_) / kWhole;
  }
  return expected < kEnough ? std::nullopt : std::optional(done / expected);
}

bool
IsWorthReplacing(const RunPace& aRun)
{
  if (aRun.age_ < kSettled) {
    return false;
  }
  const double anew = kGain * static_cast<double>(aRun.expected_.count()) +
                      static_cast<double>(kRestart.count());
  constexpr double kStandsStill = 0.1; // percent, in place of none
  const double left =
    static_cast<double>(aRun.age_.count()) * (kWhole - aRun.percent_) /
    std::max(kStandsStill, 1.0 * (aRun.percent_ - aRun.percentThen_));
  return left > anew;
}

} // namespace cuminbridge
