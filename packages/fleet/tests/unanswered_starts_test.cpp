// Starts whose answer is still on its way when their target's process turns out
// to have ended.

#include <catch2/catch.hpp>

#include "replaced_process.h"

using namespace cuminbridge;

namespace {

// The first item is started on one of six targets, which all answer.
struct SixTargets : ReplacedProcess
{
  SixTargets()
  {
    std::vector<TargetReport> reports = { report_ };
    for (const char* id : { "u", "v", "w", "x", "y" }) {
      reports.push_back(MakeReport(id));
    }
    ListTargets(reports);
    for (const auto& report : reports) {
      if (report.id_ != "t") {
        Renew(report.id_);
      }
    }
    Collect();
  }

  const ItemState& First() const
  {
    return fleet_.State()
      .jobs_.at(kFirst.job_)
      ->occurrences_.at(0)
      .steps_[0]
      .items_[0];
  }

  // Another process answers a renewal at the target's address.
  void ShowReplaced(const std::string& aTarget)
  {
    FailRenewal(aTarget, RenewalOutcome::OtherIncarnation);
    Wait(Millis(25));
  }

  void AnswerStart(const std::string& aTarget,
                   std::int64_t aRun,
                   StartOutcome aOutcome)
  {
    Deliver(StartAnswered{ aTarget, kFirst, aRun, aOutcome, 0, now_ });
    Wait(Millis(10));
  }
};

} // namespace

TEST_CASE("a job is not given up after starts that no target has taken")
{
  // Each start was answered 421, after a renewal had been, and counted as a
  // crash: the fifth failed a job of which nothing had ever run.
  SixTargets fixture;
  std::string target = "t";
  std::int64_t run = 1;
  for (int replaced = 0; replaced < 5; ++replaced) {
    INFO("target " << target << ", run " << run);
    fixture.ShowReplaced(target);
    fixture.AnswerStart(target, run, StartOutcome::OtherIncarnation);
    const auto starts = fixture.Collect();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].target_ != target);
    target = starts[0].target_;
    run = starts[0].run_;
  }
  CHECK(fixture.First().crashes_.empty());
  CHECK(fixture.fleet_.StoredState(kFirst.job_) == JobState::Serving);
  CHECK(fixture.fleet_.Counts().crashed_ == 0);
}

TEST_CASE("a start without an answer counts where the process has ended")
{
  // Silence does not show that the item never ran.
  SixTargets fixture;
  fixture.ShowReplaced("t");
  CHECK(fixture.First().crashes_.empty());
  CHECK(fixture.Collect().empty());
  fixture.AnswerStart("t", 1, StartOutcome::Unknown);
  fixture.ShowReplaced("t");
  REQUIRE(fixture.First().crashes_.size() == 1);
  CHECK(fixture.First().crashes_[0].kind_ == CrashKind::Unanswered);
  CHECK(fixture.Collect().size() == 1);
}

TEST_CASE("a start whose answer comes after the process's end counts")
{
  SixTargets fixture;
  fixture.ShowReplaced("t");
  fixture.AnswerStart("t", 1, StartOutcome::Started);
  fixture.ShowReplaced("t");
  REQUIRE(fixture.First().crashes_.size() == 1);
  CHECK(fixture.First().crashes_[0].kind_ == CrashKind::Early);
}
