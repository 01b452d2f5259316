// Internal: which configuration is in force here, and whether that is fresh.
//
// The rule in short. A change is swapped into the store only after a majority
// of the members in the head was told of it (proposal.h). So an entry that has
// just heard from a majority of them, none of whom knew of anything more than
// it knows itself, may act on what it has, whether the store can be reached or
// not. A direct read of the head is worth as much. Without either, evidence
// runs out after EntryOptions::evidenceLifetime_ and nothing more starts.
// docs/forwarder/design/agreement.md has the argument in full.

#ifndef cuminbridge_core_agreement_h
#define cuminbridge_core_agreement_h

#include "entry_state.h"

namespace cuminbridge::forwarder {

std::size_t MajorityOf(std::size_t aMembers);

// May work start on the configuration at hand?
bool IsFresh(const Entry& aEntry, TimePoint aNow);

// Is the member this very process?
bool IsSelf(const Entry& aEntry, const Member& aMember);

// Is this very process one of the members in force?
bool IsMember(const Entry& aEntry);

// The member in force with this id and incarnation, or null.
const Member* FindMember(const Entry& aEntry,
                         const std::string& aId,
                         std::uint64_t aIncarnation);

// Was this peer heard within the lapse that ends a membership?
bool IsHeard(const Entry& aEntry, const std::string& aId, TimePoint aNow);

// The first member by id that is heard (this one included): it looks after
// members and permits. Two entries may both think so for a while; the store's
// compare-and-swap settles what they do.
bool IsSteward(const Entry& aEntry, TimePoint aNow);
std::string FindSteward(const Entry& aEntry, TimePoint aNow);

// The same, leaving this entry out.
std::string FindNextSteward(const Entry& aEntry, TimePoint aNow);

// The difference that brings a holder of ticket aSinceNumber up to a snapshot.
// -1 gives the whole configuration.
ConfigDelta MakeDelta(const Snapshot& aSnapshot, std::int64_t aSinceNumber);

// The configuration after a delta. Null if the base lacks earlier tickets.
ConfigPtr ApplyDelta(const ConfigDelta& aDelta, const Config* aBase);

// Takes a snapshot into force if it is newer than the one at hand. An older
// one is never taken back, whoever says so.
void Adopt(Turn& aTurn, SnapshotPtr aSnapshot, std::string_view aSource);

// Records that the head was read from the store and found as it is here.
void SetStoreEvidence(Turn& aTurn, TimePoint aSentAt);

// Takes the whole configuration as read from the store. False if there was none
// or it is older than the one at hand.
bool TakeSnapshot(Turn& aTurn, const StoreAnswer& aAnswer, TimePoint aSentAt);

// Remembers a change that may come. False if it can't be judged from here.
bool AddPending(Turn& aTurn,
                const Prepare& aPrepare,
                const std::string& aProposer);
void DropPending(Entry& aEntry, const std::string& aOperation);

// Sends to every member but this entry.
void SendToMembers(Turn& aTurn, const PeerMessage& aMessage);
void SendToPeer(Turn& aTurn, const std::string& aId, PeerMessage aMessage);

void OnHeartbeat(Turn& aTurn, const PeerFrame& aFrame, const Heartbeat& aBeat);
void OnHeartbeatAck(Turn& aTurn,
                    const PeerFrame& aFrame,
                    const HeartbeatAck& aAck);
void OnConfigAsk(Turn& aTurn,
                 const PeerFrame& aFrame,
                 const ConfigRequest& aAsk);
void OnConfigReply(Turn& aTurn,
                   const PeerFrame& aFrame,
                   const ConfigReply& aReply);
void OnHeadAnswer(Turn& aTurn, const StoreAnswer& aAnswer);
void TickAgreement(Turn& aTurn);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_core_agreement_h
