// Which target a work item goes to, and whose turn it is.

#include "placing.h"

#include <tuple>

namespace cuminbridge {

namespace {

bool
IsAllowed(const Step& aStep, const Site& aSite)
{
  Resources needs = aStep.needs_;
  if (aStep.isFiller_) {
    needs.cpu_ = 0;
  }
  return aSite.hasLabel_ && needs.Fits(aSite.free_) &&
         (aStep.maxPerTarget_ == 0 || aSite.sameStep_ < aStep.maxPerTarget_);
}

// Smaller is better; compared from left to right.
auto
Rank(const Step& aStep, const Site& aSite)
{
  std::int64_t likeness = 0;
  if (aStep.isLongRunning_ && !aStep.isFiller_) {
    likeness = aSite.rackMates_ + aSite.fillerRuns_;
  } else if (aStep.isFiller_) {
    likeness = aSite.servingRuns_;
  } else if (aStep.prefersSameRack_) {
    likeness = -aSite.rackMates_;
  }
  // Packed, so that wide items find room and empty VMs can move; fillers go
  // where most is left over.
  const std::int64_t room =
    aStep.isFiller_ ? -aSite.free_.cpu_ : aSite.free_.cpu_;
  return std::make_tuple(aSite.isAvoided_,
                         !aSite.isDataRack_,
                         aStep.isLongRunning_ && aSite.isDueSoon_,
                         likeness,
                         aSite.isDueSoon_,
                         room);
}

} // namespace

int
ChooseSite(const Step& aStep, const std::vector<Site>& aSites)
{
  int best = kNoSite;
  for (std::size_t index = 0; index < aSites.size(); ++index) {
    if (!IsAllowed(aStep, aSites[index])) {
      continue;
    }
    if (best == kNoSite ||
        Rank(aStep, aSites[index]) <
          Rank(aStep, aSites[static_cast<std::size_t>(best)])) {
      best = static_cast<int>(index);
    }
  }
  return best;
}

int
ChooseFirstSite(const Step& aStep, const std::vector<Site>& aSites)
{
  for (std::size_t index = 0; index < aSites.size(); ++index) {
    if (IsAllowed(aStep, aSites[index])) {
      return static_cast<int>(index);
    }
  }
  return kNoSite;
}

bool
GoesBefore(const Claim& aLeft, const Claim& aRight)
{
  const auto key = [](const Claim& aClaim) {
    return std::make_tuple(aClaim.priority_,
                           !aClaim.isLongRunning_,
                           aClaim.lateness_ == Lateness::Hopeless,
                           aClaim.isBeyondShare_,
                           aClaim.lateness_,
                           aClaim.work_,
                           aClaim.arrived_);
  };
  return key(aLeft) < key(aRight);
}

} // namespace cuminbridge
