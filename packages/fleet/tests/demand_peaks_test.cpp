// Prediction of demand peaks. Four pools have their peak one after the other,
// for four seconds each. This stands for the load that the prediction is made
// for: one queue asks five times its mean while the others ask a twentieth.

#include <catch2/catch.hpp>

#include "demand_peaks.h"

using namespace cuminbridge;

namespace {

constexpr std::size_t kPools = 4;
constexpr Millis kPeakLength(4000);
constexpr Millis kSampleInterval(200);
constexpr std::int64_t kPeakCpu = 100000;
constexpr std::int64_t kOffPeakCpu = 1000;
constexpr std::int64_t kCapacity = 75000;
const WallTime kBegin(Millis(1700000000000));

using PeaksByPool = std::map<std::string, PoolPeak>;

std::string
PoolName(std::size_t aNumber)
{
  return "pool-" + std::to_string(aNumber);
}

std::size_t
PoolAtPeak(Millis aAt)
{
  return static_cast<std::size_t>(aAt / kPeakLength) % kPools;
}

void
RecordDemand(PeaksByPool& aPeaks, Millis aFrom, Millis aUntil)
{
  for (auto at = aFrom; at < aUntil; at += kSampleInterval) {
    for (std::size_t pool = 0; pool < kPools; ++pool) {
      const auto offered = PoolAtPeak(at) == pool ? kPeakCpu : kOffPeakCpu;
      AddDemandSample(aPeaks[PoolName(pool)],
                      { offered, kCapacity, kBegin + at });
    }
  }
}

std::int64_t
ExpectedCpuAt(const PeaksByPool& aPeaks, std::size_t aPool, Millis aAt)
{
  return ExpectedPeakCpu(
    aPeaks, PoolName(aPool), kPools, kBegin + aAt, Millis(2000));
}

} // namespace

TEST_CASE("a demand peak is expected once every pool had one")
{
  PeaksByPool peaks;
  RecordDemand(peaks, Millis(0), 3 * kPeakLength);
  CHECK(ExpectedCpuAt(peaks, 0, 4 * kPeakLength - Millis(500)) == 0);
  RecordDemand(peaks, 3 * kPeakLength, 4 * kPeakLength - Millis(400));
  // The first pool's next peak begins at 16 s, and its VMs are moved 2 s
  // before.
  CHECK(ExpectedCpuAt(peaks, 0, 4 * kPeakLength - Millis(2200)) == 0);
  CHECK(ExpectedCpuAt(peaks, 0, 4 * kPeakLength - Millis(1800)) > kPeakCpu / 2);
  CHECK(ExpectedCpuAt(peaks, 1, 4 * kPeakLength - Millis(1800)) == 0);
}

TEST_CASE("a pool's own period takes precedence and survives a change of owner")
{
  PeaksByPool peaks;
  RecordDemand(peaks, Millis(0), 6 * kPeakLength);
  CHECK(peaks[PoolName(0)].lastPeak_.period_ == 4 * kPeakLength);
  PeaksByPool restored; // as the next owner loads them: no samples
  for (const auto& [pool, peak] : peaks) {
    restored[pool].lastPeak_ = peak.lastPeak_;
  }
  CHECK(ExpectedCpuAt(restored, 0, 8 * kPeakLength - Millis(1800)) >
        kPeakCpu / 2);
  CHECK(ExpectedCpuAt(restored, 2, 6 * kPeakLength - Millis(1800)) >
        kPeakCpu / 2);
}

TEST_CASE("a peak that does not come is given up, and no later one is expected")
{
  PeaksByPool peaks;
  RecordDemand(peaks, Millis(0), 5 * kPeakLength);
  const auto due = 8 * kPeakLength;
  CHECK(ExpectedCpuAt(peaks, 0, due + Millis(900)) > 0);
  CHECK(ExpectedCpuAt(peaks, 0, due + kPeakTimeout + Millis(200)) == 0);
  CHECK(ExpectedCpuAt(peaks, 0, due + 4 * kPeakLength - Millis(1800)) == 0);
  RecordDemand(peaks, due + 3 * kPeakLength, due + 5 * kPeakLength);
  CHECK(peaks[PoolName(0)].lastPeak_.began_ == kBegin + due + 4 * kPeakLength);
}

TEST_CASE("one large job is no peak, and a steady load is a single peak")
{
  PoolPeak peak;
  CHECK_FALSE(AddDemandSample(peak, { kCapacity / 3, kCapacity, kBegin }));
  CHECK_FALSE(HasHadPeak(peak));
  CHECK(
    AddDemandSample(peak, { kPeakCpu, kCapacity, kBegin + kSampleInterval }));
  for (int step = 2; step < 100; ++step) {
    CHECK_FALSE(AddDemandSample(
      peak, { kPeakCpu, kCapacity, kBegin + step * kSampleInterval }));
  }
  CHECK(peak.lastPeak_.period_ == Millis(0));
}

TEST_CASE("a pool without known capacity has no peak")
{
  PoolPeak peak;
  CHECK_FALSE(AddDemandSample(peak, { kPeakCpu, 0, kBegin }));
}

TEST_CASE("a rising demand is recognised before it exceeds the pool")
{
  // Demand rises from nothing to its peak in three seconds. By the offered
  // load, a pool with capacity for two thirds of the peak needs more after two
  // seconds; by the trend, that is known within 1.2 seconds.
  PoolPeak peak;
  std::optional<Millis> atByOffered;
  std::optional<Millis> atByTrend;
  for (Millis at(0); at <= Millis(3000); at += kSampleInterval) {
    const auto offered = kPeakCpu * at.count() / 3000;
    AddDemandSample(peak, { offered, 2 * kPeakCpu / 3, kBegin + at });
    const auto forecast = offered + ExpectedRise(peak, Millis(2000));
    if (!atByOffered && offered > 2 * kPeakCpu / 3) {
      atByOffered = at;
    }
    if (!atByTrend && forecast > 2 * kPeakCpu / 3) {
      atByTrend = at;
    }
  }
  REQUIRE(atByOffered);
  REQUIRE(atByTrend);
  CHECK(*atByTrend <= Millis(1200));
  CHECK(*atByOffered >= Millis(2000));
}

TEST_CASE("a falling demand is not expected to rise")
{
  PoolPeak peak;
  for (Millis at(0); at <= Millis(2000); at += kSampleInterval) {
    AddDemandSample(peak, { kPeakCpu - at.count(), kCapacity, kBegin + at });
  }
  CHECK(ExpectedRise(peak, Millis(2000)) == 0);
}
