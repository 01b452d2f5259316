// What a new owner makes of the records and the targets that it finds, and what
// an owner does whose knowledge is old. Event by event.

#include <catch2/catch.hpp>

#include "reducer_fixture.h"
#include "state.h"

using namespace cuminbridge;

namespace {

// An owner that takes over a fleet with some targets in pool "a".
struct TakenOverFleet : ReducerFixture
{
  TakenOverFleet()
  {
    FleetConfig config;
    config.version_ = 1;
    config.pools_.push_back({ "a", true, false });
    Queue queue;
    queue.name_ = "queue-a";
    queue.pool_ = "a";
    config.queues_.push_back(queue);
    Deliver(ConfigSeen{ config });
    Deliver(Tick{ WallTime(now_.time_since_epoch()), kAlways });
    loaded_.term_ = 2;
    loaded_.previousOwner_ = PreviousOwner::Unknown;
  }

  void AddTarget(const std::string& aId, bool aIsSilent = false)
  {
    reports_.push_back(MakeReport(aId));
    reports_.back().sequence_ = 1;
    loaded_.targets_.emplace_back(aId, aId, "a", aIsSilent);
  }

  void TakeOver()
  {
    Deliver(loaded_);
    Deliver(TargetsSeen{ reports_ });
  }

  void LeaveUnanswered(const std::string& aTarget)
  {
    RenewalAnswered renewal;
    renewal.target_ = aTarget;
    renewal.sentAt_ = now_;
    Deliver(renewal);
  }

  std::vector<StartRun> TakeStarts()
  {
    std::vector<StartRun> starts;
    for (auto& effect : fleet_.TakeEffects()) {
      if (auto* start = std::get_if<StartRun>(&effect)) {
        starts.push_back(*start);
      }
    }
    return starts;
  }

  JobsLoaded loaded_;
  std::vector<TargetReport> reports_;
};

// One item of the job ran on "t" as run 1 when the previous owner last stored
// its progress.
Progress
MakeRunningProgress()
{
  Progress progress;
  progress.state_ = JobState::Serving;
  ItemProgress item;
  item.run_ = 1;
  item.target_ = "t";
  progress.items_.push_back(item);
  return progress;
}

EndedRun
MakeEnd(std::int64_t aNumber, const std::string& aJob)
{
  EndedRun end;
  end.number_ = aNumber;
  end.item_ = { aJob, 0, 0, 0 };
  end.run_ = 1;
  end.kind_ = EndKind::Done;
  return end;
}

} // namespace

TEST_CASE("an end listed behind one of an unknown job is not a lost run")
{
  // Ends behind that of an unknown job wait until the job may have arrived. The
  // run that ended was missing from the running ones, counted as lost, and its
  // item was started again although it was done.
  TakenOverFleet fixture;
  const auto id = MakeJobId(1);
  fixture.AddTarget("t");
  fixture.loaded_.jobs_ = { MakeJob(id, "a", { 1 }) };
  fixture.loaded_.progress_[id] = MakeRunningProgress();
  fixture.TakeOver();
  fixture.AdvanceTime(Millis(10));
  const std::vector<EndedRun> ends = { MakeEnd(1, MakeJobId(99)),
                                       MakeEnd(2, id) };
  fixture.AnswerRenewal("t", {}, ends);
  fixture.AdvanceTime(Millis(100));
  CHECK(fixture.TakeStarts().empty());
  // Once the unknown job can't arrive any more, both ends are applied.
  for (int round = 0; round < 30; ++round) {
    fixture.AdvanceTime(Millis(100));
    fixture.AnswerRenewal("t", {}, ends);
  }
  CHECK(fixture.TakeStarts().empty());
  CHECK(fixture.fleet_.Counts().jobsEnded_ == 1);
}

