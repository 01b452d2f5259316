// Which jobs count as waiting: those of which no work item has started.

#include <catch2/catch.hpp>

#include "replaced_process.h"

using namespace cuminbridge;

namespace {

// The start of the first job is sent and not answered. Keeps what is stored.
struct BegunFixture : ReplacedProcess
{
  int Waiting() const
  {
    int waiting = 0;
    for (const auto& load : fleet_.Loads()) {
      waiting += load.waiting_;
    }
    return waiting;
  }

  void AnswerStart(StartOutcome aOutcome)
  {
    Deliver(StartAnswered{
      "t", kFirst, 1, aOutcome, clockMs_, firstSentAt_, ProcessOf("t") - 1 });
  }

  // Confirms each batch for the store.
  void Store(Millis aTime)
  {
    constexpr Millis kStep(20);
    for (Millis passed(0); passed < aTime; passed += kStep) {
      Wait(kStep);
      for (const auto& effect : fleet_.TakeEffects()) {
        if (const auto* store = std::get_if<StoreProgress>(&effect)) {
          for (const auto& [job, progress] : store->jobs_) {
            stored_[job] = progress;
          }
          Deliver(ProgressStored{ store->batch_ });
        }
      }
    }
  }

  // The jobs that count as waiting for an owner that begins with what is
  // stored.
  int WaitingForNextOwner() const
  {
    Fleet next(FleetOptions{}, now_);
    JobsLoaded loaded;
    auto job = MakeJob(kFirst.job_, "a", { 1 });
    loaded.jobs_.push_back(job);
    loaded.progress_ = stored_;
    loaded.term_ = 2;
    next.Handle(loaded, now_);
    int waiting = 0;
    for (const auto& load : next.Loads()) {
      waiting += load.waiting_;
    }
    return waiting;
  }

  std::map<std::string, Progress> stored_;
};

} // namespace

TEST_CASE("a job whose start was not carried out waits")
{
  // review/15, MIXED: it counted as begun once a start had been sent.
  const auto outcome = GENERATE(StartOutcome::Fenced,
                                StartOutcome::StaleRun,
                                StartOutcome::TooLate,
                                StartOutcome::NoCapacity,
                                StartOutcome::BadTicket,
                                StartOutcome::Rejected,
                                StartOutcome::OtherIncarnation,
                                StartOutcome::NotSent,
                                StartOutcome::Unknown);
  CAPTURE(static_cast<int>(outcome));
  BegunFixture fixture;
  CHECK(fixture.Waiting() == 1); // while the answer is awaited
  fixture.AnswerStart(outcome);
  CHECK(fixture.Waiting() == 1);
  fixture.Renew("t");
  fixture.Store(Millis(200));
  CHECK(fixture.Waiting() == 1);
  CHECK(fixture.fleet_.StoredState(kFirst.job_) == JobState::Queued);
  CHECK(fixture.stored_.at(kFirst.job_).state_ == JobState::Queued);
  CHECK(fixture.WaitingForNextOwner() == 1);
}

TEST_CASE("a job begins with the first start that its target shows")
{
  BegunFixture fixture;
  SECTION("by its answer")
  {
    fixture.AnswerStart(StartOutcome::Started);
  }
  SECTION("by its list, although the answer is lost")
  {
    fixture.AnswerStart(StartOutcome::Unknown);
    fixture.Renew("t", { MakeRunning(kFirst, 1) });
  }
  SECTION("by an end")
  {
    EndedRun end;
    end.number_ = 1;
    end.item_ = kFirst;
    end.run_ = 1;
    end.kind_ = EndKind::Failed;
    fixture.Renew("t", {}, { end });
  }
  CHECK(fixture.Waiting() == 0);
  fixture.Store(Millis(200));
  CHECK(fixture.fleet_.StoredState(kFirst.job_) == JobState::Serving);
  CHECK(fixture.WaitingForNextOwner() == 0);
}

TEST_CASE("a job that has begun stays begun when its runs are lost")
{
  BegunFixture fixture;
  fixture.AnswerStart(StartOutcome::Started);
  fixture.Renew("t", { MakeRunning(kFirst, 1) });
  fixture.LoseContact("t");
  fixture.Wait(Millis(5000));
  fixture.Store(Millis(200));
  REQUIRE(fixture.fleet_.Counts().lost_ == 1);
  CHECK(fixture.Waiting() == 0);
  CHECK(fixture.fleet_.StoredState(kFirst.job_) == JobState::Serving);
  CHECK(fixture.WaitingForNextOwner() == 0);
}

TEST_CASE("a gang has begun once one of its members has")
{
  BegunFixture fixture;
  auto gang = MakeJob(kSecond.job_, "a", { 2 });
  gang.steps_[0].isGang_ = true;
  fixture.Deliver(JobArrived{ gang });
  fixture.Wait(Millis(10));
  REQUIRE(fixture.Collect().size() == 2);
  CHECK(fixture.Waiting() == 2);
  fixture.Deliver(StartAnswered{
    "t", kSecond, 1, StartOutcome::Rejected, fixture.clockMs_, fixture.now_ });
  CHECK(fixture.Waiting() == 2);
  fixture.ConfirmStart({ kSecond.job_, 0, 0, 1 }, 1);
  CHECK(fixture.Waiting() == 1);
}

TEST_CASE("a job that an earlier version stored as begun counts so")
{
  BegunFixture fixture;
  Progress progress;
  progress.state_ = JobState::Serving;
  progress.items_.push_back({ 0, 0, 0, false, {}, 1, "", "t", {}, {} });
  fixture.stored_[kFirst.job_] = progress;
  CHECK(fixture.WaitingForNextOwner() == 0);
}

TEST_CASE("a run that is listed before its job arrives has begun it")
{
  BegunFixture fixture;
  fixture.Renew("t", { MakeRunning(kSecond, 1) });
  fixture.Submit(kSecond);
  CHECK(fixture.Waiting() == 1); // the first one
}
