// What the log tells of runs that are given up, and of their ends.

#include <catch2/catch.hpp>

#include "reducer_fixture.h"
#include "state.h"

using namespace cuminbridge;

namespace {

const ItemName kItem{ MakeJobId(1), 0, 0, 0 };

// An item runs on target "t"; "u" is empty.
struct LoggedFleet : ReducerFixture
{
  LoggedFleet()
  {
    UsePool();
    Deliver(Tick{ WallTime(now_.time_since_epoch()), kAlways });
    Deliver(JobsLoaded{});
    Deliver(TargetsSeen{ { MakeReport("t") } });
    AdvanceTime(Millis(10));
    AnswerRenewal("t", {});
    Deliver(ProgressStored{ 1 });
    auto job = MakeJob(kItem.job_, "a", { 1 });
    job.steps_[0].estimate_ = Millis(60000);
    Deliver(JobArrived{ job });
    AdvanceTime(Millis(10));
    Deliver(StartAnswered{ "t", kItem, 1, StartOutcome::Started, 130 });
    ListVm("t");
    TakeLines();
  }

  void ListVm(const std::string& aTarget)
  {
    Vm vm;
    vm.name_ = "vm-t";
    vm.pool_ = "a";
    vm.target_ = aTarget;
    vm.state_ = aTarget.empty() ? VmState::Down : VmState::Up;
    Deliver(VmsSeen{ { vm }, now_ });
  }

  void Answer(RenewalOutcome aOutcome, std::int64_t aStartUnixMs = 0)
  {
    AdvanceTime(Millis(10));
    RenewalAnswered renewal;
    renewal.target_ = "t";
    renewal.outcome_ = aOutcome;
    renewal.sentAt_ = now_;
    renewal.startUnixMs_ = aStartUnixMs;
    Deliver(renewal);
  }

  // Refuses connections until the lease on "t" has expired.
  void LapseLease()
  {
    for (int step = 0; step < 900; ++step) {
      Answer(RenewalOutcome::Refused);
    }
  }

  // The list of VMs shows that "t" has ended.
  void LoseTarget()
  {
    Answer(RenewalOutcome::Refused);
    AdvanceTime(Millis(40));
    ListVm("");
  }

  // Run 2 of the item is placed on "u".
  void StartSecondRun()
  {
    Deliver(TargetsSeen{ { MakeReport("t"), MakeReport("u") } });
    AnswerRenewal("u", {});
    for (std::uint64_t batch = 2; batch < 10; ++batch) {
      Deliver(ProgressStored{ batch });
      AdvanceTime(Millis(60));
    }
    Deliver(StartAnswered{ "u", kItem, 2, StartOutcome::Started, 130 });
  }

  void TakeLines()
  {
    for (auto& effect : fleet_.TakeEffects()) {
      if (auto* line = std::get_if<LogLine>(&effect)) {
        lines_.push_back(std::move(*line));
      }
    }
  }

  // The details of all lines with this event.
  std::vector<std::string> Details(const std::string& aEvent)
  {
    TakeLines();
    std::vector<std::string> details;
    for (const auto& line : lines_) {
      if (line.event_ == aEvent) {
        details.push_back(line.detail_);
      }
    }
    return details;
  }

  // The detail of the only line with this event.
  std::string Detail(const std::string& aEvent)
  {
    const auto details = Details(aEvent);
    CHECK(details.size() == 1);
    return details.empty() ? "" : details.front();
  }

  std::vector<LogLine> lines_;
};

EndedRun
MakeEnd(EndKind aKind, std::int64_t aRun = 1, std::int64_t aNumber = 1)
{
  EndedRun end;
  end.number_ = aNumber;
  end.item_ = kItem;
  end.run_ = aRun;
  end.kind_ = aKind;
  return end;
}

RunningRun
MakeRunning(std::int64_t aRun)
{
  RunningRun run;
  run.item_ = kItem;
  run.run_ = aRun;
  return run;
}

using Catch::Contains;
using Catch::StartsWith;

} // namespace

