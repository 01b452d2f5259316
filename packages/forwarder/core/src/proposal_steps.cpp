// The steps of a change of the head, up to its swap. See proposal_steps.h.

#include "proposal_steps.h"

#include <algorithm>

#include "agreement.h"
#include "claims.h"
#include "records.h"

namespace cuminbridge::forwarder {

namespace {

constexpr Duration kMembersRetry = std::chrono::milliseconds(300);
constexpr int kMembersRetryJitterMilliseconds = 500;

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Answering the operator
//-----------------------------------------------------------------------------

void
ReplyToFiling(EventContext& aContext,
              Proposal& aProposal,
              int aStatus,
              std::string aMessage,
              Findings aFindings)
{
  if (aProposal.filing_ == 0) {
    return;
  }
  AnswerFiling answer;
  answer.filing_ = aProposal.filing_;
  answer.status_ = aStatus;
  answer.number_ = aProposal.ticket_.number_;
  answer.digest_ = aProposal.ticket_.digest_;
  answer.message_ = std::move(aMessage);
  answer.findings_ = std::move(aFindings);
  aContext.Emit(std::move(answer));
  aProposal.filing_ = 0;
}

void
FinishProposal(EventContext& aContext)
{
  Proposals& proposals = aContext.entry_.proposals_;
  if (proposals.current_->kind_ != ProposalKind::Ticket) {
    const auto jitter = std::chrono::milliseconds(
      aContext.entry_.routing_.random_(kMembersRetryJitterMilliseconds));
    proposals.nextMembersTry_ = aContext.now_ + kMembersRetry + jitter;
  }
  proposals.current_.reset();
}

void
AbortProposal(EventContext& aContext, int aStatus, const std::string& aMessage)
{
  Proposal& proposal = *aContext.entry_.proposals_.current_;
  if (!proposal.prepare_.operation_.empty()) {
    DropPending(aContext.entry_, proposal.prepare_.operation_);
    SendToMembers(aContext, Abort{ proposal.prepare_.operation_ });
  }
  ReplyToFiling(aContext, proposal, aStatus, aMessage);
  FinishProposal(aContext);
}

//-----------------------------------------------------------------------------
// [SECTION] Reading, and building the change
//-----------------------------------------------------------------------------

void
SetPhase(EventContext& aContext, ProposalPhase aPhase)
{
  Proposal& proposal = *aContext.entry_.proposals_.current_;
  proposal.phase_ = aPhase;
  proposal.phaseAt_ = aContext.now_;
}

std::uint64_t
NewCall(EventContext& aContext)
{
  Proposal& proposal = *aContext.entry_.proposals_.current_;
  proposal.call_ = aContext.entry_.nextCall_++;
  return proposal.call_;
}

void
StartReading(EventContext& aContext, bool aIsWhole)
{
  SetPhase(aContext, ProposalPhase::Reading);
  aContext.entry_.proposals_.current_->isWholeRead_ = aIsWhole;
  const std::string_view key = aIsWhole ? kConfigPrefix : kHeadKey;
  aContext.Emit(StoreRead{ NewCall(aContext), std::string(key), aIsWhole });
}

void
StartProposal(EventContext& aContext, Proposal aProposal)
{
  aProposal.startedAt_ = aContext.now_;
  aContext.entry_.proposals_.current_ = std::move(aProposal);
  StartReading(aContext, !aContext.entry_.agreement_.inForce_);
}

namespace {

// The members after the change that the proposal describes.
std::vector<Member>
NextMembers(const Proposal& aProposal, const Member& aSelf)
{
  std::map<std::string, Member> byId;
  if (aProposal.base_) {
    for (const Member& member : aProposal.base_->members_) {
      byId.emplace(member.id_, member);
    }
  }
  for (const std::string& id : aProposal.removals_) {
    byId.erase(id);
  }
  if (aProposal.isJoin_) {
    // The entry that writes the very first head knows that there are no claims
    // on Idempotency-Keys yet. Any other entry must learn the existing claims
    // before it may vote.
    Member joined = aSelf;
    joined.isVoter_ = !aProposal.base_;
    byId.insert_or_assign(aSelf.id_, joined);
  }
  const auto own = byId.find(aSelf.id_);
  if (aProposal.isPromotion_ && own != byId.end() &&
      own->second.incarnation_ == aSelf.incarnation_) {
    own->second.isVoter_ = true;
  }
  if (aProposal.isLeave_) {
    byId.erase(aSelf.id_);
  }
  std::vector<Member> members;
  members.reserve(byId.size());
  for (auto& [id, member] : byId) {
    members.push_back(std::move(member));
  }
  return members;
}

} // namespace

bool
IsMajorityOfBase(const Proposal& aProposal, const std::set<std::string>& aIds)
{
  if (!aProposal.base_) {
    return true; // there are no members yet
  }
  const auto& members = aProposal.base_->members_;
  const auto acknowledged =
    std::count_if(members.begin(), members.end(), [&](const Member& aMember) {
      return aIds.contains(aMember.id_);
    });
  return static_cast<std::size_t>(acknowledged) >= MajorityOf(members.size());
}

void
SendPrepare(EventContext& aContext)
{
  Proposal& proposal = *aContext.entry_.proposals_.current_;
  proposal.resendAt_ = aContext.now_ + kResendInterval;
  for (const Member& member : proposal.base_->members_) {
    if (!proposal.acks_.contains(member.id_)) {
      aContext.Emit(SendPeer{ member.peerAddress_, proposal.prepare_ });
    }
  }
}

namespace {

void
SwapHead(EventContext& aContext)
{
  Proposal& proposal = *aContext.entry_.proposals_.current_;
  SetPhase(aContext, ProposalPhase::Swapping);
  StoreSwap swap;
  swap.call_ = NewCall(aContext);
  swap.compares_.push_back(
    { std::string(kHeadKey), proposal.prepare_.baseRevision_ });
  swap.puts_ = EncodeChange(proposal.prepare_.change_, *proposal.nextConfig_);
  if (proposal.kind_ == ProposalKind::Ticket) {
    const std::int64_t number = proposal.ticket_.number_;
    swap.puts_.push_back(
      { TicketKey(number), EncodeTicketRecord(proposal.ticket_) });
    if (number > kTicketsKept) {
      swap.deletes_.push_back(TicketKey(number - kTicketsKept));
    }
  }
  aContext.Emit(std::move(swap));
}

} // namespace

void
SwapIfAcknowledged(EventContext& aContext)
{
  const Proposal& proposal = *aContext.entry_.proposals_.current_;
  if (IsMajorityOfBase(proposal, proposal.acks_)) {
    SwapHead(aContext);
  }
}

namespace {

void
StartPreparing(EventContext& aContext,
               ConfigPtr aNext,
               std::vector<Member> aMembers)
{
  Entry& entry = aContext.entry_;
  Proposal& proposal = *entry.proposals_.current_;
  const Member& self = entry.options_.self_;
  SetPhase(aContext, ProposalPhase::Preparing);
  proposal.acks_.clear();
  proposal.isSwapUncertain_ = false;
  proposal.nextConfig_ = std::move(aNext);

  Snapshot next;
  next.members_ = std::move(aMembers);
  next.config_ = proposal.nextConfig_;
  const std::int64_t baseNumber =
    proposal.base_ ? proposal.base_->config_->number_ : -1;
  Prepare& prepare = proposal.prepare_;
  prepare.operation_ = self.id_ + "#" + std::to_string(self.incarnation_) +
                       "#" + std::to_string(entry.proposals_.nextOperation_++);
  prepare.baseRevision_ = proposal.base_ ? proposal.base_->revision_ : 0;
  prepare.change_ = MakeDelta(next, baseNumber);
  if (!proposal.base_) {
    SwapHead(aContext);
    return;
  }
  AddPending(aContext, prepare, self.id_);
  proposal.acks_.insert(self.id_);
  SendPrepare(aContext);
  SwapIfAcknowledged(aContext);
}

void
LookUpTicket(EventContext& aContext)
{
  Proposal& proposal = *aContext.entry_.proposals_.current_;
  SetPhase(aContext, ProposalPhase::LookingUp);
  aContext.Emit(
    StoreRead{ NewCall(aContext), TicketKey(proposal.ticket_.number_), false });
}

void
BuildTicketChange(EventContext& aContext)
{
  Proposal& proposal = *aContext.entry_.proposals_.current_;
  if (!proposal.base_) {
    AbortProposal(aContext, 503, "no entry has joined yet; nothing changed");
    return;
  }
  const Config& base = *proposal.base_->config_;
  const Ticket& ticket = proposal.ticket_;
  if (ticket.number_ <= base.number_) {
    LookUpTicket(aContext);
    return;
  }
  if (ticket.number_ > base.number_ + 1) {
    AbortProposal(aContext,
                  409,
                  "the next ticket is number " +
                    std::to_string(base.number_ + 1));
    return;
  }
  Findings findings = CheckTicket(ticket, base);
  if (!findings.empty()) {
    ReplyToFiling(
      aContext, proposal, 422, "the ticket is refused", std::move(findings));
    FinishProposal(aContext);
    return;
  }
  if (proposal.checkOnly_) {
    AbortProposal(
      aContext, 200, "the ticket would be accepted; nothing changed");
    return;
  }
  StartPreparing(aContext, ApplyTicket(ticket, base), proposal.base_->members_);
}

} // namespace

void
StartFence(EventContext& aContext)
{
  Proposal& proposal = *aContext.entry_.proposals_.current_;
  SetPhase(aContext, ProposalPhase::Fencing);
  proposal.isSwapUncertain_ = true;
  StoreSwap swap;
  swap.call_ = NewCall(aContext);
  swap.compares_.push_back(
    { std::string(kHeadKey), proposal.base_->revision_ });
  swap.puts_.push_back(
    { std::string(kHeadKey),
      EncodeHead(*proposal.base_->config_, proposal.base_->members_) });
  aContext.Emit(std::move(swap));
}

namespace {

void
BuildFence(EventContext& aContext)
{
  const Agreement& agreement = aContext.entry_.agreement_;
  if (agreement.pending_.empty() ||
      !aContext.entry_.proposals_.current_->base_) {
    FinishProposal(aContext); // reading the head has decided the change
    return;
  }
  StartFence(aContext);
}

void
BuildMembersChange(EventContext& aContext)
{
  Proposal& proposal = *aContext.entry_.proposals_.current_;
  std::vector<Member> members =
    NextMembers(proposal, aContext.entry_.options_.self_);
  const bool isSame = proposal.base_ && members == proposal.base_->members_;
  if (isSame || members.empty()) {
    aContext.entry_.proposals_.hasLeft_ |= proposal.isLeave_;
    FinishProposal(aContext);
    return;
  }
  ConfigPtr config =
    proposal.base_ ? proposal.base_->config_ : ConfigBuilder().Build();
  StartPreparing(aContext, std::move(config), std::move(members));
}

} // namespace

void
BuildChange(EventContext& aContext)
{
  Proposal& proposal = *aContext.entry_.proposals_.current_;
  proposal.base_ = aContext.entry_.agreement_.inForce_;
  switch (proposal.kind_) {
    case ProposalKind::Ticket:
      BuildTicketChange(aContext);
      return;
    case ProposalKind::Members:
      BuildMembersChange(aContext);
      return;
    case ProposalKind::Fence:
      BuildFence(aContext);
      return;
  }
}

} // namespace cuminbridge::forwarder