TEST_CASE("ends of jobs of which only the end is stored hold up no others")
{
  TakenOverFleet fixture;
  const auto id = MakeJobId(1);
  const auto ended = MakeJobId(2);
  fixture.AddTarget("t");
  fixture.loaded_.jobs_ = { MakeJob(id, "a", { 1 }) };
  fixture.loaded_.progress_[id] = MakeRunningProgress();
  fixture.loaded_.progress_[ended].state_ = JobState::Completed;
  fixture.TakeOver();
  CHECK(fixture.fleet_.StoredState(ended) == JobState::Completed);
  fixture.AdvanceTime(Millis(10));
  fixture.AnswerRenewal("t", {}, { MakeEnd(1, ended), MakeEnd(2, id) });
  CHECK(fixture.fleet_.Counts().jobsEnded_ == 1);
}

TEST_CASE("nothing starts while cancellations may not have been read")
{
  // An owner that fell seconds behind started work whose cancellation had been
  // acknowledged to the caller long before.
  TakenOverFleet fixture;
  fixture.AddTarget("t");
  fixture.TakeOver();
  fixture.AdvanceTime(Millis(10));
  fixture.AnswerRenewal("t", {}, {});
  for (int step = 0; step < 20; ++step) {
    fixture.AdvanceTime(Millis(100), false);
  }
  fixture.AnswerRenewal("t", {}, {});
  fixture.Deliver(JobArrived{ MakeJob(MakeJobId(1), "a", { 1 }), false });
  fixture.AdvanceTime(Millis(100), false);
  CHECK(fixture.TakeStarts().empty());

  // The store is lost: then no cancellation can be acknowledged either.
  fixture.Deliver(
    Tick{ WallTime(fixture.now_.time_since_epoch()), kAlways, false });
  CHECK(fixture.TakeStarts().size() == 1);

  // The store is back, and its changes have not been read yet.
  fixture.AdvanceTime(Millis(10), false);
  fixture.Deliver(JobArrived{ MakeJob(MakeJobId(2), "a", { 1 }), false });
  fixture.AdvanceTime(Millis(10), false);
  CHECK(fixture.TakeStarts().empty());
  fixture.AdvanceTime(Millis(10), true);
  CHECK(fixture.TakeStarts().size() == 1);
}

TEST_CASE("a run of a job that has ended is stopped at once by the next owner")
{
  // Only the end of the job is stored. The run of the cancelled job went on for
  // as long as one whose job may still arrive.
  TakenOverFleet fixture;
  const auto ended = MakeJobId(1);
  fixture.AddTarget("t");
  fixture.loaded_.progress_[ended].state_ = JobState::Cancelled;
  fixture.TakeOver();
  fixture.AdvanceTime(Millis(10));
  RunningRun run;
  run.item_ = { ended, 0, 0, 0 };
  run.run_ = 1;
  fixture.AnswerRenewal("t", { run });
  CHECK(fixture.CountEffects<StopRun>() == 1);
}

TEST_CASE("a cancellation that comes before its job is kept")
{
  // An owner that was still reading its records was told of it, and started the
  // job because the records were older.
  TakenOverFleet fixture;
  fixture.AddTarget("t");
  fixture.loaded_.jobs_ = { MakeJob(MakeJobId(1), "a", { 1 }) };
  fixture.loaded_.readAt_ = fixture.now_;
  fixture.Deliver(JobCancelled{ MakeJobId(1) });
  fixture.Deliver(JobCancelled{ MakeJobId(2) });
  fixture.TakeOver();
  fixture.AdvanceTime(Millis(10));
  fixture.AnswerRenewal("t", {}, {});
  fixture.Deliver(JobArrived{ MakeJob(MakeJobId(2), "a", { 1 }), false });
  fixture.Deliver(JobArrived{ MakeJob(MakeJobId(3), "a", { 1 }), false });
  fixture.AdvanceTime(Millis(10));
  const auto starts = fixture.TakeStarts();
  REQUIRE(starts.size() == 1);
  CHECK(starts.front().item_.job_ == MakeJobId(3));
}