TEST_CASE("the line about a lapsed lease names its deadline and all ages")
{
  // "its lease expired" alone did not tell whether the owner was held up.
  LoggedFleet fixture;
  fixture.LapseLease();
  const auto detail = fixture.Detail("run_lost");
  CHECK_THAT(
    detail,
    StartsWith("its lease expired while its target was unresponsive; run 1, "));
  for (const auto* part : { "sent ",
                            "first confirmed ",
                            "lease until ",
                            "its clock at least ",
                            ", read ",
                            "process born 5",
                            "last heard ",
                            "silent for " }) {
    CHECK_THAT(detail, Contains(part));
  }
  CHECK_THAT(detail, !Contains("held up"));
}

TEST_CASE("the line about a lapsed lease tells that the owner was held up")
{
  LoggedFleet fixture;
  fixture.Answer(RenewalOutcome::Refused);
  fixture.AdvanceTime(Millis(9000));
  CHECK_THAT(fixture.Detail("run_lost"),
             Contains("this entry held up for 9000 ms until 0 ms ago"));
}

TEST_CASE("a silent target's line says how long ago it was heard of")
{
  LoggedFleet fixture;
  fixture.Answer(RenewalOutcome::Refused);
  const auto detail = fixture.Detail("target_silent");
  CHECK_THAT(detail, StartsWith("connection refused; asked 0 ms ago; 1 runs"));
  CHECK_THAT(detail, Contains("process born 5, last heard 10 ms ago"));
  CHECK_THAT(detail, Contains("lease until "));
}

TEST_CASE("a line about a list of VMs names its age, the VM and what it shows")
{
  LoggedFleet fixture;
  SECTION("the VM is down")
  {
    fixture.LoseTarget();
    const std::string shown =
      "its VM has no target; VM vm-t down in pool a with no target, list asked "
      "for 0 ms ago, lists in a row without the target: 1; process born 5";
    CHECK_THAT(fixture.Detail("target_gone"), StartsWith(shown));
    CHECK_THAT(fixture.Detail("run_lost"),
               StartsWith("the process of its target has ended; run 1, "));
    CHECK_THAT(fixture.Detail("run_lost"), Contains(shown));
  }
  SECTION("the VM has another target")
  {
    fixture.Answer(RenewalOutcome::Refused);
    fixture.ListVm("next");
    CHECK_THAT(fixture.Detail("target_gone"),
               Contains("VM vm-t up in pool a with target next"));
  }
}

TEST_CASE("a line about another process names when both were born")
{
  LoggedFleet fixture;
  SECTION("a renewal")
  {
    fixture.Answer(RenewalOutcome::OtherIncarnation, 17);
  }
  SECTION("a start")
  {
    fixture.Deliver(StartAnswered{
      "t", kItem, 1, StartOutcome::OtherIncarnation, 0, fixture.now_ });
  }
  const auto detail = fixture.Detail("target_gone");
  CHECK_THAT(detail,
             StartsWith("another process answers at its address, born "));
  CHECK_THAT(detail, Contains("process born 5, last heard "));
}

TEST_CASE("a target that is back after a loss says what was given up, and why")
{
  LoggedFleet fixture;
  fixture.LoseTarget();
  fixture.AdvanceTime(Millis(100));
  fixture.AnswerRenewal("t", {});
  const auto detail = fixture.Detail("target_back");
  CHECK_THAT(detail, StartsWith("the target answers again; process born 5"));
  CHECK_THAT(detail,
             Contains("1 runs there were given up, the last 105 ms ago: "
                      "the process of its target has ended"));
  CHECK(fixture.fleet_.Counts().targetsBackAfterLoss_ == 1);
  fixture.AnswerRenewal("t", {});
  CHECK(fixture.fleet_.Counts().targetsBackAfterLoss_ == 1);
}

