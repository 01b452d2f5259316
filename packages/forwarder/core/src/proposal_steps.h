// Internal to the proposal's modules: the steps that they share.
//
//   proposal_steps.cpp  reading the head, building a change, telling, swapping
//   proposal.cpp        answers of the store, frames and filings
//   proposal_due.cpp    what starts by itself, and what has taken too long
//
// All but Start() need a proposal under way.

#ifndef cuminbridge_core_proposal_steps_h
#define cuminbridge_core_proposal_steps_h

#include "entry_state.h"

namespace cuminbridge::forwarder {

// How often a frame is sent again that has not been answered.
inline constexpr Duration kResendInterval = std::chrono::milliseconds(200);

// Answers the operator, if one still waits.
void AnswerFiled(Turn& aTurn,
                 Proposal& aProposal,
                 int aStatus,
                 std::string aMessage,
                 Findings aFindings = {});

// Ends the proposal under way.
void Finish(Turn& aTurn);

// Ends one that certainly changed nothing, and says so to all.
void GiveUp(Turn& aTurn, int aStatus, const std::string& aMessage);

void SetPhase(Turn& aTurn, ProposalPhase aPhase);
std::uint64_t NewCall(Turn& aTurn);

// Reads the head, alone or with everything, before building on it.
void StartReading(Turn& aTurn, bool aIsWhole);
void Start(Turn& aTurn, Proposal aProposal);

// Builds the change on what is in force now, and goes on from there.
void BuildChange(Turn& aTurn);

// Are these a majority of the members the change is built on?
bool IsMajorityOfBase(const Proposal& aProposal,
                      const std::set<std::string>& aIds);

void SendPrepare(Turn& aTurn);
void SwapIfTold(Turn& aTurn);

// Makes sure that a swap whose answer was lost can take effect no more.
void StartFence(Turn& aTurn);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_core_proposal_steps_h
