// Internal: an entry's share of each target's slots. A slot allows one request
// to run on the target.
//
// The slots of a target are divided among the members by rendezvous hashing, so
// every entry knows its share without a message, and a change of members moves
// few slots. Idle slots then move to entries where work waits, by the transfers
// that permits.h describes. docs/forwarder/design/placement.md describes the
// alternatives.

#ifndef cuminbridge_core_slots_h
#define cuminbridge_core_slots_h

#include "entry_state.h"

namespace cuminbridge::forwarder {

// Sets this entry's share of the slots from the members in force; 0 if it is
// not a member. AssignAllSlots() also drops transfers of slots that are under
// way.
void AssignSlots(const Entry& aEntry, TargetState& aTarget);
void AssignAllSlots(Entry& aEntry);

// Asks peers for slots, for work that waits in the pool and finds no target.
void AskForSlots(EventContext& aContext, PoolState& aPool);

void OnSlotRequest(EventContext& aContext,
                   const PeerFrame& aFrame,
                   const SlotRequest& aRequest);

// A request on the target has ended: gives the slot to a peer that asked for
// one if the peers are next in order.
void OnSlotFreed(EventContext& aContext,
                 PoolState& aPool,
                 const TargetState& aTarget);

// Adds slots, by VM, that a peer has given or that a refused transfer returns.
void AddReceivedSlots(Entry& aEntry, const std::map<std::string, int>& aSlots);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_core_slots_h
