// Targets that restart under the same id, and calls for the process before that
// reach the new one.

#include <catch2/catch.hpp>

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
