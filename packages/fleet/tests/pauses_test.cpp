// An owner that was held up, and reads answers long after they were written.
// Event by event.

#include <catch2/catch.hpp>

#include "reducer_fixture.h"

using namespace cuminbridge;

namespace {

constexpr std::int64_t kFormerBorn = 5;
constexpr std::int64_t kNextBorn = 1000;

// A target "t" that has listed its runs, none, and a job whose only item was
// started there. The start has not been answered.
struct PausedOwner : ReducerFixture
{
  PausedOwner()
  {
    FleetConfig config;
    config.version_ = 1;
    config.pools_.push_back({ "a", true, false });
    FleetOptions options;
    options.longestLease_ = kLongestLease;
    Deliver(OptionsChanged{ options });
    Deliver(ConfigSeen{ config });
    Deliver(JobsLoaded{});
    report_.clockMs_ = clockMs_;
    Deliver(TargetsSeen{ { report_ } });
    AdvanceTime(Millis(10));
    AnswerRenewal(kFormerBorn, {});
    Deliver(ProgressStored{ 1 });
    AdvanceTime(Millis(20));
    Deliver(JobArrived{ MakeJob(first_.job_, "a", { 1 }) });
    AdvanceTime(Millis(10));
    sentAt_ = now_;
    CHECK(TakeStarts().size() == 1);
  }

  void AnswerRenewal(std::int64_t aBorn,
                     std::vector<RunningRun> aRunning,
                     std::vector<EndedRun> aEnded = {})
  {
    RenewalAnswered renewal;
    renewal.target_ = "t";
    renewal.outcome_ = RenewalOutcome::Answered;
    renewal.sentAt_ = now_;
    renewal.startUnixMs_ = aBorn;
    renewal.clockMs_ = clockMs_;
    renewal.running_ = std::move(aRunning);
    renewal.ended_ = std::move(aEnded);
    Deliver(renewal);
  }

  StartAnswered AnswerToStart(const ItemName& aItem) const
  {
    StartAnswered answer{ "t", aItem, 1, StartOutcome::Started, clockMs_ };
    answer.sentAt_ = sentAt_;
    return answer;
  }

  // Time also passes on the clock of the target.
  void Pass(Millis aTime)
  {
    clockMs_ += aTime.count();
    AdvanceTime(aTime);
  }

  std::vector<StartRun> TakeStarts()
  {
    std::vector<StartRun> starts;
    lastAcknowledged_ = 0;
    for (auto& effect : fleet_.TakeEffects()) {
      if (auto* start = std::get_if<StartRun>(&effect)) {
        starts.push_back(*start);
      } else if (const auto* renewal = std::get_if<RenewTarget>(&effect)) {
        lastAcknowledged_ = renewal->acknowledgedEnds_;
        lastLease_ = std::max(lastLease_, renewal->leaseUntil_);
      } else if (const auto* store = std::get_if<StoreProgress>(&effect)) {
        Deliver(ProgressStored{ store->batch_ });
      }
    }
    return starts;
  }

  // The list of targets shows the next process of "t".
  void ShowNextProcess()
  {
    report_.startUnixMs_ = kNextBorn;
    report_.clockMs_ = clockMs_ = kNextClock;
    Deliver(TargetsSeen{ { report_ } });
  }

  static constexpr Millis kLongestLease{ 6000 };
  static constexpr std::int64_t kNextClock = 400;
  const ItemName first_{ MakeJobId(1), 0, 0, 0 };
  const ItemName second_{ MakeJobId(2), 0, 0, 0 };
  TargetReport report_ = MakeReport("t");
  std::int64_t clockMs_ = 600000; // of the target, now
  Instant sentAt_;                // of the start
  std::int64_t lastAcknowledged_ = 0;
  std::int64_t lastLease_ = 0;
};

RunningRun
MakeRunning(const ItemName& aItem)
{
  RunningRun run;
  run.item_ = aItem;
  run.run_ = 1;
  return run;
}

} // namespace

TEST_CASE("the answer to a start that is read late shows no restart")
{
  // The known end of the leases was lowered. With the clock that another answer
  // brought, they counted as expired 2 s early, and work ran twice.
  PausedOwner fixture;
  const auto late = fixture.AnswerToStart(fixture.first_);
  fixture.clockMs_ += 4500;
  fixture.now_ += Millis(4500);
  fixture.AnswerRenewal(kFormerBorn, { MakeRunning(fixture.first_) });
  fixture.AdvanceTime(Millis(0));
  fixture.Deliver(JobArrived{ MakeJob(fixture.second_.job_, "a", { 1 }) });
  fixture.Pass(Millis(10));
  fixture.sentAt_ = fixture.now_;
  CHECK(fixture.TakeStarts().size() == 1);
  fixture.Deliver(late);
  fixture.Deliver(fixture.AnswerToStart(fixture.second_));
  RenewalAnswered silent; // carried out, but not answered
  silent.target_ = "t";
  fixture.Pass(Millis(500));
  silent.sentAt_ = fixture.now_;
  fixture.Deliver(silent);
  while (fixture.clockMs_ < fixture.lastLease_) {
    INFO(fixture.lastLease_ - fixture.clockMs_ << " ms before the lease ends");
    REQUIRE(fixture.fleet_.Counts().lost_ == 0);
    fixture.Pass(Millis(100));
  }
}

TEST_CASE(
  "the answer of the process before says nothing of the next one's clock")
{
  // Leases on the next process counted as expired while it held them.
  PausedOwner fixture;
  const auto late = fixture.AnswerToStart(fixture.first_);
  fixture.AdvanceTime(Millis(3000));
  fixture.ShowNextProcess();
  fixture.Deliver(late);
  fixture.Pass(Millis(10));
  fixture.AnswerRenewal(kNextBorn, {});
  fixture.Pass(Millis(10));
  const auto starts = fixture.TakeStarts();
  REQUIRE(starts.size() == 1);
  CHECK(starts.front().leaseUntil_ > fixture.clockMs_);
  CHECK(starts.front().leaseUntil_ <=
        fixture.clockMs_ + FleetOptions{}.targetLease_.count());
}

TEST_CASE(
  "ends that the process before listed are not acknowledged to the next")
{
  // An end of the next process was acknowledged unread, and its item ran again.
  PausedOwner fixture;
  RenewalAnswered late;
  late.target_ = "t";
  late.outcome_ = RenewalOutcome::Answered;
  late.sentAt_ = fixture.now_;
  late.startUnixMs_ = kFormerBorn;
  late.clockMs_ = fixture.clockMs_;
  EndedRun end;
  end.number_ = 3;
  end.item_ = fixture.first_;
  end.run_ = 1;
  end.kind_ = EndKind::Done;
  late.ended_ = { end };
  fixture.AdvanceTime(Millis(3000));
  fixture.ShowNextProcess();
  fixture.TakeStarts();
  fixture.Deliver(late);
  for (int step = 0; step < 10; ++step) {
    fixture.Pass(Millis(20));
    fixture.TakeStarts();
    CHECK(fixture.lastAcknowledged_ == 0);
  }
}
