// Holding, requesting and transferring permits. The ledger and its audits are
// in coordinator.cpp.

#include "permits.h"

#include <algorithm>

#include "agreement.h"
#include "claims.h"
#include "coordinator.h"
#include "routing.h"
#include "slots.h"
#include "waves.h"

namespace cuminbridge::forwarder {

namespace {

constexpr Duration kTransferResend = std::chrono::milliseconds(300);
constexpr Duration kAskInterval = std::chrono::milliseconds(100);
// Longer than the heartbeat interval, so that the use that peers report already
// includes the permits given last.
constexpr Duration kSpreadInterval = std::chrono::milliseconds(1500);
// A heartbeat goes to every peer, so its size must not grow with the number of
// accounts.
constexpr std::size_t kAccountsPerHeartbeat = 8;
constexpr AccountUse kNeverReported = { -1, -1, -1 };
constexpr std::size_t kPeersAsked = 3;
constexpr std::size_t kTransfersRemembered = 4096; // of each sender

// Gives permits to a peer; none if aCount is not positive or aPeer is no
// member.
void
GivePermits(EventContext& aContext,
            AccountState& aAccount,
            const std::string& aPeer,
            int aCount)
{
  PermitTransfer give;
  give.account_ = aAccount.name_;
  give.count_ = aCount;
  if (aCount > 0 && StartTransfer(aContext, aPeer, std::move(give))) {
    aAccount.held_ -= aCount;
    aContext.entry_.counts_["permits_given"] += static_cast<unsigned>(aCount);
  }
}

// Frees the permits of requests that were broken off and have certainly ended.
void
FreeQuarantine(EventContext& aContext, AccountState& aAccount)
{
  while (!aAccount.quarantine_.empty() &&
         aAccount.quarantine_.front() <= aContext.now_) {
    aAccount.quarantine_.pop_front();
    OnPermitFreed(aContext, aAccount);
  }
}

void
ResendTransfers(EventContext& aContext)
{
  Permits& permits = aContext.entry_.permits_;
  for (auto it = permits.transfers_.begin(); it != permits.transfers_.end();) {
    Transfer& transfer = it->second;
    if (FindMember(aContext.entry_, transfer.peer_, transfer.incarnation_) ==
        nullptr) {
      // The receiver is no longer a member, so any of these permits that it
      // accepted are void. After an audit they are issued again.
      it = permits.transfers_.erase(it);
      continue;
    }
    if (aContext.now_ >= transfer.resendAt_) {
      transfer.resendAt_ = aContext.now_ + kTransferResend;
      SendToPeer(aContext, transfer.peer_, transfer.give_);
    }
    ++it;
  }
}

// Adds transferred permits or slots to what this entry holds.
void
AddTransferred(EventContext& aContext, const PermitTransfer& aTransfer)
{
  if (!aTransfer.account_.empty()) {
    FindOrCreateAccount(aContext.entry_, aTransfer.account_).held_ +=
      aTransfer.count_;
  }
  AddReceivedSlots(aContext.entry_, aTransfer.slots_);
}

// Starts requests that waited for the transferred permits or slots.
void
DispatchTransferred(EventContext& aContext, const PermitTransfer& aTransfer)
{
  if (!aTransfer.account_.empty()) {
    DispatchAccount(aContext, aTransfer.account_);
  }
  if (!aTransfer.slots_.empty()) {
    DispatchAll(aContext);
  }
}

// For an account above its limit: gives the idle permits to the coordinator,
// which removes them from the ledger.
void
ReturnSurplus(EventContext& aContext, AccountState& aAccount)
{
  const std::string coordinator =
    FindCoordinator(aContext.entry_, aContext.now_);
  if (IsFrozen(aContext.entry_, aContext.now_) || coordinator.empty() ||
      coordinator == aContext.entry_.options_.self_.id_) {
    return;
  }
  GivePermits(aContext, aAccount, coordinator, IdlePermits(aAccount));
}

// Gives idle permits to peers that hold less than an even share, until each
// member holds its share. An entry that dies then takes no more than its share
// with it.
void
SpreadIdlePermits(EventContext& aContext, AccountState& aAccount)
{
  const Entry& entry = aContext.entry_;
  const auto& issued = entry.permits_.ledger_.issued_;
  const auto found = issued.find(aAccount.name_);
  if (found == issued.end() || aAccount.waiting_ > 0 || aAccount.running_ > 0 ||
      IsFrozen(entry, aContext.now_)) {
    return;
  }
  const auto& members = entry.agreement_.inForce_->members_;
  const int count = static_cast<int>(members.size());
  const int evenShare = (found->second + count - 1) / count;
  int surplus = IdlePermits(aAccount) - evenShare;
  for (const auto& [id, peer] : entry.agreement_.peers_) {
    if (surplus <= 0) {
      return;
    }
    const auto use = peer.accounts_.find(aAccount.name_);
    const int held = use == peer.accounts_.end()
                       ? 0
                       : use->second.idle_ + use->second.running_;
    const int given = std::min(surplus, evenShare - held);
    if (given > 0 && IsResponsive(entry, id, aContext.now_)) {
      GivePermits(aContext, aAccount, id, given);
      surplus -= given;
    }
  }
}

} // namespace

bool
IsFrozen(const Entry& aEntry, TimePoint aNow)
{
  return aNow < aEntry.permits_.frozenUntil_;
}

bool
StartTransfer(EventContext& aContext,
              const std::string& aPeer,
              PermitTransfer aTransfer)
{
  Permits& permits = aContext.entry_.permits_;
  const auto& peers = aContext.entry_.agreement_.peers_;
  const auto peer = peers.find(aPeer);
  if (peer == peers.end() ||
      FindMember(aContext.entry_, aPeer, peer->second.incarnation_) ==
        nullptr) {
    return false;
  }
  aTransfer.transfer_ = permits.nextTransfer_++;
  aTransfer.epoch_ = permits.epoch_;
  SendToPeer(aContext, aPeer, aTransfer);
  permits.transfers_.emplace(aTransfer.transfer_,
                             Transfer{ aTransfer,
                                       aPeer,
                                       peer->second.incarnation_,
                                       aContext.now_ + kTransferResend });
  return true;
}

std::string
FormatProcessId(const std::string& aId, std::uint64_t aIncarnation)
{
  return aId + "#" + std::to_string(aIncarnation);
}

AccountState&
FindOrCreateAccount(Entry& aEntry, const std::string& aName)
{
  AccountState& account = aEntry.permits_.accounts_[aName];
  if (account.name_.empty()) {
    account.name_ = aName;
  }
  return account;
}

int
IdlePermits(const AccountState& aAccount)
{
  const int used =
    aAccount.running_ + static_cast<int>(aAccount.quarantine_.size());
  return std::max(0, aAccount.held_ - used);
}

bool
IsAccountBlocked(const Entry& aEntry, const std::string& aAccount)
{
  const Agreement& agreement = aEntry.agreement_;
  const LedgerUpdate& ledger = aEntry.permits_.ledger_;
  const auto& accounts = agreement.inForce_->config_->accounts_;
  const auto config = accounts.find(aAccount);
  if (config == accounts.end() || !aEntry.permits_.isLedgerKnown_) {
    return true;
  }
  int limit = config->second->limit_;
  for (const PendingChange& pending : agreement.pending_) {
    const auto next = pending.config_->accounts_.find(aAccount);
    if (next != pending.config_->accounts_.end()) {
      limit = std::min(limit, next->second->limit_);
    }
  }
  const auto issued = ledger.issued_.find(aAccount);
  const int count = issued == ledger.issued_.end() ? 0 : issued->second;
  return ledger.number_ < config->second->loweredIn_ || count > limit;
}

void
RequestPermits(EventContext& aContext, AccountState& aAccount)
{
  Entry& entry = aContext.entry_;
  if (aAccount.waiting_ == 0 || aContext.now_ < aAccount.nextAsk_ ||
      IsAccountBlocked(entry, aAccount.name_)) {
    return;
  }
  aAccount.nextAsk_ = aContext.now_ + kAskInterval;
  std::vector<std::pair<int, const PeerState*>> peers;
  for (const auto& [id, peer] : entry.agreement_.peers_) {
    if (FindMember(entry, id, peer.incarnation_) == nullptr) {
      continue;
    }
    const auto use = peer.accounts_.find(aAccount.name_);
    const int idle = use == peer.accounts_.end() ? 0 : use->second.idle_;
    const int running = use == peer.accounts_.end() ? 0 : use->second.running_;
    // Peers with idle permits come first, then those with running requests,
    // whose permits will become idle.
    constexpr int kIdleWeight = 1000;
    const int noise = static_cast<int>(entry.routing_.random_(2));
    peers.emplace_back(idle * kIdleWeight + 2 * running + noise, &peer);
  }
  std::sort(peers.begin(), peers.end(), [](const auto& aOne, const auto& aTwo) {
    return aOne.first > aTwo.first;
  });
  if (peers.size() > kPeersAsked) {
    // The reported use may be out of date, so the last peer asked is chosen at
    // random from the rest.
    const auto others = static_cast<std::uint32_t>(peers.size() - kPeersAsked);
    const std::size_t chosen =
      kPeersAsked - 1 + entry.routing_.random_(others + 1);
    std::swap(peers[kPeersAsked - 1], peers[chosen]);
    peers.resize(kPeersAsked);
  }
  for (const auto& [weight, peer] : peers) {
    aContext.Emit(SendPeer{
      peer->address_, PermitRequest{ aAccount.name_, aAccount.waiting_ } });
  }
}

void
OnPermitFreed(EventContext& aContext, AccountState& aAccount)
{
  DropExpiredAsks(aAccount.asks_, aContext.now_);
  if (aAccount.asks_.byPeer_.empty() ||
      IsFrozen(aContext.entry_, aContext.now_) || IdlePermits(aAccount) == 0) {
    return;
  }
  // Permits go alternately to own requests and to asking peers, so that neither
  // is starved.
  aAccount.asks_.isPeerPreferred_ = !aAccount.asks_.isPeerPreferred_;
  if (aAccount.waiting_ > 0 && !aAccount.asks_.isPeerPreferred_) {
    return;
  }
  GivePermits(aContext, aAccount, TakeNextAsk(aAccount.asks_), 1);
}

std::map<std::string, AccountUse>
ReportAccountUse(Entry& aEntry)
{
  Permits& permits = aEntry.permits_;
  std::map<std::string, AccountUse> report;
  const auto reportRange = [&](auto aFrom, auto aTo) {
    for (auto it = aFrom; it != aTo && report.size() < kAccountsPerHeartbeat;
         ++it) {
      AccountState& account = it->second;
      const AccountUse use{ IdlePermits(account),
                            account.running_,
                            account.waiting_ };
      if (use != account.reported_) {
        account.reported_ = use;
        report.emplace(it->first, use);
        permits.lastReported_ = it->first;
      }
    }
  };
  // Continues in name order after the account reported last.
  const auto next = permits.accounts_.upper_bound(permits.lastReported_);
  reportRange(next, permits.accounts_.end());
  reportRange(permits.accounts_.begin(), next);
  return report;
}

void
ApplyPeerAccountUse(Entry& aEntry,
                    PeerState& aPeer,
                    const std::map<std::string, AccountUse>& aUse)
{
  for (const auto& [name, use] : aUse) {
    AccountState& account = FindOrCreateAccount(aEntry, name);
    AccountUse& last = aPeer.accounts_[name];
    account.runningElsewhere_ += use.running_ - last.running_;
    account.waitingElsewhere_ += use.waiting_ - last.waiting_;
    last = use;
  }
}

void
ForgetPeerAccountUse(Entry& aEntry, PeerState& aPeer)
{
  std::map<std::string, AccountUse> nothing;
  for (const auto& [name, use] : aPeer.accounts_) {
    nothing.emplace(name, AccountUse{});
  }
  ApplyPeerAccountUse(aEntry, aPeer, nothing);
  aPeer.accounts_.clear();
}

void
GiveAllIdlePermits(EventContext& aContext)
{
  for (auto& [name, account] : aContext.entry_.permits_.accounts_) {
    std::string receiver = FindCoordinator(aContext.entry_, aContext.now_);
    if (receiver == aContext.entry_.options_.self_.id_) {
      receiver = FindNextCoordinator(aContext.entry_, aContext.now_);
    }
    GivePermits(aContext, account, receiver, IdlePermits(account));
  }
}

void
OnMembersInForce(EventContext& aContext, const std::vector<Member>& aOld)
{
  Entry& entry = aContext.entry_;
  const bool wasMember = entry.permits_.epoch_ != 0;
  const bool isMember = IsMember(entry);
  entry.permits_.epoch_ =
    isMember ? HashMembers(entry.agreement_.inForce_->members_) : 0;
  if (wasMember && !isMember) {
    // Removed from the members: the permits held here are void from now on. The
    // entry rejoins as a new incarnation, without permits.
    for (auto& [name, account] : entry.permits_.accounts_) {
      account.held_ = 0;
    }
    entry.permits_.transfers_.clear();
    ++entry.options_.self_.incarnation_;
    aContext.Note("removed from the members",
                  "rejoining without permits as incarnation " +
                    std::to_string(entry.options_.self_.incarnation_));
  }
  for (auto& [id, peer] : entry.agreement_.peers_) {
    if (FindMember(entry, id, peer.incarnation_) == nullptr) {
      ForgetPeerAccountUse(entry, peer);
    }
  }
  for (auto& [name, account] : entry.permits_.accounts_) {
    account.reported_ = kNeverReported; // new members have no report yet
  }
  const auto isGone = [&](const auto& aKnown) {
    const auto& members = entry.agreement_.inForce_->members_;
    return std::none_of(
      members.begin(), members.end(), [&](const Member& aMember) {
        return FormatProcessId(aMember.id_, aMember.incarnation_) ==
               aKnown.first;
      });
  };
  // Late transfers from these processes carry an earlier epoch and are refused
  // for that reason, so the record of what they sent is not needed.
  std::erase_if(entry.permits_.received_, isGone);
  std::erase_if(entry.permits_.receivedUpTo_, isGone);
  AssignAllSlots(entry);
  OnEpochChanged(aContext);
  OnWaveEpochChanged(aContext, aOld);
  if (isMember) {
    OnClaimEpochChanged(aContext);
  }
}

void
OnPermitRequest(EventContext& aContext,
                const PeerFrame& aFrame,
                const PermitRequest& aRequest)
{
  AccountState& account =
    FindOrCreateAccount(aContext.entry_, aRequest.account_);
  if (IsFrozen(aContext.entry_, aContext.now_) || aRequest.count_ <= 0) {
    return;
  }
  const int idle = IdlePermits(account);
  const int spare = account.waiting_ > 0 ? idle / 2 : idle;
  const int given = std::min(spare, aRequest.count_);
  GivePermits(aContext, account, aFrame.from_, given);
  if (given < aRequest.count_) {
    account.asks_.byPeer_[aFrame.from_] = { aRequest.count_ - given,
                                            aContext.now_ + kAskLifetime };
  }
}

void
OnPermitTransfer(EventContext& aContext,
                 const PeerFrame& aFrame,
                 const PermitTransfer& aTransfer)
{
  Entry& entry = aContext.entry_;
  Permits& permits = entry.permits_;
  const std::string process =
    FormatProcessId(aFrame.from_, aFrame.incarnation_);
  auto& received = permits.received_[process];
  if (received.contains(aTransfer.transfer_) ||
      aTransfer.transfer_ <= permits.receivedUpTo_[process]) {
    SendToPeer(
      aContext, aFrame.from_, PermitReceipt{ aTransfer.transfer_, true });
    return;
  }
  if (IsFrozen(entry, aContext.now_)) {
    return; // the sender counts the permits until it receives an answer
  }
  const bool isAccepted =
    permits.epoch_ != 0 && aTransfer.epoch_ == permits.epoch_ &&
    FindMember(entry, aFrame.from_, aFrame.incarnation_) != nullptr;
  if (isAccepted) {
    received.insert(aTransfer.transfer_);
    if (received.size() > kTransfersRemembered) {
      // Transfer numbers increase, so the one forgotten is older than all that
      // are kept. From now on every number up to it counts as received.
      permits.receivedUpTo_[process] = *received.begin();
      received.erase(received.begin());
    }
    AddTransferred(aContext, aTransfer);
  }
  SendToPeer(
    aContext, aFrame.from_, PermitReceipt{ aTransfer.transfer_, isAccepted });
  if (isAccepted) {
    DispatchTransferred(aContext, aTransfer);
  }
}

void
OnPermitReceipt(EventContext& aContext,
                const PeerFrame& aFrame,
                const PermitReceipt& aReceipt)
{
  Permits& permits = aContext.entry_.permits_;
  const auto transfer = permits.transfers_.find(aReceipt.transfer_);
  if (transfer == permits.transfers_.end() ||
      transfer->second.peer_ != aFrame.from_ ||
      transfer->second.incarnation_ != aFrame.incarnation_) {
    return;
  }
  const PermitTransfer give = transfer->second.give_;
  permits.transfers_.erase(transfer);
  if (!aReceipt.accepted_) { // refused: they are held here again
    AddTransferred(aContext, give);
    DispatchTransferred(aContext, give);
  }
}

void
OnLedgerUpdate(EventContext& aContext, const LedgerUpdate& aUpdate)
{
  Permits& permits = aContext.entry_.permits_;
  if (permits.isLedgerKnown_ &&
      aUpdate.revision_ <= permits.ledger_.revision_) {
    return;
  }
  permits.ledger_ = aUpdate;
  permits.isLedgerKnown_ = true;
  DispatchAll(aContext);
}

void
TickPermits(EventContext& aContext)
{
  Entry& entry = aContext.entry_;
  const bool isSpreadDue = aContext.now_ >= entry.permits_.nextRebalance_;
  if (isSpreadDue) {
    entry.permits_.nextRebalance_ = aContext.now_ + kSpreadInterval;
  }
  for (auto& [name, account] : entry.permits_.accounts_) {
    if (isSpreadDue && entry.agreement_.inForce_) {
      SpreadIdlePermits(aContext, account);
    }
    FreeQuarantine(aContext, account);
    if (account.waiting_ > 0) {
      DispatchAccount(aContext, name);
      RequestPermits(aContext, account);
    }
    if (entry.agreement_.inForce_ && IdlePermits(account) > 0 &&
        IsAccountBlocked(entry, name)) {
      ReturnSurplus(aContext, account);
    }
  }
  ResendTransfers(aContext);
  TickCoordinator(aContext);
}

} // namespace cuminbridge::forwarder
