// Admission of callers. See admission.h.

#include "admission.h"

#include <algorithm>

namespace cuminbridge::forwarder {

std::string
AccountOfKey(const Entry& aEntry, const std::string& aKeyHash)
{
  const Agreement& agreement = aEntry.agreement_;
  const auto& accounts = agreement.inForce_->config_->accountOfKey_;
  const auto found = accounts.find(aKeyHash);
  if (found == accounts.end()) {
    return "";
  }
  for (const PendingChange& pending : agreement.pending_) {
    const auto next = pending.config_->accountOfKey_.find(aKeyHash);
    if (next == pending.config_->accountOfKey_.end() ||
        next->second != found->second) {
      return "";
    }
  }
  return found->second;
}

bool
IsPoolOpen(const Entry& aEntry, const std::string& aPool)
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

} // namespace cuminbridge::forwarder
