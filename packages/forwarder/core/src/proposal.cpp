// Changes of the head: answers of the store, frames of peers, and filings.
// proposal.h lists the steps of a change.

#include "proposal.h"

#include <algorithm>

#include <boost/leaf/handle_errors.hpp>

#include "agreement.h"
#include "proposal_steps.h"
#include "records.h"

namespace cuminbridge::forwarder {

namespace leaf = boost::leaf;

namespace {

constexpr Duration kFenceRetryInterval = std::chrono::milliseconds(300);
constexpr std::size_t kMaxWaitingFilings = 100;

//-----------------------------------------------------------------------------
// [SECTION] Answers of the store
//-----------------------------------------------------------------------------

void
OnReadAnswer(EventContext& aContext, const StoreAnswer& aAnswer)
{
  Proposal& proposal = *aContext.entry_.proposals_.current_;
  const Agreement& agreement = aContext.entry_.agreement_;
  if (aAnswer.status_ != StoreStatus::Ok) {
    if (proposal.isSwapUncertain_) {
      StartFence(aContext);
      return;
    }
    AbortProposal(aContext, 503, "the store can't be reached; nothing changed");
    return;
  }
  if (aAnswer.values_.empty()) {
    if (agreement.inForce_) {
      AbortProposal(aContext, 503, "the store has lost its head record");
      return;
    }
    BuildChange(aContext);
    return;
  }
  const bool isCurrent =
    agreement.inForce_ && !proposal.isWholeRead_ &&
    aAnswer.values_.front().revision_ == agreement.inForce_->revision_;
  if (isCurrent) {
    SetStoreEvidence(aContext, proposal.phaseAt_);
  } else if (!proposal.isWholeRead_) {
    StartReading(aContext, true);
    return;
  } else if (!AdoptStoreSnapshot(aContext, aAnswer, proposal.phaseAt_)) {
    AbortProposal(
      aContext, 503, "the store's records can't be used; nothing changed");
    return;
  }
  BuildChange(aContext);
}

void
OnAccepted(EventContext& aContext, std::int64_t aRevision)
{
  Proposal& proposal = *aContext.entry_.proposals_.current_;
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->revision_ = aRevision;
  snapshot->members_ = proposal.prepare_.change_.members_;
  snapshot->config_ = proposal.nextConfig_;
  proposal.acceptedRevision_ = aRevision;
  const std::int64_t since = proposal.prepare_.change_.sinceNumber_;
  Adopt(aContext, snapshot, "own proposal");
  ConfigReply update;
  update.inForce_ = MakeDelta(*snapshot, since);
  SendToMembers(aContext, update);
  if (proposal.kind_ != ProposalKind::Ticket) {
    aContext.entry_.proposals_.hasLeft_ |= proposal.isLeave_;
    FinishProposal(aContext);
    return;
  }
  ++aContext.entry_.counts_["tickets_accepted"];
  SetPhase(aContext, ProposalPhase::Confirming);
  proposal.resendAt_ = aContext.now_ + kResendInterval;
  proposal.confirmed_.insert(aContext.entry_.options_.self_.id_);
  if (IsMajorityOfBase(proposal, proposal.confirmed_)) {
    ReplyToFiling(aContext, proposal, 201, "accepted and in force");
    FinishProposal(aContext);
  }
}

void
Restart(EventContext& aContext)
{
  Proposal& proposal = *aContext.entry_.proposals_.current_;
  if (aContext.now_ - proposal.startedAt_ >
      aContext.entry_.options_.filingLimit_) {
    AbortProposal(
      aContext, 503, "other changes kept coming first; nothing changed");
    return;
  }
  DropPending(aContext.entry_, proposal.prepare_.operation_);
  SendToMembers(aContext, Abort{ proposal.prepare_.operation_ });
  proposal.prepare_ = {};
  StartReading(aContext, !aContext.entry_.agreement_.inForce_);
}

void
OnSwapAnswer(EventContext& aContext, const StoreAnswer& aAnswer)
{
  const Proposal& proposal = *aContext.entry_.proposals_.current_;
  switch (aAnswer.status_) {
    case StoreStatus::Ok:
      OnAccepted(aContext, aAnswer.revision_);
      return;
    case StoreStatus::Conflict:
      Restart(aContext);
      return;
    case StoreStatus::Unavailable:
      AbortProposal(
        aContext, 503, "the store can't be reached; nothing changed");
      return;
    case StoreStatus::Lost:
      ++aContext.entry_.counts_["store_answers_lost"];
      if (!proposal.base_) {
        // This was the very first head. No fence is possible without a
        // revision; the next read of the head tells who wrote it.
        FinishProposal(aContext);
        return;
      }
      StartFence(aContext);
      return;
  }
}

void
OnFenceAnswer(EventContext& aContext, const StoreAnswer& aAnswer)
{
  Proposal& proposal = *aContext.entry_.proposals_.current_;
  if (aAnswer.status_ == StoreStatus::Ok) {
    auto snapshot = std::make_shared<Snapshot>(*proposal.base_);
    snapshot->revision_ = aAnswer.revision_;
    Adopt(aContext, snapshot, "fence");
    ConfigReply update;
    update.inForce_ = MakeDelta(*snapshot, snapshot->config_->number_);
    SendToMembers(aContext, update);
    AbortProposal(aContext, 503, "the store lost the answer; nothing changed");
    return;
  }
  if (aAnswer.status_ == StoreStatus::Conflict) {
    StartReading(aContext, false); // the head has changed: read it
    return;
  }
  proposal.resendAt_ = aContext.now_ + kFenceRetryInterval;
  proposal.call_ = 0;
}

void
OnLookUpAnswer(EventContext& aContext, const StoreAnswer& aAnswer)
{
  Proposal& proposal = *aContext.entry_.proposals_.current_;
  if (aAnswer.status_ != StoreStatus::Ok) {
    AbortProposal(
      aContext, 504, "the store can't be reached; read the ticket back");
    return;
  }
  if (aAnswer.values_.empty()) {
    AbortProposal(aContext, 409, "that number was accepted long ago");
    return;
  }
  const auto digest = DecodeTicketDigest(aAnswer.values_.front().value_);
  if (!digest || *digest != proposal.ticket_.digest_) {
    AbortProposal(aContext, 409, "another ticket has that number");
    return;
  }
  if (!proposal.isSwapUncertain_) {
    AbortProposal(aContext, 200, "the same ticket was accepted before");
    return;
  }
  // The swap whose answer was lost did take effect.
  proposal.prepare_ = {};
  ReplyToFiling(aContext, proposal, 201, "accepted and in force");
  FinishProposal(aContext);
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Events
//-----------------------------------------------------------------------------

void
OnTicketFiled(EventContext& aContext, const TicketFiled& aFiled)
{
  Proposals& proposals = aContext.entry_.proposals_;
  Proposal proposal;
  proposal.kind_ = ProposalKind::Ticket;
  proposal.filing_ = aFiled.filing_;
  proposal.checkOnly_ = aFiled.checkOnly_;
  Findings findings;
  leaf::try_handle_all(
    [&]() -> leaf::result<void> {
      BOOST_LEAF_ASSIGN(proposal.ticket_, ParseTicket(aFiled.text_));
      return {};
    },
    [&](const Findings& aFindings) { findings = aFindings; },
    [&] {
      findings.push_back({ {}, "can't be read" });
    });
  if (!findings.empty()) {
    ReplyToFiling(aContext, proposal, 422, "the ticket is refused", findings);
    return;
  }
  if (proposals.current_) {
    if (proposals.waiting_.size() >= kMaxWaitingFilings) {
      ReplyToFiling(
        aContext, proposal, 503, "too many tickets wait here; nothing changed");
      return;
    }
    proposals.waiting_.push_back(aFiled);
    return;
  }
  StartProposal(aContext, std::move(proposal));
}

void
OnPrepare(EventContext& aContext,
          const PeerFrame& aFrame,
          const Prepare& aPrepare)
{
  Entry& entry = aContext.entry_;
  const Agreement& agreement = entry.agreement_;
  PrepareAck ack;
  ack.operation_ = aPrepare.operation_;
  ack.revision_ = agreement.inForce_ ? agreement.inForce_->revision_ : 0;
  // Veto the removal of a member that is responsive here: the proposer may just
  // be cut off from it. A member may always remove itself.
  bool isVeto = false;
  if (agreement.inForce_) {
    for (const Member& member : agreement.inForce_->members_) {
      const auto& next = aPrepare.change_.members_;
      const bool isKept =
        std::any_of(next.begin(), next.end(), [&](const Member& aNext) {
          return aNext.id_ == member.id_;
        });
      const bool isSelfRemoval = member.id_ == aFrame.from_;
      isVeto |= !isKept && !isSelfRemoval &&
                (IsSelf(entry, member) ||
                 IsResponsive(entry, member.id_, aContext.now_));
    }
  }
  ack.accepted_ = !isVeto && AddPending(aContext, aPrepare, aFrame.from_);
  SendToPeer(aContext, aFrame.from_, ack);
}

void
OnPrepareAck(EventContext& aContext,
             const PeerFrame& aFrame,
             const PrepareAck& aAck)
{
  auto& current = aContext.entry_.proposals_.current_;
  if (!current || current->phase_ != ProposalPhase::Preparing ||
      current->prepare_.operation_ != aAck.operation_) {
    return;
  }
  if (aAck.accepted_) {
    current->acks_.insert(aFrame.from_);
    SwapIfAcknowledged(aContext);
  } else if (aAck.revision_ > current->prepare_.baseRevision_) {
    Restart(aContext); // another entry's change was accepted first
  }
}

void
OnConfigAck(EventContext& aContext,
            const PeerFrame& aFrame,
            const ConfigAck& aAck)
{
  auto& current = aContext.entry_.proposals_.current_;
  if (!current || current->phase_ != ProposalPhase::Confirming ||
      aAck.revision_ < current->acceptedRevision_) {
    return;
  }
  current->confirmed_.insert(aFrame.from_);
  if (IsMajorityOfBase(*current, current->confirmed_)) {
    ReplyToFiling(aContext, *current, 201, "accepted and in force");
    FinishProposal(aContext);
  }
}

bool
OnProposalAnswer(EventContext& aContext, const StoreAnswer& aAnswer)
{
  auto& current = aContext.entry_.proposals_.current_;
  if (!current || current->call_ != aAnswer.call_) {
    return false;
  }
  switch (current->phase_) {
    case ProposalPhase::Reading:
      OnReadAnswer(aContext, aAnswer);
      break;
    case ProposalPhase::Swapping:
      OnSwapAnswer(aContext, aAnswer);
      break;
    case ProposalPhase::Fencing:
      OnFenceAnswer(aContext, aAnswer);
      break;
    case ProposalPhase::LookingUp:
      OnLookUpAnswer(aContext, aAnswer);
      break;
    case ProposalPhase::Preparing:
    case ProposalPhase::Confirming:
      break; // no store call is under way in these phases
  }
  return true;
}

} // namespace cuminbridge::forwarder
