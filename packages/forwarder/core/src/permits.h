// Internal: upper limits across entries, by permits.
//
// A request of an account runs only on a permit, and no more permits of an
// account exist than its limit. The store's ledger says how many were issued;
// between two writes of the ledger permits only move, from entry to entry, in
// acknowledged transfers that are counted once. Nothing here rests on a clock
// except two waits: an audit's freeze, and the run limit after which a lost
// request is known to have ended.
//
// The steward writes the ledger: it issues up to the limit, takes back what a
// lowered limit leaves over, and after a member has gone counts what is left.
// docs/forwarder/design/limits.md has the ways weighed and the argument.

#ifndef cuminbridge_core_permits_h
#define cuminbridge_core_permits_h

#include "entry_state.h"

namespace cuminbridge::forwarder {

// "id#incarnation", as the ledger and the sets of transfers name a process.
std::string NameProcess(const std::string& aId, std::uint64_t aIncarnation);

// Is an audit counting? Then nothing is handed over or taken.
bool IsFrozen(const Entry& aEntry, TimePoint aNow);

// Sends permits or slots to a member, again and again until its receipt comes.
// False if it is none; else the caller must count them as given up.
bool StartTransfer(Turn& aTurn, const std::string& aPeer, PermitTransfer aGive);

AccountState& FindAccount(Entry& aEntry, const std::string& aName);

// Permits that a request could start on now.
int IdlePermits(const AccountState& aAccount);

// True while more permits may exist than the limit allows: nothing starts.
bool IsAccountBlocked(const Entry& aEntry, const std::string& aAccount);

// Asks peers for permits, if requests wait for them here.
void AskForPermits(Turn& aTurn, AccountState& aAccount);

// A permit came free: hands it to an asking peer when it is their turn.
void OnPermitFreed(Turn& aTurn, AccountState& aAccount);

// What the heartbeat tells of accounts, and taking a peer's into account.
std::map<std::string, AccountUse> ReportAccountUse(Entry& aEntry);
void TakeAccountUse(Entry& aEntry,
                    PeerState& aPeer,
                    const std::map<std::string, AccountUse>& aUse);

// A peer's use counts no more: it has gone, or started anew.
void ForgetUse(Entry& aEntry, PeerState& aPeer);

// Hands all that lies idle to the steward, before leaving.
void GiveAllIdle(Turn& aTurn);

// The members in force have changed; aOld are those before.
void OnMembersInForce(Turn& aTurn, const std::vector<Member>& aOld);

void OnPermitAsk(Turn& aTurn,
                 const PeerFrame& aFrame,
                 const PermitRequest& aAsk);
void OnPermitGive(Turn& aTurn,
                  const PeerFrame& aFrame,
                  const PermitTransfer& aGive);
void OnPermitReceipt(Turn& aTurn,
                     const PeerFrame& aFrame,
                     const PermitReceipt& aReceipt);
void OnAuditAsk(Turn& aTurn, const PeerFrame& aFrame, const AuditRequest& aAsk);
void OnAuditReply(Turn& aTurn,
                  const PeerFrame& aFrame,
                  const AuditReply& aReply);
void OnLedgerNote(Turn& aTurn, const LedgerUpdate& aNote);

// True if the answer was to a call about the ledger.
bool OnLedgerAnswer(Turn& aTurn, const StoreAnswer& aAnswer);

void TickPermits(Turn& aTurn);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_core_permits_h
