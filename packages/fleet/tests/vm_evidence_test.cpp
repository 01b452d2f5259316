// What the VM service says of a target: which of it proves that the target has
// ended, and which does not.

#include <catch2/catch.hpp>

#include "reducer_fixture.h"
#include "state.h"
#include "vm_orders.h"

using namespace cuminbridge;

namespace {

const ItemName kItem{ MakeJobId(1), 0, 0, 0 };

// A VM on standby is ordered to pool "a", where an item waits. The call is
// carried out and gets no answer. VMs are listed only as a test does it.
struct MovedVm : ReducerFixture
{
  MovedVm()
  {
    FleetConfig config;
    config.version_ = 1;
    config.pools_.push_back({ "a", true, false });
    config.pools_.push_back({ "standby", true, true });
    vm_.name_ = "vm-next";
    vm_.pool_ = "standby";
    vm_.state_ = VmState::Up;
    vm_.capacity_ = { 8000, 32000, 0 };
    Deliver(ConfigSeen{ config });
    Deliver(JobsLoaded{});
    Deliver(TargetsSeen{});
    Advance(Millis(10));
    Deliver(JobArrived{ MakeJob(kItem.job_, "a", { 1 }) });
    for (int round = 0; round < 8 && moves_ == 0; ++round) {
      ListVm();
      Advance(Millis(250));
    }
    REQUIRE(moves_ == 1);
    Deliver(VmOrderAnswered{ vm_.name_, VmOrderOutcome::Unknown });
  }

  // Confirms what is stored, and counts orders and starts.
  void Advance(Millis aTime)
  {
    AdvanceTime(aTime);
    for (const auto& effect : fleet_.TakeEffects()) {
      moves_ += std::holds_alternative<MoveVm>(effect) ? 1 : 0;
      starts_ += std::holds_alternative<StartRun>(effect) ? 1 : 0;
      if (const auto* store = std::get_if<StoreProgress>(&effect)) {
        Deliver(ProgressStored{ store->batch_ });
      }
    }
  }

  void ListVm() { Deliver(VmsSeen{ { vm_ }, now_ }); }

  // The target that the move brings joins, and the item starts there.
  void StartWork()
  {
    Advance(Millis(1500));
    vm_.pool_ = "a";
    vm_.target_ = "next";
    ReportTarget();
    AnswerRenewal("next", {});
    Advance(Millis(10));
    Advance(Millis(10));
    REQUIRE(starts_ == 1);
    Deliver(StartAnswered{ "next", kItem, 1, StartOutcome::Started, 130 });
  }

  // The target lists the item's run every 200 ms.
  void KeepRunning(Millis aTime)
  {
    for (Millis passed(0); passed < aTime; passed += Millis(200)) {
      Advance(Millis(200));
      ReportTarget();
      AnswerRenewal("next", { { kItem, 1, "", 10, 0 } });
    }
  }

  // The target answers no renewal.
  void Silence()
  {
    RenewalAnswered renewal;
    renewal.target_ = "next";
    renewal.sentAt_ = now_;
    Deliver(renewal);
  }

  void ReportTarget()
  {
    auto report = MakeReport("next");
    report.sequence_ = ++sequence_;
    Deliver(TargetsSeen{ { report } });
  }

  Vm vm_;
  int moves_ = 0;
  int starts_ = 0;
  std::int64_t sequence_ = 0;
};

} // namespace

TEST_CASE("an order does not end the target that its own execution brought")
{
  // The owner learned late that its order was carried out. All work of the
  // target that had joined since started elsewhere and ran twice.
  MovedVm fixture;
  fixture.StartWork();
  SECTION("a list of VMs that comes a little later")
  {
    fixture.KeepRunning(Millis(600));
    fixture.ListVm();
  }
  SECTION("a list of VMs after the VM service was away for 10 s")
  {
    fixture.KeepRunning(Millis(10000));
    fixture.ListVm();
  }
  SECTION("an answer that is read late")
  {
    fixture.KeepRunning(Millis(600));
    fixture.Deliver(VmOrderAnswered{ fixture.vm_.name_, VmOrderOutcome::Done });
  }
  fixture.Advance(Millis(10));
  CHECK(fixture.fleet_.Counts().lost_ == 0);
  CHECK(fixture.fleet_.State().targets_.at("next").runs_.size() == 1);
  CHECK(!fixture.fleet_.State().targets_.at("next").hasExited_);
}

