// The steps of a change of the head, up to its swap.

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
AnswerFiled(Turn& aTurn,
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
  aTurn.Emit(std::move(answer));
  aProposal.filing_ = 0;
}

void
Finish(Turn& aTurn)
{
  Proposals& proposals = aTurn.entry_.proposals_;
  if (proposals.current_->kind_ != ProposalKind::Ticket) {
    const auto jitter = std::chrono::milliseconds(
      aTurn.entry_.routing_.random_(kMembersRetryJitterMilliseconds));
    proposals.nextMembersTry_ = aTurn.now_ + kMembersRetry + jitter;
  }
  proposals.current_.reset();
}

// Ends a proposal that certainly changed nothing, and says so to all.
void
GiveUp(Turn& aTurn, int aStatus, const std::string& aMessage)
{
  Proposal& proposal = *aTurn.entry_.proposals_.current_;
  if (!proposal.prepare_.operation_.empty()) {
    DropPending(aTurn.entry_, proposal.prepare_.operation_);
    SendToMembers(aTurn, Abort{ proposal.prepare_.operation_ });
  }
  AnswerFiled(aTurn, proposal, aStatus, aMessage);
  Finish(aTurn);
}

//-----------------------------------------------------------------------------
// [SECTION] Reading, and building the change
//-----------------------------------------------------------------------------

void
SetPhase(Turn& aTurn, ProposalPhase aPhase)
{
  Proposal& proposal = *aTurn.entry_.proposals_.current_;
  proposal.phase_ = aPhase;
  proposal.phaseAt_ = aTurn.now_;
}

std::uint64_t
NewCall(Turn& aTurn)
{
  Proposal& proposal = *aTurn.entry_.proposals_.current_;
  proposal.call_ = aTurn.entry_.nextCall_++;
  return proposal.call_;
}

// Reads the head alone if this entry has a configuration, else everything.
void
StartReading(Turn& aTurn, bool aIsWhole)
{
  SetPhase(aTurn, ProposalPhase::Reading);
  aTurn.entry_.proposals_.current_->isWholeRead_ = aIsWhole;
  const std::string_view key = aIsWhole ? kConfigPrefix : kHeadKey;
  aTurn.Emit(StoreRead{ NewCall(aTurn), std::string(key), aIsWhole });
}

void
Start(Turn& aTurn, Proposal aProposal)
{
  aProposal.startedAt_ = aTurn.now_;
  aTurn.entry_.proposals_.current_ = std::move(aProposal);
  StartReading(aTurn, !aTurn.entry_.agreement_.inForce_);
}

namespace {

// The members after a joining, leaving or removal.
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
    // The entry that makes the very first head knows that there are no claims
    // on Idempotency-Keys; any other one has to learn them before it votes.
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
    return true; // nobody is there yet to be told
  }
  const auto& members = aProposal.base_->members_;
  const auto told =
    std::count_if(members.begin(), members.end(), [&](const Member& aMember) {
      return aIds.contains(aMember.id_);
    });
  return static_cast<std::size_t>(told) >= MajorityOf(members.size());
}

void
SendPrepare(Turn& aTurn)
{
  Proposal& proposal = *aTurn.entry_.proposals_.current_;
  proposal.resendAt_ = aTurn.now_ + kResendInterval;
  for (const Member& member : proposal.base_->members_) {
    if (!proposal.acks_.contains(member.id_)) {
      aTurn.Emit(SendPeer{ member.peerAddress_, proposal.prepare_ });
    }
  }
}

namespace {

void
SwapHead(Turn& aTurn)
{
  Proposal& proposal = *aTurn.entry_.proposals_.current_;
  SetPhase(aTurn, ProposalPhase::Swapping);
  StoreSwap swap;
  swap.call_ = NewCall(aTurn);
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
  aTurn.Emit(std::move(swap));
}

} // namespace

void
SwapIfTold(Turn& aTurn)
{
  const Proposal& proposal = *aTurn.entry_.proposals_.current_;
  if (IsMajorityOfBase(proposal, proposal.acks_)) {
    SwapHead(aTurn);
  }
}

