// Internal: predicts when the demand on each pool rises next. Pure functions of
// the demand peaks seen so far.
//
//   if (AddDemandSample(peak, sample)) { ... store it ... }
//   auto next = NextPeak(peaks, "dispatch", pools, now);

#ifndef cuminbridge_fleet_demand_peaks_h
#define cuminbridge_fleet_demand_peaks_h

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "cuminbridge/fleet.h"

namespace cuminbridge {

struct DemandSample
{
  // In thousandths of a core.
  std::int64_t offeredCpu_ = 0;  // that arriving work would keep busy
  std::int64_t capacityCpu_ = 0; // of the pool
  WallTime at_;

  bool operator==(const DemandSample&) const = default;
};

// The demand peaks of one pool: times of some seconds in which its queues ask
// for several times their mean.
struct PoolPeak
{
  StoredDemandPeak lastPeak_;    // began_ is 0 if there was none
  bool isActive_ = false;        // lastPeak_ has not ended yet
  std::int64_t sumCpu_ = 0;      // offered, over all samples of an active peak
  std::int64_t sampleCount_ = 0; // of these samples
  std::deque<DemandSample> recent_; // for the trend of the demand
};

// True if a peak has begun or ended.
bool AddDemandSample(PoolPeak& aPeak, const DemandSample& aSample);

// Whether the pool ever had a peak.
bool HasHadPeak(const PoolPeak& aPeak);

// When the pool's next peak is expected to begin. Nothing if the period is
// unknown, or if the expected peak did not come. The period is known after two
// peaks of this pool, or after one peak of each of the aPools pools.
std::optional<WallTime> NextPeak(const std::map<std::string, PoolPeak>& aPeaks,
                                 const std::string& aPool,
                                 std::size_t aPools,
                                 WallTime aNow);

// The processor capacity, in thousandths of a core, that a peak is expected to
// keep busy: the mean of the pool's last whole peak. 0 except from aLead before
// the next peak is expected until kPeakTimeout after that, and for kPeakTimeout
// after a peak has begun.
std::int64_t ExpectedPeakCpu(const std::map<std::string, PoolPeak>& aPeaks,
                             const std::string& aPool,
                             std::size_t aPools,
                             WallTime aNow,
                             Millis aLead);

// By how much the demand will have grown after aAhead if it goes on rising as
// in the last second, in thousandths of a core. At most the demand now; 0 if it
// does not rise.
std::int64_t ExpectedRise(const PoolPeak& aPeak, Millis aAhead);

// A peak that has not begun this long after it was expected is not expected any
// more.
inline constexpr Millis kPeakTimeout(1000);

} // namespace cuminbridge

#endif // cuminbridge_fleet_demand_peaks_h
