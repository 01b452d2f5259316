// Internal: maintenance: VMs are taken, drained, rebooted and given back.
//
// A pool's ticket names a round; each VM whose last operation is not of that
// round has to be rebooted once. One entry plans a pool; should two think so,
// the compare-and-swap of the pool's wave record settles it, as it does the
// budget: a VM is taken only by a swap of the record that the count was made
// from. docs/forwarder/design/maintenance.md has the ways weighed.

#ifndef cuminbridge_core_waves_h
#define cuminbridge_core_waves_h

#include "entry_state.h"

namespace cuminbridge::forwarder {

// The id of a VM's reboot in a round. The platform reboots once for each id.
std::string NameOperation(std::int64_t aRound, const std::string& aVm);

// The round in such an id; -1 if it is no such id.
std::int64_t RoundOf(std::string_view aOperation);

// VMs of a pool that have not had its round yet.
std::vector<std::string> FindTodo(const Entry& aEntry, const PoolConfig& aPool);

// Does this entry plan the pool?
bool IsPlanner(const Entry& aEntry, const std::string& aPool, TimePoint aNow);

// The members in force have changed; aOld are those before.
void OnWavesEpoch(Turn& aTurn, const std::vector<Member>& aOld);

// May work start on the VMs of the pool that are not marked? Not before this
// entry has heard which of them are taken, if any may be.
bool IsWaveKnown(const Entry& aEntry, const PoolConfig& aPool);

void OnWaveAsk(Turn& aTurn, const PeerFrame& aFrame, const WaveRequest& aAsk);
void OnWaveReply(Turn& aTurn, const PeerFrame& aFrame, const WaveReply& aReply);

// True if the answer was to a call about a wave.
bool OnWaveAnswer(Turn& aTurn, const StoreAnswer& aAnswer);

void TickWaves(Turn& aTurn);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_core_waves_h
