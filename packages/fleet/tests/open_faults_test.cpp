// Faults that are known and not mended yet, each with an entry in
// KNOWN-RED.txt. A test moves to its subject's file together with the fix.

#include <catch2/catch.hpp>

#include "replaced_process.h"

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

TEST_CASE("a call held up for the process before does not outlast the lease")
{
  ReplacedProcess fixture;
  fixture.ConfirmStart(kFirst, 1);
  fixture.Renew("t", { MakeRunning(kFirst, 1) });
  fixture.Wait(Millis(20)); // a renewal leaves and is held up
  fixture.LoseContact("t");
  fixture.Replace();
  fixture.Renew("t");
  const auto starts = fixture.Collect();
  REQUIRE(starts.size() == 1);
  const auto run = starts[0].run_;
  fixture.ConfirmStart(kFirst, run);
  while (fixture.clockMs_ < 3000) {
    fixture.Renew("t", { MakeRunning(kFirst, run) });
    fixture.Collect();
  }
  // It arrives now. Its deadline lies as far ahead as targets grant.
  const auto heldUntil =
    fixture.clockMs_ + FleetOptions{}.longestLease_.count();
  const auto lost = fixture.fleet_.Counts().lost_;
  fixture.LoseContact("t");
  while (fixture.fleet_.Counts().lost_ == lost && fixture.clockMs_ < 30000) {
    fixture.Wait(Millis(50));
  }
  CHECK(fixture.clockMs_ >= heldUntil);
}
