// The ledger of permits: issuing them, taking them back, and counting them
// after a loss.
//
// An audit starts when a removed member has been out of the head for the run
// limit plus the evidence lifetime, so that whatever it ran has ended. The
// coordinator asks every member in force to count its permits and to move none
// for kAuditFreeze. If all answers arrive within kAuditFreeze of the moment at
// which the coordinator *asked*, there was a moment at which all members were
// frozen, so the sum is no less than the number of permits that exist. The
// ledger is lowered to the sum, and the difference may be issued again.

#include "coordinator.h"

#include <algorithm>

#include "agreement.h"
#include "permits.h"
#include "records.h"
#include "routing.h"

namespace cuminbridge::forwarder {

namespace {

constexpr Duration kAuditFreeze = std::chrono::milliseconds(800);
constexpr Duration kAuditInterval = std::chrono::seconds(2);
constexpr Duration kCoordinatorInterval = std::chrono::milliseconds(200);
constexpr Duration kSwapResendInterval = std::chrono::milliseconds(500);

std::vector<std::string>
NameMembers(const Entry& aEntry)
{
  std::vector<std::string> names;
  for (const Member& member : aEntry.agreement_.inForce_->members_) {
    names.push_back(FormatProcessId(member.id_, member.incarnation_));
  }
  return names;
}

// Processes in the ledger, which may have held permits, that are no longer
// members.
std::vector<std::string>
FindDepartedMembers(const Entry& aEntry)
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
CountOwnPermits(const Entry& aEntry)
{
  std::map<std::string, int> held;
  for (const auto& [name, account] : aEntry.permits_.accounts_) {
    // A request keeps running after its permit became void, so count it too.
    const int used =
      account.running_ + static_cast<int>(account.quarantine_.size());
    held[name] = std::max(account.held_, used);
  }
  for (const auto& [id, transfer] : aEntry.permits_.transfers_) {
    if (transfer.give_.count_ > 0) {
      held[transfer.give_.account_] += transfer.give_.count_;
    }
  }
  // Count what the swap under way would add or remove as held here: it may have
  // taken effect already, with its answer still on the way.
  for (const auto& [name, count] : aEntry.permits_.creditOnSwap_) {
    held[name] += count;
  }
  for (const auto& [name, count] : aEntry.permits_.retiredOnSwap_) {
    held[name] += count;
  }
  return held;
}

// Number of permit transfers from here that have no receipt yet.
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
ReadLedger(EventContext& aContext)
{
  Permits& permits = aContext.entry_.permits_;
  permits.call_ = aContext.entry_.nextCall_++;
  permits.isSwapCall_ = false;
  aContext.Emit(StoreRead{ permits.call_, std::string(kLedgerKey), false });
}

//-----------------------------------------------------------------------------
// [SECTION] Writing the ledger
//-----------------------------------------------------------------------------

void
SendSwap(EventContext& aContext)
{
  Permits& permits = aContext.entry_.permits_;
  permits.call_ = aContext.entry_.nextCall_++;
  permits.isSwapCall_ = true;
  StoreSwap swap = permits.swap_;
  swap.call_ = permits.call_;
  aContext.Emit(std::move(swap));
}

void
SwapLedger(EventContext& aContext,
           std::map<std::string, int> aIssued,
           std::map<std::string, int> aCredit,
           std::map<std::string, int> aBurnt,
           std::vector<std::string> aMembers)
{
  Entry& entry = aContext.entry_;
  Permits& permits = entry.permits_;
  LedgerRecord record;
  record.members_ = std::move(aMembers);
  record.number_ = entry.agreement_.inForce_->config_->number_;
  record.issued_ = std::move(aIssued);
  record.operation_ = FormatProcessId(entry.options_.self_.id_,
                                      entry.options_.self_.incarnation_) +
                      "#" + std::to_string(entry.nextCall_);
  permits.swapOperation_ = record.operation_;
  permits.ledgerAfterSwap_ = { 0, record.number_, record.issued_ };
  permits.membersAfterSwap_ = record.members_;
  permits.creditOnSwap_ = std::move(aCredit);
  permits.retiredOnSwap_ = std::move(aBurnt);
  permits.swapIncarnation_ = entry.options_.self_.incarnation_;
  permits.swap_ = {};
  permits.swap_.compares_ = {
    { std::string(kLedgerKey), permits.ledgerRevision_ },
    { std::string(kHeadKey), entry.agreement_.inForce_->revision_ }
  };
  permits.swap_.puts_ = { { std::string(kLedgerKey), EncodeLedger(record) } };
  SendSwap(aContext);
}

// Writes the ledger if needed: issues permits up to the limits, and takes back
// idle ones of this entry that exceed them.
void
AdjustIssuedPermits(EventContext& aContext)
{
  Entry& entry = aContext.entry_;
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
      AccountState& state = FindOrCreateAccount(entry, name);
      const int count = std::min(IdlePermits(state), have - account->limit_);
      if (count > 0) {
        issued[name] = have - count;
        burnt[name] = count;
      }
    }
  }
  std::vector<std::string> members = NameMembers(entry);
  for (const std::string& gone : FindDepartedMembers(entry)) {
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
      // Give them up before the ledger says that they no longer exist.
      FindOrCreateAccount(entry, name).held_ -= count;
    }
    SwapLedger(aContext,
               std::move(issued),
               std::move(credit),
               std::move(burnt),
               std::move(members));
  }
}

