// Data centres that are evacuated and taken back.

#include <catch2/catch.hpp>

#include "evacuation/evacuation.h"
#include "reducer_fixture.h"
#include "state.h"

using namespace cuminbridge;

namespace {

constexpr Millis kLimit(4700);

// Targets "t0" and "t1" in data centres "0" and "1", which have listed their
// runs, none.
struct EvacuatedFleet : ReducerFixture
{
  explicit EvacuatedFleet(Millis aLimit = kLimit)
  {
    FleetConfig config;
    config.version_ = 1;
    config.pools_.push_back({ "a", true, false });
    FleetOptions options;
    options.maxEvacuationsAge_ = aLimit;
    Deliver(OptionsChanged{ options });
    Deliver(ConfigSeen{ config });
    Deliver(JobsLoaded{});
    for (const char* name : { "0", "1" }) {
      reports_.push_back(MakeReport(std::string("t") + name));
      reports_.back().dataCentre_ = name;
    }
    Deliver(TargetsSeen{ reports_ });
    AdvanceTime(Millis(10));
    AnswerRenewal("t0", {});
    AnswerRenewal("t1", {});
    Deliver(ProgressStored{ 1 });
  }

  void See(std::set<std::string> aDataCentres)
  {
    Deliver(EvacuationsSeen{ std::move(aDataCentres), now_ });
  }

  std::vector<StartRun> Submit(int aItems)
  {
    Deliver(JobArrived{ MakeJob(MakeJobId(++jobs_), "a", { aItems }) });
    return TakeStarts();
  }

  std::vector<StartRun> TakeStarts()
  {
    AdvanceTime(Millis(10));
    std::vector<StartRun> starts;
    for (auto& effect : fleet_.TakeEffects()) {
      if (auto* start = std::get_if<StartRun>(&effect)) {
        starts.push_back(*start);
      } else if (auto* line = std::get_if<LogLine>(&effect)) {
        ++lines_[line->event_];
      }
    }
    return starts;
  }

  std::vector<TargetReport> reports_;
  std::map<std::string, int> lines_; // by event
  int jobs_ = 0;
};

} // namespace

TEST_CASE("nothing starts before the evacuations are read")
{
  EvacuatedFleet fleet;
  CHECK(fleet.Submit(2).empty());
  fleet.See({});
  CHECK(fleet.TakeStarts().size() == 2);

  EvacuatedFleet without(Millis(0));
  CHECK(without.Submit(2).size() == 2);
}

TEST_CASE("nothing starts in an evacuated data centre until it is taken back")
{
  EvacuatedFleet fleet;
  fleet.See({ "0" });
  const auto starts = fleet.Submit(12);
  CHECK(starts.size() == 8);
  for (const auto& start : starts) {
    CHECK(start.target_ == "t1");
  }
  fleet.See({ "0", "1" });
  CHECK(fleet.TakeStarts().empty());
  REQUIRE(fleet.fleet_.Evacuations().size() == 2);
  CHECK(fleet.fleet_.Evacuations().back().ending_ == 8);
  fleet.See({});
  CHECK(fleet.fleet_.Evacuations().empty());
  CHECK(fleet.TakeStarts().size() == 4);
  CHECK(fleet.lines_["evacuation_seen"] == 2);
  CHECK(fleet.lines_["evacuation_over"] == 2);
}

TEST_CASE("a start arrives while what is known of evacuations is young enough")
{
  EvacuatedFleet fleet;
  fleet.See({});
  fleet.AdvanceTime(kLimit - Millis(400));
  const auto starts = fleet.Submit(1);
  REQUIRE(starts.size() == 1);
  // Targets and this owner have had the same time since the first renewal.
  const auto& target = fleet.fleet_.State().targets_.at(starts[0].target_);
  const auto clock = target.clockMs_ + (fleet.now_ - target.clockAt_).count();
  CHECK(starts[0].leaseUntil_ <= clock + 400);
  fleet.AdvanceTime(Millis(200));
  CHECK(fleet.Submit(1).empty());
  fleet.See({});
  CHECK(fleet.TakeStarts().size() == 1);
}

TEST_CASE("short work may start until the limit, after other targets")
{
  EvacuatedFleet fleet;
  fleet.See({});
  const auto before = fleet.now_;
  fleet.AdvanceTime(Millis(1000));
  fleet.See({ "0" });
  CHECK(fleet.fleet_.State().targets_.at("t0").closesAt_ == before + kLimit);
  int here = 0;
  for (const auto& start : fleet.Submit(10)) {
    here += start.target_ == "t0" ? 1 : 0;
  }
  CHECK(here == 2); // "t1" has room for 8
  auto lasting = MakeJob(MakeJobId(90), "a", { 1 });
  lasting.steps_[0].isLongRunning_ = true;
  fleet.Deliver(JobArrived{ lasting });
  CHECK(fleet.TakeStarts().empty());
  auto slow = MakeJob(MakeJobId(91), "a", { 1 });
  slow.steps_[0].estimate_ = kLimit + Millis(100);
  fleet.Deliver(JobArrived{ slow });
  CHECK(fleet.TakeStarts().empty());
  fleet.AdvanceTime(kLimit - Millis(1000) - Millis(400));
  fleet.See({ "0" });
  const auto last = fleet.Submit(1);
  REQUIRE(last.size() == 1);
  const auto& target = fleet.fleet_.State().targets_.at("t0");
  const auto left = before + kLimit - fleet.now_;
  const auto clock = target.clockMs_ + (fleet.now_ - target.clockAt_).count();
  CHECK(last[0].leaseUntil_ <= clock + left.count() + 10);
  fleet.AdvanceTime(Millis(100));
  CHECK(fleet.Submit(1).empty());
}

