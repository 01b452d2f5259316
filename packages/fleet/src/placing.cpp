// Which target a work item is placed on, and the scheduling order of waiting
// steps.

#include "placing.h"

#include <tuple>

namespace cuminbridge {

namespace {

bool
IsAllowed(const Step& aStep, const Candidate& aCandidate)
{
  Resources needs = aStep.needs_;
  if (aStep.isFiller_) {
    needs.cpu_ = 0;
  }
  return aCandidate.isEligible_ && !aCandidate.hasTrial_ &&
         needs.Fits(aCandidate.free_) &&
         (aStep.maxPerTarget_ == 0 ||
          aCandidate.sameStepRuns_ < aStep.maxPerTarget_);
}

// Candidates are compared by these values, from left to right; smaller is
// better.
auto
Rank(const Step& aStep, const Candidate& aCandidate)
{
  std::int64_t neighbourCost = 0;
  if (aStep.isLongRunning_ && !aStep.isFiller_) {
    neighbourCost = aCandidate.sameStepRunsOnRack_ + aCandidate.fillerRuns_;
  } else if (aStep.isFiller_) {
    neighbourCost = aCandidate.servingRuns_;
  } else if (aStep.prefersSameRack_) {
    neighbourCost = -aCandidate.sameStepRunsOnRack_;
  }
  // Work is packed, so that items with large needs find free capacity and empty
  // VMs can move. Fillers go where most processor time is left.
  const std::int64_t freeCpu =
    aStep.isFiller_ ? -aCandidate.free_.cpu_ : aCandidate.free_.cpu_;
  return std::make_tuple(aCandidate.isAvoided_,
                         !aCandidate.isDataRack_,
                         aStep.isLongRunning_ && aCandidate.awaitsMaintenance_,
                         neighbourCost,
                         aCandidate.awaitsMaintenance_,
                         freeCpu);
}

} // namespace

int
ChooseTarget(const Step& aStep, const std::vector<Candidate>& aCandidates)
{
  int best = kNoCandidate;
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    if (!IsAllowed(aStep, aCandidates[index])) {
      continue;
    }
    if (best == kNoCandidate ||
        Rank(aStep, aCandidates[index]) <
          Rank(aStep, aCandidates[static_cast<std::size_t>(best)])) {
      best = static_cast<int>(index);
    }
  }
  return best;
}

int
ChooseFirstFit(const Step& aStep, const std::vector<Candidate>& aCandidates)
{
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    if (IsAllowed(aStep, aCandidates[index])) {
      return static_cast<int>(index);
    }
  }
  return kNoCandidate;
}

bool
IsScheduledBefore(const SchedulingKey& aLeft, const SchedulingKey& aRight)
{
  const auto key = [](const SchedulingKey& aKey) {
    return std::make_tuple(aKey.priority_,
                           !aKey.isLongRunning_,
                           aKey.lateness_ == Lateness::Hopeless,
                           aKey.isBeyondShare_,
                           aKey.lateness_,
                           aKey.rank_,
                           aKey.work_,
                           aKey.arrived_);
  };
  return key(aLeft) < key(aRight);
}

} // namespace cuminbridge
