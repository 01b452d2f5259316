// The reducer step by step, on a fleet of one target: orders for its VM, runs
// that the owner did not start, jobs that come late.

#include <catch2/catch.hpp>

#include "world.h"

using namespace cuminbridge;

namespace {

// A fleet of one target "t" on VM "vm" in pool "a", which has told what runs.
struct OneTarget
{
  OneTarget()
  {
    FleetConfig config;
    config.version_ = 1;
    config.pools_.push_back({ "a", true, false });
    report_.id_ = report_.address_ = "t";
    report_.pool_ = "a";
    report_.vm_ = "vm";
    report_.capacity_ = { 8000, 32000, 0 };
    report_.startUnixMs_ = 5;
    report_.clockMs_ = 100;
    Send(ConfigSeen{ config });
    Send(JobsLoaded{});
    Send(TargetsSeen{ { report_ } });
    Pass(Millis(10));
    Hold({});
    Send(ProgressStored{ 1 });
  }

  void Send(const Event& aEvent) { fleet_.Handle(aEvent, now_); }

  void Pass(Millis aTime)
  {
    now_ += aTime;
    Send(Tick{ WallTime(now_.time_since_epoch()), true });
  }

  // The target lists these runs.
  void Hold(std::vector<RunningRun> aRunning)
  {
    RenewalAnswered hold;
    hold.target_ = "t";
    hold.outcome_ = RenewalOutcome::Answered;
    hold.sentAt_ = now_;
    now_ += Millis(5);
    hold.born_ = 5;
    hold.clockMs_ = 100;
    hold.running_ = std::move(aRunning);
    Send(hold);
  }

  // The VMs are listed again and again, the target lists these runs, and all
  // that the fleet stores is stored.
  void ListVms(const std::vector<Vm>& aVms,
               int aRounds,
               const std::vector<RunningRun>& aRunning = {})
  {
    for (int round = 0; round < aRounds; ++round) {
      Send(VmsSeen{ aVms, now_ });
      Pass(Millis(250));
      Send(ProgressStored{ ++batch_ });
      if (!aRunning.empty()) {
        Hold(aRunning);
      }
    }
  }

  template<typename Wanted>
  int Count()
  {
    int count = 0;
    for (const auto& effect : fleet_.TakeEffects()) {
      count += std::holds_alternative<Wanted>(effect) ? 1 : 0;
    }
    return count;
  }

