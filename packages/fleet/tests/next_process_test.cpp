// Answers, ends and runs of a process that another one has replaced, under the
// same id.

#include <catch2/catch.hpp>

#include "replaced_process.h"

using namespace cuminbridge;

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
