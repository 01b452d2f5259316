// Targets that restart under the same id, and calls for the process before that
// reach the new one.

#include <random>

#include <catch2/catch.hpp>

#include "seeds.h"
#include "simulated_fleet.h"

using namespace cuminbridge;

namespace {

// The only target with a run.
std::string
FindBusyTarget(const SimulatedFleet& aFleet)
{
  for (const auto& id : aFleet.TargetIds()) {
    if (aFleet.RunningOn(id) > 0) {
      return id;
    }
  }
  return "";
}

} // namespace

TEST_CASE("a start with a deadline on the previous clock outlives its owner")
{
  // Capacity histories 6628 and 7754: the next owner did not allow for it while
  // the target was silent, and started the item elsewhere. Nor did one that
  // read the list of targets before its records.
  const auto recordsDelay = GENERATE(Millis(0), Millis(60));
  CAPTURE(recordsDelay.count());
  SimulatedFleet fleet(1);
  fleet.DelayRecords(recordsDelay);
  fleet.AddTargets("a", 2, false); // their reports lag behind
  fleet.StartOwner();
  fleet.RunFor(Millis(6100));
  for (const auto& id : fleet.TargetIds()) {
    fleet.RestartTarget(id);
  }
  auto job = MakeJob(MakeJobId(0), "a", { 1 });
  job.steps_[0].estimate_ = Millis(9000);
  fleet.Submit(job);
  fleet.RunFor(Millis(50));
  const auto busy = FindBusyTarget(fleet);
  REQUIRE(!busy.empty());
  fleet.PartitionTarget(busy, Millis(8000));
  fleet.RunFor(Millis(1500)); // until the new process has reported itself
  fleet.StartOwner();
  fleet.RunFor(Millis(30000));
  for (const auto& what : fleet.Violations()) {
    FAIL_CHECK(what);
  }
  CHECK(fleet.Starts(MakeJobId(0)) == 1);
  CHECK(fleet.StoredState(MakeJobId(0)) == JobState::Completed);
}

TEST_CASE("random histories of targets that restart and are cut off")
{
  // With owners that are lost, cut off, or read their records late, and with
  // renewals that the next process takes.
  const auto seeds = ReadSeeds(200);
  for (unsigned seed = seeds.first_; seed < seeds.end_; ++seed) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    const auto draw = [&](int aLeast, int aMost) {
      return std::uniform_int_distribution<int>(aLeast, aMost)(random);
    };
    SimulatedFaults faults;
    faults.heldUpRenewal_ = 0.1;
    faults.lostAnswer_ = seed % 2 == 0 ? 0.05 : 0;
    SimulatedFleet fleet(seed, faults);
    fleet.AddTargets("a", 4, seed % 3 != 0);
    fleet.DelayRecords(Millis(draw(0, 120)));
    fleet.StartOwner();
    fleet.RunFor(Millis(3000));
    constexpr int kJobs = 4;
    for (int number = 0; number < kJobs; ++number) {
      auto job = MakeJob(MakeJobId(number), "a", { draw(1, 4) });
      job.steps_[0].estimate_ = Millis(draw(500, 9000));
      fleet.Submit(job);
    }
    for (int step = 0; step < 12; ++step) {
      const auto ids = fleet.TargetIds();
      const auto& id = ids[static_cast<std::size_t>(
        draw(0, static_cast<int>(ids.size()) - 1))];
      switch (draw(0, 6)) {
        case 0:
          fleet.RestartTarget(id);
          break;
        case 1:
          fleet.CrashTarget(id);
          break;
        case 2:
          fleet.PartitionTarget(id, Millis(draw(300, 9000)));
          break;
        case 3:
          fleet.RestartTarget(id);
          fleet.RunFor(Millis(draw(0, 2500)));
          fleet.PartitionTarget(id, Millis(9000));
          break;
        case 4:
          fleet.KillOwner();
          fleet.RunFor(Millis(draw(50, 1500)));
          fleet.StartOwner(PreviousOwner::Ended);
          break;
        case 5:
          // A hand-over would store all runs first.
          fleet.StartOwner(draw(0, 1) == 0 ? PreviousOwner::Unknown
                                           : PreviousOwner::Ended);
          break;
        default:
          fleet.CutTargetFromStore(id, Millis(draw(500, 5000)));
          break;
      }
      fleet.RunFor(Millis(draw(0, 1800)));
    }
    fleet.RunFor(Millis(60000));
    for (const auto& what : fleet.Violations()) {
      FAIL_CHECK(what);
    }
  }
}
