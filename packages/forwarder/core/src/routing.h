// Internal: requests, pools and targets: who runs next, and where.

#ifndef cuminbridge_core_routing_h
#define cuminbridge_core_routing_h

#include "entry_state.h"

namespace cuminbridge::forwarder {

void OnRequestArrived(Turn& aTurn, const RequestArrived& aArrived);
void OnRequestCancelled(Turn& aTurn, const RequestCancelled& aCancelled);
void OnExchangeEnded(Turn& aTurn, const ExchangeEnded& aEnded);

// The claim on a request's Idempotency-Key is decided.
void OnClaimGranted(Turn& aTurn, RequestId aRequest);
void OnClaimRefused(Turn& aTurn, RequestId aRequest, bool aIsHeld);

// Starts what can start, in one pool, in all pools where an account waits, or
// in all pools.
void DispatchPool(Turn& aTurn, PoolState& aPool);
void DispatchAccount(Turn& aTurn, const std::string& aAccount);
void DispatchAll(Turn& aTurn);

// A configuration came into force; aOld is the one before, or null.
void OnConfigInForce(Turn& aTurn, const SnapshotPtr& aOld);

void OnVmListRead(Turn& aTurn, const VmListRead& aList);

// Refuses what has waited too long.
void TickRouting(Turn& aTurn);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_core_routing_h
