// Renewals: when a target needs one, and for how long it may hold its answer.

#include "contact/renewals.h"

#include <algorithm>

#include "crashes.h"
#include "late_starts/late_starts.h"
#include "runs.h"

namespace cuminbridge {

namespace {

// Long poll while a run is stopping. A run takes at most 200 ms to stop.
constexpr Millis kStopWait(250);

// The number up to which listed ends are stored; 0 if none of them is.
std::int64_t
LastStoredEnd(const Target& aTarget)
{
  const auto last = std::min(aTarget.endsStored_, aTarget.lastListedEnd_);
  return aTarget.firstListedEnd_ <= last ? last : 0;
}

// Only ends that were listed just now are acknowledged. Numbers begin anew with
// each process, and a later one may be there before this owner knows of it.
std::int64_t
EndsToAcknowledge(const FleetState& aState, const Target& aTarget)
{
  constexpr Millis kMaxListAge(500);
  const bool isRecent = aState.now_ - aTarget.endsListedAt_ < kMaxListAge;
  return aTarget.contact_ == Contact::Good && isRecent ? LastStoredEnd(aTarget)
                                                       : 0;
}

// Whether the target has accepted a stop and the run has yet to end.
bool
HasStopped(const Target& aTarget)
{
  for (const auto& run : aTarget.runs_) {
    if (run.phase_ == RunPhase::Stopping && run.stoppedAt_) {
      return true;
    }
  }
  return false;
}

// Whether fillers run there beside work that serves requests.
bool
NeedsPacing(const Target& aTarget)
{
  bool hasServing = false;
  bool hasFiller = false;
  for (const auto& run : aTarget.runs_) {
    hasServing = hasServing || run.targetLatency_.count() > 0;
    hasFiller = hasFiller || run.isFiller_;
  }
  return hasServing && hasFiller;
}

// Whether a long-running item there is not at work yet. Others of its step may
// have to wait for it.
bool
HasStartingItem(const Target& aTarget)
{
  constexpr int kAtWork = 100; // percent
  return std::any_of(
    aTarget.runs_.begin(), aTarget.runs_.end(), [](const Run& aRun) {
      return aRun.isLongRunning_ && aRun.percent_ < kAtWork;
    });
}

// Long poll while suspects are on trial there or were a moment ago, as the next
// ones may follow: they are listed again once they have passed their start.
std::optional<Millis>
TrialWait(const FleetState& aState, const Target& aTarget)
{
  constexpr Millis kLeastWait(20);
  std::optional<Millis> wait;
  for (const auto& run : aTarget.runs_) {
    const auto age =
      std::chrono::duration_cast<Millis>(aState.now_ - run.sentAt_);
    if (run.isTrial_ && age < 2 * kStartupTime) {
      const auto left = run.hasPassedStart_ ? kTrialTime : kTrialTime - age;
      wait = std::min(wait.value_or(kTrialTime), std::max(kLeastWait, left));
    }
  }
  return wait;
}

// Whether a run there ends by itself.
bool
HasBatchRuns(const Target& aTarget)
{
  return std::any_of(aTarget.runs_.begin(),
                     aTarget.runs_.end(),
                     [](const Run& aRun) { return !aRun.isLongRunning_; });
}

} // namespace

bool
NeedsRenewal(const Target& aTarget)
{
  return !aTarget.runs_.empty() ||
         ((aTarget.isListed_ || aTarget.isInherited_) &&
          (aTarget.contact_ != Contact::Good || aTarget.isUnfenced_)) ||
         aTarget.isProbed_ || LastStoredEnd(aTarget) > 0;
}

void
SendRenewal(FleetState& aState, Target& aTarget)
{
  RenewTarget effect;
  effect.target_ = aTarget.report_.id_;
  effect.address_ = aTarget.report_.address_;
  effect.process_ = aTarget.process_;
  effect.acknowledgedEnds_ = EndsToAcknowledge(aState, aTarget);
  if (aTarget.contact_ == Contact::Good && !aTarget.isUnfenced_ &&
      !aTarget.isProbed_ && !aTarget.runs_.empty()) {
    effect.wait_ = HasStopped(aTarget) || HasStartingItem(aTarget) ? kStopWait
                   : NeedsPacing(aTarget)  ? aState.options_.pacedRenewalWait_
                   : HasBatchRuns(aTarget) ? aState.options_.batchRenewalWait_
                                           : aState.options_.renewalWait_;
    effect.wait_ =
      std::min(effect.wait_, TrialWait(aState, aTarget).value_or(effect.wait_));
    if (AwaitsLateStart(aState, aTarget)) {
      effect.wait_ = std::min(effect.wait_, LookInterval(aState));
    }
  }
  // An unresponsive target is asked without renewing its leases. A renewal that
  // gets no answer would delay the time when its runs have surely expired.
  if (aTarget.clockMs_ != 0 && aTarget.contact_ != Contact::Unresponsive) {
    effect.leaseUntil_ =
      ExtendLease(aState, aTarget, aState.options_.targetLease_);
  }
  // Runs there would be held up if a loaded target counted as unresponsive.
  const bool isIdleProbe =
    aTarget.runs_.empty() &&
    (aTarget.isProbed_ || AwaitsLateStart(aState, aTarget));
  effect.limit_ = aTarget.contact_ == Contact::Good && !isIdleProbe
                    ? effect.wait_ + aState.options_.renewalGrace_
                    : aState.options_.reconcileTimeout_;
  aTarget.isRenewalPending_ = true;
  aTarget.nextLook_ = aState.now_ + LookInterval(aState);
  aState.Emit(std::move(effect));
}

} // namespace cuminbridge
