// Starts that get no answer and are carried out seconds later, at whichever
// process their target then has.

#include <algorithm>

#include <catch2/catch.hpp>

#include "replaced_process.h"

using namespace cuminbridge;

namespace {

constexpr Millis kCallTime(600); // until a call without an answer ends
constexpr Millis kLatest(12000); // from then until the start is carried out
// Before the start is sent. What is allowed for a process younger than this
// would hide the fault.
constexpr Millis kSettleTime(12000);

enum class Change
{
  None,
  HandOver, // the next owner begins at once ...
  Ended,    // ... as the process before it has ended
  Unknown,  // ... and the one before may go on for a while
};

// What the start belongs to.
enum class Work
{
  Item,
  Gang,
  Occurrence, // of a repeating job
};

Job
MakeWork(Work aWork, Millis aTakes)
{
  auto job = MakeJob(MakeJobId(0), "a", { aWork == Work::Gang ? 3 : 1 });
  job.steps_[0].estimate_ = aTakes;
  job.steps_[0].isGang_ = aWork == Work::Gang;
  if (aWork == Work::Occurrence) {
    job.repeats_ = 2; // both due at once
    job.interval_ = Millis(1);
  }
  return job;
}

// A start is held up at a target that restarts kHeldUpAfterRestart before it is
// carried out, at aRestart after its call. The owner changes at aChangeAt.
void
PlayLateStart(Millis aRestart,
              Change aChange,
              Millis aChangeAt,
              Millis aTakes,
              Work aWork = Work::Item,
              std::optional<Millis> aFirstRestart = std::nullopt)
{
  CAPTURE(aRestart.count(),
          static_cast<int>(aChange),
          aChangeAt.count(),
          aTakes.count(),
          static_cast<int>(aWork));
  constexpr Millis kHeldUpAfterRestart(150);
  SimulatedFleet fleet(1);
  fleet.AddTargets("a", 3);
  fleet.StartOwner();
  fleet.RunFor(kSettleTime);
  fleet.HoldUpNextStart(aRestart + kHeldUpAfterRestart);
  fleet.Submit(MakeWork(aWork, aTakes));
  fleet.RunFor(Millis(10));
  const auto target = fleet.HeldUpAt();
  REQUIRE(!target.empty());
  fleet.SetCapacity(target, Resources{}); // so that it starts again elsewhere
  const auto restart = [&] {
    fleet.SetCapacity(target, { 8000, 32000, 0 });
    fleet.RestartTarget(target);
  };
  const auto change = [&] {
    if (aChange != Change::None) {
      fleet.StartOwner(aChange == Change::HandOver ? PreviousOwner::HandedOver
                       : aChange == Change::Ended  ? PreviousOwner::Ended
                                                   : PreviousOwner::Unknown);
    }
  };
  if (aFirstRestart) {
    fleet.RunFor(*aFirstRestart);
    fleet.RestartTarget(target);
    aRestart -= *aFirstRestart;
  }
  const bool changesFirst = aChangeAt < aRestart;
  fleet.RunFor(changesFirst ? aChangeAt : aRestart);
  changesFirst ? change() : restart();
  fleet.RunFor(changesFirst ? aRestart - aChangeAt : aChangeAt - aRestart);
  changesFirst ? restart() : change();
  fleet.RunFor(Millis(60000));
  for (const auto& what : fleet.Violations()) {
    FAIL_CHECK(what);
  }
  CHECK(fleet.StoredState(MakeJobId(0)) == JobState::Completed);
}

std::vector<RenewTarget>
RenewalsOf(const std::vector<Effect>& aEffects, const std::string& aTarget)
{
  std::vector<RenewTarget> renewals;
  for (const auto& effect : aEffects) {
    const auto* renewal = std::get_if<RenewTarget>(&effect);
    if (renewal && renewal->target_ == aTarget) {
      renewals.push_back(*renewal);
    }
  }
  return renewals;
}

// The start of the first item has got no answer. There is a second target.
struct LateStartFixture : ReplacedProcess
{
  LateStartFixture()
  {
    ListBoth();
    Renew("u");
    Wait(kCallTime);
    Renew("u");
    Deliver(StartAnswered{
      "t", kFirst, 1, StartOutcome::Unknown, 0, firstSentAt_, 0 });
    // The call that was on its way then proves nothing.
    RenewalAnswered renewal;
    renewal.target_ = "t";
    renewal.outcome_ = RenewalOutcome::Answered;
    renewal.sentAt_ = firstSentAt_;
    renewal.startUnixMs_ = report_.startUnixMs_;
    renewal.clockMs_ = clockMs_;
    Deliver(renewal);
  }

