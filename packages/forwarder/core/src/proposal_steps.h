// Internal to the modules of proposals: the steps that they share.
//
//   proposal_steps.cpp  read the head, build a change, prepare it, swap it
//   proposal.cpp        answers of the store, frames of peers, and filings
//   proposal_due.cpp    ticks: what starts by itself, resends, time-outs
//
// All functions but StartProposal() and ReplyToFiling() need a proposal under
// way.

#ifndef cuminbridge_core_proposal_steps_h
#define cuminbridge_core_proposal_steps_h

#include "entry_state.h"

namespace cuminbridge::forwarder {

// Interval at which a frame is resent until it is answered.
inline constexpr Duration kResendInterval = std::chrono::milliseconds(200);

// Answers the operator who filed the ticket, unless that was done already.
void ReplyToFiling(EventContext& aContext,
                   Proposal& aProposal,
                   int aStatus,
                   std::string aMessage,
                   Findings aFindings = {});

// Ends the proposal under way.
void FinishProposal(EventContext& aContext);

// Ends the proposal under way, which certainly changed nothing. Tells the
// members to drop the prepared change, and answers the operator.
void AbortProposal(EventContext& aContext,
                   int aStatus,
                   const std::string& aMessage);

void SetPhase(EventContext& aContext, ProposalPhase aPhase);
std::uint64_t NewCall(EventContext& aContext);

// Reads the head before a change is built on it: the head alone, or with
// aIsWhole the whole configuration.
void StartReading(EventContext& aContext, bool aIsWhole);
void StartProposal(EventContext& aContext, Proposal aProposal);

// Builds the change on the configuration in force now and starts to prepare it.
// Ends the proposal if there is nothing to change.
void BuildChange(EventContext& aContext);

// Are these ids a majority of the members that the change is based on? True if
// there is no head yet.
bool IsMajorityOfBase(const Proposal& aProposal,
                      const std::set<std::string>& aIds);

// Sends the change to all members that have not acknowledged it.
void SendPrepare(EventContext& aContext);

// Sends the swap once a majority has acknowledged the change.
void SwapIfAcknowledged(EventContext& aContext);

// Rewrites the head unchanged, so that a swap whose answer was lost can no
// longer take effect.
void StartFence(EventContext& aContext);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_core_proposal_steps_h
