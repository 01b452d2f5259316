// The order of a pool's waiting jobs when it has too little room: the plan for
// the whole queue against the order that looks at one job at a time, each
// played in virtual time.

#include <algorithm>
#include <cmath>
#include <random>

#include <catch2/catch.hpp>

#include "scarcity/job_cost.h"

using namespace cuminbridge;

namespace {

// Times are in milliseconds, work in core-milliseconds.
struct PlayedStep
{
  double cores_ = 0; // of each item
  double expected_ = 0;
  std::vector<double> times_; // of its items
  std::size_t started_ = 0;
  std::size_t done_ = 0;
};

struct PlayedJob
{
  double arrived_ = 0;
  double objective_ = 0;
  double expectedObjective_ = 0;
  double work_ = 0;
  bool isBeyondShare_ = false;
  std::vector<PlayedStep> steps_;
  std::size_t step_ = 0;
  double ended_ = 0;
};

struct PlayedLoad
{
  double jobsPerSecond_ = 7;
  double peak_ = 4; // times the mean, from 4 to 9 s
  double steps_ = 1.6;
  double cores_ = 3.1;
  double time_ = 640;
  double estimateError_ = 0.35; // of the learned run times
  double excess_ = 0;           // fraction of jobs beyond a share
  bool hasExcess_ = true;       // false: the same load without these jobs
};

// Log-normal, at most aMax times the mean.
double
Draw(std::mt19937& aRandom, double aMean, double aSpread, double aMax)
{
  std::normal_distribution<double> normal(0, aSpread);
  return aMean *
         std::min(aMax, std::exp(normal(aRandom) - aSpread * aSpread / 2));
}

PlayedJob
DrawJob(std::mt19937& aRandom, const PlayedLoad& aLoad)
{
  PlayedJob job;
  const int steps = std::max(
    1, static_cast<int>(std::lround(Draw(aRandom, aLoad.steps_, 0.4, 2.5))));
  double chain = 0;
  double expectedChain = 0;
  for (int number = 0; number < steps; ++number) {
    PlayedStep step;
    step.cores_ = Draw(aRandom, aLoad.cores_, 0.45, 3);
    const double time = Draw(aRandom, aLoad.time_, 0.5, 2.5);
    const int items =
      std::max(1, static_cast<int>(std::lround(Draw(aRandom, 8, 0.6, 4))));
    for (int item = 0; item < items; ++item) {
      step.times_.push_back(time * Draw(aRandom, 1, 0.3, 7));
      job.work_ += step.cores_ * step.times_.back();
    }
    step.expected_ = time * Draw(aRandom, 1, aLoad.estimateError_, 5);
    chain += *std::max_element(step.times_.begin(), step.times_.end());
    expectedChain += step.expected_;
    job.steps_.push_back(std::move(step));
  }
  job.objective_ = 1.6 * chain + 600;
  job.expectedObjective_ = 1.6 * expectedChain + 600;
  return job;
}

std::vector<PlayedJob>
DrawLoad(unsigned aSeed, const PlayedLoad& aLoad)
{
  std::mt19937 random(aSeed);
  std::vector<PlayedJob> jobs;
  constexpr double kBetweenPeaks = 0.3; // times the mean
  std::exponential_distribution<double> peakGaps(aLoad.jobsPerSecond_ *
                                                 aLoad.peak_ / 1000);
  std::uniform_real_distribution<double> chance(0, 1);
  for (double now = 0; now < 12000;) {
    now += peakGaps(random);
    const bool isPeak = now >= 4000 && now < 9000;
    if (!isPeak && chance(random) > kBetweenPeaks / aLoad.peak_) {
      continue;
    }
    auto job = DrawJob(random, aLoad);
    job.arrived_ = now;
    job.isBeyondShare_ = aLoad.excess_ > 0 && chance(random) < aLoad.excess_;
    if (aLoad.hasExcess_ || !job.isBeyondShare_) {
      jobs.push_back(std::move(job));
    }
  }
  return jobs;
}

// As the owner estimates it, of what has not started or, with aIsWhole, of all.
double
WorkOf(const PlayedJob& aJob, bool aIsWhole)
{
  double work = 0;
  for (const auto& step : aJob.steps_) {
    const auto items = step.times_.size() - (aIsWhole ? 0 : step.started_);
    work += static_cast<double>(items) * step.cores_ * step.expected_;
  }
  return work;
}

double
ChainOf(const PlayedJob& aJob)
{
  double chain = 0;
  for (auto step = aJob.step_; step < aJob.steps_.size(); ++step) {
    chain += aJob.steps_[step].expected_;
  }
  return chain;
}

using Keys = std::vector<std::pair<SchedulingKey, PlayedJob*>>;

Millis
ToMillis(double aTime)
{
  return Millis(static_cast<std::int64_t>(aTime));
}

SchedulingKey
KeyOf(double aNow, const PlayedJob& aJob, double aPath)
{
  SchedulingKey key;
  key.isBeyondShare_ = aJob.isBeyondShare_;
  key.work_ = WorkOf(aJob, false);
  key.arrived_ = Instant(ToMillis(aJob.arrived_));
  const double end = aNow - aJob.arrived_ + aPath;
  key.lateness_ = end <= aJob.expectedObjective_       ? Lateness::InTime
                  : end <= 3 * aJob.expectedObjective_ ? Lateness::Late
                                                       : Lateness::Hopeless;
  return key;
}

// Each job by itself: the baseline.
Keys
OrderByWork(double aNow, const std::vector<PlayedJob*>& aWaiting)
{
  Keys keys;
  for (auto* job : aWaiting) {
    keys.emplace_back(KeyOf(aNow, *job, ChainOf(*job)), job);
  }
  return keys;
}

Keys
OrderByCost(double aNow, const std::vector<PlayedJob*>& aWaiting)
{
  Keys keys;
  QueueMeans means;
  for (auto* job : aWaiting) {
    const auto path = ShortestTime(ToMillis(ChainOf(*job)));
    keys.emplace_back(KeyOf(aNow, *job, static_cast<double>(path.count())),
                      job);
    means.work_ += WorkOf(*job, true) / static_cast<double>(aWaiting.size());
    means.criticalPath_ += ChainOf(*job) / static_cast<double>(aWaiting.size());
  }
  for (auto& [key, job] : keys) {
    if (key.lateness_ == Lateness::InTime) {
      key.rank_ =
        RankOf({ WorkOf(*job, true),
                 key.work_,
                 ToMillis(ChainOf(*job)),
                 ToMillis(job->arrived_ + job->expectedObjective_ - aNow) },
               means);
    }
  }
  return keys;
}

// Runs the jobs on targets of 32 cores.
template<typename Order>
std::vector<PlayedJob>
Play(std::vector<PlayedJob> aJobs, int aTargets, Order aOrder)
{
  constexpr double kCores = 32;
  struct End
  {
    double at_;
    PlayedJob* job_;
    std::size_t step_;
    std::size_t target_;
  };
  std::vector<End> running;
  std::vector<double> free(static_cast<std::size_t>(aTargets), kCores);
  std::size_t arrived = 0;
  std::size_t left = aJobs.size();
  for (double now = 0; left > 0; now += 5) {
    std::erase_if(running, [&](const End& aEnd) {
      if (aEnd.at_ > now) {
        return false;
      }
      auto& job = *aEnd.job_;
      auto& step = job.steps_[aEnd.step_];
      free[aEnd.target_] += step.cores_;
      if (++step.done_ == step.times_.size() &&
          ++job.step_ == job.steps_.size()) {
        job.ended_ = now;
        --left;
      }
      return true;
    });
    while (arrived < aJobs.size() && aJobs[arrived].arrived_ <= now) {
      ++arrived;
    }
    std::vector<PlayedJob*> waiting;
    for (std::size_t index = 0; index < arrived; ++index) {
      auto& job = aJobs[index];
      if (job.step_ < job.steps_.size() &&
          job.steps_[job.step_].started_ <
            job.steps_[job.step_].times_.size()) {
        waiting.push_back(&job);
      }
    }
    auto keys = aOrder(now, waiting);
    std::stable_sort(
      keys.begin(), keys.end(), [](const auto& aLeft, const auto& aRight) {
        return IsScheduledBefore(aLeft.first, aRight.first);
      });
    for (auto& [key, job] : keys) {
      auto& step = job->steps_[job->step_];
      while (step.started_ < step.times_.size()) {
        auto best = free.end();
        for (auto target = free.begin(); target != free.end(); ++target) {
          if (*target >= step.cores_ &&
              (best == free.end() || *target < *best)) {
            best = target;
          }
        }
        if (best == free.end()) {
          break;
        }
        *best -= step.cores_;
        running.push_back({ now + step.times_[step.started_],
                            job,
                            job->step_,
                            static_cast<std::size_t>(best - free.begin()) });
        ++step.started_;
      }
    }
  }
  return aJobs;
}

// What callers get: shares of all jobs, and of the largest tenth alone.
struct Served
{
  double inTime_ = 0;
  double late_ = 0;
  double hopeless_ = 0;
  double workInTime_ = 0;    // of all work
  double largestInTime_ = 0; // of the largest tenth of the jobs
  double othersInTime_ = 0;  // of the jobs within their share
};

Served
CountServed(std::vector<PlayedJob> aJobs)
{
  std::sort(aJobs.begin(),
            aJobs.end(),
            [](const PlayedJob& aLeft, const PlayedJob& aRight) {
              return aLeft.work_ > aRight.work_;
            });
  Served served;
  double work = 0;
  double others = 0;
  const auto count = static_cast<double>(aJobs.size());
  const auto largest = std::max<std::size_t>(1, aJobs.size() / 10);
  for (std::size_t index = 0; index < aJobs.size(); ++index) {
    const auto& job = aJobs[index];
    const double took = (job.ended_ - job.arrived_) / job.objective_;
    work += job.work_;
    others += job.isBeyondShare_ ? 0 : 1;
    if (took <= 1) {
      served.inTime_ += 1 / count;
      served.workInTime_ += job.work_;
      served.othersInTime_ += job.isBeyondShare_ ? 0 : 1;
      served.largestInTime_ +=
        index < largest ? 1.0 / static_cast<double>(largest) : 0;
    } else {
      (took <= 3 ? served.late_ : served.hopeless_) += 1 / count;
    }
  }
  served.workInTime_ /= work;
  served.othersInTime_ /= others;
  return served;
}

template<typename Order>
Served
PlaySeeds(const PlayedLoad& aLoad, int aTargets, Order aOrder)
{
  constexpr int kSeeds = 12;
  Served mean;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    const auto served = CountServed(
      Play(DrawLoad(static_cast<unsigned>(seed), aLoad), aTargets, aOrder));
    mean.inTime_ += served.inTime_ / kSeeds;
    mean.late_ += served.late_ / kSeeds;
    mean.hopeless_ += served.hopeless_ / kSeeds;
    mean.workInTime_ += served.workInTime_ / kSeeds;
    mean.largestInTime_ += served.largestInTime_ / kSeeds;
    mean.othersInTime_ += served.othersInTime_ / kSeeds;
  }
  return mean;
}

} // namespace

