// Internal: concurrency limits of accounts across all entries, by permits.
//
// A request of an account needs a permit to run, and there are never more
// permits of an account than its limit. The ledger in the store records how
// many are issued. Between two writes of the ledger permits only move from
// entry to entry, in acknowledged transfers that each count once. Only two
// waits depend on a clock: the freeze of an audit, and the run limit after
// which a lost request is known to have ended.
//
// One entry, the coordinator, writes the ledger: it issues permits up to the
// limit, withdraws the excess after a limit was lowered, and audits the
// remaining permits after a member has gone. docs/forwarder/design/limits.md
// describes the alternatives and proves the rule.

#ifndef cuminbridge_core_permits_h
#define cuminbridge_core_permits_h

#include "entry_state.h"

namespace cuminbridge::forwarder {

// "id#incarnation": the name of a process in the ledger and in the records of
// transfers received.
std::string FormatProcessId(const std::string& aId, std::uint64_t aIncarnation);

//-----------------------------------------------------------------------------
// [SECTION] Holding and moving permits
//-----------------------------------------------------------------------------

// True while an audit counts the permits: none are given or accepted then.
bool IsFrozen(const Entry& aEntry, TimePoint aNow);

// Sends permits or slots to a member and resends them until it acknowledges
// them. If true, the caller must deduct them from what this entry holds. False
// if aPeer is not a member: nothing was sent.
bool StartTransfer(EventContext& aContext,
                   const std::string& aPeer,
                   PermitTransfer aTransfer);

// The state of an account, created empty at its first use.
AccountState& FindOrCreateAccount(Entry& aEntry, const std::string& aName);

// Permits held here that no request uses. A request that was broken off uses
// its permit for as long as it may still run.
int IdlePermits(const AccountState& aAccount);

// True while more permits may exist than the limit allows, or while the account
// is not in the configuration or the ledger not yet known here. No request of
// the account may start then.
bool IsAccountBlocked(const Entry& aEntry, const std::string& aAccount);

// Asks a few peers for permits, if requests of the account wait here.
void RequestPermits(EventContext& aContext, AccountState& aAccount);

// A permit became idle: gives it to a peer that asked for one if the peers are
// next in order.
void OnPermitFreed(EventContext& aContext, AccountState& aAccount);

// The account use to report in the next heartbeat: accounts whose figures have
// changed since they were last reported, a limited number at a time.
std::map<std::string, AccountUse> ReportAccountUse(Entry& aEntry);

// Updates the fleet-wide figures from a peer's report.
void ApplyPeerAccountUse(Entry& aEntry,
                         PeerState& aPeer,
                         const std::map<std::string, AccountUse>& aUse);

// Removes a peer's reported use: the peer has gone or has restarted.
void ForgetPeerAccountUse(Entry& aEntry, PeerState& aPeer);

// Gives all idle permits to the coordinator, before this entry leaves. If this
// entry is the coordinator, they go to the next one.
void GiveAllIdlePermits(EventContext& aContext);

//-----------------------------------------------------------------------------
// [SECTION] Events
//-----------------------------------------------------------------------------

// The members in force have changed; aOld are the previous ones.
void OnMembersInForce(EventContext& aContext, const std::vector<Member>& aOld);

void OnPermitRequest(EventContext& aContext,
                     const PeerFrame& aFrame,
                     const PermitRequest& aRequest);
void OnPermitTransfer(EventContext& aContext,
                      const PeerFrame& aFrame,
                      const PermitTransfer& aTransfer);
void OnPermitReceipt(EventContext& aContext,
                     const PeerFrame& aFrame,
                     const PermitReceipt& aReceipt);
void OnAuditRequest(EventContext& aContext,
                    const PeerFrame& aFrame,
                    const AuditRequest& aRequest);
void OnAuditReply(EventContext& aContext,
                  const PeerFrame& aFrame,
                  const AuditReply& aReply);
void OnLedgerUpdate(EventContext& aContext, const LedgerUpdate& aUpdate);

// True if the answer belongs to a read or write of the ledger.
bool OnLedgerAnswer(EventContext& aContext, const StoreAnswer& aAnswer);

void TickPermits(EventContext& aContext);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_core_permits_h