TEST_CASE("an old answer does not make evacuations younger")
{
  EvacuatedFleet fleet;
  fleet.See({ "0" });
  const auto old = fleet.now_ - Millis(3000);
  fleet.Deliver(EvacuationsSeen{ {}, old });
  CHECK(*fleet.fleet_.State().evacuations_.askedAt_ > old);
  CHECK(fleet.fleet_.Evacuations().size() == 1);
}

TEST_CASE("a target that names no data centre may be in any")
{
  EvacuatedFleet fleet;
  fleet.reports_[0].dataCentre_ = "";
  fleet.reports_[0].sequence_ = 1;
  fleet.Deliver(TargetsSeen{ fleet.reports_ });
  fleet.See({ "elsewhere" });
  for (const auto& start : fleet.Submit(12)) {
    CHECK(start.target_ == "t1");
  }
  Vm vm;
  vm.name_ = "vm-t0";
  vm.dataCentre_ = "0";
  fleet.Deliver(VmsSeen{ { vm }, fleet.now_ });
  fleet.Deliver(TargetsSeen{ fleet.reports_ });
  CHECK(fleet.TakeStarts().size() == 4);
}

TEST_CASE(
  "work whose label only an evacuated data centre has waits, noted once")
{
  EvacuatedFleet fleet;
  fleet.reports_[0].labels_ = { "special" };
  fleet.reports_[0].sequence_ = 1;
  fleet.Deliver(TargetsSeen{ fleet.reports_ });
  fleet.See({ "0" });
  auto job = MakeJob(MakeJobId(1), "a", { 3 });
  job.steps_[0].label_ = "special";
  fleet.Deliver(JobArrived{ job });
  for (int tick = 0; tick < 30; ++tick) {
    CHECK(fleet.TakeStarts().empty());
  }
  CHECK(fleet.lines_["waits_for_data_centre"] == 1);
  fleet.See({});
  CHECK(fleet.TakeStarts().size() == 3);
}

TEST_CASE("long-running items leave an evacuated data centre one at a time")
{
  SimulatedFleet fleet(1);
  fleet.AddTargets("a", 6);
  fleet.ServeEvacuations();
  fleet.StartOwner();
  auto job = MakeJob(MakeJobId(1), "a", { 6 });
  job.steps_[0].isLongRunning_ = true;
  job.steps_[0].maxUnavailable_ = 1;
  job.steps_[0].maxPerTarget_ = 2;
  job.steps_[0].needs_ = { 4000, 1000, 0 };
  fleet.Submit(job);
  fleet.RunFor(Millis(4000));
  fleet.RequestEvacuation("0");
  int leastRunning = 6;
  for (int turn = 0; turn < 30000; ++turn) {
    fleet.RunFor(Millis(1));
    int running = 0;
    for (int item = 0; item < 6; ++item) {
      running += fleet.IsRunning({ job.id_, 0, 0, item }) ? 1 : 0;
    }
    leastRunning = std::min(leastRunning, running);
  }
  CHECK(leastRunning == 5);
  for (const auto& id : fleet.TargetIds()) {
    CHECK(fleet.RunningOn(id) == ((id.back() - '0') % 2 == 0 ? 0 : 2));
  }
  CHECK(fleet.Violations().empty());
}

TEST_CASE("long-running items give way to waiting work")
{
  SimulatedFleet fleet(1);
  fleet.AddTargets("a", 4);
  fleet.ServeEvacuations();
  fleet.StartOwner();
  auto job = MakeJob(MakeJobId(1), "a", { 4 });
  job.steps_[0].isLongRunning_ = true;
  job.steps_[0].maxUnavailable_ = 1;
  job.steps_[0].maxPerTarget_ = 2;
  fleet.Submit(job);
  fleet.RunFor(Millis(4000));
  fleet.RequestEvacuation("0");
  const auto countThere = [&] {
    return fleet.RunningOn("a-0") + fleet.RunningOn("a-2");
  };
  const int before = countThere();
  REQUIRE(before > 0);
  for (int round = 0; round < 20; ++round) {
    fleet.Submit(MakeJob(MakeJobId(10 + round), "a", { 40 }));
    fleet.RunFor(Millis(500));
  }
  CHECK(countThere() == before);
  fleet.RunFor(Millis(60000));
  CHECK(countThere() == 0);
  CHECK(fleet.Violations().empty());
}

TEST_CASE("an evacuation holds across owners that know nothing of it")
{
  for (unsigned seed = 1; seed <= 20; ++seed) {
    SimulatedFleet fleet(seed, { 0.02, 0.02, 0.05, 0 });
    fleet.AddTargets("a", 4);
    fleet.ServeEvacuations();
    fleet.StartOwner();
    for (int round = 0; round < 12; ++round) {
      fleet.Submit(MakeJob(MakeJobId(round), "a", { 12, 3 }));
      if (round % 4 == 1) {
        fleet.RequestEvacuation("0");
        fleet.HideEvacuations(Millis(7000));
      }
      fleet.RunFor(Millis(1500));
      if (round % 4 == 2) {
        fleet.StartOwner(PreviousOwner::Unknown);
      }
      if (round % 4 == 3) {
        fleet.EndEvacuation("0");
      }
    }
    fleet.RunFor(Millis(40000));
    INFO("seed " << seed);
    for (const auto& what : fleet.Violations()) {
      FAIL_CHECK(what);
    }
    for (int round = 0; round < 12; ++round) {
      CHECK(fleet.StoredState(MakeJobId(round)) == JobState::Completed);
    }
  }
}