TEST_CASE("nothing starts while targets may drain unheard")
{
  // With a list of targets that was seconds old, work started on targets that
  // had reported long before that they drain.
  TakenOverFleet fixture;
  fixture.AddTarget("t");
  fixture.TakeOver();
  fixture.AdvanceTime(Millis(10));
  fixture.AnswerRenewal("t", {}, {});
  fixture.Deliver(TargetsSeen{ fixture.reports_, fixture.now_ });
  fixture.AdvanceTime(Millis(1800));
  fixture.AnswerRenewal("t", {}, {});
  fixture.Deliver(JobArrived{ MakeJob(MakeJobId(1), "a", { 1 }), false });
  fixture.AdvanceTime(Millis(10));
  CHECK(fixture.TakeStarts().empty());

  // A start that is held up until then has expired on arrival.
  fixture.Deliver(TargetsSeen{ fixture.reports_, fixture.now_ - Millis(1200) });
  const auto starts = fixture.TakeStarts();
  REQUIRE(starts.size() == 1);
  const auto& target = fixture.fleet_.State().targets_.at("t");
  const auto clock = target.clockMs_ + (fixture.now_ - target.clockAt_).count();
  CHECK(starts.front().leaseUntil_ <= clock + 800);
}

TEST_CASE("an owner that lags does not take the store for unreachable")
{
  // Answers that wait in a process that lags look like answers that never came.
  TakenOverFleet fixture;
  fixture.AddTarget("t");
  fixture.TakeOver();
  fixture.AdvanceTime(Millis(10));
  fixture.AnswerRenewal("t", {}, {});
  const auto tickWithoutStore = [&fixture](Millis aTime) {
    fixture.now_ += aTime;
    fixture.Deliver(
      Tick{ WallTime(fixture.now_.time_since_epoch()), kAlways, false });
  };
  fixture.AdvanceTime(Millis(10));
  fixture.Deliver(JobArrived{ MakeJob(MakeJobId(1), "a", { 1 }), false });
  fixture.TakeStarts();
  tickWithoutStore(Millis(2000));
  fixture.Deliver(JobArrived{ MakeJob(MakeJobId(2), "a", { 1 }), false });
  tickWithoutStore(Millis(10));
  CHECK(fixture.TakeStarts().empty());

  // The store still does not answer although the process keeps up again.
  for (int tick = 0; tick < 110; ++tick) {
    tickWithoutStore(Millis(10));
  }
  CHECK(fixture.TakeStarts().size() == 1);

  // The first event after a pause comes before the tick that shows it.
  fixture.now_ += Millis(2000);
  fixture.Deliver(JobArrived{ MakeJob(MakeJobId(3), "a", { 1 }), false });
  CHECK(fixture.TakeStarts().empty());
}

TEST_CASE("records that took long to read are old knowledge")
{
  // A cancellation that is stored after its key was read is not in the records.
  TakenOverFleet fixture;
  fixture.AddTarget("t");
  fixture.loaded_.jobs_ = { MakeJob(MakeJobId(1), "a", { 1 }) };
  fixture.loaded_.readAt_ = fixture.now_ - Millis(2000);
  fixture.TakeOver();
  fixture.AdvanceTime(Millis(10), false);
  fixture.AnswerRenewal("t", {}, {});
  fixture.AdvanceTime(Millis(10), false);
  CHECK(fixture.TakeStarts().empty());
  fixture.AdvanceTime(Millis(10));
  CHECK(fixture.TakeStarts().size() == 1);
}

TEST_CASE("a start that is held up on its way has expired on arrival")
{
  // Its deadline and the age of what the owner knows of cancellations together
  // stay below the time that the users allow for a cancellation.
  TakenOverFleet fixture;
  fixture.AddTarget("t");
  fixture.TakeOver();
  fixture.AdvanceTime(Millis(10));
  fixture.AnswerRenewal("t", {}, {});
  fixture.TakeStarts();
  fixture.Deliver(JobArrived{ MakeJob(MakeJobId(1), "a", { 1 }), false });
  fixture.AdvanceTime(Millis(10));
  const auto starts = fixture.TakeStarts();
  REQUIRE(starts.size() == 1);
  const FleetOptions options;
  const auto targetClock = 100 + 30; // at most, when the start was sent
  CHECK(starts.front().leaseUntil_ <=
        targetClock + options.startTimeout_.count());
  CHECK(options.startTimeout_ + options.maxSubmissionAge_ < Millis(3000));
}

