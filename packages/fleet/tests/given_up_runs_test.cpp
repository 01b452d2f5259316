// Runs that an owner has given up, and that their target lists after all.

#include <catch2/catch.hpp>

#include "reducer_fixture.h"

using namespace cuminbridge;

namespace {

const ItemName kItem{ MakeJobId(1), 0, 0, 0 };
const ItemName kOtherItem{ MakeJobId(1), 0, 0, 1 };

// Run 1 of each item was confirmed on target "t", which then fell silent until
// its lease had surely expired: the runs were given up.
struct GivenUpRun : ReducerFixture
{
  explicit GivenUpRun(int aItems = 1)
  {
    FleetConfig config;
    config.version_ = 1;
    config.pools_.push_back({ "a", true, false });
    Deliver(ConfigSeen{ config });
    Deliver(Tick{ WallTime(now_.time_since_epoch()), kAlways });
    Deliver(JobsLoaded{});
    Deliver(TargetsSeen{ { MakeReport("t") } });
    AdvanceTime(Millis(10));
    AnswerRenewal("t", {});
    Deliver(ProgressStored{ 1 });
    Deliver(JobArrived{ MakeJob(MakeJobId(1), "a", { aItems }) });
    AdvanceTime(Millis(10));
    Deliver(StartAnswered{ "t", kItem, 1, StartOutcome::Started, 130 });
    Deliver(StartAnswered{ "t", kOtherItem, 1, StartOutcome::Started, 130 });
    Deliver(RenewalAnswered{ "t", RenewalOutcome::Unresponsive, now_ });
    AdvanceTime(Millis(5000));
    AdvanceTime(Millis(10));
    fleet_.TakeEffects();
  }

  // The target answers again and lists the run as done.
  void AnswerWithDoneRun()
  {
    EndedRun end;
    end.number_ = 1;
    end.item_ = kItem;
    end.run_ = 1;
    end.kind_ = EndKind::Done;
    AnswerRenewal("t", {}, { end });
  }

  void ConfirmStores()
  {
    for (std::uint64_t batch = 2; batch < 10; ++batch) {
      Deliver(ProgressStored{ batch });
      AdvanceTime(Millis(60));
    }
  }
};

} // namespace

TEST_CASE("work that a given-up run has done is not done again")
{
  GivenUpRun fixture;
  fixture.AnswerWithDoneRun();
  fixture.ConfirmStores();
  CHECK(fixture.CountEffects<StartRun>() == 0);
  CHECK(fixture.fleet_.StoredState(MakeJobId(1)) == JobState::Completed);
}

TEST_CASE("a second run is stopped once the first one is known to be done")
{
  GivenUpRun fixture;
  fixture.Deliver(TargetsSeen{
    { ReducerFixture::MakeReport("t"), ReducerFixture::MakeReport("u") } });
  fixture.AdvanceTime(Millis(10));
  fixture.AnswerRenewal("u", {});
  fixture.ConfirmStores();
  REQUIRE(fixture.CountEffects<StartRun>() == 1); // run 2, on "u"
  fixture.AnswerWithDoneRun();
  CHECK(fixture.CountEffects<StopRun>() == 1);
  fixture.ConfirmStores();
  CHECK(fixture.fleet_.StoredState(MakeJobId(1)) == JobState::Completed);
}

TEST_CASE("a given-up run that is still at work goes on")
{
  GivenUpRun fixture;
  RunningRun run;
  run.item_ = kItem;
  run.run_ = 1;
  fixture.AnswerRenewal("t", { run });
  fixture.ConfirmStores();
  for (const auto& effect : fixture.fleet_.TakeEffects()) {
    CHECK_FALSE(std::holds_alternative<StopRun>(effect));
    CHECK_FALSE(std::holds_alternative<StartRun>(effect));
  }
}

TEST_CASE("a given-up run that is done leaves no item of its step waiting")
{
  // Capacity history 222: its item still counted as assigned.
  GivenUpRun fixture(2);
  fixture.Deliver(TargetsSeen{
    { ReducerFixture::MakeReport("t"), ReducerFixture::MakeReport("u") } });
  fixture.AdvanceTime(Millis(10));
  fixture.AnswerRenewal("u", {});
  fixture.ConfirmStores();
  REQUIRE(fixture.CountEffects<StartRun>() == 2); // run 2 of each, on "u"
  fixture.AnswerWithDoneRun();
  fixture.Deliver(
    StartAnswered{ "u", kOtherItem, 2, StartOutcome::NoCapacity, 200 });
  fixture.ConfirmStores();
  CHECK(fixture.CountEffects<StartRun>() == 1);
}