TEST_CASE("work of moved VMs does not run twice while the VM service is away")
{
  // VMs are moved, and the answers to the orders are lost.
  for (const int away : { 500, 2500, 3000, 4000, 12000 }) {
    INFO("away for " << away << " ms");
    SimulatedFleet fleet(1);
    fleet.AddTargets("a", 1);
    fleet.AddStandbyVms(3);
    fleet.StartOwner();
    fleet.RunFor(Millis(1000));
    // It fills the first target until the others have joined.
    auto first = MakeJob(MakeJobId(1), "a", { 8 });
    first.steps_[0].estimate_ = Millis(2300);
    fleet.Submit(std::move(first));
    fleet.RunFor(Millis(100));
    auto second = MakeJob(MakeJobId(2), "a", { 24 });
    second.steps_[0].estimate_ = Millis(15000);
    fleet.Submit(std::move(second));
    fleet.CutVmService(Millis(away));
    fleet.RunFor(Millis(60000));
    for (const auto& what : fleet.Violations()) {
      FAIL_CHECK(what);
    }
    CHECK(fleet.TargetIds().size() > 1);
    CHECK(fleet.Starts(MakeJobId(2)) == 24);
    CHECK(fleet.StoredState(MakeJobId(2)) == JobState::Completed);
  }
}

TEST_CASE("a VM that is up and names no target may have one")
{
  // The platform promises no name for each target that lives. Work of a silent
  // target started elsewhere although it ran on.
  MovedVm fixture;
  fixture.StartWork();
  fixture.ListVm();
  fixture.KeepRunning(Millis(4000));
  fixture.ListVm();
  fixture.Silence();
  fixture.vm_.target_.clear();
  const auto isReleased = [&] {
    for (int list = 0; list < 3; ++list) {
      fixture.Advance(Millis(50));
      fixture.ListVm();
    }
    return fixture.fleet_.State().targets_.at("next").runs_.empty();
  };
  SECTION("not named")
  {
    CHECK(!isReleased());
  }
  SECTION("on standby")
  {
    fixture.vm_.pool_ = "standby";
    CHECK(isReleased());
  }
  SECTION("down, moving or in maintenance")
  {
    fixture.vm_.state_ =
      GENERATE(VmState::Down, VmState::Moving, VmState::Maintenance);
    CHECK(isReleased());
  }
}

TEST_CASE("a target on an unknown VM may be on one that names no target")
{
  // The new owner has never read where the target is, and can't reach it.
  Instant now(Millis(1000000));
  Fleet next(FleetOptions{}, now);
  const auto handle = [&](const Event& aEvent) { next.Handle(aEvent, now); };
  handle(Tick{ WallTime(now.time_since_epoch()), kAlways });
  JobsLoaded loaded;
  loaded.term_ = 2;
  loaded.jobs_ = { MakeJob(kItem.job_, "a", { 1 }) };
  Progress progress;
  progress.state_ = JobState::Serving;
  progress.items_.push_back({ 0, 0, 0, false, {}, 1, "", "silent", {} });
  loaded.progress_[kItem.job_] = progress;
  loaded.targets_ = { { "silent", "silent", "a" } };
  handle(loaded);
  handle(TargetsSeen{});
  RenewalAnswered noAnswer;
  noAnswer.target_ = "silent";
  noAnswer.sentAt_ = now;
  handle(noAnswer);
  Vm vm;
  vm.name_ = "vm";
  vm.pool_ = "a";
  vm.state_ = VmState::Up;
  const auto isReleased = [&] {
    for (int list = 0; list < 3; ++list) {
      now += Millis(100);
      handle(VmsSeen{ { vm }, now });
    }
    const auto target = next.State().targets_.find("silent");
    return target == next.State().targets_.end() ||
           target->second.runs_.empty();
  };
  CHECK(!isReleased());
  vm.target_ = "other";
  CHECK(isReleased());
}

