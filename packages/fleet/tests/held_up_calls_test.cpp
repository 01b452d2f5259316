// Calls that are carried out seconds late, when the next process of their
// target has begun under the same id.

#include <algorithm>
#include <random>

#include <catch2/catch.hpp>

#include "replaced_process.h"
#include "seeds.h"

using namespace cuminbridge;

namespace {

void
SubmitLongJobs(SimulatedFleet& aFleet)
{
  for (int number = 1; number <= 3; ++number) {
    auto job = MakeJob(MakeJobId(number), "a", { 4 });
    job.steps_[0].estimate_ = Millis(9000);
    aFleet.Submit(job);
  }
}

template<typename EffectType>
std::vector<int>
ProcessesOf(const std::vector<Effect>& aEffects)
{
  std::vector<int> processes;
  for (const auto& effect : aEffects) {
    if (const auto* call = std::get_if<EffectType>(&effect)) {
      processes.push_back(call->process_);
    }
  }
  return processes;
}

bool
HasStepDown(const std::vector<Effect>& aEffects)
{
  return std::any_of(
    aEffects.begin(), aEffects.end(), [](const Effect& aEffect) {
      return std::holds_alternative<StepDown>(aEffect);
    });
}

} // namespace

TEST_CASE("work on a restarted target runs once although calls come late")
{
  // A renewal for the process before held the runs of the next one beyond the
  // lease that their owner counted on, or acknowledged ends that it had not
  // read. A start, whose stop that process had answered, was carried out.
  const auto heldUpStart = GENERATE(0.0, 0.15);
  for (unsigned seed = 1; seed <= 150; ++seed) {
    CAPTURE(heldUpStart, seed);
    SimulatedFaults faults;
    faults.heldUpStart_ = heldUpStart;
    faults.heldUpRenewal_ = 0.15 - heldUpStart;
    SimulatedFleet fleet(seed, faults);
    fleet.AddTargets("a", 3);
    fleet.StartOwner();
    fleet.RunFor(Millis(6000));
    SubmitLongJobs(fleet);
    fleet.RunFor(Millis(2000));
    for (const auto& id : fleet.TargetIds()) {
      fleet.RestartTarget(id);
    }
    fleet.RunFor(Millis(2000 + 40 * seed));
    for (const auto& id : fleet.TargetIds()) {
      fleet.PartitionTarget(id, Millis(7000));
      fleet.RunFor(Millis(100));
    }
    fleet.RunFor(Millis(40000));
    for (const auto& what : fleet.Violations()) {
      FAIL_CHECK(what);
    }
  }
}

TEST_CASE("work on targets that restart again and again runs once")
{
  // The next process listed an older run, which a late start had begun. While
  // that was being stopped, the item started elsewhere.
  const auto seeds = ReadSeeds(300);
  for (unsigned seed = seeds.first_; seed < seeds.end_; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    const auto draw = [&](int aLeast, int aMost) {
      return Millis(std::uniform_int_distribution<int>(aLeast, aMost)(random));
    };
    SimulatedFaults faults;
    faults.heldUpStart_ = seed % 2 == 0 ? 0.15 : 0;
    faults.heldUpRenewal_ = 0.15 - faults.heldUpStart_;
    SimulatedFleet fleet(seed, faults);
    fleet.AddTargets("a", 3);
    fleet.StartOwner();
    fleet.RunFor(Millis(6000));
    SubmitLongJobs(fleet);
    fleet.RunFor(draw(1000, 3000));
    for (int restart = 0; restart < 4; ++restart) {
      for (const auto& id : fleet.TargetIds()) {
        fleet.RestartTarget(id);
        fleet.RunFor(draw(0, 400));
      }
      fleet.RunFor(draw(200, 3500));
      if (draw(0, 2).count() == 0) {
        for (const auto& id : fleet.TargetIds()) {
          fleet.PartitionTarget(id, draw(500, 9000));
        }
        fleet.RunFor(draw(0, 3000));
      }
      if (draw(0, 3).count() == 0) {
        fleet.KillOwner();
        fleet.RunFor(draw(100, 1500));
        fleet.StartOwner(PreviousOwner::Ended);
      }
    }
    for (const auto& id : fleet.TargetIds()) {
      fleet.PartitionTarget(id, Millis(9000));
      fleet.RunFor(Millis(100));
    }
    fleet.RunFor(Millis(40000));
    for (const auto& what : fleet.Violations()) {
      FAIL_CHECK(what);
    }
  }
}

TEST_CASE("an item waits until an older run of it has stopped")
{
  // Its current run was lost with the process before, so it started elsewhere.
  ReplacedProcess fixture;
  auto other = ReducerFixture::MakeReport("u");
  fixture.ListTargets({ fixture.report_, other });
  fixture.Renew("u");
  fixture.Deliver(
    StartAnswered{ "t", kFirst, 1, StartOutcome::Unknown, 0, fixture.now_ });
  fixture.Deliver(StopAnswered{ "t", kFirst, 1, true });
  fixture.Wait(Millis(20));
  fixture.Renew("t");
  fixture.Renew("u");
  const auto second = fixture.Collect();
  REQUIRE(second.size() == 1);
  fixture.ConfirmStart(kFirst, second[0].run_, second[0].target_);
  fixture.Renew(second[0].target_, { MakeRunning(kFirst, second[0].run_) });
  // The late start of run 1 is carried out where run 2 is lost.
  const auto id = second[0].target_;
  fixture.clockMs_ = 50;
  RenewalAnswered renewal;
  renewal.target_ = id;
  renewal.outcome_ = RenewalOutcome::Answered;
  renewal.sentAt_ = fixture.now_;
  renewal.startUnixMs_ = 2000;
  renewal.clockMs_ = fixture.clockMs_;
  renewal.running_ = { MakeRunning(kFirst, 1) };
  fixture.Wait(Millis(10));
  fixture.Deliver(renewal);
  CHECK(fixture.Collect().empty());
  CHECK(fixture.stops_ > 0);
  EndedRun end;
  end.number_ = 1;
  end.item_ = kFirst;
  end.run_ = 1;
  end.kind_ = EndKind::Stopped;
  fixture.Renew(id, {}, { end });
  fixture.Renew(id == "t" ? "u" : "t");
  CHECK(fixture.Collect().size() == 1);
}

