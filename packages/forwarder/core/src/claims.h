// Internal: Idempotency-Keys: at most one request runs under one key.
//
// A claim needs the votes of a majority of the voters, which are members that
// have learned what was granted before they came. A vote is never given twice,
// and never before the voter has heard, from enough of the others, what was
// granted before the last change of members. docs/forwarder/design/claims.md
// has the ways weighed and the argument.

#ifndef cuminbridge_core_claims_h
#define cuminbridge_core_claims_h

#include "entry_state.h"

namespace cuminbridge::forwarder {

// Is this entry a voter in force?
bool IsVoter(const Entry& aEntry);

void StartClaim(Turn& aTurn, const Request& aRequest);

// Gives the claim of a request back that has not run and never will.
void ReleaseClaim(Turn& aTurn, const Request& aRequest);

void OnClaimAsk(Turn& aTurn, const PeerFrame& aFrame, const ClaimRequest& aAsk);
void OnClaimReply(Turn& aTurn,
                  const PeerFrame& aFrame,
                  const ClaimReply& aReply);
void OnClaimRelease(Turn& aTurn,
                    const PeerFrame& aFrame,
                    const ClaimRelease& aRelease);
void OnClaimSyncAsk(Turn& aTurn,
                    const PeerFrame& aFrame,
                    const ClaimSyncRequest& aAsk);
void OnClaimSyncReply(Turn& aTurn,
                      const PeerFrame& aFrame,
                      const ClaimSyncReply& aReply);

// The members in force have changed: earlier votes don't count any more.
void OnClaimsEpoch(Turn& aTurn);

void TickClaims(Turn& aTurn);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_core_claims_h