TEST_CASE("targets that were silent before do not hold up waiting jobs")
{
  // All that was started on a silent target is stored. Waiting jobs can't run
  // there, and need not wait until its leases have expired.
  for (const bool wasSilent : { false, true }) {
    TakenOverFleet fixture;
    const auto id = MakeJobId(1);
    fixture.AddTarget("t");
    fixture.AddTarget("u", wasSilent);
    fixture.loaded_.jobs_ = { MakeJob(id, "a", { 1 }) };
    fixture.TakeOver();
    fixture.AdvanceTime(Millis(10));
    fixture.AnswerRenewal("t", {}, {});
    if (!wasSilent) {
      fixture.LeaveUnanswered("u");
    }
    fixture.AdvanceTime(Millis(100));
    CHECK(fixture.TakeStarts().size() == (wasSilent ? 1 : 0));
  }
}

TEST_CASE("a target that was silent gets work once that is stored")
{
  TakenOverFleet fixture;
  fixture.AddTarget("t", true);
  fixture.TakeOver();
  fixture.AdvanceTime(Millis(10));
  fixture.fleet_.TakeEffects();
  fixture.AnswerRenewal("t", {}, {});
  fixture.Deliver(JobArrived{ MakeJob(MakeJobId(1), "a", { 1 }), false });
  fixture.AdvanceTime(Millis(100));
  std::uint64_t batch = 0;
  bool hasStarted = false;
  for (const auto& effect : fixture.fleet_.TakeEffects()) {
    if (const auto* store = std::get_if<StoreProgress>(&effect)) {
      REQUIRE(store->newTargets_.size() == 1);
      CHECK_FALSE(store->newTargets_.front().isSilent_);
      batch = store->batch_;
    }
    hasStarted = hasStarted || std::holds_alternative<StartRun>(effect);
  }
  CHECK_FALSE(hasStarted);
  REQUIRE(batch != 0);
  fixture.Deliver(ProgressStored{ batch });
  fixture.AdvanceTime(Millis(10));
  CHECK(fixture.TakeStarts().size() == 1);
}

TEST_CASE("a job that does not fit goes to a cell that has the capacity")
{
  TakenOverFleet fixture;
  fixture.AddTarget("t"); // 8 cores
  fixture.TakeOver();
  fixture.AdvanceTime(Millis(10));
  fixture.AnswerRenewal("t", {}, {});
  fixture.fleet_.TakeEffects();
  const auto submit = [&](int aNumber, int aItems, bool aIsGuest) {
    fixture.Deliver(PeerCapacitySeen{ 1, { { "a", 12000 } }, {} });
    fixture.Deliver(
      JobArrived{ MakeJob(MakeJobId(aNumber), "a", { aItems }), aIsGuest });
    fixture.AdvanceTime(Millis(10));
    int transfers = 0;
    int starts = 0;
    for (const auto& effect : fixture.fleet_.TakeEffects()) {
      if (const auto* transfer = std::get_if<TransferJob>(&effect)) {
        CHECK(transfer->cell_ == 1);
        CHECK(transfer->job_.id_ == MakeJobId(aNumber));
        ++transfers;
      }
      starts += std::holds_alternative<StartRun>(effect) ? 1 : 0;
    }
    return std::pair(transfers, starts);
  };
  CHECK(submit(1, 5, false) == std::pair(0, 5));  // fits here
  CHECK(submit(2, 10, false) == std::pair(1, 0)); // fits there
  CHECK(submit(3, 13, false) == std::pair(0, 3)); // fits nowhere as a whole
  CHECK(submit(4, 10, true) == std::pair(0, 0));  // is never transferred again
  CHECK(!fixture.fleet_.StoredState(MakeJobId(2)));
  // Old reports say nothing any more.
  fixture.AdvanceTime(Millis(1000));
  fixture.Deliver(JobArrived{ MakeJob(MakeJobId(5), "a", { 10 }), false });
  fixture.AdvanceTime(Millis(10));
  CHECK(fixture.fleet_.Counts().jobsTransferred_ == 1);
}

