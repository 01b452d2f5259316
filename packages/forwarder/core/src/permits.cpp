// Holding, asking for and moving permits. The steward's part is in
// steward.cpp.

#include "permits.h"

#include <algorithm>

#include "agreement.h"
#include "claims.h"
#include "routing.h"
#include "slots.h"
#include "steward.h"
#include "waves.h"

namespace cuminbridge::forwarder {

namespace {

constexpr Duration kTransferResend = std::chrono::milliseconds(300);
constexpr Duration kAskInterval = std::chrono::milliseconds(100);
// Longer than a heartbeat, so that what peers report is newer than what was
// given last.
constexpr Duration kSpreadInterval = std::chrono::milliseconds(1500);
// A heartbeat goes to every peer, so it must not grow with the accounts.
constexpr std::size_t kAccountsInBeat = 8;
constexpr AccountUse kNeverReported = { -1, -1, -1 };
constexpr std::size_t kPeersAsked = 3;
constexpr std::size_t kTransfersRemembered = 4096;

void
Give(Turn& aTurn, AccountState& aAccount, const std::string& aPeer, int aCount)
{
  PermitTransfer give;
  give.account_ = aAccount.name_;
  give.count_ = aCount;
  if (aCount > 0 && StartTransfer(aTurn, aPeer, std::move(give))) {
    aAccount.held_ -= aCount;
    aTurn.entry_.counts_["permits_given"] += static_cast<unsigned>(aCount);
  }
}

void
FreeQuarantine(Turn& aTurn, AccountState& aAccount)
{
  while (!aAccount.quarantine_.empty() &&
         aAccount.quarantine_.front() <= aTurn.now_) {
    aAccount.quarantine_.pop_front();
    OnPermitFreed(aTurn, aAccount);
  }
}

void
ResendTransfers(Turn& aTurn)
{
  Permits& permits = aTurn.entry_.permits_;
  for (auto it = permits.transfers_.begin(); it != permits.transfers_.end();) {
    Transfer& transfer = it->second;
    if (FindMember(aTurn.entry_, transfer.peer_, transfer.incarnation_) ==
        nullptr) {
      // The receiver is out of the members. Whatever it took of these is
      // void; an audit issues them again.
      it = permits.transfers_.erase(it);
      continue;
    }
    if (aTurn.now_ >= transfer.resendAt_) {
      transfer.resendAt_ = aTurn.now_ + kTransferResend;
      SendToPeer(aTurn, transfer.peer_, transfer.give_);
    }
    ++it;
  }
}

void
TakeGiven(Turn& aTurn, const PermitTransfer& aGive)
{
  if (!aGive.account_.empty()) {
    FindAccount(aTurn.entry_, aGive.account_).held_ += aGive.count_;
  }
  TakeSlots(aTurn.entry_, aGive.slots_);
}

void
DispatchAfterGive(Turn& aTurn, const PermitTransfer& aGive)
{
  if (!aGive.account_.empty()) {
    DispatchAccount(aTurn, aGive.account_);
  }
  if (!aGive.slots_.empty()) {
    DispatchAll(aTurn);
  }
}

// An account over its limit: what lies idle goes to the steward, who takes it
// out of the ledger.
void
ReturnSurplus(Turn& aTurn, AccountState& aAccount)
{
  const std::string steward = FindSteward(aTurn.entry_, aTurn.now_);
  if (IsFrozen(aTurn.entry_, aTurn.now_) || steward.empty() ||
      steward == aTurn.entry_.options_.self_.id_) {
    return;
  }
  Give(aTurn, aAccount, steward, IdlePermits(aAccount));
}

// Permits that lie idle drift apart until each member has its part: an entry
// that dies takes only these with it.
void
SpreadIdle(Turn& aTurn, AccountState& aAccount)
{
  const Entry& entry = aTurn.entry_;
  const auto& issued = entry.permits_.ledger_.issued_;
  const auto found = issued.find(aAccount.name_);
  if (found == issued.end() || aAccount.waiting_ > 0 || aAccount.running_ > 0 ||
      IsFrozen(entry, aTurn.now_)) {
    return;
  }
  const auto& members = entry.agreement_.inForce_->members_;
  const int count = static_cast<int>(members.size());
  const int part = (found->second + count - 1) / count;
  int surplus = IdlePermits(aAccount) - part;
  for (const auto& [id, peer] : entry.agreement_.peers_) {
    if (surplus <= 0) {
      return;
    }
    const auto use = peer.accounts_.find(aAccount.name_);
    const int has = use == peer.accounts_.end()
                      ? 0
                      : use->second.idle_ + use->second.running_;
    const int given = std::min(surplus, part - has);
    if (given > 0 && IsHeard(entry, id, aTurn.now_)) {
      Give(aTurn, aAccount, id, given);
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
StartTransfer(Turn& aTurn, const std::string& aPeer, PermitTransfer aGive)
{
  Permits& permits = aTurn.entry_.permits_;
  const auto& peers = aTurn.entry_.agreement_.peers_;
  const auto peer = peers.find(aPeer);
  if (peer == peers.end() ||
      FindMember(aTurn.entry_, aPeer, peer->second.incarnation_) == nullptr) {
    return false;
  }
  aGive.transfer_ = permits.nextTransfer_++;
  aGive.epoch_ = permits.epoch_;
  SendToPeer(aTurn, aPeer, aGive);
  permits.transfers_.emplace(
    aGive.transfer_,
    Transfer{
      aGive, aPeer, peer->second.incarnation_, aTurn.now_ + kTransferResend });
  return true;
}

std::string
NameProcess(const std::string& aId, std::uint64_t aIncarnation)
{
  return aId + "#" + std::to_string(aIncarnation);
}

AccountState&
FindAccount(Entry& aEntry, const std::string& aName)
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
AskForPermits(Turn& aTurn, AccountState& aAccount)
{
  Entry& entry = aTurn.entry_;
  if (aAccount.waiting_ == 0 || aTurn.now_ < aAccount.nextAsk_ ||
      IsAccountBlocked(entry, aAccount.name_)) {
    return;
  }
  aAccount.nextAsk_ = aTurn.now_ + kAskInterval;
  std::vector<std::pair<int, const PeerState*>> peers;
  for (const auto& [id, peer] : entry.agreement_.peers_) {
    if (FindMember(entry, id, peer.incarnation_) == nullptr) {
      continue;
    }
    const auto use = peer.accounts_.find(aAccount.name_);
    const int idle = use == peer.accounts_.end() ? 0 : use->second.idle_;
    const int running = use == peer.accounts_.end() ? 0 : use->second.running_;
    // Idle permits count most, then running ones: some will come free.
    constexpr int kIdleWeight = 1000;
    const int noise = static_cast<int>(entry.routing_.random_(2));
    peers.emplace_back(idle * kIdleWeight + 2 * running + noise, &peer);
  }
  std::sort(peers.begin(), peers.end(), [](const auto& aOne, const auto& aTwo) {
    return aOne.first > aTwo.first;
  });
  if (peers.size() > kPeersAsked) {
    // Hints may be out of date: the last one asked is any of the others.
    const auto others = static_cast<std::uint32_t>(peers.size() - kPeersAsked);
    const std::size_t any =
      kPeersAsked - 1 + entry.routing_.random_(others + 1);
    std::swap(peers[kPeersAsked - 1], peers[any]);
    peers.resize(kPeersAsked);
  }
  for (const auto& [weight, peer] : peers) {
    aTurn.Emit(SendPeer{ peer->address_,
                         PermitRequest{ aAccount.name_, aAccount.waiting_ } });
  }
}

void
OnPermitFreed(Turn& aTurn, AccountState& aAccount)
{
  DropOldAsks(aAccount.asks_, aTurn.now_);
  if (aAccount.asks_.byPeer_.empty() || IsFrozen(aTurn.entry_, aTurn.now_) ||
      IdlePermits(aAccount) == 0) {
    return;
  }
  // Own requests and asking peers take turns, so that none of them starves.
  aAccount.asks_.isGiveTurn_ = !aAccount.asks_.isGiveTurn_;
  if (aAccount.waiting_ > 0 && !aAccount.asks_.isGiveTurn_) {
    return;
  }
  Give(aTurn, aAccount, TakeNextAsk(aAccount.asks_), 1);
}

std::map<std::string, AccountUse>
ReportAccountUse(Entry& aEntry)
{
  Permits& permits = aEntry.permits_;
  std::map<std::string, AccountUse> report;
  const auto visit = [&](auto aFrom, auto aTo) {
    for (auto it = aFrom; it != aTo && report.size() < kAccountsInBeat; ++it) {
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
  const auto middle = permits.accounts_.upper_bound(permits.lastReported_);
  visit(middle, permits.accounts_.end());
  visit(permits.accounts_.begin(), middle);
  return report;
}

void
TakeAccountUse(Entry& aEntry,
               PeerState& aPeer,
               const std::map<std::string, AccountUse>& aUse)
{
  for (const auto& [name, use] : aUse) {
    AccountState& account = FindAccount(aEntry, name);
    AccountUse& last = aPeer.accounts_[name];
    account.runningElsewhere_ += use.running_ - last.running_;
    account.waitingElsewhere_ += use.waiting_ - last.waiting_;
    last = use;
  }
}

void
ForgetUse(Entry& aEntry, PeerState& aPeer)
{
  std::map<std::string, AccountUse> nothing;
  for (const auto& [name, use] : aPeer.accounts_) {
    nothing.emplace(name, AccountUse{});
  }
  TakeAccountUse(aEntry, aPeer, nothing);
  aPeer.accounts_.clear();
}

void
GiveAllIdle(Turn& aTurn)
{
  for (auto& [name, account] : aTurn.entry_.permits_.accounts_) {
    std::string heir = FindSteward(aTurn.entry_, aTurn.now_);
    if (heir == aTurn.entry_.options_.self_.id_) {
      heir = FindNextSteward(aTurn.entry_, aTurn.now_);
    }
    Give(aTurn, account, heir, IdlePermits(account));
  }
}

void
OnMembersInForce(Turn& aTurn, const std::vector<Member>& aOld)
{
  Entry& entry = aTurn.entry_;
  const bool wasMember = entry.permits_.epoch_ != 0;
  const bool isMember = IsMember(entry);
  entry.permits_.epoch_ =
    isMember ? HashMembers(entry.agreement_.inForce_->members_) : 0;
  if (wasMember && !isMember) {
    // Taken out of the members: what was held here is void from now on. A new
    // incarnation joins with nothing.
    for (auto& [name, account] : entry.permits_.accounts_) {
      account.held_ = 0;
    }
    entry.permits_.transfers_.clear();
    ++entry.options_.self_.incarnation_;
    aTurn.Note("removed from the members", "joining again with nothing held");
  }
  for (auto& [id, peer] : entry.agreement_.peers_) {
    if (FindMember(entry, id, peer.incarnation_) == nullptr) {
      ForgetUse(entry, peer);
    }
  }
  for (auto& [name, account] : entry.permits_.accounts_) {
    account.reported_ = kNeverReported; // newcomers have heard nothing yet
  }
  const auto isGone = [&](const auto& aKnown) {
    const auto& members = entry.agreement_.inForce_->members_;
    return std::none_of(
      members.begin(), members.end(), [&](const Member& aMember) {
        return NameProcess(aMember.id_, aMember.incarnation_) == aKnown.first;
      });
  };
  // Their transfers are of another epoch now, and refused for that.
  std::erase_if(entry.permits_.received_, isGone);
  std::erase_if(entry.permits_.receivedFloor_, isGone);
  AssignAllSlots(entry);
  OnEpochChanged(aTurn);
  OnWavesEpoch(aTurn, aOld);
  if (isMember) {
    OnClaimsEpoch(aTurn);
  }
}

void
OnPermitAsk(Turn& aTurn, const PeerFrame& aFrame, const PermitRequest& aAsk)
{
  AccountState& account = FindAccount(aTurn.entry_, aAsk.account_);
  if (IsFrozen(aTurn.entry_, aTurn.now_) || aAsk.count_ <= 0) {
    return;
  }
  const int idle = IdlePermits(account);
  const int spare = account.waiting_ > 0 ? idle / 2 : idle;
  const int given = std::min(spare, aAsk.count_);
  Give(aTurn, account, aFrame.from_, given);
  if (given < aAsk.count_) {
    account.asks_.byPeer_[aFrame.from_] = { aAsk.count_ - given,
                                            aTurn.now_ + kAskLifetime };
  }
}

void
OnPermitGive(Turn& aTurn, const PeerFrame& aFrame, const PermitTransfer& aGive)
{
  Entry& entry = aTurn.entry_;
  Permits& permits = entry.permits_;
  const std::string process = NameProcess(aFrame.from_, aFrame.incarnation_);
  auto& received = permits.received_[process];
  if (received.contains(aGive.transfer_) ||
      aGive.transfer_ <= permits.receivedFloor_[process]) {
    SendToPeer(aTurn, aFrame.from_, PermitReceipt{ aGive.transfer_, true });
    return;
  }
  if (IsFrozen(entry, aTurn.now_)) {
    return; // the sender counts them until it hears from us
  }
  const bool isAccepted =
    permits.epoch_ != 0 && aGive.epoch_ == permits.epoch_ &&
    FindMember(entry, aFrame.from_, aFrame.incarnation_) != nullptr;
  if (isAccepted) {
    received.insert(aGive.transfer_);
    if (received.size() > kTransfersRemembered) {
      // Numbers rise: what is forgotten is older than all that is kept, and
      // counts as received from now on.
      permits.receivedFloor_[process] = *received.begin();
      received.erase(received.begin());
    }
    TakeGiven(aTurn, aGive);
  }
  SendToPeer(aTurn, aFrame.from_, PermitReceipt{ aGive.transfer_, isAccepted });
  if (isAccepted) {
    DispatchAfterGive(aTurn, aGive);
  }
}

void
OnPermitReceipt(Turn& aTurn,
                const PeerFrame& aFrame,
                const PermitReceipt& aReceipt)
{
  Permits& permits = aTurn.entry_.permits_;
  const auto transfer = permits.transfers_.find(aReceipt.transfer_);
  if (transfer == permits.transfers_.end() ||
      transfer->second.peer_ != aFrame.from_ ||
      transfer->second.incarnation_ != aFrame.incarnation_) {
    return;
  }
  const PermitTransfer give = transfer->second.give_;
  permits.transfers_.erase(transfer);
  if (!aReceipt.accepted_) {
    TakeGiven(aTurn, give);
    DispatchAfterGive(aTurn, give);
  }
}

void
OnLedgerNote(Turn& aTurn, const LedgerUpdate& aNote)
{
  Permits& permits = aTurn.entry_.permits_;
  if (permits.isLedgerKnown_ && aNote.revision_ <= permits.ledger_.revision_) {
    return;
  }
  permits.ledger_ = aNote;
  permits.isLedgerKnown_ = true;
  DispatchAll(aTurn);
}

void
TickPermits(Turn& aTurn)
{
  Entry& entry = aTurn.entry_;
  const bool isSpreadDue = aTurn.now_ >= entry.permits_.nextSpread_;
  if (isSpreadDue) {
    entry.permits_.nextSpread_ = aTurn.now_ + kSpreadInterval;
  }
  for (auto& [name, account] : entry.permits_.accounts_) {
    if (isSpreadDue && entry.agreement_.inForce_) {
      SpreadIdle(aTurn, account);
    }
    FreeQuarantine(aTurn, account);
    if (account.waiting_ > 0) {
      DispatchAccount(aTurn, name);
      AskForPermits(aTurn, account);
    }
    if (entry.agreement_.inForce_ && IdlePermits(account) > 0 &&
        IsAccountBlocked(entry, name)) {
      ReturnSurplus(aTurn, account);
    }
  }
  ResendTransfers(aTurn);
  TickSteward(aTurn);
}

} // namespace cuminbridge::forwarder
