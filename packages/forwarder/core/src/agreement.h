// Internal: the configuration in force here, and evidence that it is current.
//
// A change is written to the store only after a majority of the members named
// in the head has acknowledged it (proposal.h). So an entry that has just heard
// from a majority of them, none of which knew of anything newer, may act on its
// configuration even if the store can't be reached. A direct read of the head
// is equally good evidence. Without either, the evidence expires after
// EntryOptions::evidenceLifetime_ and no further work starts.
// docs/forwarder/design/agreement.md has the argument in full.

#ifndef cuminbridge_core_agreement_h
#define cuminbridge_core_agreement_h

#include "entry_state.h"

namespace cuminbridge::forwarder {

std::size_t MajorityOf(std::size_t aMembers);

// Is the evidence for the configuration here recent enough to start work on?
bool IsFresh(const Entry& aEntry, TimePoint aNow);

// Is the member this process, in its present incarnation?
bool IsSelf(const Entry& aEntry, const Member& aMember);

// Is this process, in its present incarnation, one of the members in force?
bool IsMember(const Entry& aEntry);

// The member in force with this id and incarnation, or null.
const Member* FindMember(const Entry& aEntry,
                         const std::string& aId,
                         std::uint64_t aIncarnation);

// Has this peer sent a frame within EntryOptions::memberTimeout_, and no
// Goodbye? Always false for this entry's own id.
bool IsResponsive(const Entry& aEntry, const std::string& aId, TimePoint aNow);

// The coordinator is the first member by id that is responsive (this entry
// included). It removes unresponsive members and keeps the ledger of permits.
// Two entries may each take themselves for the coordinator for a while; the
// store's compare-and-swap then lets only one of them change a record.
// FindCoordinator() gives its member id, empty if there is none.
bool IsCoordinator(const Entry& aEntry, TimePoint aNow);
std::string FindCoordinator(const Entry& aEntry, TimePoint aNow);

// Like FindCoordinator(), but leaves this entry out.
std::string FindNextCoordinator(const Entry& aEntry, TimePoint aNow);

// The changes of a snapshot since ticket aSinceNumber. -1 gives the whole
// configuration.
ConfigDelta MakeDelta(const Snapshot& aSnapshot, std::int64_t aSinceNumber);

// The configuration after a delta; a null base stands for none at all. Null if
// the base is older than the ticket that the delta starts from.
ConfigPtr ApplyDelta(const ConfigDelta& aDelta, const Config* aBase);

// Puts a snapshot into force if its revision is higher than the present one.
// The revision in force never goes back, whatever the source. aSource is for
// the log.
void Adopt(EventContext& aContext,
           SnapshotPtr aSnapshot,
           std::string_view aSource);

// Records that a read of the head, sent at aSentAt, found it as it is here.
void SetStoreEvidence(EventContext& aContext, TimePoint aSentAt);

// Puts the configuration that was read from the store into force. False if
// there was none, a record could not be read, or it is older than the present
// one.
bool AdoptStoreSnapshot(EventContext& aContext,
                        const StoreAnswer& aAnswer,
                        TimePoint aSentAt);

// Adds a prepared change to the pending ones. False if it is not based on the
// revision in force here, can't be applied, or too many changes are pending.
bool AddPending(EventContext& aContext,
                const Prepare& aPrepare,
                const std::string& aProposer);
void DropPending(Entry& aEntry, const std::string& aOperation);

// Sends to every member but this entry, or to one peer if its address is known.
void SendToMembers(EventContext& aContext, const PeerMessage& aMessage);
void SendToPeer(EventContext& aContext,
                const std::string& aId,
                PeerMessage aMessage);

void OnHeartbeat(EventContext& aContext,
                 const PeerFrame& aFrame,
                 const Heartbeat& aBeat);
void OnHeartbeatAck(EventContext& aContext,
                    const PeerFrame& aFrame,
                    const HeartbeatAck& aAck);
void OnConfigRequest(EventContext& aContext,
                     const PeerFrame& aFrame,
                     const ConfigRequest& aRequest);
void OnConfigReply(EventContext& aContext,
                   const PeerFrame& aFrame,
                   const ConfigReply& aReply);
void OnHeadAnswer(EventContext& aContext, const StoreAnswer& aAnswer);
void TickAgreement(EventContext& aContext);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_core_agreement_h
