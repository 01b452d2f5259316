// Answers, ends and runs of a process that another one has replaced, under the
// same id.

#include <catch2/catch.hpp>

#include "reducer_fixture.h"
#include "state.h"

using namespace cuminbridge;

namespace {

const ItemName kFirst{ MakeJobId(1), 0, 0, 0 };
const ItemName kSecond{ MakeJobId(2), 0, 0, 0 };

// The first item was started on target "t" and the start is not answered. Each
// batch for the store is confirmed.
struct ReplacedProcess : ReducerFixture
{
  ReplacedProcess()
  {
    FleetConfig config;
    config.version_ = 1;
    config.pools_.push_back({ "a", true, false });
    Deliver(ConfigSeen{ config });
    Deliver(JobsLoaded{});
    report_.clockMs_ = clockMs_;
    ListTargets({ report_ });
    Renew("t");
    Collect();
    Submit(kFirst);
    firstSentAt_ = now_;
    REQUIRE(Collect().size() == 1);
  }

  void Wait(Millis aTime)
  {
    clockMs_ += aTime.count();
    AdvanceTime(aTime);
  }

  void ListTargets(std::vector<TargetReport> aReports)
  {
    for (auto& report : aReports) {
      report.sequence_ = ++sequence_;
      report.clockMs_ = clockMs_;
    }
    Deliver(TargetsSeen{ std::move(aReports) });
    Wait(Millis(10));
  }

  void Submit(const ItemName& aItem)
  {
    auto job = MakeJob(aItem.job_, "a", { 1 });
    job.steps_[0].estimate_ = Millis(60000);
    Deliver(JobArrived{ job });
    Wait(Millis(10));
  }

  // The process that is known at the target lists these.
  void Renew(const std::string& aTarget,
             std::vector<RunningRun> aRunning = {},
             std::vector<EndedRun> aEnded = {})
  {
    RenewalAnswered renewal;
    renewal.target_ = aTarget;
    renewal.outcome_ = RenewalOutcome::Answered;
    renewal.sentAt_ = now_;
    renewal.startUnixMs_ = fleet_.State().targets_.at(aTarget).startUnixMs_;
    renewal.clockMs_ = clockMs_;
    renewal.running_ = std::move(aRunning);
    renewal.ended_ = std::move(aEnded);
    Deliver(renewal);
  }

  void LoseContact(const std::string& aTarget)
  {
    RenewalAnswered silent;
    silent.target_ = aTarget;
    silent.sentAt_ = now_;
    Deliver(silent);
  }

  void ConfirmStart(const ItemName& aItem,
                    std::int64_t aRun,
                    const std::string& aTarget = "t")
  {
    StartAnswered answer{ aTarget,  aItem, aRun, StartOutcome::Started,
                          clockMs_, now_ };
    Deliver(answer);
    Wait(Millis(10));
  }

  // Another process begins under the id of "t".
  void Replace()
  {
    report_.startUnixMs_ = 1000;
    clockMs_ = 50;
    ListTargets({ report_ });
  }

  // The starts since the last call.
  std::vector<StartRun> Collect()
  {
    std::vector<StartRun> starts;
    for (int round = 0; round < 10; ++round) {
      for (const auto& effect : fleet_.TakeEffects()) {
        if (const auto* start = std::get_if<StartRun>(&effect)) {
          starts.push_back(*start);
        } else if (const auto* store = std::get_if<StoreProgress>(&effect)) {
          Deliver(ProgressStored{ store->batch_ });
        } else if (std::holds_alternative<StopRun>(effect)) {
          ++stops_;
        }
      }
      Wait(Millis(20));
    }
    return starts;
  }

  TargetReport report_ = MakeReport("t");
  std::int64_t clockMs_ = 600000; // of all targets
  std::int64_t sequence_ = 1;
  Instant firstSentAt_;
  int stops_ = 0;
};

RunningRun
MakeRunning(const ItemName& aItem, std::int64_t aRun)
{
  RunningRun run;
  run.item_ = aItem;
  run.run_ = aRun;
  return run;
}

} // namespace

TEST_CASE("a run that is found again does not give its successor's number away")
{
  ReplacedProcess fixture;
  fixture.ConfirmStart(kFirst, 1);
  const auto giveUp = [&](const char* aTarget) {
    fixture.LoseContact(aTarget);
    fixture.Wait(Millis(5000));
    fixture.Wait(Millis(10));
  };
  giveUp("t");
  fixture.ListTargets({ fixture.report_, ReducerFixture::MakeReport("u") });
  fixture.Renew("u");
  REQUIRE(fixture.Collect().size() == 1);
  fixture.ConfirmStart(kFirst, 2, "u");
  fixture.Renew("u", { MakeRunning(kFirst, 2) });
  giveUp("u");
  REQUIRE(fixture.fleet_.Counts().lost_ == 2);
  fixture.Renew("t", { MakeRunning(kFirst, 1) });
  EndedRun end;
  end.number_ = 1;
  end.item_ = kFirst;
  end.run_ = 1;
  end.kind_ = EndKind::Stopped;
  fixture.Renew("t", {}, { end });
  const auto starts = fixture.Collect();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].run_ == 3);
}

TEST_CASE("a stop that the process before answered is sent to the next one")
{
  // The start may still arrive there.
  ReplacedProcess fixture;
  fixture.Deliver(StartAnswered{
    "t", kFirst, 1, StartOutcome::Unknown, 0, fixture.firstSentAt_ });
  fixture.Collect();
  REQUIRE(fixture.stops_ == 1);
  fixture.Deliver(StopAnswered{ "t", kFirst, 1, true });
  fixture.Replace();
  fixture.Wait(Millis(500));
  fixture.Renew("t");
  CHECK(fixture.Collect().empty());
  CHECK(fixture.stops_ == 2);
}

TEST_CASE("a rejection by another process at the former address ends no run")
{
  ReplacedProcess fixture;
  fixture.report_.address_ = "elsewhere";
  fixture.Replace();
  fixture.Renew("t");
  fixture.Collect();
  fixture.Renew("t");
  fixture.Submit(kSecond);
  const auto starts = fixture.Collect();
  REQUIRE(starts.size() == 1);
  REQUIRE(starts[0].item_ == kSecond);
  fixture.ConfirmStart(kSecond, starts[0].run_);
  fixture.Renew("t", { MakeRunning(kSecond, starts[0].run_) });
  fixture.Deliver(StartAnswered{
    "t", kFirst, 1, StartOutcome::OtherIncarnation, 0, fixture.firstSentAt_ });
  CHECK(fixture.fleet_.Counts().lost_ == 0);
}
