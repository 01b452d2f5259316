// The backlog of a pool, as entries get it.

#include <catch2/catch.hpp>

#include "admission/backlog.h"

using namespace cuminbridge;

namespace {

QueuedWork
MakeQueued(int aPriority, double aJobWork, double aWork)
{
  QueuedWork queued;
  queued.key_.priority_ = aPriority;
  queued.key_.work_ = aJobWork;
  queued.work_ = aWork;
  return queued;
}

double
AheadOf(const std::vector<BacklogRank>& aRanks,
        int aPriority,
        bool aIsBeyondShare,
        double aWork)
{
  double ahead = 0;
  for (const auto& rank : aRanks) {
    if (rank.priority_ == aPriority && rank.isBeyondShare_ == aIsBeyondShare &&
        rank.work_ <= aWork) {
      ahead = std::max(ahead, rank.ahead_);
    }
  }
  return ahead;
}

} // namespace

TEST_CASE("the ranks of a backlog follow the order in which work is started")
{
  // One urgent job, then small and large ones, the last hopeless.
  auto late = MakeQueued(1, 100, 40);
  late.key_.lateness_ = Lateness::Late;
  auto hopeless = MakeQueued(1, 10, 80);
  hopeless.key_.lateness_ = Lateness::Hopeless;
  const std::vector<QueuedWork> queued = {
    MakeQueued(0, 5000, 1000),
    MakeQueued(1, 100, 100),
    MakeQueued(1, 200, 200),
    late,
    hopeless,
  };
  const Instant now{ Millis(1000) };
  const auto ranks = RankBacklog(queued, { 0, 1 }, now);
  CHECK(AheadOf(ranks, 0, false, 0) == 0);
  CHECK(AheadOf(ranks, 0, false, 5000) == 1000);
  CHECK(AheadOf(ranks, 1, false, 50) == 1000);
  CHECK(AheadOf(ranks, 1, false, 150) == 1100);
  CHECK(AheadOf(ranks, 1, false, 1e9) == 1300);
  // Beyond its account's share, it goes behind late work too.
  CHECK(AheadOf(ranks, 1, true, 150) == 1340);
  CHECK(RankBacklog({}, { 0, 1 }, now).empty());
}
