// The reducer, event by event, on a fleet of one target: orders for its VM,
// runs that this owner did not start, and jobs that arrive late.

#include <catch2/catch.hpp>

#include "reducer_fixture.h"

using namespace cuminbridge;

namespace {

// A fleet of one target "t" on VM "vm" in pool "a". The target has already
// listed its runs, none, so the fleet may place work there.
struct OneTargetFleet : ReducerFixture
{
  OneTargetFleet()
  {
    FleetConfig config;
    config.version_ = 1;
    config.pools_.push_back({ "a", true, false });
    report_.vm_ = "vm";
    Deliver(ConfigSeen{ config });
    Deliver(JobsLoaded{});
    Deliver(TargetsSeen{ { report_ } });
    AdvanceTime(Millis(10));
    AnswerRenewal({});
    Deliver(ProgressStored{ 1 });
  }

  void AnswerRenewal(std::vector<RunningRun> aRunning)
  {
    ReducerFixture::AnswerRenewal("t", std::move(aRunning));
  }

  // In each round, the VMs are listed, one batch of stored progress is
  // confirmed, and the target lists these runs, if any.
  void ReportVms(const std::vector<Vm>& aVms,
                 int aRounds,
                 const std::vector<RunningRun>& aRunning = {})
  {
    for (int round = 0; round < aRounds; ++round) {
      Deliver(VmsSeen{ aVms, now_ });
      AdvanceTime(Millis(250));
      Deliver(ProgressStored{ ++storedBatch_ });
      if (!aRunning.empty()) {
        AnswerRenewal(aRunning);
      }
    }
  }

  TargetReport report_ = MakeReport("t");
  std::uint64_t storedBatch_ = 1; // the last batch confirmed as stored
};

// A VM that is up. An empty target name means that no target runs on it.
Vm
MakeVm(const std::string& aName,
       const std::string& aPool,
       const std::string& aTarget = "")
{
  Vm vm;
  vm.name_ = aName;
  vm.pool_ = aPool;
  vm.target_ = aTarget;
  vm.state_ = VmState::Up;
  return vm;
}

} // namespace

TEST_CASE("a VM is not taken down while its target is missing from the list")
{
  // A target without a connection to the store lapsed from the list with
  // long-running work on it. Its VM counted as idle and went into maintenance.
  OneTargetFleet fixture;
  auto job = MakeJob(MakeJobId(1), "a", { 1 });
  job.steps_[0].isLongRunning_ = true;
  fixture.Deliver(JobArrived{ job });
  RunningRun run;
  run.item_ = { job.id_, 0, 0, 0 };
  run.run_ = 1;
  run.percent_ = 100;
  fixture.AdvanceTime(Millis(50));
  fixture.AnswerRenewal({ run });
  fixture.Deliver(TargetsSeen{}); // the list no longer has the target
  auto vm = MakeVm("vm", "a", "t");
  fixture.Deliver(WavesSeen{ { { 1, { "vm" }, Millis(20000), 1 } } });
  fixture.ReportVms({ vm }, 10, { run });
  CHECK(fixture.CountEffects<MaintainVm>() == 0);
  // The same holds for a VM whose target was never listed: what runs there is
  // not known.
  OneTargetFleet unlisted;
  vm.target_ = "never listed";
  unlisted.Deliver(TargetsSeen{});
  unlisted.Deliver(WavesSeen{ { { 1, { "vm" }, Millis(20000), 1 } } });
  unlisted.ReportVms({ vm }, 10);
  CHECK(unlisted.CountEffects<MaintainVm>() == 0);
}

TEST_CASE("a VM order that is stored late is not sent to a VM with work")
{
  // An order is sent only once it is stored. While the store is unavailable it
  // waits, and work may be placed on the target meanwhile.
  OneTargetFleet fixture;
  auto vm = MakeVm("vm", "a", "t");
  fixture.Deliver(WavesSeen{ { { 1, { "vm" }, Millis(20000), 1 } } });
  fixture.Deliver(VmsSeen{ { vm }, fixture.now_ });
  fixture.AdvanceTime(Millis(250)); // the order waits for batch 2
  auto job = MakeJob(MakeJobId(1), "a", { 1 });
  job.steps_[0].isLongRunning_ = true;
  fixture.Deliver(JobArrived{ job });
  for (int round = 0; round < 16; ++round) {
    fixture.Deliver(VmsSeen{ { vm }, fixture.now_ });
    fixture.AdvanceTime(Millis(250));
  }
  CHECK(fixture.CountEffects<StartRun>() == 1);
  fixture.Deliver(ProgressStored{ 2 });
  fixture.AdvanceTime(Millis(10));
  CHECK(fixture.CountEffects<MaintainVm>() == 0);
}