TEST_CASE("an item on a draining target counts as away")
{
  // Such an item is stopped in any case. In the same pass, another item of its
  // step was stopped for a wave, and both were away at once.
  TakenOverFleet fixture;
  for (const char* id : { "t1", "t2", "t3", "t4" }) {
    fixture.AddTarget(id);
  }
  fixture.reports_[3].isDraining_ = true; // no free capacity elsewhere
  fixture.TakeOver();
  fixture.AdvanceTime(Millis(10));
  for (const auto& report : fixture.reports_) {
    fixture.AnswerRenewal(report.id_, {}, {});
  }
  fixture.fleet_.TakeEffects();
  auto job = MakeJob(MakeJobId(1), "a", { 3 });
  job.steps_.front().isLongRunning_ = true;
  job.steps_.front().maxUnavailable_ = 1;
  job.steps_.front().maxPerTarget_ = 1;
  fixture.Deliver(JobArrived{ job, false });
  fixture.AdvanceTime(Millis(10));
  std::map<std::string, RunningRun> runs;
  for (const auto& start : fixture.TakeStarts()) {
    runs[start.target_] = { start.item_, start.run_, "", 100, 0 };
  }
  REQUIRE(runs.size() == 3);
  std::vector<Vm> vms;
  for (const auto& report : fixture.reports_) {
    Vm vm;
    vm.name_ = report.vm_;
    vm.pool_ = "a";
    vm.target_ = report.id_;
    vm.state_ = VmState::Up;
    vms.push_back(vm);
  }
  Wave wave;
  wave.number_ = 1;
  wave.vms_ = { "vm-t1" };
  wave.duration_ = Millis(1000);
  fixture.Deliver(VmsSeen{ vms, fixture.now_ });
  fixture.Deliver(WavesSeen{ { wave } });
  for (int step = 0; step < 8; ++step) {
    for (const auto& [target, run] : runs) {
      fixture.AnswerRenewal(target, { run }, {});
    }
    fixture.Deliver(VmsSeen{ vms, fixture.now_ });
    fixture.AdvanceTime(Millis(200));
  }
  REQUIRE(fixture.fleet_.State().targets_.at("t1").isCordoned_);
  REQUIRE(fixture.CountEffects<StopRun>() == 0);
  fixture.reports_[1].isDraining_ = true;
  fixture.reports_[3].isDraining_ = false;
  for (auto& report : fixture.reports_) {
    ++report.sequence_;
  }
  fixture.Deliver(TargetsSeen{ fixture.reports_ });
  fixture.AdvanceTime(Millis(100));
  CHECK(fixture.CountEffects<StopRun>() == 1); // on t2 only
}

