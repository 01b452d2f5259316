// Proposals on a tick: the next one to start, resends, and time-outs.

#include <algorithm>

#include "agreement.h"
#include "claims.h"
#include "proposal.h"
#include "proposal_steps.h"

namespace cuminbridge::forwarder {

namespace {

constexpr Duration kConfirmLimit = std::chrono::seconds(2);
constexpr Duration kFenceDelay = std::chrono::seconds(3);

bool
IsFenceDelayOver(const Entry& aEntry, TimePoint aSince, TimePoint aNow)
{
  // Each member waits longer than the one before it in the list, so that they
  // don't all fence the same change at once.
  constexpr Duration kStep = std::chrono::milliseconds(300);
  const auto& members = aEntry.agreement_.inForce_->members_;
  Duration wait = kFenceDelay;
  for (const Member& member : members) {
    if (member.id_ == aEntry.options_.self_.id_) {
      break;
    }
    wait += kStep;
  }
  return aNow - aSince >= wait;
}

bool
IsFenceDue(const Entry& aEntry, TimePoint aNow)
{
  const auto& pending = aEntry.agreement_.pending_;
  return std::any_of(
    pending.begin(), pending.end(), [&](const PendingChange& aPending) {
      return IsFenceDelayOver(aEntry, aPending.since_, aNow);
    });
}

std::set<std::string>
FindUnresponsiveMembers(const Entry& aEntry, TimePoint aNow)
{
  std::set<std::string> unresponsive;
  const Agreement& agreement = aEntry.agreement_;
  if (aNow - agreement.firstConfigAt_ < aEntry.options_.memberTimeout_) {
    return unresponsive; // this entry has not listened for long enough yet
  }
  for (const Member& member : agreement.inForce_->members_) {
    if (!IsSelf(aEntry, member) && !IsResponsive(aEntry, member.id_, aNow)) {
      unresponsive.insert(member.id_);
    }
  }
  return unresponsive;
}

bool
IsLeaveDue(const Entry& aEntry)
{
  return aEntry.shutdown_.isRequested_ && !aEntry.shutdown_.isAccepting_ &&
         aEntry.routing_.requests_.empty() && !aEntry.proposals_.hasLeft_;
}

void
StartMembersChange(EventContext& aContext)
{
  Entry& entry = aContext.entry_;
  if (aContext.now_ < entry.proposals_.nextMembersTry_) {
    return;
  }
  Proposal proposal;
  proposal.kind_ = ProposalKind::Members;
  if (entry.shutdown_.isRequested_) {
    proposal.isLeave_ = IsLeaveDue(entry);
  } else if (!IsMember(entry)) {
    proposal.isJoin_ = true;
  } else if (entry.claims_.isSynced_ && !IsVoter(entry)) {
    proposal.isPromotion_ = true;
  } else if (IsCoordinator(entry, aContext.now_) &&
             IsFresh(entry, aContext.now_)) {
    proposal.removals_ = FindUnresponsiveMembers(entry, aContext.now_);
  }
  const bool isAny = proposal.isLeave_ || proposal.isJoin_ ||
                     proposal.isPromotion_ || !proposal.removals_.empty();
  if (!isAny) {
    return;
  }
  StartProposal(aContext, std::move(proposal));
}

void
StartNext(EventContext& aContext)
{
  Entry& entry = aContext.entry_;
  Proposals& proposals = entry.proposals_;
  if (entry.agreement_.inForce_ && IsFenceDue(entry, aContext.now_) &&
      aContext.now_ >= proposals.nextMembersTry_) {
    StartProposal(aContext, Proposal{});
    return;
  }
  if (!proposals.waiting_.empty()) {
    const TicketFiled filed = std::move(proposals.waiting_.front());
    proposals.waiting_.pop_front();
    OnTicketFiled(aContext, filed);
    return;
  }
  StartMembersChange(aContext);
}

void
TickCurrent(EventContext& aContext)
{
  Proposal& proposal = *aContext.entry_.proposals_.current_;
  const EntryOptions& options = aContext.entry_.options_;
  const Duration inPhase = aContext.now_ - proposal.phaseAt_;
  const bool isResendDue = aContext.now_ >= proposal.resendAt_;
  if (aContext.now_ - proposal.startedAt_ > options.filingLimit_ &&
      proposal.phase_ != ProposalPhase::Confirming) {
    ReplyToFiling(
      aContext, proposal, 504, "outcome unknown; read the ticket back");
  }
  if (proposal.phase_ == ProposalPhase::Preparing) {
    if (inPhase > options.prepareLimit_) {
      AbortProposal(
        aContext,
        503,
        "no majority of the entries could be told; nothing changed");
    } else if (isResendDue) {
      SendPrepare(aContext);
    }
  } else if (proposal.phase_ == ProposalPhase::Fencing) {
    if (proposal.call_ == 0 && isResendDue) {
      StartFence(aContext);
    }
  } else if (proposal.phase_ == ProposalPhase::Confirming) {
    if (inPhase > kConfirmLimit) {
      ReplyToFiling(aContext,
                    proposal,
                    504,
                    "accepted in the store, not yet confirmed by a majority of "
                    "the entries; read what is in force");
      FinishProposal(aContext);
    } else if (isResendDue) {
      ConfigReply update;
      update.inForce_ = MakeDelta(*aContext.entry_.agreement_.inForce_,
                                  proposal.prepare_.change_.sinceNumber_);
      proposal.resendAt_ = aContext.now_ + kResendInterval;
      SendToMembers(aContext, update);
    }
  }
}

} // namespace

void
TickProposals(EventContext& aContext)
{
  if (aContext.entry_.proposals_.current_) {
    TickCurrent(aContext);
  }
  if (!aContext.entry_.proposals_.current_) {
    StartNext(aContext);
  }
}

} // namespace cuminbridge::forwarder