TEST_CASE("VMs that the previous owner took down count for a wave's limit")
{
  // An order that got no answer is not in the record of the wave, but its VM
  // may be in maintenance.
  OneTargetFleet fixture;
  const auto vm = MakeVm("free", "standby");
  Vm down = vm;
  down.name_ = "down";
  down.state_ = VmState::Maintenance;
  fixture.Deliver(WavesSeen{ { { 1, { "free", "down" }, Millis(20000), 1 } } });
  fixture.ReportVms({ vm, down }, 4);
  CHECK(fixture.CountEffects<MaintainVm>() == 0);
}

TEST_CASE("a VM without a target goes into maintenance at once")
{
  OneTargetFleet fixture;
  Vm vm;
  vm.name_ = "other";
  vm.pool_ = "standby";
  vm.state_ = VmState::Up;
  fixture.Deliver(WavesSeen{ { { 1, { "other" }, Millis(20000), 1 } } });
  fixture.ReportVms({ vm }, 4);
  CHECK(fixture.CountEffects<MaintainVm>() == 1);
}

TEST_CASE("a list requested as a start is answered does not end the run")
{
  // A renewal was sent in the same millisecond in which the start was answered,
  // and its answer did not list the run. The run was started again.
  OneTargetFleet fixture;
  fixture.AdvanceTime(Millis(20));
  fixture.Deliver(JobArrived{ MakeJob(MakeJobId(1), "a", { 1 }) });
  fixture.AdvanceTime(Millis(10));
  CHECK(fixture.CountEffects<StartRun>() == 1);
  fixture.Deliver(StartAnswered{
    "t", { MakeJobId(1), 0, 0, 0 }, 1, StartOutcome::Started, 150 });
  fixture.AnswerRenewal({});
  fixture.AdvanceTime(Millis(200));
  CHECK(fixture.CountEffects<StartRun>() == 0);
}

TEST_CASE("a run of an unknown job is adopted once the job arrives")
{
  // The previous owner had started a job that was not yet in the list that its
  // successor loaded. The run was stopped and started again at the same time.
  const auto job = MakeJob(MakeJobId(1), "a", { 1 });
  RunningRun run;
  run.item_ = { job.id_, 0, 0, 0 };
  run.run_ = 7;
  OneTargetFleet fixture;
  fixture.AnswerRenewal({ run });
  fixture.AdvanceTime(Millis(200));
  fixture.Deliver(JobArrived{ job });
  fixture.AdvanceTime(Millis(200));
  CHECK(fixture.CountEffects<StartRun>() == 0);
  fixture.AnswerRenewal({ run });
  fixture.AdvanceTime(Millis(5000));
  CHECK(fixture.CountEffects<StopRun>() == 0);
}

TEST_CASE("the end of a run of an unknown job is not lost")
{
  // Such an end must not be acknowledged as stored before the job is known, or
  // the target stops listing it and the item runs again.
  const auto job = MakeJob(MakeJobId(1), "a", { 1 });
  OneTargetFleet fixture;
  RenewalAnswered renewal;
  renewal.target_ = "t";
  renewal.outcome_ = RenewalOutcome::Answered;
  renewal.startUnixMs_ = 5;
  renewal.clockMs_ = 100;
  renewal.sentAt_ = fixture.now_;
  EndedRun end;
  end.number_ = 1;
  end.item_ = { job.id_, 0, 0, 0 };
  end.run_ = 7;
  end.kind_ = EndKind::Done;
  renewal.ended_ = { end };
  fixture.Deliver(renewal);
  fixture.AdvanceTime(Millis(100));
  fixture.Deliver(JobArrived{ job });
  fixture.Deliver(renewal); // listed again, as it was not acknowledged
  fixture.AdvanceTime(Millis(200));
  CHECK(fixture.CountEffects<StartRun>() == 0);
}

