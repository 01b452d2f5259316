// Internal: requests, pools and targets: who runs next, and where.

#ifndef cuminbridge_core_routing_h
#define cuminbridge_core_routing_h

#include "entry_state.h"

namespace cuminbridge::forwarder {

void OnRequestArrived(EventContext& aContext, const RequestArrived& aArrived);
void OnRequestCancelled(EventContext& aContext,
                        const RequestCancelled& aCancelled);
void OnExchangeEnded(EventContext& aContext, const ExchangeEnded& aEnded);

// The claim on a request's Idempotency-Key is decided.
void OnClaimGranted(EventContext& aContext, RequestId aRequest);
void OnClaimRefused(EventContext& aContext, RequestId aRequest, bool aIsHeld);

// Starts what can start, in one pool, in all pools where an account waits, or
// in all pools.
void DispatchPool(EventContext& aContext, PoolState& aPool);
void DispatchAccount(EventContext& aContext, const std::string& aAccount);
void DispatchAll(EventContext& aContext);

// A configuration came into force; aOld is the one before, or null.
void OnConfigInForce(EventContext& aContext, const SnapshotPtr& aOld);

void OnVmListRead(EventContext& aContext, const VmListRead& aList);

// Refuses what has waited too long.
void TickRouting(EventContext& aContext);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_core_routing_h
