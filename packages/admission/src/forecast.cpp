// Forecasts the start and the end of a new job, and decides on its admission.

#include "cuminbridge/admission.h"

#include <algorithm>
#include <cmath>

namespace cuminbridge {

namespace {

constexpr double kThousandths = 1000;
constexpr double kMinRuns = 12; // as for the order of waiting work
// Run times are log-normal with a tail. This many standard deviations leave out
// about one item in 40.
constexpr double kSurelyDeviations = 2;
// Part of the work ahead of a job that surely has to be done before it: some of
// it is cancelled, ends early, or lets the job overtake it.
constexpr double kSurePart = 0.5;

Millis
ToMillis(double aValue)
{
  constexpr double kLongest = 1e9;
  return Millis(static_cast<std::int64_t>(std::clamp(aValue, 0.0, kLongest)));
}

// Time until aWork is done, with the pool's capacity now and that of lendable
// VMs once they have moved.
std::optional<Millis>
TimeFor(const PoolBacklog& aBacklog, double aWork, std::int64_t aLendableCpu)
{
  const auto cores =
    static_cast<double>(aBacklog.usableCpu_ + aBacklog.incomingCpu_) /
    kThousandths;
  const auto later = cores + static_cast<double>(aLendableCpu) / kThousandths;
  const auto moveTime = static_cast<double>(aBacklog.moveTime_.count());
  if (later <= 0) {
    return std::nullopt;
  }
  return aWork <= cores * moveTime
           ? ToMillis(cores > 0 ? aWork / cores : 0)
           : ToMillis(moveTime + (aWork - cores * moveTime) / later);
}

std::optional<Millis>
LongestChain(const RunTimeModel& aModel, const Job& aJob, double aDeviations)
{
  std::vector<Millis> ends(aJob.steps_.size(), Millis(0));
  Millis longest(0);
  for (std::size_t step = 0; step < aJob.steps_.size(); ++step) {
    const auto runTime =
      RunTimeAt(aModel, aJob.steps_[step].estimate_, aDeviations);
    if (!runTime) {
      return std::nullopt;
    }
    for (const int before : aJob.steps_[step].after_) {
      ends[step] = std::max(ends[step], ends[static_cast<std::size_t>(before)]);
    }
    ends[step] += *runTime;
    longest = std::max(longest, ends[step]);
  }
  return longest;
}

double
WorkOf(const RunTimeModel& aModel, const Job& aJob)
{
  double work = 0;
  for (const auto& step : aJob.steps_) {
    const auto runTime = RunTimeAt(aModel, step.estimate_, 0);
    work += step.count_ * static_cast<double>(step.needs_.cpu_) / kThousandths *
            static_cast<double>(runTime.value_or(step.estimate_).count());
  }
  return work;
}

// A lower bound of the waiting work that goes before the job: that of the
// largest rank that is no larger than the job.
double
WorkAhead(const PoolBacklog& aBacklog, const Job& aJob, double aWork)
{
  const bool isBeyondShare = aBacklog.beyondShare_.count(aJob.account_) != 0;
  double ahead = 0;
  for (const auto& rank : aBacklog.ranks_) {
    if (rank.priority_ == aJob.priority_ &&
        rank.isBeyondShare_ == isBeyondShare && rank.work_ <= aWork) {
      ahead = std::max(ahead, rank.ahead_);
    }
  }
  return ahead;
}

// Whether some target, here or in another cell, has room for an item that the
// job begins with.
bool
HasRoomNow(const PoolBacklog& aBacklog, const Job& aJob)
{
  const auto free = std::max(aBacklog.largestFreeCpu_, aBacklog.peerFreeCpu_);
  return std::any_of(
    aJob.steps_.begin(), aJob.steps_.end(), [&](const Step& aStep) {
      return aStep.after_.empty() && aStep.needs_.cpu_ <= free;
    });
}

Millis
Objective(const Job& aJob, Millis aChain)
{
  return ToMillis(aJob.stretch_ * static_cast<double>(aChain.count())) +
         aJob.allowance_;
}

} // namespace

std::optional<Millis>
RunTimeAt(const RunTimeModel& aModel, Millis aEstimate, double aDeviations)
{
  if (aModel.runs_ < kMinRuns) {
    return std::nullopt;
  }
  const double spread = aModel.takenVariance_;
  const double error = aModel.errorVariance_;
  double likely = aModel.takenMean_;
  double variance = spread;
  if (aEstimate.count() > 0 && spread + error > 0) {
    const double weight = spread / (spread + error);
    const double corrected =
      std::log(static_cast<double>(aEstimate.count())) - aModel.errorMean_;
    likely += weight * (corrected - aModel.takenMean_);
    variance = weight * error;
  }
  return ToMillis(
    std::max(1.0, std::exp(likely + aDeviations * std::sqrt(variance))));
}

std::optional<JobForecast>
ForecastJob(const PoolBacklog& aBacklog,
            const Job& aJob,
            const AdmissionTimes& aTimes)
{
  const auto model = aBacklog.runTimes_.find(aJob.queue_);
  if (model == aBacklog.runTimes_.end()) {
    return std::nullopt;
  }
  const auto chain = LongestChain(model->second, aJob, 0);
  const auto longChain = LongestChain(model->second, aJob, kSurelyDeviations);
  if (!chain || !longChain) {
    return std::nullopt;
  }
  const double work = WorkOf(model->second, aJob);
  const double ahead = aBacklog.runningWork_ + WorkAhead(aBacklog, aJob, work);
  const auto start = TimeFor(aBacklog, ahead, 0);
  const auto earliest =
    TimeFor(aBacklog, kSurePart * ahead, aBacklog.lendableCpu_);
  if (!start || !earliest) {
    return std::nullopt;
  }
  const bool hasRoom = HasRoomNow(aBacklog, aJob);
  // The pool has gone on working since the count.
  const auto left = [&](Millis aWait) {
    return hasRoom ? Millis(0)
                   : std::max(Millis(0), aWait - aTimes.backlogAge_);
  };
  JobForecast forecast;
  forecast.start_ = left(*start);
  forecast.end_ = forecast.start_ + *chain;
  forecast.objective_ = Objective(aJob, *chain);
  forecast.earliestStart_ = left(*earliest);
  forecast.latestUsefulStart_ = kWorthlessFactor * Objective(aJob, *longChain) -
                                *longChain - aTimes.waited_;
  return forecast;
}

bool
HasObjective(const Job& aJob)
{
  return aJob.repeats_ == 0 &&
         (aJob.stretch_ > 0 || aJob.allowance_.count() > 0) &&
         std::none_of(
           aJob.steps_.begin(), aJob.steps_.end(), [](const Step& aStep) {
             return aStep.isLongRunning_ || aStep.isFiller_;
           });
}

AdmissionDecision
DecideAdmission(const PoolBacklog& aBacklog,
                const Job& aJob,
                const AdmissionTimes& aTimes)
{
  AdmissionDecision decision;
  if (!HasObjective(aJob)) {
    return decision;
  }
  decision.forecast_ = ForecastJob(aBacklog, aJob, aTimes);
  if (!decision.forecast_) {
    return decision;
  }
  const auto& forecast = *decision.forecast_;
  decision.isAdmitted_ =
    forecast.earliestStart_ <= forecast.latestUsefulStart_ ||
    HasRoomNow(aBacklog, aJob);
  const auto slack = forecast.objective_ - (forecast.end_ - forecast.start_);
  decision.retryAfter_ = decision.isAdmitted_
                           ? Millis(0)
                           : std::max(Millis(0), forecast.start_ - slack);
  return decision;
}

} // namespace cuminbridge
