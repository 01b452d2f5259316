// Predicts when the demand on each pool rises next.

#include "demand_peaks.h"

#include <algorithm>

namespace cuminbridge {

namespace {

// A pool's first peak begins when more than this fraction of the pool would be
// kept busy. One large job stays below it.
constexpr double kFirstPeakFraction = 0.5;
// Later peaks begin above this fraction of the last peak's mean, and a peak
// ends below this fraction of its own mean. Between peaks a queue asks for
// about a hundredth of that mean.
constexpr double kBeginFraction = 0.4;
constexpr double kEndFraction = 0.2;
// Peaks of one pool begin at least this far apart. Demand that rises again
// earlier, after a dip, does not begin a new peak.
constexpr Millis kMinPeriod(2000);

// The trend of the demand is taken over this time. Over a shorter one, single
// jobs would show as a rise.
constexpr Millis kTrendWindow(1000);

double
BeginThreshold(const PoolPeak& aPeak, std::int64_t aCapacityCpu)
{
  return aPeak.lastPeak_.meanCpu_ > 0
           ? kBeginFraction * static_cast<double>(aPeak.lastPeak_.meanCpu_)
           : kFirstPeakFraction * static_cast<double>(aCapacityCpu);
}

void
BeginPeak(PoolPeak& aPeak, const DemandSample& aSample)
{
  auto& last = aPeak.lastPeak_;
  last.period_ =
    HasHadPeak(aPeak)
      ? std::chrono::duration_cast<Millis>(aSample.at_ - last.began_)
      : Millis(0);
  last.began_ = aSample.at_;
  aPeak.isActive_ = true;
  aPeak.sumCpu_ = 0;
  aPeak.sampleCount_ = 0;
}

// The period of the peaks, from the last peak of each pool: the pools have
// their peaks one after the other. Nothing before every pool had one.
std::optional<Millis>
PeriodOfAllPools(const std::map<std::string, PoolPeak>& aPeaks,
                 std::size_t aPools)
{
  std::optional<WallTime> first;
  std::optional<WallTime> last;
  std::size_t count = 0;
  for (const auto& [pool, peak] : aPeaks) {
    if (!HasHadPeak(peak)) {
      continue;
    }
    ++count;
    first =
      std::min(first.value_or(peak.lastPeak_.began_), peak.lastPeak_.began_);
    last =
      std::max(last.value_or(peak.lastPeak_.began_), peak.lastPeak_.began_);
  }
  if (count < 2 || count < aPools) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Millis>(*last - *first) *
         static_cast<int>(count) / static_cast<int>(count - 1);
}

} // namespace

bool
HasHadPeak(const PoolPeak& aPeak)
{
  return aPeak.lastPeak_.began_ != WallTime();
}

bool
AddDemandSample(PoolPeak& aPeak, const DemandSample& aSample)
{
  aPeak.recent_.push_back(aSample);
  while (aSample.at_ - aPeak.recent_.front().at_ > kTrendWindow) {
    aPeak.recent_.pop_front();
  }
  const auto offered = static_cast<double>(aSample.offeredCpu_);
  if (!aPeak.isActive_) {
    const bool isRise = offered > BeginThreshold(aPeak, aSample.capacityCpu_);
    const bool isSamePeak =
      HasHadPeak(aPeak) && aSample.at_ - aPeak.lastPeak_.began_ < kMinPeriod;
    if (!isRise || isSamePeak || aSample.capacityCpu_ == 0) {
      return false;
    }
    BeginPeak(aPeak, aSample);
  }
  aPeak.sumCpu_ += aSample.offeredCpu_;
  ++aPeak.sampleCount_;
  const auto mean = aPeak.sumCpu_ / aPeak.sampleCount_;
  if (offered < kEndFraction * static_cast<double>(mean)) {
    aPeak.isActive_ = false;
    aPeak.lastPeak_.meanCpu_ = mean;
    return true;
  }
  return aPeak.sampleCount_ == 1;
}

std::optional<WallTime>
NextPeak(const std::map<std::string, PoolPeak>& aPeaks,
         const std::string& aPool,
         std::size_t aPools,
         WallTime aNow)
{
  const auto peak = aPeaks.find(aPool);
  if (peak == aPeaks.end() || !HasHadPeak(peak->second)) {
    return std::nullopt;
  }
  const auto& last = peak->second.lastPeak_;
  const auto period = last.period_.count() > 0
                        ? std::optional<Millis>(last.period_)
                        : PeriodOfAllPools(aPeaks, aPools);
  if (!period || *period < kMinPeriod) {
    return std::nullopt;
  }
  const auto next = last.began_ + *period;
  // After a peak that did not come, none is expected until one is seen again.
  return next + kPeakTimeout < aNow ? std::nullopt : std::optional(next);
}

std::int64_t
ExpectedPeakCpu(const std::map<std::string, PoolPeak>& aPeaks,
                const std::string& aPool,
                std::size_t aPools,
                WallTime aNow,
                Millis aLead)
{
  const auto found = aPeaks.find(aPool);
  if (found == aPeaks.end()) {
    return 0;
  }
  const auto& peak = found->second;
  // The offered load has to be measured for a moment before it shows how high
  // the peak is.
  const bool hasJustBegun =
    peak.isActive_ && aNow - peak.lastPeak_.began_ < kPeakTimeout;
  const auto next = NextPeak(aPeaks, aPool, aPools, aNow);
  const bool isSoon = next && aNow >= *next - aLead;
  return hasJustBegun || isSoon ? peak.lastPeak_.meanCpu_ : 0;
}

std::int64_t
ExpectedRise(const PoolPeak& aPeak, Millis aAhead)
{
  if (aPeak.recent_.empty()) {
    return 0;
  }
  const auto& first = aPeak.recent_.front();
  const auto& last = aPeak.recent_.back();
  const auto time = std::chrono::duration_cast<Millis>(last.at_ - first.at_);
  const auto rise = last.offeredCpu_ - first.offeredCpu_;
  if (time < kTrendWindow / 2 || rise <= 0) {
    return 0;
  }
  return std::min(last.offeredCpu_, rise * aAhead.count() / time.count());
}

} // namespace cuminbridge
