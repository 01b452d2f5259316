// Internal: changes of the head in the store: for a ticket, for a change of the
// members, or as a fence.
//
// Every change takes the same steps: read the head, announce the change to its
// members (Prepare) until a majority has acknowledged it, compare-and-swap, and
// announce the result to all. An entry runs one proposal at a time.
//
// When the answer to a swap is lost, a second swap on the same revision (the
// fence) rewrites the head unchanged. If it succeeds, the lost swap can no
// longer take effect; if it conflicts, the head has changed, and reading it
// tells whether the lost swap did it.

#ifndef cuminbridge_core_proposal_h
#define cuminbridge_core_proposal_h

#include "entry_state.h"

namespace cuminbridge::forwarder {

void OnTicketFiled(EventContext& aContext, const TicketFiled& aFiled);
void OnPrepare(EventContext& aContext,
               const PeerFrame& aFrame,
               const Prepare& aPrepare);
void OnPrepareAck(EventContext& aContext,
                  const PeerFrame& aFrame,
                  const PrepareAck& aAck);
void OnConfigAck(EventContext& aContext,
                 const PeerFrame& aFrame,
                 const ConfigAck& aAck);

// True if the answer belongs to a store call of the proposal under way.
bool OnProposalAnswer(EventContext& aContext, const StoreAnswer& aAnswer);

// Resends and times out the proposal under way. If there is none, starts what
// is due: a fence, a waiting ticket, joining, leaving, becoming a voter, or the
// removal of unresponsive members.
void TickProposals(EventContext& aContext);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_core_proposal_h
