// What it costs a caller to let a waiting job wait.

#include "job_cost.h"

#include <algorithm>
#include <cmath>

namespace cuminbridge {

namespace {

// Items may need only this fraction of their expected time.
constexpr double kShortestTime = 0.8;
// Jobs that could wait this many mean critical paths longer than others rank as
// if they took e times the room.
constexpr double kPatience = 1.5;
// Differences in work below this fraction of the mean don't count: such jobs
// take hardly any room.
constexpr double kSmallWork = 0.3;

} // namespace

Millis
ShortestTime(Millis aCriticalPath)
{
  return Millis(static_cast<std::int64_t>(
    kShortestTime * static_cast<double>(aCriticalPath.count())));
}

double
RankOf(const WaitingJob& aJob, const QueueMeans& aMeans)
{
  const double work = std::max(1.0, aMeans.work_);
  const double value = 1 + aJob.wholeWork_ / work;
  const double room = std::max(aJob.workLeft_, kSmallWork * work);
  const auto slack =
    static_cast<double>((aJob.untilObjective_ - aJob.criticalPath_).count());
  // Bounded, so that objectives of hours compare too.
  constexpr double kMaxExponent = 100;
  const double patience = kPatience * std::max(1.0, aMeans.criticalPath_);
  return room / value *
         std::exp(std::clamp(slack / patience, -kMaxExponent, kMaxExponent));
}

} // namespace cuminbridge