void
BroadcastLedger(EventContext& aContext)
{
  SendToMembers(aContext, aContext.entry_.permits_.ledger_);
}

// Adds permits to those held here. If this entry was removed from the members
// meanwhile they are void, and an audit corrects the ledger.
void
AddHeld(EventContext& aContext, const std::map<std::string, int>& aCounts)
{
  const Member& self = aContext.entry_.options_.self_;
  if (!IsMember(aContext.entry_) ||
      aContext.entry_.permits_.swapIncarnation_ != self.incarnation_) {
    return;
  }
  for (const auto& [account, count] : aCounts) {
    FindOrCreateAccount(aContext.entry_, account).held_ += count;
  }
}

enum class SwapOutcome
{
  Done,
  NotDone,
  NotKnown, // it never will be known
};

// Closes the last swap. If its outcome can't be known, the permits that it
// would have issued are not used: too few permits are safe, too many are not.
void
ResolveSwap(EventContext& aContext, SwapOutcome aOutcome)
{
  Permits& permits = aContext.entry_.permits_;
  if (aOutcome == SwapOutcome::Done) {
    AddHeld(aContext, permits.creditOnSwap_);
  } else if (aOutcome == SwapOutcome::NotDone) {
    AddHeld(aContext, permits.retiredOnSwap_);
  } else if (!permits.creditOnSwap_.empty()) {
    permits.isAuditNeeded_ = true;
  }
  permits.creditOnSwap_.clear();
  permits.retiredOnSwap_.clear();
  permits.isSwapOutcomeUnknown_ = false;
}

void
OnLedgerRead(EventContext& aContext, const StoreAnswer& aAnswer)
{
  Permits& permits = aContext.entry_.permits_;
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
      aContext.Note("ledger unreadable",
                    "the record in the store can't be decoded; no permits are "
                    "issued");
      return;
    }
    if (record->operation_ == permits.swapOperation_) {
      // The last swap took effect; only its answer was lost.
      ResolveSwap(aContext, SwapOutcome::Done);
    }
    permits.ledgerRevision_ = value.revision_;
    permits.ledgerMembers_ = record->members_;
    note = { value.revision_, record->number_, record->issued_ };
  }
  ResolveSwap(aContext,
              permits.isSwapOutcomeUnknown_ ? SwapOutcome::NotKnown
                                            : SwapOutcome::NotDone);
  permits.isLedgerCurrent_ = true;
  OnLedgerUpdate(aContext, note);
  BroadcastLedger(aContext);
}

