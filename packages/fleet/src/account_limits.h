// Internal: the limits of client accounts, as far as this owner may use them.

#ifndef cuminbridge_fleet_account_limits_h
#define cuminbridge_fleet_account_limits_h

#include "state.h"

namespace cuminbridge {

// The limit of an account that this owner may use. 0 in a part means no limit.
Resources UsableLimit(const FleetState& aState, const Account& aAccount);

// True if a client account stays within its limit with aMore running besides
// what it has running now.
bool IsWithinLimit(const FleetState& aState,
                   const std::string& aAccount,
                   const Resources& aMore);

// What the waiting items of each account need whose steps may start now.
std::map<std::string, Resources> WaitingNeedsByAccount(
  const FleetState& aState);

} // namespace cuminbridge

#endif // cuminbridge_fleet_account_limits_h