TEST_CASE("a run that the former owner may have stopped is not at work")
{
  // Targets list such a run until it has ended. Another item of its step was
  // stopped meanwhile, and both were away at once.
  TakenOverFleet fixture;
  const auto id = MakeJobId(1);
  auto job = MakeJob(id, "a", { 2 });
  job.steps_.front().isLongRunning_ = true;
  job.steps_.front().maxUnavailable_ = 1;
  job.steps_.front().maxPerTarget_ = 1;
  fixture.loaded_.jobs_ = { job };
  auto& progress = fixture.loaded_.progress_[id];
  progress.state_ = JobState::Serving;
  std::map<std::string, RunningRun> runs;
  std::vector<Vm> vms;
  for (int index = 0; index < 3; ++index) {
    const auto target = "t" + std::to_string(index);
    fixture.AddTarget(target);
    Vm vm;
    vm.name_ = "vm-" + target;
    vm.pool_ = "a";
    vm.target_ = target;
    vm.state_ = VmState::Up;
    vms.push_back(vm);
    if (index < 2) { // the third has free capacity
      runs[target] = { { id, 0, 0, index }, 1, "", 100, 0 };
      ItemProgress item;
      item.index_ = index;
      item.run_ = 1;
      item.target_ = target;
      progress.items_.push_back(item);
    }
  }
  fixture.TakeOver();
  fixture.AdvanceTime(Millis(10));
  Wave wave;
  wave.number_ = 1;
  wave.vms_ = { "vm-t0" };
  wave.duration_ = Millis(10);
  const auto runFor = [&](int aRounds) {
    for (int round = 0; round < aRounds; ++round) {
      for (const auto& report : fixture.reports_) {
        const auto run = runs.find(report.id_);
        fixture.AnswerRenewal(report.id_,
                              run == runs.end()
                                ? std::vector<RunningRun>{}
                                : std::vector<RunningRun>{ run->second });
      }
      fixture.Deliver(VmsSeen{ vms, fixture.now_ });
      fixture.Deliver(WavesSeen{ { wave } });
      fixture.AdvanceTime(Millis(85));
    }
  };
  runFor(8);
  REQUIRE(fixture.fleet_.State().targets_.at("t0").isCordoned_);
  CHECK(fixture.CountEffects<StopRun>() == 0);
  runFor(5);
  CHECK(fixture.CountEffects<StopRun>() == 1);
}

TEST_CASE("an owner uses only its part of an account's limit")
{
  TakenOverFleet fixture;
  auto options = FleetOptions{};
  options.cells_ = 2;
  fixture.Deliver(OptionsChanged{ options });
  FleetConfig config = fixture.fleet_.State().config_;
  config.version_ = 2;
  Account account;
  account.name_ = "limited";
  account.limit_.cpu_ = 8000;
  config.accounts_ = { account };
  fixture.Deliver(ConfigSeen{ config });
  fixture.AddTarget("t");
  fixture.TakeOver();
  fixture.AdvanceTime(Millis(10));
  fixture.AnswerRenewal("t", {}, {});
  fixture.TakeStarts();
  auto job = MakeJob(MakeJobId(1), "a", { 8 });
  job.account_ = "limited";
  fixture.Deliver(JobArrived{ job, false });
  fixture.AdvanceTime(Millis(10));
  CHECK(fixture.TakeStarts().size() == 4); // an equal part
  fixture.Deliver(LimitsGranted{ { { "limited", 750 } } });
  fixture.AdvanceTime(Millis(10));
  CHECK(fixture.TakeStarts().size() == 2);
}

TEST_CASE("the wait for the previous owner ends when it is known to have ended")
{
  // Until then it may renew leases on a target that does not answer this owner.
  for (const int endsAfter : { 0, 1000, 20000 }) {
    INFO("known to have ended after " << endsAfter << " ms");
    TakenOverFleet fixture;
    const auto id = MakeJobId(1);
    fixture.AddTarget("t");
    fixture.AddTarget("u");
    fixture.loaded_.jobs_ = { MakeJob(id, "a", { 1 }) };
    fixture.loaded_.progress_[id] = MakeRunningProgress();
    fixture.TakeOver();
    const auto began = fixture.now_;
    fixture.AdvanceTime(Millis(10));
    fixture.AnswerRenewal("u", {}, {});
    fixture.LeaveUnanswered("t");
    const FleetOptions options;
    const auto endedAt =
      std::min<Millis>(Millis(endsAfter), options.ownerAllowance_);
    bool isKnown = false;
    Instant started;
    while (started == Instant() && fixture.now_ - began < Millis(20000)) {
      if (!isKnown && fixture.now_ - began >= Millis(endsAfter)) {
        isKnown = true;
        fixture.Deliver(PreviousOwnerEnded{});
      }
      fixture.AdvanceTime(Millis(50));
      fixture.AnswerRenewal("u", {}, {});
      if (!fixture.TakeStarts().empty()) {
        started = fixture.now_;
      }
    }
    REQUIRE(started != Instant());
    CHECK(started - began >= endedAt + options.targetLease_);
    CHECK(started - began <= endedAt + options.targetLease_ + Millis(600));
  }
}

