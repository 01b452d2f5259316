// What is due for a proposal: the next one to start, and limits that passed.

#include <algorithm>

#include "agreement.h"
#include "claims.h"
#include "proposal.h"
#include "proposal_steps.h"

namespace cuminbridge::forwarder {

namespace {

constexpr Duration kConfirmLimit = std::chrono::seconds(2);
constexpr Duration kOrphanAge = std::chrono::seconds(3);

bool
IsRankDue(const Entry& aEntry, TimePoint aSince, TimePoint aNow)
{
  // Entries take turns, by their place among the members, so that they don't
  // all fence the same change at once.
  constexpr Duration kStep = std::chrono::milliseconds(300);
  const auto& members = aEntry.agreement_.inForce_->members_;
  Duration wait = kOrphanAge;
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
      return IsRankDue(aEntry, aPending.since_, aNow);
    });
}

std::set<std::string>
SilentMembers(const Entry& aEntry, TimePoint aNow)
{
  std::set<std::string> silent;
  const Agreement& agreement = aEntry.agreement_;
  if (aNow - agreement.knownSince_ < aEntry.options_.memberLapse_) {
    return silent; // too early to tell
  }
  for (const Member& member : agreement.inForce_->members_) {
    if (!IsSelf(aEntry, member) && !IsHeard(aEntry, member.id_, aNow)) {
      silent.insert(member.id_);
    }
  }
  return silent;
}

bool
IsLeaveDue(const Entry& aEntry)
{
  return aEntry.shutdown_.isAsked_ && !aEntry.shutdown_.isAccepting_ &&
         aEntry.routing_.requests_.empty() && !aEntry.proposals_.isLeft_;
}

void
StartMembersChange(Turn& aTurn)
{
  Entry& entry = aTurn.entry_;
  if (aTurn.now_ < entry.proposals_.nextMembersTry_) {
    return;
  }
  Proposal proposal;
  proposal.kind_ = ProposalKind::Members;
  if (entry.shutdown_.isAsked_) {
    proposal.isLeave_ = IsLeaveDue(entry);
  } else if (!IsMember(entry)) {
    proposal.isJoin_ = true;
  } else if (entry.claims_.isSynced_ && !IsVoter(entry)) {
    proposal.isPromotion_ = true;
  } else if (IsSteward(entry, aTurn.now_) && IsFresh(entry, aTurn.now_)) {
    proposal.removals_ = SilentMembers(entry, aTurn.now_);
  }
  const bool isAny = proposal.isLeave_ || proposal.isJoin_ ||
                     proposal.isPromotion_ || !proposal.removals_.empty();
  if (!isAny) {
    return;
  }
  Start(aTurn, std::move(proposal));
}

void
StartNext(Turn& aTurn)
{
  Entry& entry = aTurn.entry_;
  Proposals& proposals = entry.proposals_;
  if (entry.agreement_.inForce_ && IsFenceDue(entry, aTurn.now_) &&
      aTurn.now_ >= proposals.nextMembersTry_) {
    Start(aTurn, Proposal{});
    return;
  }
  if (!proposals.waiting_.empty()) {
    const TicketFiled filed = std::move(proposals.waiting_.front());
    proposals.waiting_.pop_front();
    OnTicketFiled(aTurn, filed);
    return;
  }
  StartMembersChange(aTurn);
}

void
TickCurrent(Turn& aTurn)
{
  Proposal& proposal = *aTurn.entry_.proposals_.current_;
  const EntryOptions& options = aTurn.entry_.options_;
  const Duration inPhase = aTurn.now_ - proposal.phaseAt_;
  const bool isResendDue = aTurn.now_ >= proposal.resendAt_;
  if (aTurn.now_ - proposal.startedAt_ > options.filingLimit_ &&
      proposal.phase_ != ProposalPhase::Confirming) {
    AnswerFiled(aTurn, proposal, 504, "outcome unknown; read the ticket back");
  }
  if (proposal.phase_ == ProposalPhase::Preparing) {
    if (inPhase > options.prepareLimit_) {
      GiveUp(aTurn,
             503,
             "no majority of the entries could be told; nothing changed");
    } else if (isResendDue) {
      SendPrepare(aTurn);
    }
  } else if (proposal.phase_ == ProposalPhase::Fencing) {
    if (proposal.call_ == 0 && isResendDue) {
      StartFence(aTurn);
    }
  } else if (proposal.phase_ == ProposalPhase::Confirming) {
    if (inPhase > kConfirmLimit) {
      AnswerFiled(aTurn,
                  proposal,
                  504,
                  "accepted in the store, not yet confirmed by a majority of "
                  "the entries; read what is in force");
      Finish(aTurn);
    } else if (isResendDue) {
      ConfigReply news;
      news.inForce_ = MakeDelta(*aTurn.entry_.agreement_.inForce_,
                                proposal.prepare_.change_.sinceNumber_);
      proposal.resendAt_ = aTurn.now_ + kResendInterval;
      SendToMembers(aTurn, news);
    }
  }
}

} // namespace

void
TickProposals(Turn& aTurn)
{
  if (aTurn.entry_.proposals_.current_) {
    TickCurrent(aTurn);
  }
  if (!aTurn.entry_.proposals_.current_) {
    StartNext(aTurn);
  }
}

} // namespace cuminbridge::forwarder
