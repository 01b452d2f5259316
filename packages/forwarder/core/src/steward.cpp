// The ledger of permits: issuing, taking back, and counting after a loss.
//
// An audit, step by step. A member has been out of the head for the run limit,
// so whatever it ran has ended. The steward asks every member in force to
// count and to move no permit for kFreeze from then on. If all have answered
// within kFreeze of the *asking*, there was a moment at which all of them were
// frozen, and the sum is no less than what exists. The ledger takes the sum;
// the rest may be issued again.

#include "steward.h"

#include <algorithm>

#include "agreement.h"
#include "permits.h"
#include "records.h"
#include "routing.h"

namespace cuminbridge::forwarder {

namespace {

constexpr Duration kFreeze = std::chrono::milliseconds(800);
constexpr Duration kAuditInterval = std::chrono::seconds(2);
constexpr Duration kStewardInterval = std::chrono::milliseconds(200);
constexpr Duration kLostRetry = std::chrono::milliseconds(500);

std::vector<std::string>
NameMembers(const Entry& aEntry)
{
  std::vector<std::string> names;
  for (const Member& member : aEntry.agreement_.inForce_->members_) {
    names.push_back(NameProcess(member.id_, member.incarnation_));
  }
  return names;
}

// Processes that may have held permits and are members no more.
std::vector<std::string>
FindGone(const Entry& aEntry)
{
  const std::vector<std::string> members = NameMembers(aEntry);
  std::vector<std::string> gone;
  for (const std::string& name : aEntry.permits_.ledgerMembers_) {
    if (std::find(members.begin(), members.end(), name) == members.end()) {
      gone.push_back(name);
    }
  }
  return gone;
}

std::map<std::string, int>
CountOwn(const Entry& aEntry)
{
  std::map<std::string, int> held;
  for (const auto& [name, account] : aEntry.permits_.accounts_) {
    // A request may run on after its permit became void; count it too.
    const int used =
      account.running_ + static_cast<int>(account.quarantine_.size());
    held[name] = std::max(account.held_, used);
  }
  for (const auto& [id, transfer] : aEntry.permits_.transfers_) {
    if (transfer.give_.count_ > 0) {
      held[transfer.give_.account_] += transfer.give_.count_;
    }
  }
  // What a swap under way would give or take is counted as if it were here:
  // its answer may be on the way.
  for (const auto& [name, count] : aEntry.permits_.creditOnSwap_) {
    held[name] += count;
  }
  for (const auto& [name, count] : aEntry.permits_.burntOnSwap_) {
    held[name] += count;
  }
  return held;
}

// Transfers of permits on their way from here.
std::size_t
CountTransfers(const Entry& aEntry)
{
  const auto& transfers = aEntry.permits_.transfers_;
  return static_cast<std::size_t>(
    std::count_if(transfers.begin(), transfers.end(), [](const auto& aItem) {
      return aItem.second.give_.count_ > 0;
    }));
}

void
ReadLedger(Turn& aTurn)
{
  Permits& permits = aTurn.entry_.permits_;
  permits.call_ = aTurn.entry_.nextCall_++;
  permits.isSwapCall_ = false;
  aTurn.Emit(StoreRead{ permits.call_, std::string(kLedgerKey), false });
}

//-----------------------------------------------------------------------------
// [SECTION] Writing the ledger
//-----------------------------------------------------------------------------

void
SendSwap(Turn& aTurn)
{
  Permits& permits = aTurn.entry_.permits_;
  permits.call_ = aTurn.entry_.nextCall_++;
  permits.isSwapCall_ = true;
  StoreSwap swap = permits.swap_;
  swap.call_ = permits.call_;
  aTurn.Emit(std::move(swap));
}

void
SwapLedger(Turn& aTurn,
           std::map<std::string, int> aIssued,
           std::map<std::string, int> aCredit,
           std::map<std::string, int> aBurnt,
           std::vector<std::string> aMembers)
{
  Entry& entry = aTurn.entry_;
  Permits& permits = entry.permits_;
  LedgerRecord record;
  record.members_ = std::move(aMembers);
  record.number_ = entry.agreement_.inForce_->config_->number_;
  record.issued_ = std::move(aIssued);
  record.operation_ =
    NameProcess(entry.options_.self_.id_, entry.options_.self_.incarnation_) +
    "#" + std::to_string(entry.nextCall_);
  permits.swapOperation_ = record.operation_;
  permits.swapNote_ = { 0, record.number_, record.issued_ };
  permits.swapMembers_ = record.members_;
  permits.creditOnSwap_ = std::move(aCredit);
  permits.burntOnSwap_ = std::move(aBurnt);
  permits.swapIncarnation_ = entry.options_.self_.incarnation_;
  permits.swap_ = {};
  permits.swap_.compares_ = {
    { std::string(kLedgerKey), permits.ledgerRevision_ },
    { std::string(kHeadKey), entry.agreement_.inForce_->revision_ }
  };
  permits.swap_.puts_ = { { std::string(kLedgerKey), EncodeLedger(record) } };
  SendSwap(aTurn);
}

// Issues up to the limits, and takes back what lies idle above them.
void
Settle(Turn& aTurn)
{
  Entry& entry = aTurn.entry_;
  Permits& permits = entry.permits_;
  const Config& config = *entry.agreement_.inForce_->config_;
  std::map<std::string, int> issued = permits.ledger_.issued_;
  std::map<std::string, int> credit;
  std::map<std::string, int> burnt;
  for (const auto& [name, account] : config.accounts_) {
    const auto current = issued.find(name);
    const int have = current == issued.end() ? 0 : current->second;
    if (have < account->limit_) {
      issued[name] = account->limit_;
      credit[name] = account->limit_ - have;
    } else if (have > account->limit_) {
      AccountState& state = FindAccount(entry, name);
      const int count = std::min(IdlePermits(state), have - account->limit_);
      if (count > 0) {
        issued[name] = have - count;
        burnt[name] = count;
      }
    }
  }
  std::vector<std::string> members = NameMembers(entry);
  for (const std::string& gone : FindGone(entry)) {
    members.push_back(gone);
  }
  const bool isLowered =
    std::any_of(config.accounts_.begin(),
                config.accounts_.end(),
                [&](const auto& aAccount) {
                  return aAccount.second->loweredIn_ > permits.ledger_.number_;
                });
  std::vector<std::string> known = permits.ledgerMembers_;
  std::sort(known.begin(), known.end());
  std::sort(members.begin(), members.end());
  if (issued != permits.ledger_.issued_ || members != known || isLowered) {
    for (const auto& [name, count] : burnt) {
      FindAccount(entry, name).held_ -=
        count; // given up before the ledger says so
    }
    SwapLedger(aTurn,
               std::move(issued),
               std::move(credit),
               std::move(burnt),
               std::move(members));
  }
}

void
TellLedger(Turn& aTurn)
{
  SendToMembers(aTurn, aTurn.entry_.permits_.ledger_);
}

// Adds counts to what is held here, unless this entry was removed meanwhile:
// then they are void, and an audit finds them.
void
AddHeld(Turn& aTurn, const std::map<std::string, int>& aCounts)
{
  const Member& self = aTurn.entry_.options_.self_;
  if (!IsMember(aTurn.entry_) ||
      aTurn.entry_.permits_.swapIncarnation_ != self.incarnation_) {
    return;
  }
  for (const auto& [account, count] : aCounts) {
    FindAccount(aTurn.entry_, account).held_ += count;
  }
}

// The outcome of the last swap is known. If it can't be known, what it would
// have given is not taken: too few permits are safe, too many are not.
enum class SwapOutcome
{
  Done,
  NotDone,
  NotKnown,
};

void
CloseSwap(Turn& aTurn, SwapOutcome aOutcome)
{
  Permits& permits = aTurn.entry_.permits_;
  if (aOutcome == SwapOutcome::Done) {
    AddHeld(aTurn, permits.creditOnSwap_);
  } else if (aOutcome == SwapOutcome::NotDone) {
    AddHeld(aTurn, permits.burntOnSwap_);
  } else if (!permits.creditOnSwap_.empty()) {
    permits.isAuditWanted_ = true;
  }
  permits.creditOnSwap_.clear();
  permits.burntOnSwap_.clear();
  permits.wasSwapLost_ = false;
}

void
OnLedgerRead(Turn& aTurn, const StoreAnswer& aAnswer)
{
  Permits& permits = aTurn.entry_.permits_;
  if (aAnswer.status_ != StoreStatus::Ok) {
    return;
  }
  LedgerUpdate note;
  if (aAnswer.values_.empty()) {
    permits.ledgerRevision_ = 0;
    permits.ledgerMembers_.clear();
    permits.ledger_ = {};
  } else {
    const StoreValue& value = aAnswer.values_.front();
    const auto record = DecodeLedger(value.value_);
    if (!record) {
      aTurn.Note("ledger unreadable", "no permits are issued");
      return;
    }
    if (record->operation_ == permits.swapOperation_) {
      CloseSwap(aTurn, SwapOutcome::Done); // only its answer was lost
    }
    permits.ledgerRevision_ = value.revision_;
    permits.ledgerMembers_ = record->members_;
    note = { value.revision_, record->number_, record->issued_ };
  }
  CloseSwap(
    aTurn, permits.wasSwapLost_ ? SwapOutcome::NotKnown : SwapOutcome::NotDone);
  permits.isLedgerRead_ = true;
  OnLedgerNote(aTurn, note);
  TellLedger(aTurn);
}

void
OnLedgerSwapped(Turn& aTurn, const StoreAnswer& aAnswer)
{
  Permits& permits = aTurn.entry_.permits_;
  switch (aAnswer.status_) {
    case StoreStatus::Ok: {
      ++aTurn.entry_.counts_["ledger_writes"];
      permits.ledgerRevision_ = aAnswer.revision_;
      permits.ledgerMembers_ = permits.swapMembers_;
      CloseSwap(aTurn, SwapOutcome::Done);
      permits.swapNote_.revision_ = aAnswer.revision_;
      OnLedgerNote(aTurn, permits.swapNote_);
      TellLedger(aTurn);
      DispatchAll(aTurn);
      return;
    }
    case StoreStatus::Conflict:
      permits.isLedgerRead_ = false;
      return;
    case StoreStatus::Unavailable:
      if (!permits.wasSwapLost_) {
        CloseSwap(aTurn, SwapOutcome::NotDone);
        permits.isLedgerRead_ = false;
        return;
      }
      permits.isSwapLost_ = true; // an earlier sending is still open
      permits.nextStewardTurn_ = aTurn.now_ + kLostRetry;
      return;
    case StoreStatus::Lost:
      // The same swap again can take effect only once: both compare the same
      // revision. So it is safe, and its answer settles the matter.
      permits.isSwapLost_ = true;
      permits.wasSwapLost_ = true;
      permits.nextStewardTurn_ = aTurn.now_ + kLostRetry;
      return;
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Audits
//-----------------------------------------------------------------------------

void
StartAudit(Turn& aTurn)
{
  Entry& entry = aTurn.entry_;
  Permits& permits = entry.permits_;
  permits.audit_ = entry.nextCall_++;
  permits.auditUntil_ = aTurn.now_ + kFreeze;
  permits.nextAudit_ = aTurn.now_ + kAuditInterval;
  permits.frozenUntil_ = aTurn.now_ + kFreeze;
  permits.auditReplies_.clear();
  permits.auditReplies_[entry.options_.self_.id_] = CountOwn(entry);
  permits.auditTransfers_ = CountTransfers(entry);
  SendToMembers(aTurn, AuditRequest{ permits.epoch_, permits.audit_ });
  ++entry.counts_["audits"];
}

void
FinishAudit(Turn& aTurn)
{
  Permits& permits = aTurn.entry_.permits_;
  permits.audit_ = 0;
  permits.isAuditWanted_ = permits.auditTransfers_ > 0;
  std::map<std::string, int> issued;
  for (const auto& [name, count] : permits.ledger_.issued_) {
    int sum = 0;
    for (const auto& [member, held] : permits.auditReplies_) {
      const auto found = held.find(name);
      sum += found == held.end() ? 0 : found->second;
    }
    issued[name] = std::min(count, sum);
  }
  permits.auditReplies_.clear();
  const bool isNews =
    issued != permits.ledger_.issued_ || !FindGone(aTurn.entry_).empty();
  if (isNews) {
    SwapLedger(aTurn, std::move(issued), {}, {}, NameMembers(aTurn.entry_));
  }
}

bool
IsAuditDue(const Entry& aEntry, TimePoint aNow)
{
  const Permits& permits = aEntry.permits_;
  const std::vector<std::string> gone = FindGone(aEntry);
  const bool isCause = !gone.empty() || permits.isAuditWanted_;
  if (!isCause || permits.audit_ != 0 || aNow < permits.nextAudit_) {
    return false;
  }
  // One that was removed may start work until its evidence runs out.
  const Duration wait =
    aEntry.options_.runLimit_ + aEntry.options_.evidenceLifetime_;
  return std::all_of(gone.begin(), gone.end(), [&](const std::string& aName) {
    const auto since = permits.goneSince_.find(aName);
    return since != permits.goneSince_.end() && aNow - since->second >= wait;
  });
}

void
NoteGone(Turn& aTurn)
{
  Permits& permits = aTurn.entry_.permits_;
  const std::vector<std::string> gone = FindGone(aTurn.entry_);
  for (const std::string& name : gone) {
    permits.goneSince_.emplace(name, aTurn.now_);
  }
  std::erase_if(permits.goneSince_, [&](const auto& aGone) {
    return std::find(gone.begin(), gone.end(), aGone.first) == gone.end();
  });
}

} // namespace

void
OnEpochChanged(Turn& aTurn)
{
  Permits& permits = aTurn.entry_.permits_;
  permits.audit_ = 0;
  permits.auditReplies_.clear();
  if (permits.isLedgerKnown_ && IsSteward(aTurn.entry_, aTurn.now_)) {
    TellLedger(aTurn);
  }
}

void
OnAuditAsk(Turn& aTurn, const PeerFrame& aFrame, const AuditRequest& aAsk)
{
  Permits& permits = aTurn.entry_.permits_;
  if (permits.epoch_ == 0 || aAsk.epoch_ != permits.epoch_) {
    return;
  }
  permits.frozenUntil_ = std::max(permits.frozenUntil_, aTurn.now_ + kFreeze);
  SendToPeer(aTurn,
             aFrame.from_,
             AuditReply{ aAsk.audit_,
                         CountOwn(aTurn.entry_),
                         static_cast<int>(CountTransfers(aTurn.entry_)) });
}

void
OnAuditReply(Turn& aTurn, const PeerFrame& aFrame, const AuditReply& aReply)
{
  Permits& permits = aTurn.entry_.permits_;
  if (permits.audit_ == 0 || aReply.audit_ != permits.audit_ ||
      aTurn.now_ >= permits.auditUntil_ ||
      FindMember(aTurn.entry_, aFrame.from_, aFrame.incarnation_) == nullptr) {
    return;
  }
  const bool isNew =
    permits.auditReplies_.insert_or_assign(aFrame.from_, aReply.held_).second;
  if (isNew) {
    permits.auditTransfers_ += static_cast<std::size_t>(aReply.transfers_);
  }
  const std::size_t members = aTurn.entry_.agreement_.inForce_->members_.size();
  if (permits.auditReplies_.size() == members && permits.call_ == 0) {
    FinishAudit(aTurn);
  }
}

bool
OnLedgerAnswer(Turn& aTurn, const StoreAnswer& aAnswer)
{
  Permits& permits = aTurn.entry_.permits_;
  if (permits.call_ == 0 || permits.call_ != aAnswer.call_) {
    return false;
  }
  permits.call_ = 0;
  permits.isSwapLost_ = false;
  if (permits.isSwapCall_) {
    OnLedgerSwapped(aTurn, aAnswer);
  } else {
    OnLedgerRead(aTurn, aAnswer);
  }
  return true;
}

void
TickSteward(Turn& aTurn)
{
  Entry& entry = aTurn.entry_;
  Permits& permits = entry.permits_;
  if (permits.audit_ != 0 && aTurn.now_ >= permits.auditUntil_) {
    permits.audit_ = 0; // not all answered in time: once more, later
  }
  if (permits.call_ != 0 || aTurn.now_ < permits.nextStewardTurn_) {
    return;
  }
  const bool isCounted =
    permits.audit_ == 0 && aTurn.now_ < permits.frozenUntil_;
  if (isCounted) {
    return; // another entry's audit is on: nothing is issued meanwhile
  }
  permits.nextStewardTurn_ = aTurn.now_ + kStewardInterval;
  if (permits.isSwapLost_) {
    SendSwap(aTurn);
    return;
  }
  if (!IsSteward(entry, aTurn.now_) || !IsFresh(entry, aTurn.now_)) {
    permits.isLedgerRead_ = false;
    return;
  }
  if (!permits.isLedgerRead_) {
    ReadLedger(aTurn);
    return;
  }
  NoteGone(aTurn);
  if (IsAuditDue(entry, aTurn.now_)) {
    StartAudit(aTurn);
  } else if (permits.audit_ == 0) {
    Settle(aTurn);
  }
}

} // namespace cuminbridge::forwarder
