// Changes of the head: answers of the store, frames and filings. The order of
// steps is in proposal.h.

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
OnReadAnswer(Turn& aTurn, const StoreAnswer& aAnswer)
{
  Proposal& proposal = *aTurn.entry_.proposals_.current_;
  const Agreement& agreement = aTurn.entry_.agreement_;
  if (aAnswer.status_ != StoreStatus::Ok) {
    if (proposal.isSwapUncertain_) {
      StartFence(aTurn);
      return;
    }
    GiveUp(aTurn, 503, "the store can't be reached; nothing changed");
    return;
  }
  if (aAnswer.values_.empty()) {
    if (agreement.inForce_) {
      GiveUp(aTurn, 503, "the store has lost its head record");
      return;
    }
    BuildChange(aTurn);
    return;
  }
  const bool isCurrent =
    agreement.inForce_ && !proposal.isWholeRead_ &&
    aAnswer.values_.front().revision_ == agreement.inForce_->revision_;
  if (isCurrent) {
    SetStoreEvidence(aTurn, proposal.phaseAt_);
  } else if (!proposal.isWholeRead_) {
    StartReading(aTurn, true);
    return;
  } else if (!TakeSnapshot(aTurn, aAnswer, proposal.phaseAt_)) {
    GiveUp(aTurn, 503, "the store's records can't be used; nothing changed");
    return;
  }
  BuildChange(aTurn);
}

void
OnAccepted(Turn& aTurn, std::int64_t aRevision)
{
  Proposal& proposal = *aTurn.entry_.proposals_.current_;
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->revision_ = aRevision;
  snapshot->members_ = proposal.prepare_.change_.members_;
  snapshot->config_ = proposal.nextConfig_;
  proposal.acceptedRevision_ = aRevision;
  const std::int64_t since = proposal.prepare_.change_.sinceNumber_;
  Adopt(aTurn, snapshot, "own proposal");
  ConfigReply news;
  news.inForce_ = MakeDelta(*snapshot, since);
  SendToMembers(aTurn, news);
  if (proposal.kind_ != ProposalKind::Ticket) {
    aTurn.entry_.proposals_.isLeft_ |= proposal.isLeave_;
    Finish(aTurn);
    return;
  }
  ++aTurn.entry_.counts_["tickets_accepted"];
  SetPhase(aTurn, ProposalPhase::Confirming);
  proposal.resendAt_ = aTurn.now_ + kResendInterval;
  proposal.confirmed_.insert(aTurn.entry_.options_.self_.id_);
  if (IsMajorityOfBase(proposal, proposal.confirmed_)) {
    AnswerFiled(aTurn, proposal, 201, "accepted and in force");
    Finish(aTurn);
  }
}

void
Restart(Turn& aTurn)
{
  Proposal& proposal = *aTurn.entry_.proposals_.current_;
  if (aTurn.now_ - proposal.startedAt_ > aTurn.entry_.options_.filingLimit_) {
    GiveUp(aTurn, 503, "other changes kept coming first; nothing changed");
    return;
  }
  DropPending(aTurn.entry_, proposal.prepare_.operation_);
  SendToMembers(aTurn, Abort{ proposal.prepare_.operation_ });
  proposal.prepare_ = {};
  StartReading(aTurn, !aTurn.entry_.agreement_.inForce_);
}

void
OnSwapAnswer(Turn& aTurn, const StoreAnswer& aAnswer)
{
  const Proposal& proposal = *aTurn.entry_.proposals_.current_;
  switch (aAnswer.status_) {
    case StoreStatus::Ok:
      OnAccepted(aTurn, aAnswer.revision_);
      return;
    case StoreStatus::Conflict:
      Restart(aTurn);
      return;
    case StoreStatus::Unavailable:
      GiveUp(aTurn, 503, "the store can't be reached; nothing changed");
      return;
    case StoreStatus::Lost:
      ++aTurn.entry_.counts_["store_answers_lost"];
      if (!proposal.base_) {
        Finish(aTurn); // the first head of all: reading tells who made it
        return;
      }
      StartFence(aTurn);
      return;
  }
}

void
OnFenceAnswer(Turn& aTurn, const StoreAnswer& aAnswer)
{
  Proposal& proposal = *aTurn.entry_.proposals_.current_;
  if (aAnswer.status_ == StoreStatus::Ok) {
    auto snapshot = std::make_shared<Snapshot>(*proposal.base_);
    snapshot->revision_ = aAnswer.revision_;
    Adopt(aTurn, snapshot, "fence");
    ConfigReply news;
    news.inForce_ = MakeDelta(*snapshot, snapshot->config_->number_);
    SendToMembers(aTurn, news);
    GiveUp(aTurn, 503, "the store lost the answer; nothing changed");
    return;
  }
  if (aAnswer.status_ == StoreStatus::Conflict) {
    StartReading(aTurn, false); // the head has moved: read what came
    return;
  }
  proposal.resendAt_ = aTurn.now_ + kFenceRetryInterval;
  proposal.call_ = 0;
}

