// A target whose process is replaced by another one under the same id.

#ifndef cuminbridge_fleet_tests_replaced_process_h
#define cuminbridge_fleet_tests_replaced_process_h

#include <catch2/catch.hpp>

#include "reducer_fixture.h"
#include "state.h"

namespace cuminbridge {

inline const ItemName kFirst{ MakeJobId(1), 0, 0, 0 };
inline const ItemName kSecond{ MakeJobId(2), 0, 0, 0 };

// The first item was started on target "t" and the start is not answered. Each
// batch for the store is confirmed.
struct ReplacedProcess : ReducerFixture
{
  ReplacedProcess()
  {
    UsePool();
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
    renewal.process_ = ProcessOf(aTarget);
    renewal.clockMs_ = clockMs_;
    renewal.running_ = std::move(aRunning);
    renewal.ended_ = std::move(aEnded);
    Deliver(renewal);
  }

  void LoseContact(const std::string& aTarget)
  {
    FailRenewal(aTarget, RenewalOutcome::Unresponsive);
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
    return CollectStarts([this](Millis aTime) { Wait(aTime); });
  }

  TargetReport report_ = MakeReport("t");
  std::int64_t clockMs_ = 600000; // of all targets
  std::int64_t sequence_ = 1;
  Instant firstSentAt_;
};

inline RunningRun
MakeRunning(const ItemName& aItem, std::int64_t aRun)
{
  RunningRun run;
  run.item_ = aItem;
  run.run_ = aRun;
  return run;
}

} // namespace cuminbridge

#endif // cuminbridge_fleet_tests_replaced_process_h