namespace {

void
StartPreparing(Turn& aTurn, ConfigPtr aNext, std::vector<Member> aMembers)
{
  Entry& entry = aTurn.entry_;
  Proposal& proposal = *entry.proposals_.current_;
  const Member& self = entry.options_.self_;
  SetPhase(aTurn, ProposalPhase::Preparing);
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
    SwapHead(aTurn);
    return;
  }
  AddPending(aTurn, prepare, self.id_);
  proposal.acks_.insert(self.id_);
  SendPrepare(aTurn);
  SwapIfTold(aTurn);
}

void
LookUpTicket(Turn& aTurn)
{
  Proposal& proposal = *aTurn.entry_.proposals_.current_;
  SetPhase(aTurn, ProposalPhase::LookingUp);
  aTurn.Emit(
    StoreRead{ NewCall(aTurn), TicketKey(proposal.ticket_.number_), false });
}

void
BuildTicketChange(Turn& aTurn)
{
  Proposal& proposal = *aTurn.entry_.proposals_.current_;
  if (!proposal.base_) {
    GiveUp(aTurn, 503, "no entry has joined yet; nothing changed");
    return;
  }
  const Config& base = *proposal.base_->config_;
  const Ticket& ticket = proposal.ticket_;
  if (ticket.number_ <= base.number_) {
    LookUpTicket(aTurn);
    return;
  }
  if (ticket.number_ > base.number_ + 1) {
    GiveUp(aTurn,
           409,
           "the next ticket is number " + std::to_string(base.number_ + 1));
    return;
  }
  Findings findings = CheckTicket(ticket, base);
  if (!findings.empty()) {
    AnswerFiled(
      aTurn, proposal, 422, "the ticket is refused", std::move(findings));
    Finish(aTurn);
    return;
  }
  if (proposal.checkOnly_) {
    GiveUp(aTurn, 200, "the ticket would be accepted; nothing changed");
    return;
  }
  StartPreparing(aTurn, ApplyTicket(ticket, base), proposal.base_->members_);
}

} // namespace

void
StartFence(Turn& aTurn)
{
  Proposal& proposal = *aTurn.entry_.proposals_.current_;
  SetPhase(aTurn, ProposalPhase::Fencing);
  proposal.isSwapUncertain_ = true;
  StoreSwap swap;
  swap.call_ = NewCall(aTurn);
  swap.compares_.push_back(
    { std::string(kHeadKey), proposal.base_->revision_ });
  swap.puts_.push_back(
    { std::string(kHeadKey),
      EncodeHead(*proposal.base_->config_, proposal.base_->members_) });
  aTurn.Emit(std::move(swap));
}

namespace {

void
BuildFence(Turn& aTurn)
{
  const Agreement& agreement = aTurn.entry_.agreement_;
  if (agreement.pending_.empty() || !aTurn.entry_.proposals_.current_->base_) {
    Finish(aTurn); // reading the head has settled it
    return;
  }
  StartFence(aTurn);
}

void
BuildMembersChange(Turn& aTurn)
{
  Proposal& proposal = *aTurn.entry_.proposals_.current_;
  std::vector<Member> members =
    NextMembers(proposal, aTurn.entry_.options_.self_);
  const bool isSame = proposal.base_ && members == proposal.base_->members_;
  if (isSame || members.empty()) {
    aTurn.entry_.proposals_.isLeft_ |= proposal.isLeave_;
    Finish(aTurn);
    return;
  }
  ConfigPtr config =
    proposal.base_ ? proposal.base_->config_ : ConfigBuilder().Build();
  StartPreparing(aTurn, std::move(config), std::move(members));
}

} // namespace

void
BuildChange(Turn& aTurn)
{
  Proposal& proposal = *aTurn.entry_.proposals_.current_;
  proposal.base_ = aTurn.entry_.agreement_.inForce_;
  switch (proposal.kind_) {
    case ProposalKind::Ticket:
      BuildTicketChange(aTurn);
      return;
    case ProposalKind::Members:
      BuildMembersChange(aTurn);
      return;
    case ProposalKind::Fence:
      BuildFence(aTurn);
      return;
  }
}

} // namespace cuminbridge::forwarder
