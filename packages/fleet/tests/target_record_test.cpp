// Whether slow targets are told from long runs. The load: jobs of eight like
// items in one step; the jobs of a queue run usually long, but 3 of 100 run
// seven times as long.

#include <catch2/catch.hpp>

#include <cmath>
#include <random>

#include "reducer_fixture.h"
#include "target_record/run_tail.h"
#include "target_record/target_record.h"

using namespace cuminbridge;

namespace {

constexpr int kItems = 8;
constexpr Millis kUsual(700); // MakeJob()'s estimate

// Run time / usual run time of a job's items.
double
DrawRatio(std::mt19937& aRandom)
{
  std::lognormal_distribution<double> usual(0, 0.5);
  std::bernoulli_distribution isLong(0.03);
  return usual(aRandom) * (isLong(aRandom) ? 7 : 1);
}

// Two targets of a pool, "busy" and "idle".
struct BusyPool : ReducerFixture
{
  BusyPool()
  {
    JobsLoaded loaded;
    loaded.previousOwner_ = PreviousOwner::HandedOver;
    Deliver(loaded);
    FleetConfig config;
    config.version_ = 1;
    config.pools_.push_back({ "a" }); // rejects what does not fit
    Deliver(ConfigSeen{ config });
    AddTarget("busy");
  }

  void AddTarget(const std::string& aId)
  {
    auto report = MakeReport(aId);
    report.capacity_ = { 100000, 100000, 0 };
    reports_.push_back(report);
    Deliver(TargetsSeen{ reports_ });
    AnswerRenewal(aId, {});
    Settle();
  }

  // Answers calls until there are none. Runs that start are added to running_.
  void Settle()
  {
    constexpr int kTicks = 10;
    for (int tick = 0; tick < kTicks; ++tick) {
      AdvanceTime(Millis(10));
      for (const auto& effect : fleet_.TakeEffects()) {
        if (const auto* start = std::get_if<StartRun>(&effect)) {
          AnswerStart(*start);
        } else if (const auto* batch = std::get_if<StoreProgress>(&effect)) {
          Deliver(ProgressStored{ batch->batch_ });
        }
      }
    }
  }

  void AnswerStart(const StartRun& aStart)
  {
    RunningRun run;
    run.item_ = aStart.item_;
    run.run_ = aStart.run_;
    running_.push_back(run);
    StartAnswered answer;
    answer.target_ = aStart.target_;
    answer.item_ = aStart.item_;
    answer.run_ = aStart.run_;
    answer.outcome_ = StartOutcome::Started;
    answer.sentAt_ = now_;
    Deliver(answer);
  }

  void StartJob(int aNumber)
  {
    Deliver(JobArrived{ MakeJob(MakeJobId(aNumber), "a", { kItems }) });
    Settle();
  }

  // All runs are done.
  void Finish()
  {
    std::vector<EndedRun> ended;
    for (const auto& run : running_) {
      EndedRun end;
      end.number_ = ++ends_;
      end.item_ = run.item_;
      end.run_ = run.run_;
      end.kind_ = EndKind::Done;
      ended.push_back(end);
    }
    running_.clear();
    AnswerRenewal("busy", {}, ended);
    Settle();
  }

  // Jobs that take the usual time, one after the other.
  void RunUsualJobs(int aJobs)
  {
    for (int number = 1; number <= aJobs; ++number) {
      StartJob(number);
      AdvanceTime(kUsual);
      Finish();
    }
    fleet_.TakeEffects();
  }

  // The runs have made this much progress. Returns how many are stopped.
  int ListProgress(int aPercent)
  {
    for (auto& run : running_) {
      run.percent_ = aPercent;
    }
    AnswerRenewal("busy", running_);
    return CountEffects<StopRun>();
  }

  std::vector<TargetReport> reports_;
  std::vector<RunningRun> running_;
  std::int64_t ends_ = 0;
};

} // namespace

TEST_CASE("items of a long job stay on their target")
{
  BusyPool pool;
  pool.RunUsualJobs(40);
  pool.StartJob(50);
  REQUIRE(pool.running_.size() == kItems);
  pool.AddTarget("idle");
  pool.AdvanceTime(2 * kUsual);
  CHECK(pool.ListProgress(28) == 0); // seven times the usual time
}

TEST_CASE("items of several jobs leave a target that is slow for all of them")
{
  BusyPool pool;
  pool.RunUsualJobs(40);
  for (int number = 50; number < 54; ++number) {
    pool.StartJob(number);
  }
  REQUIRE(pool.running_.size() == std::size_t{ 4 * kItems });
  pool.AddTarget("idle");
  pool.AdvanceTime(2 * kUsual);
  CHECK(pool.ListProgress(28) == 4 * kItems);
}

TEST_CASE("a single job without any progress leaves its target")
{
  BusyPool pool;
  pool.RunUsualJobs(40);
  pool.StartJob(50);
  pool.AddTarget("idle");
  pool.AdvanceTime(2 * kUsual);
  CHECK(pool.ListProgress(0) == kItems);
}

TEST_CASE("few usual targets and most slow ones count as slow")
{
  std::mt19937 random(1);
  RunTail tail;
  for (int run = 0; run < 2000; ++run) {
    tail.Learn(kUsual,
               std::chrono::duration_cast<Millis>(DrawRatio(random) * kUsual));
  }
  REQUIRE(tail.IsLearned());
  const auto countSlow = [&](double aSlowdown) {
    int slow = 0;
    for (int target = 0; target < 1000; ++target) {
      std::vector<Delivery> deliveries;
      for (int job = 0; job < 5; ++job) {
        const double chance =
          tail.ChanceOfLonger(aSlowdown * DrawRatio(random));
        // The items of a job run equally long.
        deliveries.insert(deliveries.end(), kItems, { MakeJobId(job), chance });
      }
      slow += ChanceOfUsualSpeed(deliveries) < kSlowChance ? 1 : 0;
    }
    return slow;
  };
  CHECK(countSlow(1) <= 10);
  CHECK(countSlow(5) >= 900);
}

TEST_CASE("what a target has just completed counts against a long run there")
{
  const Instant now(Millis(1000000));
  const std::vector<Delivery> longRun = { { "long", 0.004 } };
  CHECK(ChanceOfUsualSpeed(longRun) < kSlowChance);
  TargetRecord record;
  for (const char* job : { "1", "2", "3" }) {
    record.Add({ job, 0.6 }, now);
  }
  auto deliveries = longRun;
  record.CollectRecent(now + Millis(500), deliveries);
  CHECK(ChanceOfUsualSpeed(deliveries) > kSlowChance);
  deliveries = longRun;
  record.CollectRecent(now + Millis(5000), deliveries); // may have turned slow
  CHECK(deliveries == longRun);
}

TEST_CASE("a tail that has not been seen stays possible")
{
  RunTail tail;
  CHECK_FALSE(tail.IsLearned());
  for (int run = 0; run < 100; ++run) {
    tail.Learn(kUsual, kUsual);
  }
  CHECK(tail.IsLearned());
  CHECK(tail.ChanceOfLonger(0.5) > 0.9);
  CHECK(tail.ChanceOfLonger(7) > kSlowChance);
  CHECK(tail.ChanceOfLonger(100) < kSlowChance);
  CHECK(tail.ChanceOfLonger(1e9) > 0);
}