TEST_CASE("a target that was only silent is not counted as back after a loss")
{
  LoggedFleet fixture;
  fixture.Answer(RenewalOutcome::Refused);
  fixture.AnswerRenewal("t", { MakeRunning(1) });
  CHECK_THAT(fixture.Detail("target_back"), !Contains("given up"));
  CHECK(fixture.fleet_.Counts().targetsBackAfterLoss_ == 0);
}

TEST_CASE("the success of a run that was given up leaves a line")
{
  // It was acknowledged without a trace, and the item ran twice.
  LoggedFleet fixture;
  fixture.LoseTarget();
  fixture.AnswerRenewal("t", {}, { MakeEnd(EndKind::Done) });
  CHECK(fixture.Detail("run_ended") ==
        "done; run 1 was given up 5 ms ago: the process of its target has "
        "ended; the item waits");
  CHECK(fixture.fleet_.Counts().done_ == 1);
  CHECK(fixture.fleet_.Counts().endsIgnored_ == 0);
  // Listed again, until it is acknowledged.
  fixture.AnswerRenewal("t", {}, { MakeEnd(EndKind::Done) });
  CHECK(fixture.Details("run_ended").size() == 1);
}

TEST_CASE("the success of a second run leaves a line")
{
  LoggedFleet fixture;
  fixture.LapseLease();
  fixture.StartSecondRun();
  fixture.AnswerRenewal("t", {}, { MakeEnd(EndKind::Done) });
  fixture.AnswerRenewal("u", {}, { MakeEnd(EndKind::Done, 2) });
  CHECK_THAT(fixture.Detail("run_ended"), Contains("run 2 on u is current"));
  CHECK(fixture.Detail("end_ignored") ==
        "done; run 2; its job has ended, the item's last run is 2");
  CHECK(fixture.fleet_.Counts().endsIgnored_ == 1);
}

TEST_CASE("an end that counts leaves no line about an ignored one")
{
  const auto kind = GENERATE(EndKind::Done, EndKind::Failed, EndKind::Stopped);
  LoggedFleet fixture;
  fixture.AnswerRenewal("t", {}, { MakeEnd(kind) });
  CHECK(fixture.Details("end_ignored").empty());
  CHECK(fixture.fleet_.Counts().endsIgnored_ == 0);
}

TEST_CASE("the end of a run whose job has ended is no work done in vain")
{
  LoggedFleet fixture;
  fixture.Deliver(JobCancelled{ kItem.job_ });
  fixture.AnswerRenewal("t", {}, { MakeEnd(EndKind::Done) });
  CHECK(fixture.Detail("end_ignored") ==
        "done; run 1; its job has ended, the item's last run is 1");
  CHECK(fixture.fleet_.Counts().endsIgnored_ == 1);
  CHECK(fixture.fleet_.Counts().endsDoneIgnored_ == 0);
}

TEST_CASE("a run that is stopped as unwanted names the current one")
{
  LoggedFleet fixture;
  SECTION("it was given up, and the item runs elsewhere")
  {
    fixture.LapseLease();
    fixture.StartSecondRun();
    fixture.AnswerRenewal("t", { MakeRunning(1) });
    const auto detail = fixture.Detail("run_stopped");
    CHECK_THAT(detail,
               StartsWith("not the current run of its work item; run 1 was "
                          "given up "));
    CHECK_THAT(detail, Contains("; run 2 on u is current"));
  }
  SECTION("another run is current")
  {
    fixture.Deliver(TargetsSeen{
      { ReducerFixture::MakeReport("t"), ReducerFixture::MakeReport("u") } });
    fixture.AnswerRenewal("u", { MakeRunning(1) });
    CHECK(fixture.Detail("run_stopped") ==
          "not the current run of its work item; run 1; run 1 on t is current");
  }
  CHECK(fixture.fleet_.Counts().stoppedUnwanted_ == 1);
}
