// Starts whose answer is still on its way when their target's process turns out
// to have ended.

#include <algorithm>
#include <random>

#include <catch2/catch.hpp>

#include "replaced_process.h"
#include "seeds.h"

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
  CHECK(fixture.fleet_.StoredState(kFirst.job_) == JobState::Queued);
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

namespace {

// Six targets that nobody has called for a while, as nothing runs there. The
// second item was started on one of them.
struct SixIdleTargets : SixTargets
{
  SixIdleTargets()
  {
    Renew("t", { MakeRunning(kFirst, 1) });
    ConfirmStart(kFirst, 1);
    Deliver(JobCancelled{ kFirst.job_ });
    Renew("t");
    Wait(Millis(2000));
    Collect();
    Submit(kSecond);
    start_ = TakeStarts().at(0);
  }

  // The starts and the probed targets of a short time in which nothing answers.
  std::vector<StartRun> TakeStarts()
  {
    std::vector<StartRun> starts;
    probed_.clear();
    for (int round = 0; round < 10; ++round) {
      for (const auto& effect : fleet_.TakeEffects()) {
        if (const auto* start = std::get_if<StartRun>(&effect)) {
          starts.push_back(*start);
        } else if (const auto* store = std::get_if<StoreProgress>(&effect)) {
          Deliver(ProgressStored{ store->batch_ });
        } else if (const auto* renewal = std::get_if<RenewTarget>(&effect)) {
          if (renewal->target_ != start_.target_) {
            probed_.insert(renewal->target_);
          }
        }
      }
      Wait(Millis(10));
    }
    return starts;
  }

  // The start has got no answer, and another process is found at the address.
  void LoseStart()
  {
    Wait(Millis(600));
    Deliver(StartAnswered{ start_.target_,
                           start_.item_,
                           start_.run_,
                           StartOutcome::Unknown,
                           0,
                           now_ - Millis(600) });
    ShowReplaced(start_.target_);
  }

  const ItemState& Second() const
  {
    return fleet_.State()
      .jobs_.at(kSecond.job_)
      ->occurrences_.at(0)
      .steps_[0]
      .items_[0];
  }

  StartRun start_; // last one
  std::set<std::string> probed_;
};

} // namespace

TEST_CASE(
  "a job is not given up after starts on targets that were silent before")
{
  // Four silent targets counted as four crashes of five; the first target that
  // ran the item was the fifth, and its end failed the job.
  SixIdleTargets fixture;
  fixture.LoseStart();
  REQUIRE(fixture.Second().crashes_.size() == 1);
  CHECK(fixture.Second().crashes_[0].kind_ == CrashKind::Unreached);
  std::set<std::string> silent = { fixture.start_.target_ };
  while (silent.size() < 5) {
    CHECK(fixture.TakeStarts().empty());
    REQUIRE(!fixture.probed_.empty());
    for (const auto& id : std::set<std::string>(fixture.probed_)) {
      if (silent.size() < 5 && silent.insert(id).second) {
        fixture.LoseContact(id);
      }
    }
  }
  for (const char* id : { "t", "u", "v", "w", "x", "y" }) {
    if (silent.count(id) == 0) {
      fixture.Renew(id);
    }
  }
  const auto starts = fixture.TakeStarts();
  REQUIRE(starts.size() == 1);
  CHECK(silent.count(starts[0].target_) == 0);
  fixture.start_ = starts[0];
  fixture.ConfirmStart(kSecond, starts[0].run_, starts[0].target_);
  fixture.ShowReplaced(starts[0].target_);
  CHECK(fixture.Second().crashes_.size() == 2);
  CHECK(fixture.fleet_.StoredState(kSecond.job_) == JobState::Serving);
}

TEST_CASE("an item whose starts are never answered starts five times at most")
{
  // Its targets were known to live just before, all but the first.
  SixIdleTargets fixture;
  int starts = 1;
  for (int round = 0; round < 40; ++round) {
    fixture.LoseStart();
    for (const char* id : { "t", "u", "v", "w", "x", "y" }) {
      fixture.Renew(id);
    }
    const auto next = fixture.TakeStarts();
    starts += static_cast<int>(next.size());
    if (!next.empty()) {
      fixture.start_ = next[0];
    }
  }
  CHECK(starts <= 5);
  CHECK(fixture.fleet_.StoredState(kSecond.job_) == JobState::Failed);
}

TEST_CASE(
  "after an unanswered start, a pool without any contact is not blocked")
{
  // The next start waits for one answer, not for all of the targets.
  SixIdleTargets fixture;
  fixture.LoseStart();
  CHECK(fixture.TakeStarts().empty());
  REQUIRE(!fixture.probed_.empty());
  fixture.Renew(*fixture.probed_.begin());
  CHECK(fixture.TakeStarts().size() == 1);
}

TEST_CASE("random histories with targets that fall silent together")
{
  // Idle ones end without a word just before jobs come; some jobs end the
  // targets that start them, at times before these have answered.
  const auto seeds = ReadSeeds(150);
  for (unsigned seed = seeds.first_; seed < seeds.end_; ++seed) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    const auto draw = [&](int aLeast, int aMost) {
      return std::uniform_int_distribution<int>(aLeast, aMost)(random);
    };
    SimulatedFaults faults;
    faults.lostAnswer_ = seed % 3 == 0 ? 0.3 : 0;
    SimulatedFleet fleet(seed, faults);
    fleet.AddTargets("a", draw(6, 9));
    fleet.StartOwner();
    fleet.RunFor(Millis(1000));
    constexpr int kJobs = 6;
    for (int job = 0; job < kJobs; ++job) {
      if (draw(0, 3) == 0) {
        fleet.MakeDeadly({ MakeJobId(job), 0, 0, 0 });
      }
      auto ids = fleet.TargetIds();
      std::shuffle(ids.begin(), ids.end(), random);
      ids.resize(static_cast<std::size_t>(draw(0, 5)));
      for (const auto& id : ids) {
        fleet.PartitionTarget(id, Millis(draw(1000, 4000)));
        fleet.CrashTarget(id);
      }
      fleet.RunFor(Millis(draw(0, 300)));
      fleet.Submit(MakeJob(MakeJobId(job), "a", { draw(1, 3) }));
      fleet.RunFor(Millis(draw(200, 4000)));
    }
    fleet.RunFor(Millis(60000));
    for (const auto& what : fleet.Violations()) {
      FAIL_CHECK(what);
    }
    for (int job = 0; job < kJobs; ++job) {
      const auto state = fleet.StoredState(MakeJobId(job));
      CHECK((state == JobState::Completed || state == JobState::Failed));
    }
  }
}
