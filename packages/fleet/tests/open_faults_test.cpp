// Faults that are known and not mended yet, each with an entry in
// KNOWN-RED.txt. A test moves to its subject's file together with the fix.

#include <random>

#include <catch2/catch.hpp>

#include "seeds.h"
#include "simulated_fleet.h"

using namespace cuminbridge;

TEST_CASE(
  "crashes under an item count when the owner is lost with each of them")
{
  // Neither the run nor its crash is stored when the owner is killed.
  const ItemName deadly{ MakeJobId(0), 0, 0, 0 };
  for (const int gap : { 300, 1500, 3000, 6000, 9000 }) {
    INFO("no owner for " << gap << " ms after each crash");
    SimulatedFleet fleet(1);
    fleet.AddTargets("a", 8);
    fleet.MakeDeadly(deadly);
    fleet.StartOwner();
    fleet.Submit(MakeJob(MakeJobId(0), "a", { 2 }));
    for (int crash = 1; crash <= 8; ++crash) {
      for (int step = 0; step < 20000 && fleet.CrashesUnder(deadly) < crash;
           ++step) {
        fleet.RunFor(Millis(1));
      }
      if (fleet.CrashesUnder(deadly) < crash) {
        break;
      }
      fleet.RunFor(Millis(5));
      fleet.KillOwner();
      fleet.RunFor(Millis(gap));
      fleet.StartOwner(PreviousOwner::Ended);
    }
    fleet.RunFor(Millis(30000));
    CHECK(fleet.CrashesUnder(deadly) <= 5);
    for (const auto& what : fleet.Violations()) {
      FAIL_CHECK(what);
    }
  }
}

namespace {

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

TEST_CASE("forecasts from the backlog of a peak hold in virtual time")
{
  // 60 jobs come at once to two targets, and then one that is larger than all.
  // Jobs are accepted when they come: without a time, they would count as
  // hopeless.
  const auto make = [](int aNumber, int aItems, Millis aElapsed) {
    auto job = MakeJob(MakeJobId(aNumber), "a", { aItems });
    job.accepted_ = WallTime(Millis(1000000)) + aElapsed;
    return job;
  };
  for (unsigned seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    SimulatedFleet fleet(seed);
    fleet.AddTargets("a", 2);
    fleet.StartOwner();
    fleet.Submit(make(1, 16, Millis(0))); // run times are learned
    fleet.RunFor(Millis(10000));
    CHECK(fleet.ShortBacklogs().empty());
    for (int number = 2; number <= 61; ++number) {
      fleet.Submit(make(number, 8, Millis(10000)));
    }
    fleet.RunFor(Millis(200));
    const auto backlogs = fleet.ShortBacklogs();
    REQUIRE(backlogs.size() == 1);
    CHECK(backlogs.front().waitingItems_ > 100);
    const auto job = make(99, 16, Millis(10200));
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

TEST_CASE("random histories of late starts beside lost owners and calls")
{
  // The next process of a target carries a start out that had been given up,
  // before the first call of any owner reaches it.
  const auto seeds = ReadSeeds(200);
  for (unsigned seed = seeds.first_; seed < seeds.end_; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    const auto draw = [&](int aLeast, int aMost) {
      return std::uniform_int_distribution<int>(aLeast, aMost)(random);
    };
    SimulatedFaults faults;
    faults.heldUpStart_ = 0.25;
    faults.heldUpRenewal_ = seed % 3 == 0 ? 0.1 : 0;
    faults.lostAnswer_ = seed % 4 == 0 ? 0.05 : 0;
    SimulatedFleet fleet(seed, faults);
    fleet.AddTargets("a", 4, seed % 2 == 0);
    fleet.DelayRecords(Millis(draw(0, 120)));
    fleet.StartOwner();
    fleet.RunFor(Millis(3000));
    constexpr int kJobs = 6;
    for (int number = 0; number < kJobs; ++number) {
      const bool isGang = draw(0, 3) == 0;
      auto job =
        isGang ? MakeJob(MakeJobId(number), "a", { draw(2, 4) })
               : MakeJob(MakeJobId(number), "a", { draw(1, 4), draw(1, 2) });
      for (auto& step : job.steps_) {
        step.estimate_ = Millis(draw(300, 9000));
      }
      job.steps_[0].isGang_ = isGang;
      fleet.Submit(job);
    }
    for (int event = 0; event < 14; ++event) {
      const auto ids = fleet.TargetIds();
      const auto& id = ids[static_cast<std::size_t>(
        draw(0, static_cast<int>(ids.size()) - 1))];
      switch (draw(0, 8)) {
        case 0:
        case 1:
          fleet.RestartTarget(id);
          break;
        case 2:
        case 3:
          fleet.CrashTarget(id);
          break;
        case 4:
          fleet.PartitionTarget(id, Millis(draw(100, 4000)));
          break;
        case 5:
          fleet.Cancel(MakeJobId(draw(0, kJobs - 1)));
          break;
        case 6:
          fleet.KillOwner();
          fleet.RunFor(Millis(draw(50, 1500)));
          fleet.StartOwner(PreviousOwner::Ended);
          break;
        case 7:
          fleet.StartOwner(draw(0, 1) == 0 ? PreviousOwner::Unknown
                                           : PreviousOwner::Ended);
          break;
        default:
          fleet.CutTargetFromStore(id, Millis(draw(500, 5000)));
          break;
      }
      fleet.RunFor(Millis(draw(0, 2500)));
    }
    fleet.RunFor(Millis(60000));
    for (const auto& what : fleet.Violations()) {
      FAIL_CHECK(what);
    }
  }
}