TEST_CASE("work of an earlier owner is waited for although times of day differ")
{
  // The owner between stored until when, by a time of day behind this one's.
  TakenOverFleet fixture;
  const auto id = MakeJobId(1);
  const Millis wait(8000);
  fixture.AddTarget("t");
  fixture.AddTarget("u");
  fixture.loaded_.jobs_ = { MakeJob(id, "a", { 1 }) };
  fixture.loaded_.progress_[id] = MakeRunningProgress();
  fixture.loaded_.previousOwner_ = PreviousOwner::Ended;
  fixture.loaded_.inheritedUntil_ = WallTime(fixture.now_.time_since_epoch()) +
                                    wait - FleetOptions{}.clockSkew_;
  const auto until = fixture.now_ + wait;
  fixture.TakeOver();
  fixture.AdvanceTime(Millis(10));
  fixture.LeaveUnanswered("t");
  while (fixture.now_ < until) {
    fixture.AnswerRenewal("u", {}, {});
    REQUIRE(fixture.TakeStarts().empty());
    fixture.AdvanceTime(Millis(50));
  }
  fixture.AdvanceTime(Millis(300));
  fixture.AnswerRenewal("u", {}, {});
  CHECK(fixture.TakeStarts().size() == 1);
}

TEST_CASE("nothing starts once another owner may have taken over")
{
  // A target restarted just then: it had not seen the token of the next owner,
  // accepted the start of the former one, and the item ran twice.
  TakenOverFleet fixture;
  fixture.AddTarget("t");
  fixture.TakeOver();
  fixture.AdvanceTime(Millis(10));
  fixture.AnswerRenewal("t", {}, {});
  fixture.Deliver(
    Tick{ WallTime(fixture.now_.time_since_epoch()), kNever, false });
  fixture.Deliver(JobArrived{ MakeJob(MakeJobId(1), "a", { 1 }), false });
  for (int step = 0; step < 50; ++step) {
    fixture.now_ += Millis(100);
    fixture.Deliver(
      Tick{ WallTime(fixture.now_.time_since_epoch()), kNever, false });
    fixture.AnswerRenewal("t", {}, {});
  }
  CHECK(fixture.TakeStarts().empty());
  fixture.AdvanceTime(Millis(10));
  CHECK(fixture.TakeStarts().size() == 1);
}

TEST_CASE("the newest of several records of a VM says when it may be ordered")
{
  // An older one that came later in the list replaced it, and two owners in
  // touch ordered one VM within 2.4 s.
  for (const bool isNewestFirst : { true, false }) {
    INFO("the newest record is the " << (isNewestFirst ? "first" : "last"));
    TakenOverFleet fixture;
    const WallTime now(fixture.now_.time_since_epoch());
    const StoredOrder newest{ "vm-t", now - Millis(100) };
    const StoredOrder oldest{ "vm-t", now - Millis(60000) };
    fixture.loaded_.orders_ = { isNewestFirst ? newest : oldest,
                                isNewestFirst ? oldest : newest };
    fixture.TakeOver();
    const auto& state = fixture.fleet_.State();
    const auto allowedFrom = state.orderAllowedFrom_.at("vm-t");
    CHECK(allowedFrom >=
          fixture.now_ + state.options_.vmOrderLease_ - Millis(100));
  }
}

