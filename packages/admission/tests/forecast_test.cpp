// Who is admitted while a pool is short, and what the others are told.

#include <catch2/catch.hpp>

#include "cuminbridge/admission.h"

using namespace cuminbridge;

namespace {

constexpr std::int64_t kCore = 1000;

// Run times around 640 ms, estimates without error.
RunTimeModel
MakeModel()
{
  return { 200, 6.46, 0.04, 0, 0.01 };
}

// 100 cores, all busy, with aSeconds of work for them waiting ahead of every
// new job of priority 1.
PoolBacklog
MakeBacklog(double aSeconds)
{
  PoolBacklog backlog;
  backlog.pool_ = "alerts";
  backlog.usableCpu_ = 100 * kCore;
  backlog.largestFreeCpu_ = 500;
  backlog.moveTime_ = Millis(1500);
  backlog.waitingWork_ = aSeconds * 100 * 1000;
  backlog.waitingItems_ = static_cast<std::int64_t>(aSeconds * 100);
  backlog.ranks_ = { { 1, false, 0, aSeconds * 100 * 1000 },
                     { 1, true, 0, 2 * aSeconds * 100 * 1000 } };
  backlog.runTimes_ = { { "swarm", MakeModel() } };
  return backlog;
}

// Its objective is 640 ms x 2 + 600 ms.
Job
MakeJob()
{
  Job job;
  job.queue_ = "swarm";
  job.account_ = "small";
  job.priority_ = 1;
  job.stretch_ = 2;
  job.allowance_ = Millis(600);
  Step step;
  step.count_ = 8;
  step.needs_ = { 3 * kCore, 64, 0 };
  step.estimate_ = Millis(640);
  job.steps_ = { step };
  return job;
}

bool
IsAdmitted(const PoolBacklog& aBacklog,
           const Job& aJob,
           AdmissionTimes aTimes = {})
{
  return DecideAdmission(aBacklog, aJob, aTimes).isAdmitted_;
}

} // namespace

TEST_CASE("a job that surely ends after three objectives is rejected")
{
  CHECK(IsAdmitted(MakeBacklog(0), MakeJob()));
  // 8 s of work ahead. The job would be late, but not surely worthless.
  CHECK(IsAdmitted(MakeBacklog(8), MakeJob()));
  const auto decision = DecideAdmission(MakeBacklog(40), MakeJob(), {});
  CHECK(!decision.isAdmitted_);
  // Its caller returns when the pool is expected to run it in time.
  CHECK(decision.retryAfter_ > Millis(37000));
  CHECK(decision.retryAfter_ < Millis(40000));
  CHECK(decision.forecast_->earliestStart_ == Millis(20000));
}

TEST_CASE("no job is rejected while a target could take it")
{
  // As after a peak: much work is still listed as waiting.
  auto backlog = MakeBacklog(40);
  backlog.largestFreeCpu_ = 3 * kCore;
  CHECK(IsAdmitted(backlog, MakeJob()));
  backlog = MakeBacklog(40);
  backlog.peerFreeCpu_ = 3 * kCore; // the job can go to another cell
  CHECK(IsAdmitted(backlog, MakeJob()));
  backlog = MakeBacklog(40);
  backlog.lendableCpu_ = 900 * kCore; // idle VMs of other pools
  CHECK(IsAdmitted(backlog, MakeJob()));
  backlog = MakeBacklog(40);
  backlog.usableCpu_ = 0; // no target is known: an owner has just begun
  CHECK(IsAdmitted(backlog, MakeJob()));
}

TEST_CASE("jobs are admitted until their run times are known")
{
  auto backlog = MakeBacklog(40);
  backlog.runTimes_["swarm"].runs_ = 5;
  CHECK(IsAdmitted(backlog, MakeJob()));
  backlog.runTimes_.clear();
  CHECK(IsAdmitted(backlog, MakeJob()));
}

TEST_CASE("a job beyond its account's share is rejected before one within")
{
  auto backlog = MakeBacklog(8);
  backlog.beyondShare_ = { "hot" };
  auto hot = MakeJob();
  hot.account_ = "hot";
  CHECK(IsAdmitted(backlog, MakeJob()));
  CHECK(!IsAdmitted(backlog, hot));
}

TEST_CASE("a job of higher priority does not wait for others")
{
  auto urgent = MakeJob();
  urgent.priority_ = 0;
  CHECK(IsAdmitted(MakeBacklog(40), urgent));
}

TEST_CASE("an older backlog and a longer wait count")
{
  // The longest likely chain takes 765 ms, so the job is worthless if it starts
  // after 3 x (2 x 765 + 600) - 765 ms = 5.6 s. Half of the work ahead is sure.
  CHECK(IsAdmitted(MakeBacklog(10), MakeJob()));
  CHECK(!IsAdmitted(MakeBacklog(10), MakeJob(), { Millis(0), Millis(3000) }));
  CHECK(!IsAdmitted(MakeBacklog(12), MakeJob()));
  CHECK(IsAdmitted(MakeBacklog(12), MakeJob(), { Millis(1000), Millis(0) }));
}

TEST_CASE("jobs without an objective are admitted")
{
  auto lasting = MakeJob();
  lasting.steps_[0].isLongRunning_ = true;
  CHECK(IsAdmitted(MakeBacklog(40), lasting));
  auto scheduled = MakeJob();
  scheduled.repeats_ = 3;
  CHECK(IsAdmitted(MakeBacklog(40), scheduled));
}

TEST_CASE("in a peak, admission spares callers a useless wait and loses no job")
{
  // For 20 s a pool of 100 cores gets 25 jobs a second of 15 core-seconds each,
  // first come first served, then nothing. Compared with admitting all.
  const auto play = [](bool aIsControlled) {
    struct Result
    {
      int useful_ = 0;
      int useless_ = 0;
      int rejected_ = 0;
    } result;
    const auto job = MakeJob();
    const auto worthless = 3 * 1880.0 - 640; // latest useful start, ms
    double queued = 0;                       // core-ms
    for (int now = 0; now < 20000; now += 40) {
      const double wait = queued / 100;
      const bool isAdmitted =
        !aIsControlled || IsAdmitted(MakeBacklog(wait / 1000), job);
      result.rejected_ += isAdmitted ? 0 : 1;
      if (isAdmitted) {
        (wait <= worthless ? result.useful_ : result.useless_) += 1;
        queued += 15360;
      }
      queued = std::max(0.0, queued - 40 * 100);
    }
    return result;
  };
  const auto all = play(false);
  const auto controlled = play(true);
  CHECK(all.rejected_ == 0);
  CHECK(controlled.useful_ >= all.useful_);
  CHECK(controlled.useless_ < all.useless_ / 2);
}

TEST_CASE("a backlog report is decoded as it was encoded")
{
  auto backlog = MakeBacklog(8);
  backlog.beyondShare_ = { "hot" };
  backlog.runningWork_ = 12000;
  const BacklogReport report{ 3, 17, { backlog } };
  CHECK(DecodeBacklogReport(EncodeBacklogReport(report)) == report);
  CHECK(!DecodeBacklogReport("damaged"));
  CHECK(!DecodeBacklogReport(R"({"term":3,"version":1,"pools":[{}]})"));
}