  void ListBoth() { ListTargets({ report_, ReducerFixture::MakeReport("u") }); }

  // Starts in this time, while "u" answers all calls and "t" as told.
  template<typename AnswerT>
  std::vector<StartRun> Pass(Millis aTime, AnswerT aAnswer)
  {
    constexpr Millis kStep(20);
    std::vector<StartRun> starts;
    const auto end = now_ + aTime;
    while (now_ < end) {
      Wait(kStep);
      const auto effects = fleet_.TakeEffects();
      for (const auto& effect : effects) {
        if (const auto* start = std::get_if<StartRun>(&effect)) {
          starts.push_back(*start);
        } else if (const auto* store = std::get_if<StoreProgress>(&effect)) {
          Deliver(ProgressStored{ store->batch_ });
        }
      }
      const auto looks = RenewalsOf(effects, "t");
      looks_ += static_cast<int>(looks.size());
      if (!looks.empty()) {
        aAnswer();
      }
      if (!RenewalsOf(effects, "u").empty()) {
        Renew("u");
      }
    }
    return starts;
  }

  int looks_ = 0; // calls that asked "t" for its list
};

} // namespace

TEST_CASE("a late start runs once, whenever its target restarts")
{
  // review/11, TWICE: the next process of the target carried out a start that
  // had been given up, beside the run that had replaced it.
  const auto takes = GENERATE(Millis(1000), Millis(20000));
  for (Millis restart(2000); restart <= kLatest; restart += Millis(50)) {
    PlayLateStart(restart, Change::None, Millis(0), takes);
  }
}

TEST_CASE("a late start runs once, whichever owner meets it")
{
  // The next owner does not know of a start that was sent after the last record
  // that was stored.
  const auto change =
    GENERATE(Change::HandOver, Change::Ended, Change::Unknown);
  for (Millis restart(2000); restart <= kLatest; restart += Millis(970)) {
    for (Millis at(0); at < kLatest; at += Millis(510)) {
      PlayLateStart(restart, change, at, Millis(20000));
    }
  }
}

TEST_CASE("a late start of a gang or of an occurrence runs once")
{
  const auto work = GENERATE(Work::Gang, Work::Occurrence);
  const auto change = GENERATE(Change::None, Change::Ended, Change::Unknown);
  for (Millis restart(2000); restart <= kLatest; restart += Millis(470)) {
    PlayLateStart(restart, change, Millis(1000), Millis(9000), work);
  }
}

TEST_CASE("a late start runs once, although its target restarts twice")
{
  const auto change = GENERATE(Change::None, Change::Ended, Change::Unknown);
  for (Millis first(100); first <= kLatest; first += Millis(590)) {
    for (Millis second = std::max(Millis(2000), first + Millis(300));
         second <= kLatest;
         second += Millis(970)) {
      PlayLateStart(
        second, change, Millis(0), Millis(20000), Work::Item, first);
    }
  }
}

TEST_CASE("one answered call fences an unanswered start off")
{
  // Also if the stop of the run is lost.
  LateStartFixture fixture;
  const auto starts = fixture.Pass(Millis(200), [&] { fixture.Renew("t"); });
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].run_ == 2);
  CHECK(fixture.ProcessOf("t") > 0);
}

TEST_CASE("an item starts elsewhere after a start without an answer")
{
  // Its target may leave the next one unanswered too.
  LateStartFixture fixture;
  const auto starts = fixture.Pass(Millis(200), [&] { fixture.Renew("t"); });
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].target_ == "u");
}

