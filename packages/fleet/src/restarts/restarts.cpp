// Targets that start again under their id: their processes, and the leases that
// calls for the process before have brought.

#include "restarts/restarts.h"

#include <algorithm>

#include "crashes.h"
#include "runs.h"

namespace cuminbridge {

namespace {

// Since the process started, by the times of day of two machines.
Millis
AgeOf(const FleetState& aState, const Target& aTarget)
{
  const WallTime born{ Millis(aTarget.startUnixMs_) };
  return std::chrono::duration_cast<Millis>(aState.TimeOfDay() - born);
}

} // namespace

std::int64_t
LatestClock(const FleetState& aState,
            const Target& aTarget,
            std::int64_t aClockMs,
            Millis aMaxAge)
{
  const auto age = AgeOf(aState, aTarget).count();
  return std::max(aClockMs, std::min(age, aClockMs + aMaxAge.count()));
}

void
NumberProcess(FleetState& aState, Target& aTarget, bool aHasRestarted)
{
  aState.restartsSeen_ += aHasRestarted ? 1 : 0;
  aTarget.process_ = aState.restartsSeen_;
  if (aHasRestarted) {
    aTarget.isUnfenced_ = true;
  }
}

void
AllowForHeldUpCalls(const FleetState& aState,
                    Target& aTarget,
                    std::int64_t aClockMs,
                    int aProcess)
{
  if (aTarget.isUnfenced_ && aProcess == aTarget.process_) {
    const auto longest = aClockMs + aState.options_.longestLease_.count();
    aTarget.leaseUntil_ = std::max(aTarget.leaseUntil_, longest);
    aTarget.isUnfenced_ = false;
  }
}

void
AllowForCallsUntilNow(const FleetState& aState, Target& aTarget)
{
  if (!aTarget.isUnfenced_ || aTarget.clockMs_ == 0) {
    return;
  }
  const auto& options = aState.options_;
  const auto clock = LatestClock(
    aState, aTarget, ClockOf(aState, aTarget), options.maxReportAge_);
  const auto longest = clock + options.longestLease_.count();
  aTarget.leaseUntil_ = std::max(aTarget.leaseUntil_, longest);
}

void
AllowForPreviousClock(const FleetState& aState,
                      Target& aTarget,
                      std::int64_t aClockMs)
{
  const auto& options = aState.options_;
  const auto age = AgeOf(aState, aTarget);
  if (aState.term_ > 1 && !aTarget.hasListedRuns_ &&
      age < options.ownerAllowance_ + options.longestLease_) {
    // Such a call may still come while the process is younger than this.
    const auto mayCome = std::max(Millis(0), options.ownerAllowance_ - age);
    const auto lease = options.longestLease_ + mayCome;
    aTarget.leaseUntil_ =
      std::max(aTarget.leaseUntil_, aClockMs + lease.count());
  }
}

void
BeginIncarnation(FleetState& aState,
                 Target& aTarget,
                 std::int64_t aStartUnixMs,
                 std::int64_t aClockMs,
                 Millis aMaxClockAge)
{
  if (aTarget.startUnixMs_ != 0) {
    aState.Log("target_restarted",
               "",
               "",
               aTarget.report_.id_,
               std::string("process started at ") +
                 std::to_string(aStartUnixMs) + ", the one before at " +
                 std::to_string(aTarget.startUnixMs_) + " (Unix ms); " +
                 std::to_string(aTarget.runs_.size()) + " runs there; " +
                 DescribeContact(aState, aTarget) + "; " +
                 DescribeLease(aState, aTarget));
  }
  if (IsCrash(aState, aTarget)) {
    NoteCrash(aState, aTarget);
  }
  ForgetLoss(aState, aTarget, aStartUnixMs);
  const auto lastDeadline = aTarget.leaseUntil_;
  aTarget.wasOnVm_ = aTarget.wasOnVm_ && aTarget.startUnixMs_ == 0;
  NumberProcess(aState, aTarget, aTarget.startUnixMs_ != 0);
  aTarget.hasRestarted_ = aTarget.isInherited_ || aTarget.startUnixMs_ != 0;
  aTarget.startUnixMs_ = aStartUnixMs;
  aTarget.mayHaveRestarted_ = false;
  aTarget.endsApplied_ = 0;
  aTarget.endsStored_ = 0;
  aTarget.endsInBatch_ = 0;
  aTarget.firstListedEnd_ = 0;
  aTarget.lastListedEnd_ = 0;
  aTarget.clockMs_ = 0;
  UpdateClock(aState, aTarget, aClockMs);
  // A start or a renewal for the previous process may have reached this one,
  // with a deadline on the previous clock. The target shortens a deadline that
  // lies further ahead than longestLease_.
  const auto clock = LatestClock(aState, aTarget, aClockMs, aMaxClockAge);
  aTarget.leaseUntil_ =
    std::min(lastDeadline, clock + aState.options_.longestLease_.count());
  AllowForPreviousClock(aState, aTarget, clock);
  aTarget.contact_ = Contact::Unreconciled;
  aTarget.incarnationSeenAt_ = aState.now_;
  aTarget.nextRenewal_ = aState.now_;
  aTarget.hasExited_ = false;
  aTarget.isReplaced_ = false;
  aTarget.isCordoned_ = false;
  aTarget.leavingUntil_ = aState.now_;
  aTarget.idleSince_ = aState.now_;
  aTarget.consecutiveFailures_ = 0;
  aTarget.slowUntil_ = aState.now_;
  aTarget.record_ = {};
  for (auto& run : aTarget.runs_) {
    // A confirmed run is lost unless the new process lists it. A start without
    // an answer may still reach the new process.
    run.isUnconfirmed_ = run.isUnconfirmed_ || run.confirmedAt_.has_value();
    if (!run.confirmedAt_) {
      run.stoppedAt_.reset(); // only the process before knows of the stop
      run.fencedFrom_ = 0;    // likewise
    }
  }
}

} // namespace cuminbridge
