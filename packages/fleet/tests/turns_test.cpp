// Expecting turns of demand, on the load that it answers: four queues, each of
// which asks five times its mean for four seconds while the others ask a
// twentieth.

#include <catch2/catch.hpp>

#include "demand_peaks.h"

using namespace cuminbridge;

namespace {

constexpr std::size_t kPools = 4;
constexpr Millis kTurn(4000);
constexpr Millis kStep(200);
constexpr std::int64_t kPeak = 100000;
constexpr std::int64_t kBetween = 1000;
constexpr std::int64_t kCapacity = 75000;
const WallTime kBegin(Millis(1700000000000));

using Turns = std::map<std::string, PoolPeak>;

std::string
PoolName(std::size_t aNumber)
{
  return "pool-" + std::to_string(aNumber);
}

std::size_t
PoolInTurn(Millis aAt)
{
  return static_cast<std::size_t>(aAt / kTurn) % kPools;
}

void
Play(Turns& aTurns, Millis aFrom, Millis aUntil)
{
  for (auto at = aFrom; at < aUntil; at += kStep) {
    for (std::size_t pool = 0; pool < kPools; ++pool) {
      const auto offered = PoolInTurn(at) == pool ? kPeak : kBetween;
      AddDemandSample(aTurns[PoolName(pool)],
                      { offered, kCapacity, kBegin + at });
    }
  }
}

std::int64_t
Expected(const Turns& aTurns, std::size_t aPool, Millis aAt)
{
  return ExpectedPeakCpu(
    aTurns, PoolName(aPool), kPools, kBegin + aAt, Millis(2000));
}

} // namespace

TEST_CASE("a turn is expected once every pool had one")
{
  Turns turns;
  Play(turns, Millis(0), 3 * kTurn);
  CHECK(Expected(turns, 0, 4 * kTurn - Millis(500)) == 0);
  Play(turns, 3 * kTurn, 4 * kTurn - Millis(400));
  // The first pool's next turn begins at 16 s; its VMs set out 2 s before.
  CHECK(Expected(turns, 0, 4 * kTurn - Millis(2200)) == 0);
  CHECK(Expected(turns, 0, 4 * kTurn - Millis(1800)) > kPeak / 2);
  CHECK(Expected(turns, 1, 4 * kTurn - Millis(1800)) == 0);
}

TEST_CASE("a pool's own period goes first, and outlasts a change of owner")
{
  Turns turns;
  Play(turns, Millis(0), 6 * kTurn);
  CHECK(turns[PoolName(0)].lastPeak_.period_ == 4 * kTurn);
  Turns loaded; // of the next owner: what was stored, and no samples
  for (const auto& [pool, turn] : turns) {
    loaded[pool].lastPeak_ = turn.lastPeak_;
  }
  CHECK(Expected(loaded, 0, 8 * kTurn - Millis(1800)) > kPeak / 2);
  CHECK(Expected(loaded, 2, 6 * kTurn - Millis(1800)) > kPeak / 2);
}

TEST_CASE("a turn that does not come is given up, and none awaited after it")
{
  Turns turns;
  Play(turns, Millis(0), 5 * kTurn);
  const auto due = 8 * kTurn;
  CHECK(Expected(turns, 0, due + Millis(900)) > 0);
  CHECK(Expected(turns, 0, due + kPeakTimeout + Millis(200)) == 0);
  CHECK(Expected(turns, 0, due + 4 * kTurn - Millis(1800)) == 0);
  Play(turns, due + 3 * kTurn, due + 5 * kTurn);
  CHECK(turns[PoolName(0)].lastPeak_.began_ == kBegin + due + 4 * kTurn);
}

TEST_CASE("one large job is no turn, and a steady load is expected once")
{
  PoolPeak turn;
  CHECK_FALSE(AddDemandSample(turn, { kCapacity / 3, kCapacity, kBegin }));
  CHECK_FALSE(HasHadPeak(turn));
  CHECK(AddDemandSample(turn, { kPeak, kCapacity, kBegin + kStep }));
  for (int step = 2; step < 100; ++step) {
    CHECK_FALSE(
      AddDemandSample(turn, { kPeak, kCapacity, kBegin + step * kStep }));
  }
  CHECK(turn.lastPeak_.period_ == Millis(0));
}

TEST_CASE("a pool without VMs, as while its targets are unknown, has no turn")
{
  PoolPeak turn;
  CHECK_FALSE(AddDemandSample(turn, { kPeak, 0, kBegin }));
}

TEST_CASE("VMs set out for a demand that rises before it needs them")
{
  // A turn rises from nothing to its peak in three seconds, as on the grown
  // fleets. By what is offered, a pool with room for two thirds of the peak
  // needs more after two seconds; by its trend, before one and a half.
  PoolPeak turn;
  std::optional<Millis> byLevel;
  std::optional<Millis> byTrend;
  for (Millis at(0); at <= Millis(3000); at += kStep) {
    const auto offered = kPeak * at.count() / 3000;
    AddDemandSample(turn, { offered, 2 * kPeak / 3, kBegin + at });
    const auto ahead = offered + ExpectedRise(turn, Millis(2000));
    if (!byLevel && offered > 2 * kPeak / 3) {
      byLevel = at;
    }
    if (!byTrend && ahead > 2 * kPeak / 3) {
      byTrend = at;
    }
  }
  REQUIRE(byLevel);
  REQUIRE(byTrend);
  CHECK(*byTrend <= Millis(1200));
  CHECK(*byLevel >= Millis(2000));
}

TEST_CASE("a demand that falls or stays is not expected to rise")
{
  PoolPeak turn;
  for (Millis at(0); at <= Millis(2000); at += kStep) {
    AddDemandSample(turn, { kPeak - at.count(), kCapacity, kBegin + at });
  }
  CHECK(ExpectedRise(turn, Millis(2000)) == 0);
}
