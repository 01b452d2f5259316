// Decides which jobs go to another cell.

#include "transfers.h"

#include <algorithm>

namespace cuminbridge {

bool
FitsItems(const std::vector<Candidate>& aCandidates,
          const Step& aStep,
          int aItems)
{
  const auto count = [](std::int64_t aFree, std::int64_t aNeed, int aMost) {
    return aNeed <= 0 ? aMost
                      : static_cast<int>(
                          std::clamp<std::int64_t>(aFree / aNeed, 0, aMost));
  };
  int left = aItems;
  for (const auto& candidate : aCandidates) {
    if (left <= 0) {
      break;
    }
    int most =
      aStep.maxPerTarget_ > 0 ? std::min(left, aStep.maxPerTarget_) : left;
    most = count(candidate.free_.memMb_, aStep.needs_.memMb_, most);
    most = count(candidate.free_.gpu_, aStep.needs_.gpu_, most);
    left -= aStep.isFiller_
              ? most
              : count(candidate.free_.cpu_, aStep.needs_.cpu_, most);
  }
  return left <= 0;
}

std::optional<int>
ChooseCell(const std::map<int, FreeCpu>& aPeers,
           const std::string& aPool,
           std::int64_t aCpu)
{
  std::optional<int> best;
  std::int64_t most = 0;
  for (const auto& [cell, pools] : aPeers) {
    const auto free = pools.find(aPool);
    if (free != pools.end() && free->second >= aCpu && free->second > most) {
      best = cell;
      most = free->second;
    }
  }
  return best;
}

} // namespace cuminbridge
