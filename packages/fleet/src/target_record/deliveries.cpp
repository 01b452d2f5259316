// What the runs on targets show about the speed of the targets.

#include "target_record/deliveries.h"

#include <algorithm>

#include "jobs.h"

namespace cuminbridge {

namespace {

bool
DependsOnTargetOnly(const Run& aRun, const Step& aStep)
{
  return !aRun.isLongRunning_ && !aRun.isFiller_ && !aStep.isGang_ &&
         !aStep.prefersSameRack_;
}

double
SlowdownFor(const FleetState& aState, const Target& aTarget, const Step& aStep)
{
  const bool isRemote =
    !aStep.dataRack_.empty() && aStep.dataRack_ != aTarget.report_.rack_;
  return isRemote ? aState.options_.remoteFactor_ : 1;
}

Millis
Scale(double aFactor, Millis aTime)
{
  return std::chrono::duration_cast<Millis>(aFactor * aTime);
}

// The items of a step are alike, so their run times tell more than the
// estimate.
bool
HasPeers(const StepState& aStep)
{
  return aStep.runsTimed_ > 0;
}

Millis
ExpectedOn(const FleetState& aState, const Target& aTarget, const ItemRef& aRef)
{
  const auto expected = HasPeers(*aRef.step_)
                          ? aRef.step_->timeOfRuns_ / aRef.step_->runsTimed_
                          : ExpectedRunTime(aState, *aRef.job_, *aRef.spec_);
  return Scale(SlowdownFor(aState, aTarget, *aRef.spec_), expected);
}

// What is known of the ratios of run times to ExpectedOn(). Without enough runs
// to compare with peers, or of the queue, a wider distribution stands in.
const RunTail&
TailOf(FleetState& aState, const ItemRef& aRef)
{
  const auto& tails = aState.runTails_[aRef.job_->job_.queue_];
  if (HasPeers(*aRef.step_) && tails.beyondPeers_.IsLearned()) {
    return tails.beyondPeers_;
  }
  return tails.beyondEstimate_.IsLearned() ? tails.beyondEstimate_
                                           : aState.commonRunTail_;
}

double
Ratio(Millis aTaken, Millis aExpected)
{
  return static_cast<double>(aTaken.count()) /
         static_cast<double>(std::max<std::int64_t>(1, aExpected.count()));
}

// The time that the whole run takes at least if it goes on as so far.
Millis
LeastWholeTime(const RunProgress& aRun)
{
  constexpr int kAll = 100;
  // Targets round percentages down.
  const int done = std::min(kAll, aRun.percent_ - aRun.firstPercent_ + 1);
  return aRun.age_ * kAll / std::max(1, done);
}

} // namespace

void
NoteDelivery(FleetState& aState,
             Target& aTarget,
             const Run& aRun,
             const ItemRef& aRef)
{
  if (!DependsOnTargetOnly(aRun, *aRef.spec_)) {
    return;
  }
  const auto taken =
    std::chrono::duration_cast<Millis>(aState.now_ - aRun.sentAt_);
  const auto expected = ExpectedOn(aState, aTarget, aRef);
  aTarget.record_.Add(
    { aRef.job_->job_.id_,
      TailOf(aState, aRef).ChanceOfLonger(Ratio(taken, expected)) },
    aState.now_);
  if (aTarget.slowUntil_ > aState.now_) {
    return; // its run times are not usual ones
  }
  auto& tails = aState.runTails_[aRef.job_->job_.queue_];
  const auto slowdown = SlowdownFor(aState, aTarget, *aRef.spec_);
  const auto estimated =
    Scale(slowdown, ExpectedRunTime(aState, *aRef.job_, *aRef.spec_));
  tails.beyondEstimate_.Learn(estimated, taken);
  aState.commonRunTail_.Learn(estimated, taken);
  if (HasPeers(*aRef.step_)) {
    tails.beyondPeers_.Learn(expected, taken);
  }
  aRef.step_->timeOfRuns_ += Scale(1 / slowdown, taken);
  ++aRef.step_->runsTimed_;
}

std::optional<RunProgress>
ProgressOf(FleetState& aState, const Target& aTarget, const Run& aRun)
{
  const auto ref = FindItem(aState, aRun.item_);
  if (!ref.item_ || !aRun.progressBaseAt_ || aRun.phase_ != RunPhase::Running ||
      !DependsOnTargetOnly(aRun, *ref.spec_)) {
    return std::nullopt;
  }
  return RunProgress{ aState.now_ - *aRun.progressBaseAt_,
                      ExpectedOn(aState, aTarget, ref),
                      aRun.basePercent_,
                      aRun.percent_ };
}

std::optional<double>
ChanceOfUsualSpeed(FleetState& aState, const Target& aTarget)
{
  std::vector<Delivery> deliveries;
  for (const auto& run : aTarget.runs_) {
    const auto progress = ProgressOf(aState, aTarget, run);
    if (!progress || !IsOldEnoughToJudge(*progress)) {
      continue;
    }
    const auto ref = FindItem(aState, run.item_);
    const auto& tail = TailOf(aState, ref);
    if (!tail.IsLearned()) {
      return std::nullopt;
    }
    deliveries.push_back({ run.item_.job_,
                           tail.ChanceOfLonger(Ratio(LeastWholeTime(*progress),
                                                     progress->expected_)) });
  }
  aTarget.record_.CollectRecent(aState.now_, deliveries);
  return ChanceOfUsualSpeed(deliveries);
}

} // namespace cuminbridge