TEST_CASE("an order that was done already ends no target that has work")
{
  // The previous owner had ordered the maintenance, and the next target's clock
  // is late. The answer to this owner's order is read after work has started.
  ReducerFixture fixture;
  const auto report = ReducerFixture::MakeReport("next");
  Vm vm;
  vm.name_ = report.vm_;
  vm.pool_ = "a";
  vm.target_ = "next";
  vm.state_ = VmState::Up;
  int orders = 0;
  int starts = 0;
  const auto advance = [&](Millis aTime) {
    fixture.AdvanceTime(aTime);
    for (const auto& effect : fixture.fleet_.TakeEffects()) {
      orders += std::holds_alternative<MaintainVm>(effect) ? 1 : 0;
      starts += std::holds_alternative<StartRun>(effect) ? 1 : 0;
      if (const auto* store = std::get_if<StoreProgress>(&effect)) {
        fixture.Deliver(ProgressStored{ store->batch_ });
      }
    }
  };
  FleetConfig config;
  config.version_ = 1;
  config.pools_.push_back({ "a", true, false });
  fixture.Deliver(ConfigSeen{ config });
  fixture.Deliver(Tick{ WallTime(fixture.now_.time_since_epoch()), kAlways });
  JobsLoaded loaded;
  loaded.term_ = 2;
  loaded.orders_ = { { vm.name_, WallTime(fixture.now_.time_since_epoch()) } };
  fixture.Deliver(loaded);
  fixture.Deliver(TargetsSeen{ { report } });
  advance(Millis(10));
  fixture.AnswerRenewal("next", {});
  fixture.Deliver(WavesSeen{ { { 1, { vm.name_ }, Millis(20000), 1 } } });
  for (int round = 0; round < 40 && orders == 0; ++round) {
    fixture.Deliver(VmsSeen{ { vm }, fixture.now_ });
    advance(Millis(250));
  }
  REQUIRE(orders == 1);
  advance(kOrderTimeout);
  fixture.Deliver(JobArrived{ MakeJob(kItem.job_, "a", { 1 }) });
  advance(Millis(10));
  REQUIRE(starts == 1);
  const auto& target = fixture.fleet_.State().targets_.at("next");
  const auto run = target.runs_.front().run_;
  fixture.Deliver(
    StartAnswered{ "next", kItem, run, StartOutcome::Started, 130 });
  fixture.Deliver(VmOrderAnswered{ vm.name_, VmOrderOutcome::Done });
  advance(Millis(10));
  CHECK(fixture.fleet_.Counts().lost_ == 0);
}

TEST_CASE("a wave is not completed because one list of VMs lacks a VM of it")
{
  // A list is read page by page and may miss a VM. The wave was stored as
  // completed before that VM had its maintenance.
  MovedVm fixture;
  fixture.StartWork();
  fixture.ListVm();
  fixture.Deliver(
    WavesSeen{ { { 1, { fixture.vm_.name_ }, Millis(20000), 1 } } });
  fixture.KeepRunning(Millis(4000));
  const auto isCompleted = [&] {
    fixture.Deliver(VmsSeen{ {}, fixture.now_ });
    fixture.KeepRunning(Millis(400));
    return fixture.fleet_.State().waves_.at(1).isCompleted_;
  };
  CHECK(!isCompleted());
  fixture.ListVm();
  CHECK(!isCompleted());
  CHECK(isCompleted()); // missing twice in a row: it is gone for good
}
