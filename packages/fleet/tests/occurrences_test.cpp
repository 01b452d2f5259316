// Repeating jobs of which many occurrences are due at once, or are done.

#include <catch2/catch.hpp>

#include "reducer_fixture.h"
#include "state.h"

using namespace cuminbridge;

namespace {

constexpr std::size_t kMostOpen = 200; // occurrences, with those at work

// Every occurrence is due: the time of the first is given in seconds instead of
// milliseconds.
Job
MakeOverdueJob(int aRepeats, const std::vector<int>& aCounts)
{
  auto job = MakeJob(MakeJobId(1), "a", aCounts);
  for (auto& step : job.steps_) {
    step.estimate_ = Millis(20);
  }
  job.repeats_ = aRepeats;
  job.firstRun_ = WallTime(Millis(1000));
  job.interval_ = Millis(1);
  return job;
}

// The owner of one target, with room for eight items.
struct OneTarget : ReducerFixture
{
  OneTarget()
  {
    UsePool();
    Deliver(JobsLoaded{});
    Deliver(TargetsSeen{ { MakeReport("t") } });
    AdvanceTime(Millis(10));
    AnswerRenewal("t", {});
    StoreAndCollect();
  }

  // The starts since the last call. What is to be stored is stored.
  std::vector<StartRun> StoreAndCollect()
  {
    return CollectStarts([this](Millis aTime) { AdvanceTime(aTime); });
  }

  // All of these runs end.
  void End(const std::vector<StartRun>& aStarts, EndKind aKind)
  {
    std::vector<EndedRun> ended;
    ended.reserve(aStarts.size());
    for (const auto& start : aStarts) {
      ended.push_back({ ++ends_, start.item_, start.run_, aKind, "" });
    }
    AnswerRenewal("t", {}, ended);
  }

  const JobEntry& Entry(int aJob = 1) const
  {
    return *fleet_.State().jobs_.at(MakeJobId(aJob));
  }

  // Items of all jobs whose state is kept.
  std::size_t CountItems() const
  {
    std::size_t items = 0;
    for (const auto& [id, job] : fleet_.State().jobs_) {
      for (const auto& [number, occurrence] : job->occurrences_) {
        for (const auto& step : occurrence.steps_) {
          items += step.items_.size();
        }
      }
    }
    return items;
  }

  std::int64_t ends_ = 0;
};

} // namespace

TEST_CASE("a job that is due very often does not fill the owner's memory")
{
  // One request of 139 bytes took each owner in turn out of memory.
  OneTarget fixture;
  fixture.Deliver(JobArrived{ MakeOverdueJob(525600, { 4 }) });
  for (int round = 0; round < 100; ++round) {
    fixture.End(fixture.StoreAndCollect(), EndKind::Done);
    REQUIRE(fixture.Entry().occurrences_.size() <= kMostOpen);
  }
  CHECK(fixture.Entry().occurrencesDone_ > 100);
}

TEST_CASE("the next owner of a job that is due very often opens few of them")
{
  OneTarget fixture;
  JobsLoaded loaded;
  loaded.jobs_ = { MakeOverdueJob(525600, { 4 }) };
  loaded.progress_[MakeJobId(1)].state_ = JobState::Serving;
  loaded.progress_[MakeJobId(1)].doneOccurrences_ = { { 0, 299999 },
                                                      { 300010, 300019 } };
  Fleet next(FleetOptions{}, fixture.now_);
  next.Handle(Tick{ WallTime(fixture.now_.time_since_epoch()), kAlways },
              fixture.now_);
  next.Handle(loaded, fixture.now_);
  const auto& entry = *next.State().jobs_.at(MakeJobId(1));
  CHECK(entry.occurrencesDone_ == 300010);
  REQUIRE(entry.occurrences_.size() <= kMostOpen);
  CHECK(entry.occurrences_.begin()->first == 300000);
  CHECK(entry.occurrences_.count(300015) == 0);
  CHECK(entry.occurrences_.count(300020) == 1);
}

TEST_CASE("each occurrence of a job that is due very often runs once")
{
  constexpr int kRepeats = 900;
  SimulatedFleet fleet(1);
  fleet.AddTargets("a", 4);
  fleet.StartOwner();
  const auto job = MakeOverdueJob(kRepeats, { 2, 1 });
  fleet.Submit(job);
  for (int owner = 0; owner < 5; ++owner) {
    fleet.RunFor(Millis(3000));
    fleet.StartOwner(PreviousOwner::HandedOver);
  }
  fleet.RunFor(Millis(60000));
  CHECK(fleet.StoredState(job.id_) == JobState::Completed);
  CHECK(fleet.Starts(job.id_) == kRepeats * 3);
  for (const auto& what : fleet.Violations()) {
    FAIL_CHECK(what);
  }
}

TEST_CASE("a job that is due very often does not hold up other jobs")
{
  SimulatedFleet fleet(1);
  fleet.AddTargets("a", 2);
  fleet.StartOwner();
  fleet.Submit(MakeOverdueJob(3000, { 4 }));
  fleet.RunFor(Millis(1000));
  for (int number = 2; number < 6; ++number) {
    auto job = MakeJob(MakeJobId(number), "a", { 8 });
    job.steps_[0].estimate_ = Millis(500);
    fleet.Submit(job);
  }
  fleet.RunFor(Millis(6000));
  CHECK(fleet.StoredState(MakeJobId(1)) == JobState::Serving);
  for (int number = 2; number < 6; ++number) {
    INFO("job " << number);
    CHECK(fleet.StoredState(MakeJobId(number)) == JobState::Completed);
  }
  fleet.RunFor(Millis(300000));
  CHECK(fleet.StoredState(MakeJobId(1)) == JobState::Completed);
}