void
OnLedgerSwapped(EventContext& aContext, const StoreAnswer& aAnswer)
{
  Permits& permits = aContext.entry_.permits_;
  switch (aAnswer.status_) {
    case StoreStatus::Ok: {
      ++aContext.entry_.counts_["ledger_writes"];
      permits.ledgerRevision_ = aAnswer.revision_;
      permits.ledgerMembers_ = permits.membersAfterSwap_;
      ResolveSwap(aContext, SwapOutcome::Done);
      permits.ledgerAfterSwap_.revision_ = aAnswer.revision_;
      OnLedgerUpdate(aContext, permits.ledgerAfterSwap_);
      BroadcastLedger(aContext);
      DispatchAll(aContext);
      return;
    }
    case StoreStatus::Conflict:
      permits.isLedgerCurrent_ = false;
      return;
    case StoreStatus::Unavailable:
      if (!permits.isSwapOutcomeUnknown_) {
        ResolveSwap(aContext, SwapOutcome::NotDone);
        permits.isLedgerCurrent_ = false;
        return;
      }
      // The outcome of an earlier attempt is still unknown.
      permits.isSwapResendDue_ = true;
      permits.nextCoordinatorTick_ = aContext.now_ + kSwapResendInterval;
      return;
    case StoreStatus::Lost:
      // Both attempts compare the same revision, so at most one takes effect.
      permits.isSwapResendDue_ = true;
      permits.isSwapOutcomeUnknown_ = true;
      permits.nextCoordinatorTick_ = aContext.now_ + kSwapResendInterval;
      return;
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Audits
//-----------------------------------------------------------------------------

void
StartAudit(EventContext& aContext)
{
  Entry& entry = aContext.entry_;
  Permits& permits = entry.permits_;
  permits.audit_ = entry.nextCall_++;
  permits.auditUntil_ = aContext.now_ + kAuditFreeze;
  permits.nextAudit_ = aContext.now_ + kAuditInterval;
  permits.frozenUntil_ = aContext.now_ + kAuditFreeze;
  permits.auditReplies_.clear();
  permits.auditReplies_[entry.options_.self_.id_] = CountOwnPermits(entry);
  permits.auditTransfers_ = CountTransfers(entry);
  SendToMembers(aContext, AuditRequest{ permits.epoch_, permits.audit_ });
  ++entry.counts_["audits"];
}

void
FinishAudit(EventContext& aContext)
{
  Permits& permits = aContext.entry_.permits_;
  permits.audit_ = 0;
  permits.isAuditNeeded_ = permits.auditTransfers_ > 0;
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
  const bool hasChanged = issued != permits.ledger_.issued_ ||
                          !FindDepartedMembers(aContext.entry_).empty();
  if (hasChanged) {
    SwapLedger(
      aContext, std::move(issued), {}, {}, NameMembers(aContext.entry_));
  }
}

bool
IsAuditDue(const Entry& aEntry, TimePoint aNow)
{
  const Permits& permits = aEntry.permits_;
  const std::vector<std::string> gone = FindDepartedMembers(aEntry);
  const bool hasReason = !gone.empty() || permits.isAuditNeeded_;
  if (!hasReason || permits.audit_ != 0 || aNow < permits.nextAudit_) {
    return false;
  }
  // A removed member may start work until its evidence expires.
  const Duration wait =
    aEntry.options_.runLimit_ + aEntry.options_.evidenceLifetime_;
  return std::all_of(gone.begin(), gone.end(), [&](const std::string& aName) {
    const auto since = permits.departedSince_.find(aName);
    return since != permits.departedSince_.end() &&
           aNow - since->second >= wait;
  });
}

void
RecordDepartures(EventContext& aContext)
{
  Permits& permits = aContext.entry_.permits_;
  const std::vector<std::string> gone = FindDepartedMembers(aContext.entry_);
  for (const std::string& name : gone) {
    permits.departedSince_.emplace(name, aContext.now_);
  }
  std::erase_if(permits.departedSince_, [&](const auto& aGone) {
    return std::find(gone.begin(), gone.end(), aGone.first) == gone.end();
  });
}

} // namespace

void
OnEpochChanged(EventContext& aContext)
{
  Permits& permits = aContext.entry_.permits_;
  permits.audit_ = 0;
  permits.auditReplies_.clear();
  if (permits.isLedgerKnown_ && IsCoordinator(aContext.entry_, aContext.now_)) {
    BroadcastLedger(aContext);
  }
}

void
OnAuditRequest(EventContext& aContext,
               const PeerFrame& aFrame,
               const AuditRequest& aRequest)
{
  Permits& permits = aContext.entry_.permits_;
  if (permits.epoch_ == 0 || aRequest.epoch_ != permits.epoch_) {
    return;
  }
  permits.frozenUntil_ =
    std::max(permits.frozenUntil_, aContext.now_ + kAuditFreeze);
  SendToPeer(aContext,
             aFrame.from_,
             AuditReply{ aRequest.audit_,
                         CountOwnPermits(aContext.entry_),
                         static_cast<int>(CountTransfers(aContext.entry_)) });
}

void
OnAuditReply(EventContext& aContext,
             const PeerFrame& aFrame,
             const AuditReply& aReply)
{
  Permits& permits = aContext.entry_.permits_;
  if (permits.audit_ == 0 || aReply.audit_ != permits.audit_ ||
      aContext.now_ >= permits.auditUntil_ ||
      FindMember(aContext.entry_, aFrame.from_, aFrame.incarnation_) ==
        nullptr) {
    return;
  }
  const bool isNew =
    permits.auditReplies_.insert_or_assign(aFrame.from_, aReply.held_).second;
  if (isNew) {
    permits.auditTransfers_ += static_cast<std::size_t>(aReply.transfers_);
  }
  const std::size_t members =
    aContext.entry_.agreement_.inForce_->members_.size();
  if (permits.auditReplies_.size() == members && permits.call_ == 0) {
    FinishAudit(aContext);
  }
}

bool
OnLedgerAnswer(EventContext& aContext, const StoreAnswer& aAnswer)
{
  Permits& permits = aContext.entry_.permits_;
  if (permits.call_ == 0 || permits.call_ != aAnswer.call_) {
    return false;
  }
  permits.call_ = 0;
  permits.isSwapResendDue_ = false;
  if (permits.isSwapCall_) {
    OnLedgerSwapped(aContext, aAnswer);
  } else {
    OnLedgerRead(aContext, aAnswer);
  }
  return true;
}

void
TickCoordinator(EventContext& aContext)
{
  Entry& entry = aContext.entry_;
  Permits& permits = entry.permits_;
  if (permits.audit_ != 0 && aContext.now_ >= permits.auditUntil_) {
    permits.audit_ = 0; // not all members answered in time: retried later
  }
  if (permits.call_ != 0 || aContext.now_ < permits.nextCoordinatorTick_) {
    return;
  }
  const bool isOtherAuditRunning =
    permits.audit_ == 0 && aContext.now_ < permits.frozenUntil_;
  if (isOtherAuditRunning) {
    return; // another entry's audit is under way: issue nothing meanwhile
  }
  permits.nextCoordinatorTick_ = aContext.now_ + kCoordinatorInterval;
  if (permits.isSwapResendDue_) {
    SendSwap(aContext);
    return;
  }
  if (!IsCoordinator(entry, aContext.now_) || !IsFresh(entry, aContext.now_)) {
    permits.isLedgerCurrent_ = false;
    return;
  }
  if (!permits.isLedgerCurrent_) {
    ReadLedger(aContext);
    return;
  }
  RecordDepartures(aContext);
  if (IsAuditDue(entry, aContext.now_)) {
    StartAudit(aContext);
  } else if (permits.audit_ == 0) {
    AdjustIssuedPermits(aContext);
  }
}

} // namespace cuminbridge::forwarder