TEST_CASE("a peak of five times the mean of small jobs: more are in time, and "
          "more of the largest")
{
  for (const double peak : { 4.0, 5.0, 6.0, 8.0 }) {
    PlayedLoad load;
    load.peak_ = peak;
    const auto byWork = PlaySeeds(load, 21, OrderByWork);
    const auto byCost = PlaySeeds(load, 21, OrderByCost);
    INFO("peak " << peak);
    CHECK(byCost.inTime_ > byWork.inTime_);
    CHECK(byCost.workInTime_ > byWork.workInTime_ + 0.01);
    CHECK(byCost.largestInTime_ > byWork.largestInTime_);
    CHECK(byCost.hopeless_ <= byWork.hopeless_);
  }
}

TEST_CASE("a burst of large jobs: more are in time")
{
  PlayedLoad load;
  load.jobsPerSecond_ = 1.1;
  load.steps_ = 2;
  load.cores_ = 6.7;
  load.time_ = 2100;
  load.estimateError_ = 0.2;
  for (const double peak : { 5.0, 6.0, 8.0 }) {
    load.peak_ = peak;
    const auto byWork = PlaySeeds(load, 21, OrderByWork);
    const auto byCost = PlaySeeds(load, 21, OrderByCost);
    INFO("peak " << peak);
    CHECK(byCost.inTime_ > byWork.inTime_);
    CHECK(byCost.workInTime_ > byWork.workInTime_);
  }
}

