// Connections to targets that are refused although the target lives, and how
// soon work starts again where it does not.

#include <catch2/catch.hpp>

#include "reducer_fixture.h"
#include "seeds.h"
#include "state.h"

using namespace cuminbridge;

namespace {

constexpr unsigned kHistories = 300;

const ItemName kItem{ MakeJobId(1), 0, 0, 0 };

std::string
TargetWithRuns(const SimulatedFleet& aFleet)
{
  for (const auto& id : aFleet.TargetIds()) {
    if (aFleet.RunningOn(id) > 0) {
      return id;
    }
  }
  return "";
}

Job
MakeLongJob(Millis aTakes)
{
  auto job = MakeJob(MakeJobId(1), "a", { 1 });
  job.steps_[0].estimate_ = aTakes;
  return job;
}

void
CheckNoViolations(const SimulatedFleet& aFleet)
{
  for (const auto& what : aFleet.Violations()) {
    FAIL_CHECK(what);
  }
}

// An item runs on target "t", which then refuses connections. VMs are listed
// only as a test does it.
struct RefusedTarget : ReducerFixture
{
  RefusedTarget()
  {
    UsePool();
    Deliver(Tick{ WallTime(now_.time_since_epoch()), kAlways });
    Deliver(JobsLoaded{});
    Deliver(TargetsSeen{ { MakeReport("t") } });
    AdvanceTime(Millis(10));
    AnswerRenewal("t", {});
    Deliver(ProgressStored{ 1 });
    Deliver(JobArrived{ MakeLongJob(Millis(9000)) });
    AdvanceTime(Millis(10));
  }

  void ConfirmStart()
  {
    Deliver(StartAnswered{ "t", kItem, 1, StartOutcome::Started, 130 });
  }

  void Refuse()
  {
    AdvanceTime(Millis(10));
    RenewalAnswered renewal;
    renewal.target_ = "t";
    renewal.outcome_ = RenewalOutcome::Refused;
    renewal.sentAt_ = now_;
    Deliver(renewal);
    AdvanceTime(Millis(10));
  }

  void ListVm(const std::string& aTarget) { ListVm(aTarget, now_); }

  void ListVm(const std::string& aTarget, Instant aAskedAt)
  {
    Vm vm;
    vm.name_ = "vm-t";
    vm.pool_ = "a";
    vm.target_ = aTarget;
    vm.state_ = aTarget.empty() ? VmState::Down : VmState::Up;
    Deliver(VmsSeen{ { vm }, aAskedAt });
  }

  bool IsHeld() const { return !fleet_.State().targets_.at("t").runs_.empty(); }
};

} // namespace

TEST_CASE("work does not run twice where connections to its target are refused")
{
  // A network that reset connections was taken for the end of the target's
  // process. Its items started elsewhere at once and ran twice.
  for (const int cut : { 300, 2000, 5500, 9000 }) {
    INFO("refused for " << cut << " ms");
    SimulatedFleet fleet(1);
    fleet.AddTargets("a", 4);
    fleet.StartOwner();
    fleet.Submit(MakeLongJob(Millis(9000)));
    fleet.RunFor(Millis(1000));
    fleet.RejectConnections(TargetWithRuns(fleet), Millis(cut));
    fleet.RunFor(Millis(40000));
    CheckNoViolations(fleet);
    CHECK(fleet.StoredState(MakeJobId(1)) == JobState::Completed);
  }
}

TEST_CASE("a refused connection is not a crash under an item")
{
  // Two of them failed a sound job.
  SimulatedFleet fleet(1);
  fleet.AddTargets("a", 4);
  fleet.StartOwner();
  // Longer than a lease, so that no run is done while its target is cut off.
  fleet.Submit(MakeLongJob(Millis(12000)));
  for (int cut = 0; cut < 4; ++cut) {
    for (int step = 0; step < 9000 && TargetWithRuns(fleet).empty(); ++step) {
      fleet.RunFor(Millis(1));
    }
    fleet.RunFor(Millis(50));
    fleet.RejectConnections(TargetWithRuns(fleet), Millis(9000));
    fleet.RunFor(Millis(6000));
  }
  fleet.RunFor(Millis(40000));
  CheckNoViolations(fleet);
  CHECK(fleet.StoredState(MakeJobId(1)) == JobState::Completed);
}

TEST_CASE("work of a crashed target starts again once its VM is listed as down")
{
  // Without the list of VMs it would wait for the lease of 4 s.
  SimulatedFleet fleet(1);
  fleet.AddTargets("a", 4);
  fleet.StartOwner();
  fleet.Submit(MakeLongJob(Millis(9000)));
  fleet.RunFor(Millis(1000));
  fleet.CrashTarget(TargetWithRuns(fleet));
  fleet.RunFor(Millis(900));
  CHECK(fleet.IsRunning(kItem));
}