TEST_CASE("runs that an earlier owner may have left are waited for")
{
  // The first owner loses the store and goes on, the second is killed at once,
  // and the third learns only that the second has ended. Runs of the first
  // owner may still go on until inheritedUntil_.
  const auto job = MakeJob(MakeJobId(1), "a", { 1 });
  OneTargetFleet fixture;
  Fleet third(FleetOptions{}, fixture.now_);
  FleetConfig config;
  config.version_ = 1;
  config.pools_.push_back({ "a", true, false });
  auto now = fixture.now_;
  const auto wall = [&now] { return WallTime(now.time_since_epoch()); };
  third.Handle(ConfigSeen{ config }, now);
  third.Handle(SubmissionsRead{ now }, now);
  third.Handle(Tick{ wall(), kAlways }, now);
  JobsLoaded loaded;
  loaded.jobs_ = { job };
  Progress progress;
  progress.state_ = JobState::Serving;
  progress.items_.push_back({ 0, 0, 0, false, {}, 1, "", "unlisted", {} });
  loaded.progress_[job.id_] = progress;
  loaded.previousOwner_ = PreviousOwner::Ended;
  loaded.inheritedUntil_ = wall() + Millis(9000);
  third.Handle(loaded, now);
  const auto countStarts = [&](Millis aTime) {
    int starts = 0;
    for (const auto end = now + aTime; now < end;) {
      now += Millis(100);
      fixture.report_.clockMs_ += 100;
      ++fixture.report_.sequence_;
      third.Handle(TargetsSeen{ { fixture.report_ } }, now);
      RenewalAnswered renewal;
      renewal.target_ = "t";
      renewal.outcome_ = RenewalOutcome::Answered;
      renewal.startUnixMs_ = 5;
      renewal.clockMs_ = fixture.report_.clockMs_;
      renewal.sentAt_ = now;
      third.Handle(renewal, now);
      third.Handle(SubmissionsRead{ now }, now);
      third.Handle(Tick{ wall(), kAlways }, now);
      for (const auto& effect : third.TakeEffects()) {
        starts += std::holds_alternative<StartRun>(effect) ? 1 : 0;
        if (const auto* store = std::get_if<StoreProgress>(&effect)) {
          third.Handle(ProgressStored{ store->batch_ }, now);
        }
      }
    }
    return starts;
  };
  CHECK(countStarts(Millis(8000)) == 0);
  CHECK(countStarts(Millis(3000)) == 1);
}

TEST_CASE("a run whose job never arrives is stopped")
{
  RunningRun run;
  run.item_ = { MakeJobId(1), 0, 0, 0 };
  run.run_ = 7;
  OneTargetFleet fixture;
  fixture.AnswerRenewal({ run });
  fixture.AdvanceTime(Millis(1000));
  CHECK(fixture.CountEffects<StopRun>() == 0);
  fixture.AdvanceTime(Millis(4000));
  CHECK(fixture.CountEffects<StopRun>() == 1);
}

TEST_CASE(
  "a report of the process before says nothing about the clock of a new one")
{
  // The target had restarted, and its new process listed its runs. The report
  // in the store was still that of the former process, whose clock was far
  // ahead. Leases on the new process counted as expired, and their items ran
  // twice.
  OneTargetFleet fixture;
  const auto job = MakeJob(MakeJobId(1), "a", { 1 });
  fixture.report_.clockMs_ = 600000;
  ++fixture.report_.sequence_;
  fixture.Deliver(TargetsSeen{ { fixture.report_ } });
  RenewalAnswered renewal;
  renewal.target_ = "t";
  renewal.outcome_ = RenewalOutcome::Answered;
  renewal.startUnixMs_ = 1000;
  renewal.clockMs_ = 400;
  renewal.sentAt_ = fixture.now_;
  fixture.Deliver(renewal);
  fixture.Deliver(TargetsSeen{ { fixture.report_ } }); // read, but outdated
  fixture.report_.startUnixMs_ = 1000;
  fixture.report_.clockMs_ = 500;
  fixture.Deliver(TargetsSeen{ { fixture.report_ } });
  fixture.Deliver(JobArrived{ job });
  fixture.AdvanceTime(Millis(100));
  std::int64_t lease = 0;
  for (const auto& effect : fixture.fleet_.TakeEffects()) {
    if (const auto* start = std::get_if<StartRun>(&effect)) {
      lease = start->leaseUntil_;
    }
  }
  const auto clock = renewal.clockMs_ + 100;
  CHECK(lease > clock);
  CHECK(lease <= clock + FleetOptions{}.targetLease_.count());
}

