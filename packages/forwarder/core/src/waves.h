// Internal: maintenance in waves: VMs are taken out of use, drained, rebooted
// and returned to their pool.
//
// The configuration of a pool names a maintenance round. Each VM whose last
// reboot was for an earlier round has to be rebooted once. One entry plans a
// pool. Should two entries plan it at once, the compare-and-swap of the pool's
// wave record in the store lets only one of them succeed. This also protects
// the availability budget: a VM is taken only by a swap of the very record from
// which the available VMs were counted. docs/forwarder/design/maintenance.md
// describes the alternatives.

#ifndef cuminbridge_core_waves_h
#define cuminbridge_core_waves_h

#include "entry_state.h"

namespace cuminbridge::forwarder {

// The operation id of a VM's reboot in a round. The platform reboots a VM only
// once for each id.
std::string FormatOperationId(std::int64_t aRound, const std::string& aVm);

// The round in an operation id; -1 if it is not in that format.
std::int64_t ParseRound(std::string_view aOperation);

// VMs of a pool that have not been rebooted for its current round.
std::vector<std::string> FindVmsToReboot(const Entry& aEntry,
                                         const PoolConfig& aPool);

// True if this entry plans the pool: it has the highest rendezvous weight among
// the members that it has heard lately.
bool IsPlanner(const Entry& aEntry, const std::string& aPool, TimePoint aNow);

// The members in force have changed; aOld are the previous ones.
void OnWaveEpochChanged(EventContext& aContext,
                        const std::vector<Member>& aOld);

// False while VMs of the pool may be taken for maintenance and this entry has
// not been notified which: no request may start in the pool.
bool IsWaveKnown(const Entry& aEntry, const PoolConfig& aPool);

void OnWaveRequest(EventContext& aContext,
                   const PeerFrame& aFrame,
                   const WaveRequest& aRequest);
void OnWaveReply(EventContext& aContext,
                 const PeerFrame& aFrame,
                 const WaveReply& aReply);

// True if the answer belongs to a read or write of a wave record.
bool OnWaveAnswer(EventContext& aContext, const StoreAnswer& aAnswer);

void TickWaves(EventContext& aContext);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_core_waves_h