TEST_CASE("calls for the next process of a target have a higher token")
{
  ReplacedProcess fixture;
  fixture.ConfirmStart(kFirst, 1);
  fixture.fleet_.TakeEffects();
  fixture.Renew("t", { MakeRunning(kFirst, 1) });
  fixture.Wait(Millis(20));
  const auto before = ProcessesOf<RenewTarget>(fixture.fleet_.TakeEffects());
  REQUIRE(!before.empty());
  fixture.LoseContact("t");
  fixture.fleet_.TakeEffects();
  fixture.Replace();
  const auto after = ProcessesOf<RenewTarget>(fixture.fleet_.TakeEffects());
  REQUIRE(!after.empty());
  constexpr std::int64_t kToken = 101;
  CHECK(TargetToken(kToken, after[0]) > TargetToken(kToken, before[0]));
  CHECK(TargetToken(kToken + 1, 0) > TargetToken(kToken, after[0]));
  CHECK(TargetToken(kToken + 1, 0) > TargetToken(kToken, 2000000000));
}

TEST_CASE("an owner goes on if a call for the process before is fenced")
{
  ReplacedProcess fixture;
  fixture.Replace();
  fixture.Renew("t");
  fixture.Collect();
  RenewalAnswered renewal;
  renewal.target_ = "t";
  renewal.outcome_ = RenewalOutcome::Fenced;
  renewal.sentAt_ = fixture.firstSentAt_;
  fixture.Deliver(renewal);
  fixture.Deliver(StartAnswered{
    "t", kFirst, 1, StartOutcome::Fenced, 0, fixture.firstSentAt_ });
  CHECK(!HasStepDown(fixture.fleet_.TakeEffects()));
  renewal.process_ = fixture.fleet_.State().targets_.at("t").process_;
  fixture.Deliver(renewal);
  CHECK(HasStepDown(fixture.fleet_.TakeEffects()));
}

TEST_CASE("a lease counts from the first answer to a call for its process")
{
  // Until then, a call for the process before may still have brought it.
  ReplacedProcess fixture;
  fixture.ConfirmStart(kFirst, 1);
  fixture.Replace();
  fixture.Wait(Millis(5000));
  const auto longest = FleetOptions{}.longestLease_.count();
  const auto& target = fixture.fleet_.State().targets_.at("t");
  CHECK(target.leaseUntil_ < fixture.clockMs_ + longest);
  fixture.Renew("t");
  CHECK(target.leaseUntil_ >= fixture.clockMs_ + longest);
  CHECK(!target.isUnfenced_);
  // A later answer does not prolong it.
  const auto lease = target.leaseUntil_;
  fixture.Wait(Millis(1000));
  fixture.Renew("t");
  CHECK(target.leaseUntil_ == lease);
}

TEST_CASE("a call for the process before may come until the first one is lost")
{
  // The next process took a start for the one before, and was cut off. The item
  // started elsewhere while that run's lease lasted.
  ReplacedProcess fixture;
  fixture.clockMs_ = 50;
  fixture.report_.startUnixMs_ =
    fixture.now_.time_since_epoch().count() - fixture.clockMs_;
  fixture.ListTargets({ fixture.report_ });
  fixture.Wait(Millis(350)); // the start is carried out at the end of this
  const auto lease = fixture.clockMs_ + FleetOptions{}.longestLease_.count();
  fixture.LoseContact("t");
  fixture.Deliver(StartAnswered{
    "t", kFirst, 1, StartOutcome::Unknown, 0, fixture.firstSentAt_ });
  CHECK(fixture.fleet_.State().targets_.at("t").leaseUntil_ >= lease);
  // The lease is not prolonged while the target stays cut off.
  fixture.Wait(Millis(350));
  fixture.LoseContact("t");
  CHECK(fixture.fleet_.State().targets_.at("t").leaseUntil_ < lease + 350);
}

TEST_CASE("a process that a list shows is called at once")
{
  // Until it has got a call of its own, it takes those for the one before.
  ReplacedProcess fixture;
  fixture.ConfirmStart(kFirst, 1);
  fixture.Renew("t", { MakeRunning(kFirst, 1) });
  fixture.Collect();
  RenewalAnswered renewal;
  renewal.target_ = "t";
  renewal.outcome_ = RenewalOutcome::Answered;
  renewal.sentAt_ = fixture.now_;
  renewal.startUnixMs_ = 2000;
  renewal.clockMs_ = fixture.clockMs_ = 30;
  fixture.Deliver(renewal);
  const auto& target = fixture.fleet_.State().targets_.at("t");
  CHECK(target.isUnfenced_);
  const auto calls = ProcessesOf<RenewTarget>(fixture.fleet_.TakeEffects());
  REQUIRE(calls.size() == 1);
  CHECK(calls[0] == target.process_);
  fixture.Renew("t");
  CHECK(!target.isUnfenced_);
  fixture.Wait(Millis(500));
  CHECK(ProcessesOf<RenewTarget>(fixture.fleet_.TakeEffects()).empty());
}
