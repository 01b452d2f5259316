// The backlog of a pool, as entries get it.

#include <catch2/catch.hpp>

#include "admission/backlog.h"
#include "simulated_fleet.h"

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

// Time until the first item of a job starts, in steps of 50 ms.
Millis
TimeToStart(SimulatedFleet& aFleet, const std::string& aJob)
{
  Millis time(0);
  while (aFleet.Starts(aJob) == 0 && time < Millis(60000)) {
    aFleet.RunFor(Millis(50));
    time += Millis(50);
  }
  return time;
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

TEST_CASE("forecasts from the backlog of a peak hold in virtual time")
{
  // 60 jobs come at once to two targets, and then one that is larger than all.
  for (unsigned seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    SimulatedFleet fleet(seed);
    fleet.AddTargets("a", 2);
    fleet.StartOwner();
    fleet.Submit(MakeJob(MakeJobId(1), "a", { 16 })); // run times are learned
    fleet.RunFor(Millis(10000));
    CHECK(fleet.ShortBacklogs().empty());
    for (int number = 2; number <= 61; ++number) {
      fleet.Submit(MakeJob(MakeJobId(number), "a", { 8 }));
    }
    fleet.RunFor(Millis(200));
    const auto backlogs = fleet.ShortBacklogs();
    REQUIRE(backlogs.size() == 1);
    CHECK(backlogs.front().waitingItems_ > 100);
    const auto job = MakeJob(MakeJobId(99), "a", { 16 });
    const auto forecast = ForecastJob(backlogs.front(), job, {});
    REQUIRE(forecast);
    fleet.Submit(job);
    const auto start = TimeToStart(fleet, job.id_);
    CHECK(start > forecast->earliestStart_);
    CHECK(start > forecast->start_ / 2);
    CHECK(start < forecast->start_ * 2);
    fleet.RunFor(Millis(60000));
    CHECK(fleet.ShortBacklogs().empty());
  }
}