TEST_CASE("an item waits while a late start of it may run unseen")
{
  LateStartFixture fixture;
  SECTION("its target is silent")
  {
    const auto starts = fixture.Pass(kLatest - Millis(100), [&] {
      fixture.LoseContact("t");
      fixture.ListBoth();
    });
    CHECK(starts.empty());
    CHECK(fixture.Pass(Millis(300), [] {}).size() == 1);
  }
  SECTION("its target has just restarted, and may do so again")
  {
    fixture.report_.startUnixMs_ = fixture.now_.time_since_epoch().count();
    fixture.clockMs_ = 50;
    fixture.ListBoth();
    const auto starts = fixture.Pass(kLatest - Millis(600), [&] {
      fixture.Deliver(StopAnswered{ "t", kFirst, 1, true });
      fixture.Renew("t");
    });
    CHECK(starts.empty());
  }
  SECTION("not once another target has its address, so that it can't come")
  {
    const auto starts = fixture.Pass(Millis(300), [&] {
      fixture.FailRenewal("t", RenewalOutcome::OtherIncarnation);
    });
    CHECK(starts.size() == 1);
  }
}

TEST_CASE("a target is looked at as long as a late start may come")
{
  // Also if nobody wants the work any more.
  LateStartFixture fixture;
  fixture.Deliver(JobCancelled{ kFirst.job_ });
  fixture.Pass(Millis(2000), [&] { fixture.Renew("t"); });
  // Ten looks a second at least leave a next process 100 ms without a call.
  CHECK(fixture.looks_ >= 20);
  fixture.Pass(kLatest, [&] { fixture.Renew("t"); });
  fixture.looks_ = 0;
  fixture.Pass(Millis(2000), [&] { fixture.Renew("t"); });
  CHECK(fixture.looks_ == 0);
}

TEST_CASE("looks at many targets are bounded")
{
  constexpr int kTargets = 100;
  constexpr int kLooksPerSecond = 100; // of one owner
  SimulatedFleet fleet(1);
  fleet.AddTargets("a", kTargets);
  fleet.StartOwner();
  fleet.RunFor(Millis(3000));
  fleet.StartOwner(PreviousOwner::Ended);
  fleet.RunFor(Millis(1000));
  const auto before = fleet.RenewalsReceived();
  constexpr int kSeconds = 10;
  fleet.RunFor(Millis(1000 * kSeconds));
  const auto looks = fleet.RenewalsReceived() - before;
  CHECK(looks <= kLooksPerSecond * kSeconds + kTargets);
  CHECK(looks >= kLooksPerSecond * kSeconds / 2);
  fleet.RunFor(Millis(3000));
  const auto after = fleet.RenewalsReceived();
  fleet.RunFor(Millis(3000));
  CHECK(fleet.RenewalsReceived() == after);
}

TEST_CASE("the next owner waits for a late start at a silent target")
{
  SimulatedFleet fleet(1);
  fleet.AddTargets("a", 3);
  fleet.StartOwner();
  fleet.RunFor(kSettleTime);
  fleet.HoldUpNextStart(Millis(11000));
  auto job = MakeJob(MakeJobId(0), "a", { 1 });
  job.steps_[0].estimate_ = Millis(20000);
  fleet.Submit(job);
  fleet.RunFor(Millis(10));
  const auto target = fleet.HeldUpAt();
  fleet.PartitionTarget(target, Millis(10990));
  fleet.CutTargetFromStore(target, Millis(20000));
  fleet.RunFor(Millis(1000));
  const auto former = GENERATE(
    PreviousOwner::HandedOver, PreviousOwner::Ended, PreviousOwner::Unknown);
  fleet.StartOwner(former);
  fleet.RunFor(Millis(8000));
  CHECK(fleet.Starts(MakeJobId(0)) == 0);
  fleet.RestartTarget(target);
  fleet.RunFor(Millis(60000));
  for (const auto& what : fleet.Violations()) {
    FAIL_CHECK(what);
  }
  CHECK(fleet.StoredState(MakeJobId(0)) == JobState::Completed);
}

TEST_CASE("a late call for a process long gone brings the longest lease")
{
  // Only the deadlines for the process just before were allowed for. After two
  // restarts a run was given up, and its item started again, while it could
  // still end as done.
  ReplacedProcess fixture;
  const auto replace = [&](std::int64_t aClockMs) {
    fixture.report_.startUnixMs_ =
      fixture.now_.time_since_epoch().count() - aClockMs;
    fixture.clockMs_ = aClockMs;
    fixture.ListTargets({ fixture.report_ });
    fixture.Renew("t");
  };
  replace(50);
  fixture.Wait(Millis(2000));
  replace(1500);
  const auto longest = FleetOptions{}.longestLease_.count();
  CHECK(fixture.fleet_.State().targets_.at("t").leaseUntil_ >=
        fixture.clockMs_ + longest);
}