TEST_CASE("the record of a repeated job does not grow with its occurrences")
{
  // It held a row for each item that had ever begun. Once it exceeded what one
  // value of the store may hold, its owner stored nothing more for any job.
  constexpr int kRepeats = 300;
  constexpr std::size_t kMostRows = 40; // of the occurrences that are open
  SimulatedFleet fleet(1);
  fleet.AddTargets("a", 4);
  fleet.StartOwner();
  auto job = MakeJob(MakeJobId(1), "a", { 3, 2 });
  for (auto& step : job.steps_) {
    step.estimate_ = Millis(20);
  }
  job.repeats_ = kRepeats;
  job.firstRun_ = WallTime(Millis(1000000));
  job.interval_ = Millis(100);
  fleet.Submit(job);
  for (int round = 0; round < 20; ++round) {
    fleet.RunFor(Millis(2000));
    if (const auto progress = fleet.StoredProgress(job.id_)) {
      CHECK(progress->items_.size() <= kMostRows);
      CHECK(EncodeProgress(*progress).size() < 8000);
      CHECK(DecodeProgress(EncodeProgress(*progress)) == *progress);
    }
    if (round % 3 == 2) {
      fleet.StartOwner(PreviousOwner::HandedOver);
    }
  }
  fleet.RunFor(Millis(20000));
  CHECK(fleet.StoredState(job.id_) == JobState::Completed);
  CHECK(fleet.Starts(job.id_) == kRepeats * 5);
  for (const auto& what : fleet.Violations()) {
    FAIL_CHECK(what);
  }
}

TEST_CASE("a new owner allows for the time since a young target's report")
{
  // The report is older than the list that brings it. A deadline on the clock
  // of the process before may have come since, and held beyond what was
  // allowed.
  const auto isListFirst = GENERATE(false, true);
  CAPTURE(isListFirst);
  constexpr Millis kAge(4500);
  constexpr Millis kReportAge(1500);
  const FleetOptions options;
  TakenOverFleet fixture;
  fixture.AddTarget("t");
  auto& report = fixture.reports_.front();
  const Millis now(fixture.now_.time_since_epoch());
  report.startUnixMs_ = (now - kAge).count();
  report.clockMs_ = (kAge - kReportAge).count();
  if (isListFirst) {
    fixture.Deliver(TargetsSeen{ fixture.reports_ });
  }
  fixture.TakeOver();
  const auto& target = fixture.fleet_.State().targets_.at("t");
  CHECK(target.leaseUntil_ >= (kAge + options.longestLease_).count());
}

TEST_CASE("failures of a long-running item leave no trace in its record")
{
  // An item that failed 10 ms after each start made the record grow for ever.
  TakenOverFleet fixture;
  fixture.AddTarget("t");
  fixture.TakeOver();
  fixture.AdvanceTime(Millis(10));
  fixture.AnswerRenewal("t", {}, {});
  auto job = MakeJob(MakeJobId(1), "a", { 1 });
  job.steps_.front().isLongRunning_ = true;
  fixture.Deliver(JobArrived{ job, false });
  std::size_t most = 0;
  int failures = 0;
  for (int step = 0; step < 400; ++step) {
    fixture.AdvanceTime(Millis(50));
    std::vector<EndedRun> ended;
    for (const auto& effect : fixture.fleet_.TakeEffects()) {
      if (const auto* start = std::get_if<StartRun>(&effect)) {
        fixture.Deliver(StartAnswered{
          "t", start->item_, start->run_, StartOutcome::Started, 130 });
        auto end = MakeEnd(++failures, job.id_);
        end.run_ = start->run_;
        end.kind_ = EndKind::Failed;
        ended.push_back(end);
      } else if (const auto* store = std::get_if<StoreProgress>(&effect)) {
        for (const auto& [id, progress] : store->jobs_) {
          most = std::max(most, EncodeProgress(progress).size());
        }
        fixture.Deliver(ProgressStored{ store->batch_ });
      }
    }
    fixture.now_ += Millis(5);
    fixture.AnswerRenewal("t", {}, ended);
  }
  CHECK(failures > 50);
  CHECK(most < 300);
}