TEST_CASE("nothing starts on a new process before it has reported itself")
{
  // A target may come back with less capacity or other labels.
  OneTargetFleet fixture;
  RenewalAnswered renewal;
  renewal.target_ = "t";
  renewal.outcome_ = RenewalOutcome::Answered;
  renewal.startUnixMs_ = 1000;
  renewal.clockMs_ = 400;
  renewal.sentAt_ = fixture.now_;
  fixture.Deliver(renewal);
  fixture.Deliver(JobArrived{ MakeJob(MakeJobId(1), "a", { 1 }) });
  fixture.AdvanceTime(Millis(100));
  fixture.Deliver(TargetsSeen{ { fixture.report_ } });
  fixture.AdvanceTime(Millis(100));
  CHECK(fixture.CountEffects<StartRun>() == 0);
  fixture.report_.startUnixMs_ = 1000;
  fixture.report_.clockMs_ = 600;
  fixture.Deliver(TargetsSeen{ { fixture.report_ } });
  fixture.AdvanceTime(Millis(100));
  CHECK(fixture.CountEffects<StartRun>() == 1);
}

TEST_CASE(
  "a restart shown by the answer to a start is not undone by an old report")
{
  // The last report of the former process was read after the new one had taken
  // a start. Its clock counted, the start's lease as expired, and the item ran
  // twice.
  OneTargetFleet fixture;
  const auto job = MakeJob(MakeJobId(1), "a", { 1 });
  fixture.report_.clockMs_ = 600000;
  ++fixture.report_.sequence_;
  fixture.Deliver(TargetsSeen{ { fixture.report_ } });
  fixture.Deliver(JobArrived{ job });
  fixture.AdvanceTime(Millis(10));
  CHECK(fixture.CountEffects<StartRun>() == 1);
  fixture.Deliver(StartAnswered{
    "t", { job.id_, 0, 0, 0 }, 1, StartOutcome::Started, 400, fixture.now_ });
  fixture.report_.clockMs_ += 1500;
  ++fixture.report_.sequence_;
  fixture.Deliver(TargetsSeen{ { fixture.report_ } });
  RenewalAnswered noAnswer;
  noAnswer.target_ = "t";
  noAnswer.sentAt_ = fixture.now_;
  noAnswer.outcome_ = RenewalOutcome::Unresponsive;
  fixture.Deliver(noAnswer);
  fixture.AdvanceTime(Millis(500));
  CHECK(fixture.fleet_.Counts().lost_ == 0);
}

namespace {

// VM "vm" of target "t" is due for maintenance, and an order for it is sent.
struct OrderedVm : OneTargetFleet
{
  OrderedVm()
  {
    Deliver(WavesSeen{ { { 1, { "vm" }, Millis(20000), 1 } } });
    REQUIRE(CountOrders(4) == 1);
  }

  // Lists the VM in each round. Returns the orders for its maintenance.
  int CountOrders(int aRounds)
  {
    int orders = 0;
    for (int round = 0; round < aRounds; ++round) {
      Deliver(VmsSeen{ { vm_ }, now_ });
      orders += CountOrdersWithoutList();
    }
    return orders;
  }

  int CountOrdersWithoutList()
  {
    int orders = 0;
    AdvanceTime(Millis(250));
    for (const auto& effect : fleet_.TakeEffects()) {
      orders += std::holds_alternative<MaintainVm>(effect) ? 1 : 0;
      if (const auto* store = std::get_if<StoreProgress>(&effect)) {
        Deliver(ProgressStored{ store->batch_ });
      }
    }
    return orders;
  }

  // Another target comes up on the VM.
  void StartNextTarget()
  {
    vm_.state_ = VmState::Up;
    vm_.target_ = "next";
    auto next = MakeReport("next");
    next.vm_ = "vm";
    next.startUnixMs_ = 9;
    Deliver(TargetsSeen{ { next } });
    RenewalAnswered listed;
    listed.target_ = "next";
    listed.outcome_ = RenewalOutcome::Answered;
    listed.startUnixMs_ = 9;
    listed.clockMs_ = 100;
    listed.sentAt_ = now_;
    Deliver(listed);
  }

  Vm vm_ = MakeVm("vm", "a", "t");
};

} // namespace

