// How the cells share the limits of client accounts.

#include "account_grants.h"

#include <algorithm>
#include <numeric>

#include <nlohmann/json.hpp>

namespace cuminbridge {

namespace {

// What a cell keeps beyond its need, so that the next job finds room: all cells
// together keep at most this much.
constexpr int kAllSpares = 180;
// Changes of a part are at least half of a spare: each one is a write.
constexpr int kSparesInChange = 2;

std::vector<int>
EqualParts(int aCount)
{
  return std::vector<int>(static_cast<std::size_t>(aCount),
                          kWholeLimit / aCount);
}

} // namespace

int
PartOf(const AccountGrants& aGrants, const std::string& aAccount, Cell aCell)
{
  const auto found = aGrants.parts_.find(aAccount);
  return found == aGrants.parts_.end()
           ? kWholeLimit / aCell.count_
           : found->second[static_cast<std::size_t>(aCell.number_)];
}

AccountGrants
PlanGrants(const AccountGrants& aGrants,
           Cell aCell,
           const std::map<std::string, LimitUse>& aUses)
{
  auto planned = aGrants;
  const int spare = std::max(1, kAllSpares / std::max(3, aCell.count_));
  const int minChange = std::max(1, spare / kSparesInChange);
  for (const auto& [account, use] : aUses) {
    const auto found = aGrants.parts_.find(account);
    auto parts =
      found == aGrants.parts_.end() ? EqualParts(aCell.count_) : found->second;
    auto& own = parts[static_cast<std::size_t>(aCell.number_)];
    const int unheld =
      kWholeLimit - std::accumulate(parts.begin(), parts.end(), 0);
    const int need = std::min(kWholeLimit, use.wanted_) + spare;
    const int change = need < own ? std::max(need, use.running_) - own
                                  : std::min(need - own, std::max(0, unheld));
    const bool isUrgent = change > 0 && use.wanted_ > own;
    if (std::abs(change) >= minChange || isUrgent) {
      own += change;
      planned.parts_[account] = std::move(parts);
    }
  }
  return planned;
}

std::string
EncodeGrants(const AccountGrants& aGrants)
{
  return nlohmann::json(aGrants.parts_).dump();
}

AccountGrants
DecodeGrants(const std::string& aText, int aCount)
{
  AccountGrants grants;
  const auto record = nlohmann::json::parse(aText, nullptr, false);
  if (!record.is_object()) {
    return grants;
  }
  for (const auto& [account, row] : record.items()) {
    if (!row.is_array() || row.size() != static_cast<std::size_t>(aCount) ||
        !std::all_of(row.begin(), row.end(), [](const nlohmann::json& aPart) {
          return aPart.is_number_integer();
        })) {
      continue;
    }
    grants.parts_[account] = row.get<std::vector<int>>();
  }
  return grants;
}

} // namespace cuminbridge
