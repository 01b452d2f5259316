// Keys and open pools.

#include "admission.h"

#include <algorithm>

namespace cuminbridge {

std::string
TeamOfKey(const Entry& aEntry, const std::string& aKeyHash)
{
  const Agreement& agreement = aEntry.agreement_;
  const auto& teams = agreement.inForce_->config_->teamOfKey_;
  const auto found = teams.find(aKeyHash);
  if (found == teams.end()) {
    return "";
  }
  for (const PendingChange& pending : agreement.pending_) {
    const auto next = pending.config_->teamOfKey_.find(aKeyHash);
    if (next == pending.config_->teamOfKey_.end() ||
        next->second != found->second) {
      return "";
    }
  }
  return found->second;
}

bool
IsOpen(const Entry& aEntry, const std::string& aPool)
{
  const Agreement& agreement = aEntry.agreement_;
  const auto isOpen = [&](const Config& aConfig) {
    const auto found = aConfig.pools_.find(aPool);
    return found != aConfig.pools_.end() && found->second->open_;
  };
  return isOpen(*agreement.inForce_->config_) &&
         std::all_of(agreement.pending_.begin(),
                     agreement.pending_.end(),
                     [&](const PendingChange& aPending) {
                       return isOpen(*aPending.config_);
                     });
}

} // namespace cuminbridge
