// Targets that become slow or make no progress, and the run times that owners
// learn.

#include <catch2/catch.hpp>

#include "run_speed.h"
#include "simulated_fleet.h"
#include "state.h"

using namespace cuminbridge;

namespace {

const std::string kJob = "0000000000000001";

// Time until kJob is completed, in steps of 100 ms; at most a minute.
Millis
TimeToComplete(SimulatedFleet& aFleet)
{
  Millis time(0);
  while (aFleet.StoredState(kJob) != JobState::Completed &&
         time < Millis(60000)) {
    aFleet.RunFor(Millis(100));
    time += Millis(100);
  }
  return time;
}

} // namespace

TEST_CASE("work on a stalled target restarts elsewhere")
{
  for (const double speed : { 0.0, 0.1 }) {
    SimulatedFleet fleet(1);
    fleet.AddTargets("a", 3);
    fleet.StartOwner();
    fleet.RunFor(Millis(1000));
    for (const auto& id : fleet.TargetIds()) {
      fleet.SlowTarget(id, speed);
    }
    fleet.Submit(MakeJob(kJob, "a", { 4 }));
    fleet.RunFor(Millis(300)); // all items run on slow targets
    fleet.SlowTarget(fleet.TargetIds().back(), 1);
    CHECK(TimeToComplete(fleet) < Millis(8000));
    CHECK(fleet.Violations().empty());
    CHECK(fleet.Starts(kJob) > 4);
  }
}

TEST_CASE("work stays on a slow target when no other has free capacity")
{
  SimulatedFleet fleet(1);
  fleet.AddTargets("a", 1);
  fleet.StartOwner();
  fleet.RunFor(Millis(1000));
  fleet.SlowTarget(fleet.TargetIds().front(), 0.2);
  fleet.Submit(MakeJob(kJob, "a", { 4 }));
  CHECK(TimeToComplete(fleet) < Millis(60000));
  CHECK(fleet.Starts(kJob) == 4);
}

TEST_CASE("nothing restarts on targets of usual speed")
{
  for (unsigned seed = 1; seed <= 20; ++seed) {
    SimulatedFleet fleet(seed);
    fleet.AddTargets("a", 4);
    fleet.StartOwner();
    fleet.Submit(MakeJob(kJob, "a", { 12, 6 }));
    TimeToComplete(fleet);
    CHECK(fleet.Starts(kJob) == 18);
  }
}

TEST_CASE("a single long run does not make a target slow")
{
  const Millis expected(600);
  CHECK_FALSE(SpeedOf({ { Millis(500), expected, 0, 10 } }));
  // Three of four are on time.
  const auto speed = SpeedOf({ { Millis(400), expected, 0, 66 },
                               { Millis(400), expected, 0, 66 },
                               { Millis(400), expected, 0, 66 },
                               { Millis(600), expected, 0, 20 } });
  REQUIRE(speed);
  CHECK(*speed > kSlowSpeed);
  CHECK_FALSE(IsWorthReplacing({ Millis(400), expected, 0, 66 }));
  CHECK(IsWorthReplacing({ Millis(600), expected, 0, 20 }));
}

TEST_CASE("a run without progress shows as speed 0")
{
  const auto speed = SpeedOf({ { Millis(700), Millis(600), 0, 0 } });
  REQUIRE(speed);
  CHECK(*speed == 0);
  CHECK(IsWorthReplacing({ Millis(700), Millis(600), 0, 0 }));
}

TEST_CASE("run times are not learned from runs of the previous owner")
{
  SimulatedFleet fleet(1);
  fleet.AddTargets("a", 4);
  fleet.StartOwner();
  fleet.Submit(MakeJob(kJob, "a", { 8 }));
  fleet.RunFor(Millis(250)); // the items run and are not done
  fleet.StartOwner(PreviousOwner::Ended);
  fleet.RunFor(Millis(15000));
  CHECK(fleet.StoredState(kJob) == JobState::Completed);
  CHECK(fleet.LearnedQueues() == 0);
}

TEST_CASE("a stalled run of the previous owner restarts elsewhere")
{
  SimulatedFleet fleet(1);
  fleet.AddTargets("a", 3);
  fleet.StartOwner();
  fleet.RunFor(Millis(1000));
  for (const auto& id : fleet.TargetIds()) {
    fleet.SlowTarget(id, 0);
  }
  fleet.Submit(MakeJob(kJob, "a", { 2 }));
  fleet.RunFor(Millis(150)); // started, not detected as slow yet
  for (const auto& id : fleet.TargetIds()) {
    fleet.SlowTarget(id, 1); // only runs started from now on
  }
  fleet.StartOwner(PreviousOwner::Ended);
  CHECK(TimeToComplete(fleet) < Millis(10000));
  CHECK(fleet.Violations().empty());
}