TEST_CASE("what comes late of a closed occurrence starts and fails nothing")
{
  OneTarget fixture;
  auto job = MakeOverdueJob(3, { 1 });
  job.attempts_ = 2;
  job.interval_ = Millis(100000000); // the next ones are not due
  fixture.Deliver(JobArrived{ job });
  const auto starts = fixture.StoreAndCollect();
  REQUIRE(starts.size() == 1);
  fixture.End(starts, EndKind::Done);
  CHECK(fixture.Entry().occurrences_.empty());
  auto again = starts;
  for (int failure = 0; failure < 4; ++failure) {
    ++again[0].run_;
    fixture.End(again, EndKind::Failed);
  }
  RunningRun running;
  running.item_ = starts[0].item_;
  running.run_ = 9;
  fixture.AnswerRenewal("t", { running });
  CHECK(fixture.StoreAndCollect().empty());
  CHECK(fixture.Entry().occurrences_.empty());
  CHECK(!fixture.Entry().HasEnded());
  CHECK(fixture.fleet_.Counts().stoppedUnwanted_ == 1);
}

TEST_CASE("failures of an item that is done do not fail its job")
{
  // Runs that were given up end after the one that was done. They used up the
  // attempts.
  OneTarget fixture;
  auto job = MakeJob(MakeJobId(1), "a", { 2 });
  job.attempts_ = 2;
  fixture.Deliver(JobArrived{ job });
  const auto starts = fixture.StoreAndCollect();
  REQUIRE(starts.size() == 2);
  std::vector<StartRun> first{ starts[0] };
  fixture.End(first, EndKind::Done);
  for (int failure = 0; failure < 4; ++failure) {
    ++first[0].run_;
    fixture.End(first, EndKind::Failed);
  }
  CHECK(!fixture.Entry().HasEnded());
}

namespace {

Job
MakeJobOf(const std::string& aAccount, int aNumber, int aItems)
{
  auto job = MakeJob(MakeJobId(aNumber), "a", { aItems });
  job.account_ = aAccount;
  return job;
}

} // namespace

TEST_CASE("many jobs with many items do not fill the owner's memory")
{
  // Thirty requests of 200 bytes took their owner to 297 MB of 260.
  constexpr std::int64_t kMostItems = 5000; // of one account
  constexpr int kItems = 2000;              // of one job
  constexpr int kJobs = 30;
  OneTarget fixture;
  FleetOptions options;
  options.maxOpenItems_ = kMostItems;
  fixture.Deliver(OptionsChanged{ options });
  for (int number = 1; number <= kJobs; ++number) {
    fixture.Deliver(JobArrived{ MakeJobOf("large", number, kItems) });
    fixture.AdvanceTime(Millis(1));
  }
  CHECK(fixture.CountItems() <= kMostItems);
  fixture.Deliver(JobArrived{ MakeJobOf("other", 99, 1) });
  CHECK(!fixture.Entry(99).occurrences_.empty());
  const auto starts = fixture.StoreAndCollect();
  CHECK(fixture.Entry(kJobs).occurrences_.empty());
  CHECK(fixture.fleet_.StoredState(MakeJobId(kJobs)) == JobState::Queued);
  // As those before it end, the oldest one that waits is next.
  for (int number = 1; number < kJobs; ++number) {
    INFO("job " << number);
    CHECK(!fixture.Entry(number).occurrences_.empty());
    fixture.Deliver(JobCancelled{ MakeJobId(number) });
    std::vector<EndedRun> ended;
    for (const auto& start : starts) {
      if (start.item_.job_ == MakeJobId(number)) {
        ended.push_back(
          { ++fixture.ends_, start.item_, start.run_, EndKind::Stopped, "" });
      }
    }
    fixture.AnswerRenewal("t", {}, ended);
    fixture.AdvanceTime(Millis(2000));
    fixture.End(fixture.StoreAndCollect(), EndKind::Stopped);
    REQUIRE(fixture.CountItems() <= kMostItems + 1);
  }
  fixture.StoreAndCollect();
  CHECK(!fixture.Entry(kJobs).occurrences_.empty());
}

TEST_CASE(
  "a job beyond the limit of open items runs if its account has no other")
{
  OneTarget fixture;
  FleetOptions options;
  options.maxOpenItems_ = 3;
  fixture.Deliver(OptionsChanged{ options });
  fixture.Deliver(JobArrived{ MakeJobOf("large", 1, 8) });
  fixture.Deliver(JobArrived{ MakeJobOf("large", 2, 1) });
  const auto first = fixture.StoreAndCollect();
  REQUIRE(first.size() == 8);
  CHECK(first[0].item_.job_ == MakeJobId(1));
  fixture.End(first, EndKind::Done);
  fixture.AdvanceTime(Millis(2000));
  const auto second = fixture.StoreAndCollect();
  REQUIRE(second.size() == 1);
  CHECK(second[0].item_.job_ == MakeJobId(2));
}