TEST_CASE("a list of VMs shows the end of a target only under these conditions")
{
  RefusedTarget fixture;
  SECTION("it named the target before")
  {
    fixture.ConfirmStart();
    fixture.ListVm("t");
    fixture.Refuse();
    CHECK(fixture.CountEffects<RequestVmList>() == 1);
    fixture.ListVm("");
    CHECK(!fixture.IsHeld());
  }
  SECTION("a VM whose target starts may not name it yet")
  {
    fixture.ConfirmStart();
    fixture.Refuse();
    fixture.ListVm("");
    CHECK(fixture.IsHeld());
  }
  SECTION("a list that was requested before the target was lost is too old")
  {
    fixture.ConfirmStart();
    fixture.ListVm("t");
    const auto before = fixture.now_;
    fixture.Refuse();
    fixture.ListVm("", before);
    CHECK(fixture.IsHeld());
  }
  SECTION("a VM that still names the target proves nothing")
  {
    fixture.ConfirmStart();
    fixture.ListVm("t");
    fixture.Refuse();
    fixture.ListVm("t");
    CHECK(fixture.IsHeld());
  }
  SECTION("another target on its VM")
  {
    fixture.ConfirmStart();
    fixture.ListVm("t");
    fixture.Refuse();
    fixture.ListVm("next");
    CHECK(!fixture.IsHeld());
  }
  SECTION("a VM that is missing from two lists in a row is gone")
  {
    fixture.ConfirmStart();
    fixture.ListVm("t");
    fixture.Refuse();
    fixture.Deliver(VmsSeen{ {}, fixture.now_ });
    CHECK(fixture.IsHeld());
    fixture.Deliver(VmsSeen{ {}, fixture.now_ });
    CHECK(!fixture.IsHeld());
  }
  SECTION("a start on its way may reach the next process")
  {
    fixture.ListVm("t");
    fixture.Refuse();
    fixture.ListVm("");
    CHECK(fixture.IsHeld());
  }
}

TEST_CASE("a target that left its VM before the takeover holds nothing up")
{
  // The previous owner had moved its VM. Jobs of the pool waited until the
  // leases there would have expired.
  RefusedTarget fixture;
  Fleet next(FleetOptions{}, fixture.now_);
  const auto handle = [&](const Event& aEvent) {
    next.Handle(aEvent, fixture.now_);
  };
  const auto tick = [&] {
    fixture.now_ += Millis(50);
    handle(SubmissionsRead{ fixture.now_ });
    handle(Tick{ WallTime(fixture.now_.time_since_epoch()), kAlways });
  };
  handle(ConfigSeen{ fixture.fleet_.State().config_ });
  tick();
  JobsLoaded loaded;
  loaded.term_ = 2;
  loaded.jobs_ = { MakeLongJob(Millis(100)) };
  loaded.targets_ = { { "moved", "moved", "a" }, { "t", "t", "a" } };
  handle(loaded);
  handle(TargetsSeen{ { ReducerFixture::MakeReport("t") } });
  tick();
  RenewalAnswered answered;
  answered.target_ = "t";
  answered.outcome_ = RenewalOutcome::Answered;
  answered.sentAt_ = fixture.now_;
  answered.startUnixMs_ = 5;
  answered.clockMs_ = 100;
  handle(answered);
  RenewalAnswered refused;
  refused.target_ = "moved";
  refused.outcome_ = RenewalOutcome::Refused;
  refused.sentAt_ = fixture.now_;
  handle(refused);
  Vm vm;
  vm.name_ = "vm-t";
  vm.pool_ = "a";
  vm.target_ = "t";
  vm.state_ = VmState::Up;
  const auto countStarts = [&] {
    int starts = 0;
    for (const auto& effect : next.TakeEffects()) {
      starts += std::holds_alternative<StartRun>(effect) ? 1 : 0;
      if (const auto* store = std::get_if<StoreProgress>(&effect)) {
        handle(ProgressStored{ store->batch_ });
      }
    }
    return starts;
  };
  CHECK(countStarts() == 0);
  handle(VmsSeen{ { vm }, fixture.now_ });
  tick();
  CHECK(countStarts() == 0);
  handle(VmsSeen{ { vm }, fixture.now_ });
  tick();
  CHECK(countStarts() == 1);
}

TEST_CASE("random histories with refused connections")
{
  const auto seeds = ReadSeeds(kHistories);
  for (unsigned seed = seeds.first_; seed < seeds.end_; ++seed) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    const auto draw = [&](int aLeast, int aMost) {
      return std::uniform_int_distribution<int>(aLeast, aMost)(random);
    };
    SimulatedFleet fleet(seed, { 0.01, 0.01, 0.01, 0.01 });
    fleet.AddTargets("a", draw(3, 8));
    fleet.StartOwner();
    const int jobs = draw(4, 16);
    for (int job = 0; job < jobs; ++job) {
      auto next = MakeJob(MakeJobId(job), "a", { draw(1, 5), draw(1, 3) });
      next.steps_[0].estimate_ = Millis(draw(200, 4000));
      fleet.Submit(std::move(next));
      fleet.RunFor(Millis(draw(5, 600)));
      const auto ids = fleet.TargetIds();
      const auto& target = ids[static_cast<std::size_t>(
        draw(0, static_cast<int>(ids.size()) - 1))];
      switch (draw(0, 9)) {
        case 0:
        case 1:
        case 2:
          fleet.RejectConnections(target, Millis(draw(100, 9000)));
          break;
        case 3:
          // The process ends and the next one begins unseen.
          fleet.RejectConnections(target, Millis(draw(3000, 9000)));
          fleet.CrashTarget(target);
          break;
        case 4:
          fleet.CrashTarget(target);
          break;
        case 5:
          fleet.StartOwner(PreviousOwner::Unknown);
          break;
        case 6:
          fleet.StartOwner(PreviousOwner::Ended);
          break;
        default:
          break;
      }
    }
    fleet.RunFor(Millis(90000));
    CheckNoViolations(fleet);
    for (int job = 0; job < jobs; ++job) {
      const auto state = fleet.StoredState(MakeJobId(job));
      INFO("job " << job);
      CHECK((state == JobState::Completed || state == JobState::Failed));
    }
  }
}
