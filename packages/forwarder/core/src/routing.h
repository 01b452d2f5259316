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

void OnRequestArrived(Turn& aTurn, const RequestArrived& aArrived);
void OnRequestCancelled(Turn& aTurn, const RequestCancelled& aCancelled);
void OnExchangeEnded(Turn& aTurn, const ExchangeEnded& aEnded);

// The claim on a request's Idempotency-Key was decided. Granted: the request is
// queued. Refused: it ends, with 409 and an unknown outcome if another request
// holds the key (aIsHeld), else with 503 because no majority granted it.
void OnClaimGranted(Turn& aTurn, RequestId aRequest);
void OnClaimRefused(Turn& aTurn, RequestId aRequest, bool aIsHeld);

// Refuses requests that have waited for EntryOptions::queueLimit_, and stops
// counting those broken off on a target more than runLimit_ ago.
void TickRouting(Turn& aTurn);

//-----------------------------------------------------------------------------
// [SECTION] Dispatch
//-----------------------------------------------------------------------------

// Start every waiting request that has a permit and a target: in one pool, in
// all pools where the account waits, or in all pools.
void DispatchPool(Turn& aTurn, PoolState& aPool);
void DispatchAccount(Turn& aTurn, const std::string& aAccount);
void DispatchAll(Turn& aTurn);

//-----------------------------------------------------------------------------
// [SECTION] Pools and targets
//-----------------------------------------------------------------------------

// A configuration came into force. aOld is the previous one, null if none.
void OnConfigInForce(Turn& aTurn, const SnapshotPtr& aOld);

void OnVmListRead(Turn& aTurn, const VmListRead& aList);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_core_routing_h