void
OnLookUpAnswer(Turn& aTurn, const StoreAnswer& aAnswer)
{
  Proposal& proposal = *aTurn.entry_.proposals_.current_;
  if (aAnswer.status_ != StoreStatus::Ok) {
    GiveUp(aTurn, 504, "the store can't be reached; read the ticket back");
    return;
  }
  if (aAnswer.values_.empty()) {
    GiveUp(aTurn, 409, "that number was accepted long ago");
    return;
  }
  const auto digest = DecodeTicketDigest(aAnswer.values_.front().value_);
  if (!digest || *digest != proposal.ticket_.digest_) {
    GiveUp(aTurn, 409, "another ticket has that number");
    return;
  }
  if (!proposal.isSwapUncertain_) {
    GiveUp(aTurn, 200, "the same ticket was accepted before");
    return;
  }
  // The swap whose answer was lost took effect after all.
  proposal.prepare_ = {};
  AnswerFiled(aTurn, proposal, 201, "accepted and in force");
  Finish(aTurn);
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Events
//-----------------------------------------------------------------------------

void
OnTicketFiled(Turn& aTurn, const TicketFiled& aFiled)
{
  Proposals& proposals = aTurn.entry_.proposals_;
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
    AnswerFiled(aTurn, proposal, 422, "the ticket is refused", findings);
    return;
  }
  if (proposals.current_) {
    if (proposals.waiting_.size() >= kMaxWaitingFilings) {
      AnswerFiled(
        aTurn, proposal, 503, "too many tickets wait here; nothing changed");
      return;
    }
    proposals.waiting_.push_back(aFiled);
    return;
  }
  Start(aTurn, std::move(proposal));
}

void
OnPrepare(Turn& aTurn, const PeerFrame& aFrame, const Prepare& aPrepare)
{
  Entry& entry = aTurn.entry_;
  const Agreement& agreement = entry.agreement_;
  PrepareAck ack;
  ack.operation_ = aPrepare.operation_;
  ack.revision_ = agreement.inForce_ ? agreement.inForce_->revision_ : 0;
  // An entry that is heard here is not to be removed by one that is deaf.
  bool isVeto = false;
  if (agreement.inForce_) {
    for (const Member& member : agreement.inForce_->members_) {
      const auto& next = aPrepare.change_.members_;
      const bool isKept =
        std::any_of(next.begin(), next.end(), [&](const Member& aNext) {
          return aNext.id_ == member.id_;
        });
      const bool isOwnWish = member.id_ == aFrame.from_;
      isVeto |=
        !isKept && !isOwnWish &&
        (IsSelf(entry, member) || IsHeard(entry, member.id_, aTurn.now_));
    }
  }
  ack.accepted_ = !isVeto && AddPending(aTurn, aPrepare, aFrame.from_);
  SendToPeer(aTurn, aFrame.from_, ack);
}

void
OnPrepareAck(Turn& aTurn, const PeerFrame& aFrame, const PrepareAck& aAck)
{
  auto& current = aTurn.entry_.proposals_.current_;
  if (!current || current->phase_ != ProposalPhase::Preparing ||
      current->prepare_.operation_ != aAck.operation_) {
    return;
  }
  if (aAck.accepted_) {
    current->acks_.insert(aFrame.from_);
    SwapIfTold(aTurn);
  } else if (aAck.revision_ > current->prepare_.baseRevision_) {
    Restart(aTurn); // somebody else's change came first
  }
}

void
OnConfigAck(Turn& aTurn, const PeerFrame& aFrame, const ConfigAck& aAck)
{
  auto& current = aTurn.entry_.proposals_.current_;
  if (!current || current->phase_ != ProposalPhase::Confirming ||
      aAck.revision_ < current->acceptedRevision_) {
    return;
  }
  current->confirmed_.insert(aFrame.from_);
  if (IsMajorityOfBase(*current, current->confirmed_)) {
    AnswerFiled(aTurn, *current, 201, "accepted and in force");
    Finish(aTurn);
  }
}

bool
OnProposalAnswer(Turn& aTurn, const StoreAnswer& aAnswer)
{
  auto& current = aTurn.entry_.proposals_.current_;
  if (!current || current->call_ != aAnswer.call_) {
    return false;
  }
  switch (current->phase_) {
    case ProposalPhase::Reading:
      OnReadAnswer(aTurn, aAnswer);
      break;
    case ProposalPhase::Swapping:
      OnSwapAnswer(aTurn, aAnswer);
      break;
    case ProposalPhase::Fencing:
      OnFenceAnswer(aTurn, aAnswer);
      break;
    case ProposalPhase::LookingUp:
      OnLookUpAnswer(aTurn, aAnswer);
      break;
    case ProposalPhase::Preparing:
    case ProposalPhase::Confirming:
      break; // no call is under way in these
  }
  return true;
}

} // namespace cuminbridge::forwarder
