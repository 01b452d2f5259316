// Internal: an entry's part of each target's slots.
//
// The slots of a target are shared out among the members by rendezvous
// hashing, so every entry knows its part without a message, and a change of
// members moves few of them. Idle slots then go where work waits, by the same
// transfers as permits. docs/forwarder/design/placement.md has the ways
// weighed.

#ifndef cuminbridge_core_slots_h
#define cuminbridge_core_slots_h

#include "entry_state.h"

namespace cuminbridge::forwarder {

// Gives the target's slots out anew among the members in force.
void AssignSlots(const Entry& aEntry, TargetState& aTarget);
void AssignAllSlots(Entry& aEntry);

// Work waits in a pool and no target has a free slot here: asks peers.
void AskForSlots(Turn& aTurn, PoolState& aPool);

void OnSlotAsk(Turn& aTurn, const PeerFrame& aFrame, const SlotRequest& aAsk);

// A request on the target has ended: hands the slot to an asking peer when it
// is their turn.
void OnSlotFreed(Turn& aTurn, PoolState& aPool, const TargetState& aTarget);

void TakeSlots(Entry& aEntry, const std::map<std::string, int>& aSlots);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_core_slots_h