TEST_CASE("a hot account: the jobs of the others are in time before its excess")
{
  PlayedLoad load;
  load.peak_ = 6;
  load.excess_ = 0.4;
  const auto byWork = PlaySeeds(load, 21, OrderByWork);
  const auto byCost = PlaySeeds(load, 21, OrderByCost);
  CHECK(byCost.othersInTime_ >= byWork.othersInTime_);
  load.hasExcess_ = false;
  const auto alone = PlaySeeds(load, 21, OrderByCost);
  CHECK(byCost.othersInTime_ > alone.othersInTime_ - 0.05);
}

TEST_CASE("a job with time left gives way, and one that was begun is finished")
{
  const QueueMeans means{ 1000, 1000 };
  const WaitingJob urgent{ 1000, 1000, Millis(1000), Millis(1100) };
  auto patient = urgent;
  patient.untilObjective_ = Millis(4000);
  CHECK(RankOf(urgent, means) < RankOf(patient, means));
  auto begun = urgent;
  begun.workLeft_ = 500;
  CHECK(RankOf(begun, means) < RankOf(urgent, means));
  // A job of four times the work may go first once it has less time.
  WaitingJob large{ 4000, 4000, Millis(1000), Millis(1100) };
  CHECK(RankOf(urgent, means) < RankOf(large, means));
  CHECK(RankOf(large, means) < RankOf(patient, means));
}
