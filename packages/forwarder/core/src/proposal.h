// Internal: changing the head, for a ticket, for members, or as a fence.
//
// Every change goes the same way: read the head, tell a majority of its
// members (Prepare), compare-and-swap, tell everybody. An entry runs one
// proposal at a time. Lost answers are never guessed at: a fence swap on the
// same revision decides whether the lost one can still take effect.

#ifndef cuminbridge_core_proposal_h
#define cuminbridge_core_proposal_h

#include "entry_state.h"

namespace cuminbridge::forwarder {

void OnTicketFiled(Turn& aTurn, const TicketFiled& aFiled);
void OnPrepare(Turn& aTurn, const PeerFrame& aFrame, const Prepare& aPrepare);
void OnPrepareAck(Turn& aTurn, const PeerFrame& aFrame, const PrepareAck& aAck);
void OnConfigAck(Turn& aTurn, const PeerFrame& aFrame, const ConfigAck& aAck);

// True if the answer was to a call of the proposal under way.
bool OnProposalAnswer(Turn& aTurn, const StoreAnswer& aAnswer);

// Starts what is due: waiting tickets, joining, removals, fences, leaving.
void TickProposals(Turn& aTurn);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_core_proposal_h