  Instant now_{ Millis(1000000) };
  Fleet fleet_{ FleetOptions{}, now_ };
  TargetReport report_;
  std::uint64_t batch_ = 1; // the last one stored
};

// A VM that is up; without a target unless one is named.
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

TEST_CASE("a VM is not taken down while its target is only missing in the list")
{
  // crue-grown targets-cut: a target cut off from the store lapsed from the
  // list with lasting work on it; its VM counted as idle and had its upkeep.
  OneTarget one;
  auto job = MakeJob(IdOf(1), "a", { 1 });
  job.steps_[0].isLongRunning_ = true;
  one.Send(JobArrived{ job });
  RunningRun run;
  run.item_ = { job.id_, 0, 0, 0 };
  run.run_ = 1;
  run.percent_ = 100;
  one.Pass(Millis(50));
  one.Hold({ run });
  one.Send(TargetsSeen{}); // the list has lost it
  auto vm = MakeVm("vm", "a", "t");
  one.Send(WavesSeen{ { { 1, { "vm" }, Millis(20000), 1 } } });
  one.ListVms({ vm }, 10, { run });
  CHECK(one.Count<MaintainVm>() == 0);
  // Nor while nothing is known of what runs on it.
  OneTarget other;
  vm.target_ = "never listed";
  other.Send(TargetsSeen{});
  other.Send(WavesSeen{ { { 1, { "vm" }, Millis(20000), 1 } } });
  other.ListVms({ vm }, 10);
  CHECK(other.Count<MaintainVm>() == 0);
}

TEST_CASE("an order that was stored late is not sent to a VM with work")
{
  // Found by reading: while the store is away an order waits for its record,
  // and the target may be used again meanwhile.
  OneTarget one;
  auto vm = MakeVm("vm", "a", "t");
  one.Send(WavesSeen{ { { 1, { "vm" }, Millis(20000), 1 } } });
  one.Send(VmsSeen{ { vm }, one.now_ });
  one.Pass(Millis(250)); // the order waits for batch 2
  auto job = MakeJob(IdOf(1), "a", { 1 });
  job.steps_[0].isLongRunning_ = true;
  one.Send(JobArrived{ job });
  for (int round = 0; round < 16; ++round) {
    one.Send(VmsSeen{ { vm }, one.now_ });
    one.Pass(Millis(250));
  }
  CHECK(one.Count<StartRun>() == 1);
  one.Send(ProgressStored{ 2 });
  one.Pass(Millis(10));
  CHECK(one.Count<MaintainVm>() == 0);
}

TEST_CASE("VMs that the last owner took down count for a wave's limit")
{
  // Found by reading: an order without an answer is in no record of the wave.
  OneTarget one;
  const auto vm = MakeVm("free", "standby");
  Vm down = vm;
  down.name_ = "down";
  down.state_ = VmState::Maintenance;
  one.Send(WavesSeen{ { { 1, { "free", "down" }, Millis(20000), 1 } } });
  one.ListVms({ vm, down }, 4);
  CHECK(one.Count<MaintainVm>() == 0);
}

TEST_CASE("a VM without a target has its upkeep at once")
{
  OneTarget one;
  Vm vm;
  vm.name_ = "other";
  vm.pool_ = "standby";
  vm.state_ = VmState::Up;
  one.Send(WavesSeen{ { { 1, { "other" }, Millis(20000), 1 } } });
  one.ListVms({ vm }, 4);
  CHECK(one.Count<MaintainVm>() == 1);
}

TEST_CASE("a list that was asked for in the moment of a start does not end it")
{
  // crue fresh-5eb7: the question left in the millisecond in which the start
  // was answered, and was answered without the run; it was started again.
  OneTarget one;
  one.Pass(Millis(20));
  one.Send(JobArrived{ MakeJob(IdOf(1), "a", { 1 }) });
  one.Pass(Millis(10));
  CHECK(one.Count<StartRun>() == 1);
  one.Send(
    StartAnswered{ "t", { IdOf(1), 0, 0, 0 }, 1, StartOutcome::Started, 150 });
  one.Hold({});
  one.Pass(Millis(200));
  CHECK(one.Count<StartRun>() == 0);
}

TEST_CASE("a run of a job that is not known yet is adopted once the job comes")
{
  // crue-grown trouble-1: the last owner had begun a job that its successor's
  // list did not hold yet; it was stopped and started again at the same time.
  const auto job = MakeJob(IdOf(1), "a", { 1 });
  RunningRun run;
  run.item_ = { job.id_, 0, 0, 0 };
  run.run_ = 7;
  OneTarget one;
  one.Hold({ run });
  one.Pass(Millis(200));
  one.Send(JobArrived{ job });
  one.Pass(Millis(200));
  CHECK(one.Count<StartRun>() == 0);
  one.Hold({ run });
  one.Pass(Millis(5000));
  CHECK(one.Count<StopRun>() == 0);
}

TEST_CASE("the end of a run of a job that is not known yet is not lost")
{
  // Found by reading: such an end was taken in and told as stored.
  const auto job = MakeJob(IdOf(1), "a", { 1 });
  OneTarget one;
  RenewalAnswered hold;
  hold.target_ = "t";
  hold.outcome_ = RenewalOutcome::Answered;
  hold.born_ = 5;
  hold.clockMs_ = 100;
  hold.sentAt_ = one.now_;
  EndedRun end;
  end.number_ = 1;
  end.item_ = { job.id_, 0, 0, 0 };
  end.run_ = 7;
  end.kind_ = EndKind::Done;
  hold.ended_ = { end };
  one.Send(hold);
  one.Pass(Millis(100));
  one.Send(JobArrived{ job });
  one.Send(hold); // the target lists it again, as it was not told
  one.Pass(Millis(200));
  CHECK(one.Count<StartRun>() == 0);
}

TEST_CASE("what an owner before the last one may have left is waited for too")
{
  // Found by reading: the first owner is cut off, the second is killed at once,
  // and the third learns only that the second has ended.
  const auto job = MakeJob(IdOf(1), "a", { 1 });
  OneTarget one;
  Fleet third(FleetOptions{}, one.now_);
  FleetConfig config;
  config.version_ = 1;
  config.pools_.push_back({ "a", true, false });
  auto now = one.now_;
  const auto wall = [&now] { return WallTime(now.time_since_epoch()); };
  third.Handle(ConfigSeen{ config }, now);
  third.Handle(Tick{ wall(), true }, now);
  JobsLoaded loaded;
  loaded.jobs_ = { job };
  Progress progress;
  progress.state_ = JobState::Serving;
  progress.items_.push_back({ 0, 0, 0, false, {}, 1, "", "unlisted" });
  loaded.progress_[job.id_] = progress;
  loaded.previousOwner_ = PreviousOwner::Ended;
  loaded.inheritedUntil_ = wall() + Millis(9000);
  third.Handle(loaded, now);
  const auto countStarts = [&](Millis aTime) {
    int starts = 0;
    for (const auto end = now + aTime; now < end;) {
      now += Millis(100);
      one.report_.clockMs_ += 100;
      ++one.report_.sequence_;
      third.Handle(TargetsSeen{ { one.report_ } }, now);
      RenewalAnswered hold;
      hold.target_ = "t";
      hold.outcome_ = RenewalOutcome::Answered;
      hold.born_ = 5;
      hold.clockMs_ = one.report_.clockMs_;
      hold.sentAt_ = now;
      third.Handle(hold, now);
      third.Handle(Tick{ wall(), true }, now);
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

TEST_CASE("a run whose job never comes is stopped")
{
  RunningRun run;
  run.item_ = { IdOf(1), 0, 0, 0 };
  run.run_ = 7;
  OneTarget one;
  one.Hold({ run });
  one.Pass(Millis(1000));
  CHECK(one.Count<StopRun>() == 0);
  one.Pass(Millis(4000));
  CHECK(one.Count<StopRun>() == 1);
}