TEST_CASE("an order that was done already does not end the next target")
{
  // The answer to an order was lost, and its repetition answered as done. The
  // target that came up in between counted as ended and got no work any more.
  OrderedVm fixture;
  fixture.Deliver(VmOrderAnswered{ "vm", VmOrderOutcome::Unknown });
  for (int round = 0; round < 8; ++round) { // the VM service does not answer
    CHECK(fixture.CountOrdersWithoutList() == 0);
  }
  fixture.StartNextTarget();
  int rounds = 0;
  while (fixture.CountOrders(1) == 0) { // until the order is repeated
    REQUIRE(++rounds < 20);
  }
  fixture.Deliver(VmOrderAnswered{ "vm", VmOrderOutcome::Done });
  fixture.Deliver(JobArrived{ MakeJob(MakeJobId(1), "a", { 1 }) });
  fixture.AdvanceTime(Millis(250));
  CHECK(fixture.CountEffects<StartRun>() == 1);
}

TEST_CASE("an order whose effect the list of VMs shows is not repeated")
{
  OrderedVm fixture;
  fixture.Deliver(VmOrderAnswered{ "vm", VmOrderOutcome::Unknown });
  fixture.vm_.state_ = VmState::Maintenance;
  fixture.vm_.target_ = "";
  CHECK(fixture.CountOrders(4) == 0);
  CHECK(fixture.fleet_.Waves().front().begun_ == 1);
  fixture.StartNextTarget();
  CHECK(fixture.CountOrders(20) == 0);
}

TEST_CASE("a target that goes on reporting itself is asked again")
{
  // It counted as ended until the owner changed, whatever it reported.
  OneTargetFleet fixture;
  RenewalAnswered renewal;
  renewal.target_ = "t";
  renewal.outcome_ = RenewalOutcome::OtherIncarnation;
  fixture.Deliver(renewal);
  fixture.Deliver(JobArrived{ MakeJob(MakeJobId(1), "a", { 1 }) });
  const auto report = [&fixture] {
    fixture.AdvanceTime(Millis(1500));
    fixture.report_.clockMs_ += 1500;
    ++fixture.report_.sequence_;
    fixture.Deliver(TargetsSeen{ { fixture.report_ } });
  };
  report(); // on its way when the process ended
  fixture.AnswerRenewal({});
  fixture.AdvanceTime(Millis(10));
  CHECK(fixture.CountEffects<StartRun>() == 0);
  report();
  fixture.AnswerRenewal({});
  fixture.AdvanceTime(Millis(10));
  CHECK(fixture.CountEffects<StartRun>() == 1);
}

TEST_CASE("ends are acknowledged only right after the target has listed them")
{
  // Capacity history 2082: the number went out again, the next process under
  // the same id got it, and ends that nobody had read were gone.
  OneTargetFleet fixture;
  fixture.Deliver(JobArrived{ MakeJob(MakeJobId(1), "a", { 2 }) });
  EndedRun end;
  end.number_ = 1;
  end.item_ = { MakeJobId(1), 0, 0, 0 };
  end.run_ = 1;
  end.kind_ = EndKind::Done;
  RunningRun other;
  other.item_ = { MakeJobId(1), 0, 0, 1 };
  other.run_ = 1;
  std::vector<std::int64_t> acknowledged;
  const auto collect = [&] {
    for (const auto& effect : fixture.fleet_.TakeEffects()) {
      if (const auto* store = std::get_if<StoreProgress>(&effect)) {
        fixture.Deliver(ProgressStored{ store->batch_ });
      } else if (const auto* renewal = std::get_if<RenewTarget>(&effect)) {
        acknowledged.push_back(renewal->acknowledgedEnds_);
      }
    }
  };
  const auto round = [&](const std::vector<EndedRun>& aEnded) {
    fixture.AdvanceTime(Millis(100));
    collect();
    acknowledged.clear();
    fixture.ReducerFixture::AnswerRenewal("t", { other }, aEnded);
    for (int tick = 0; tick < 10; ++tick) {
      collect();
      fixture.AdvanceTime(Millis(20));
    }
    collect();
  };
  using Numbers = std::vector<std::int64_t>;
  fixture.Deliver(
    StartAnswered{ "t", end.item_, end.run_, StartOutcome::Started, 100 });
  fixture.Deliver(
    StartAnswered{ "t", other.item_, other.run_, StartOutcome::Started, 100 });
  round({ end });
  CHECK(acknowledged == Numbers{ 1 });
  round({});
  CHECK(acknowledged == Numbers{ 0 });
  round({});
  CHECK(acknowledged == Numbers{ 0 });
}
