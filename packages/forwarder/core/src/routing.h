// Internal: the life cycle of requests: admission to the queue, dispatch to a
// target, retry and refusal. Pools and targets follow the configuration in
// force (pools.cpp).

#ifndef cuminbridge_core_routing_h
#define cuminbridge_core_routing_h

#include "entry_state.h"

namespace cuminbridge::forwarder {

//-----------------------------------------------------------------------------
// [SECTION] Requests
//-----------------------------------------------------------------------------

void OnRequestArrived(EventContext& aContext, const RequestArrived& aArrived);
void OnRequestCancelled(EventContext& aContext,
                        const RequestCancelled& aCancelled);
void OnExchangeEnded(EventContext& aContext, const ExchangeEnded& aEnded);

// The claim on a request's Idempotency-Key was decided. Granted: the request is
// queued. Refused: it ends, with 409 and an unknown outcome if another request
// holds the key (aIsHeld), else with 503 because no majority granted it.
void OnClaimGranted(EventContext& aContext, RequestId aRequest);
void OnClaimRefused(EventContext& aContext, RequestId aRequest, bool aIsHeld);

// Refuses requests that have waited for EntryOptions::queueTimeout_, and stops
// counting those broken off on a target more than runLimit_ ago.
void TickRouting(EventContext& aContext);

//-----------------------------------------------------------------------------
// [SECTION] Dispatch
//-----------------------------------------------------------------------------

// Start every waiting request that has a permit and a target: in one pool, in
// all pools where the account waits, or in all pools.
void DispatchPool(EventContext& aContext, PoolState& aPool);
void DispatchAccount(EventContext& aContext, const std::string& aAccount);
void DispatchAll(EventContext& aContext);

//-----------------------------------------------------------------------------
// [SECTION] Pools and targets
//-----------------------------------------------------------------------------

// A configuration came into force. aOld is the previous one, null if none.
void OnConfigInForce(EventContext& aContext, const SnapshotPtr& aOld);

void OnVmListRead(EventContext& aContext, const VmListRead& aList);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_core_routing_h
