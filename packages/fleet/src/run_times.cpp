// Learns how long work items really run.

#include "run_times.h"

#include <algorithm>
#include <cmath>

namespace cuminbridge {

namespace {

constexpr double kMinRuns = 12; // runs seen before the model is used

} // namespace

void
RunTimes::Moments::Add(double aValue)
{
  count_ += 1;
  const double deviation = aValue - mean_;
  mean_ += deviation / count_;
  squaredDeviations_ += deviation * (aValue - mean_);
}

double
RunTimes::Moments::Variance() const
{
  return count_ > 1 ? squaredDeviations_ / (count_ - 1) : 0;
}

void
RunTimes::Learn(Millis aEstimate, Millis aTaken)
{
  if (aEstimate.count() <= 0 || aTaken.count() <= 0) {
    return;
  }
  const double taken = std::log(static_cast<double>(aTaken.count()));
  taken_.Add(taken);
  error_.Add(std::log(static_cast<double>(aEstimate.count())) - taken);
}

Millis
RunTimes::Expect(Millis aEstimate) const
{
  if (taken_.count_ < kMinRuns) {
    return aEstimate;
  }
  const double spread = taken_.Variance();
  const double error = error_.Variance();
  if (aEstimate.count() <= 0 || spread + error <= 0) {
    return Millis(static_cast<std::int64_t>(std::exp(taken_.mean_)));
  }
  const double weight = spread / (spread + error);
  const double corrected =
    std::log(static_cast<double>(aEstimate.count())) - error_.mean_;
  const double likely = taken_.mean_ + weight * (corrected - taken_.mean_);
  return Millis(
    std::max<std::int64_t>(1, static_cast<std::int64_t>(std::exp(likely))));
}

RunTimeModel
RunTimes::Model() const
{
  return { taken_.count_,
           taken_.mean_,
           taken_.Variance(),
           error_.mean_,
           error_.Variance() };
}

} // namespace cuminbridge
