// Targets that turn slow or stand still, and what owners learn of run times.

#include <catch2/catch.hpp>

#include "run_speed.h"
#include "state.h"
#include "world.h"

using namespace cuminbridge;

namespace {

const std::string kJob = "0000000000000001";

// Time until the job is completed, in steps of 100 ms; at most a minute.
Millis
TimeToComplete(World& aWorld)
{
  Millis time(0);
  while (aWorld.StoredState(kJob) != JobState::Completed &&
         time < Millis(60000)) {
    aWorld.RunFor(Millis(100));
    time += Millis(100);
  }
  return time;
}

} // namespace

TEST_CASE("work on a target that stands still begins again elsewhere")
{
  for (const double speed : { 0.0, 0.1 }) {
    World world(1);
    world.AddTargets("a", 3);
    world.BeginOwner();
    world.RunFor(Millis(1000));
    for (const auto& id : world.TargetIds()) {
      world.SlowTarget(id, speed);
    }
    world.Submit(MakeJob(kJob, "a", { 4 }));
    world.RunFor(Millis(300)); // all of it is on slow targets
    world.SlowTarget(world.TargetIds().back(), 1);
    CHECK(TimeToComplete(world) < Millis(8000));
    CHECK(world.Broken().empty());
    CHECK(world.Starts(kJob) > 4);
  }
}

TEST_CASE("work stays where no other target has room")
{
  World world(1);
  world.AddTargets("a", 1);
  world.BeginOwner();
  world.RunFor(Millis(1000));
  world.SlowTarget(world.TargetIds().front(), 0.2);
  world.Submit(MakeJob(kJob, "a", { 4 }));
  CHECK(TimeToComplete(world) < Millis(60000));
  CHECK(world.Starts(kJob) == 4);
}

TEST_CASE("at its usual speed nothing begins again")
{
  for (unsigned seed = 1; seed <= 20; ++seed) {
    World world(seed);
    world.AddTargets("a", 4);
    world.BeginOwner();
    world.Submit(MakeJob(kJob, "a", { 12, 6 }));
    TimeToComplete(world);
    CHECK(world.Starts(kJob) == 18);
  }
}

TEST_CASE("one long run alone is no sign of a slow target")
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

TEST_CASE("what stands still shows as no speed")
{
  const auto speed = SpeedOf({ { Millis(700), Millis(600), 0, 0 } });
  REQUIRE(speed);
  CHECK(*speed == 0);
  CHECK(IsWorthReplacing({ Millis(700), Millis(600), 0, 0 }));
}

TEST_CASE("run times are not learned from runs of the owner before")
{
  World world(1);
  world.AddTargets("a", 4);
  world.BeginOwner();
  world.Submit(MakeJob(kJob, "a", { 8 }));
  world.RunFor(Millis(250)); // they run, and have a while to go
  world.BeginOwner(PreviousOwner::Ended);
  world.RunFor(Millis(15000));
  CHECK(world.StoredState(kJob) == JobState::Completed);
  CHECK(world.LearnedQueues() == 0);
}

TEST_CASE("a run of the owner before that stands still begins again elsewhere")
{
  World world(1);
  world.AddTargets("a", 3);
  world.BeginOwner();
  world.RunFor(Millis(1000));
  for (const auto& id : world.TargetIds()) {
    world.SlowTarget(id, 0);
  }
  world.Submit(MakeJob(kJob, "a", { 2 }));
  world.RunFor(Millis(150)); // started, and not found slow yet
  for (const auto& id : world.TargetIds()) {
    world.SlowTarget(id, 1); // for what is started from now on
  }
  world.BeginOwner(PreviousOwner::Ended);
  CHECK(TimeToComplete(world) < Millis(10000));
  CHECK(world.Broken().empty());
}
