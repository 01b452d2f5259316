// Starts that got no answer and may still be carried out.

#include "late_starts/late_starts.h"

#include <algorithm>
#include <utility>

#include "evidence.h"
#include "jobs.h"

namespace cuminbridge {

namespace {

// Whether the target's process is likely to live on. One that has just followed
// another may soon be followed by a third.
bool
IsStable(const FleetState& aState, const Target& aTarget)
{
  const WallTime born{ Millis(aTarget.startUnixMs_) };
  return !aTarget.hasRestarted_ || aState.TimeOfDay() - born >= kLateStartTime;
}

// Whether the target's process is known, alive and refuses a start that was
// noted then.
bool
IsInContactSince(const FleetState& aState,
                 const Target& aTarget,
                 Instant aNotedAt)
{
  constexpr Millis kMaxAge(500);
  const auto maxAge = std::max(kMaxAge, 2 * LookInterval(aState));
  return aTarget.contact_ == Contact::Good && aTarget.hasListedRuns_ &&
         IsStable(aState, aTarget) && aTarget.listedAt_ > aNotedAt &&
         aTarget.looksMissed_ == 0 && aTarget.heardAt_ &&
         aState.now_ - *aTarget.heardAt_ < maxAge;
}

bool
MayCome(const FleetState& aState, const LateStart& aStart)
{
  if (aStart.until_ <= aState.now_) {
    return false;
  }
  const auto target = aState.targets_.find(aStart.target_);
  return target == aState.targets_.end() ||
         !(target->second.isReplaced_ ||
           IsInContactSince(aState, target->second, aStart.notedAt_));
}

} // namespace

void
NoteUnansweredStart(FleetState& aState,
                    Target& aTarget,
                    const ItemName& aItem,
                    Run* aRun)
{
  aTarget.process_ = ++aState.restartsSeen_;
  aTarget.lateStartsUntil_ = aState.now_ + kLateStartTime;
  aTarget.nextLook_ = aState.now_;
  aState.watchedTargets_.insert(aTarget.report_.id_);
  aState.lateStarts_[aItem].push_back(
    { aTarget.report_.id_, aState.now_, aTarget.lateStartsUntil_ });
  if (aRun) {
    aRun->fencedFrom_ = aTarget.process_;
  }
}

void
RestoreLateStart(FleetState& aState,
                 const ItemName& aItem,
                 const std::string& aTarget,
                 WallTime aUntil)
{
  // Another machine has recorded it, by its own time of day.
  const auto left =
    std::min(kLateStartTime,
             std::chrono::duration_cast<Millis>(
               aUntil + aState.options_.clockSkew_ - aState.TimeOfDay()));
  if (left.count() > 0) {
    aState.lateStarts_[aItem].push_back(
      { aTarget, aState.now_, aState.now_ + left });
  }
}

void
ExpectStartsOfEarlierOwners(FleetState& aState, Target& aTarget)
{
  aTarget.lateStartsUntil_ = aState.now_ + kLateStartTime;
  aTarget.nextLook_ = aState.now_;
}

bool
AwaitsLateStart(const FleetState& aState, const Target& aTarget)
{
  return aState.now_ < aTarget.lateStartsUntil_;
}

bool
MustAwaitLateStart(FleetState& aState, const ItemName& aItem)
{
  const auto found = aState.lateStarts_.find(aItem);
  if (found == aState.lateStarts_.end()) {
    return false;
  }
  const auto start = std::find_if(
    found->second.begin(), found->second.end(), [&](const LateStart& aStart) {
      return MayCome(aState, aStart);
    });
  const auto ref = FindItem(aState, aItem);
  if (start == found->second.end() || !ref.item_) {
    return false;
  }
  aState.lateStartPools_.insert(PoolOf(aState, *ref.job_));
  if (!std::exchange(start->isAwaited_, true)) {
    const auto target = aState.targets_.find(start->target_);
    aState.Log("start_awaited",
               aItem.job_,
               FormatItem(aItem),
               start->target_,
               "an earlier start got no answer and may be carried out for " +
                 std::to_string((start->until_ - aState.now_).count()) +
                 " ms; " +
                 (target == aState.targets_.end()
                    ? "its target is not listed"
                    : DescribeContact(aState, target->second)));
  }
  return true;
}

bool
IsFencedBy(const Run& aRun, const RenewalAnswered& aAnswer)
{
  return aRun.fencedFrom_ != 0 && aAnswer.process_ >= aRun.fencedFrom_;
}

Millis
LookInterval(const FleetState& aState)
{
  constexpr Millis kShortest(50);
  constexpr Millis kPerTarget(10); // 100 calls a second in all
  return std::max(kShortest,
                  kPerTarget * static_cast<int>(aState.targetsAwaitingStarts_));
}

bool
IsLookDue(const FleetState& aState, const Target& aTarget)
{
  return AwaitsLateStart(aState, aTarget) && aTarget.nextLook_ <= aState.now_;
}

bool
NoteMissedLook(const FleetState& aState, Target& aTarget)
{
  constexpr int kMostMissed = 1; // in a row
  return aTarget.contact_ == Contact::Good && aTarget.runs_.empty() &&
         AwaitsLateStart(aState, aTarget) &&
         ++aTarget.looksMissed_ <= kMostMissed;
}

void
ForgetLateStarts(FleetState& aState)
{
  for (auto it = aState.lateStarts_.begin(); it != aState.lateStarts_.end();) {
    std::erase_if(it->second, [&](const LateStart& aStart) {
      return aStart.until_ <= aState.now_;
    });
    it = it->second.empty() ? aState.lateStarts_.erase(it) : std::next(it);
  }
}

} // namespace cuminbridge
