// Internal: claims on Idempotency-Keys: at most one request runs under one key.
//
// A claim needs the votes of a majority of the voters. Voters are the members
// that have learned which claims were granted before they joined. A voter that
// has granted a key to one request refuses it to all others until the claim is
// released or expires. It grants nothing before enough of the other voters have
// reported the claims granted before the last change of members.
// docs/forwarder/design/claims.md describes the alternatives and proves the
// rule.

#ifndef cuminbridge_core_claims_h
#define cuminbridge_core_claims_h

#include "entry_state.h"

namespace cuminbridge::forwarder {

//-----------------------------------------------------------------------------
// [SECTION] Claims of requests at this entry
//-----------------------------------------------------------------------------

// True if this process is a voter among the members in force.
bool IsVoter(const Entry& aEntry);

// Asks the voters for a claim on the request's key. Ends in OnClaimGranted() or
// OnClaimRefused(), see routing.h.
void StartClaim(EventContext& aContext, const Request& aRequest);

// Releases the claim of a request that has not run and never will.
void ReleaseClaim(EventContext& aContext, const Request& aRequest);

//-----------------------------------------------------------------------------
// [SECTION] Events
//-----------------------------------------------------------------------------

void OnClaimRequest(EventContext& aContext,
                    const PeerFrame& aFrame,
                    const ClaimRequest& aRequest);
void OnClaimReply(EventContext& aContext,
                  const PeerFrame& aFrame,
                  const ClaimReply& aReply);
void OnClaimRelease(EventContext& aContext,
                    const PeerFrame& aFrame,
                    const ClaimRelease& aRelease);
void OnClaimSyncRequest(EventContext& aContext,
                        const PeerFrame& aFrame,
                        const ClaimSyncRequest& aRequest);
void OnClaimSyncReply(EventContext& aContext,
                      const PeerFrame& aFrame,
                      const ClaimSyncReply& aReply);

// The members in force have changed: votes collected so far no longer count,
// and this entry has to learn the claims of the voters again.
void OnClaimEpochChanged(EventContext& aContext);

// Expires claims, resends what was not answered, and abandons claims that got
// no majority in time.
void TickClaims(EventContext& aContext);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_core_claims_h
