// Slots: shares by rendezvous hashing, and transfers of idle slots on request.

#include "slots.h"

#include <algorithm>

#include <xxhash.h>

#include "agreement.h"
#include "permits.h"

namespace cuminbridge::forwarder {

namespace {

constexpr Duration kAskInterval = std::chrono::milliseconds(100);
constexpr std::size_t kPeersAsked = 3;

std::uint64_t
RendezvousWeight(std::string_view aTarget, std::string_view aMember)
{
  const std::uint64_t seed = XXH3_64bits(aMember.data(), aMember.size());
  return XXH3_64bits_withSeed(aTarget.data(), aTarget.size(), seed);
}

// How many other members have a higher rendezvous weight for this target than
// this entry.
int
RankOf(const Entry& aEntry, std::string_view aTarget)
{
  const Member& self = aEntry.options_.self_;
  const std::uint64_t own = RendezvousWeight(aTarget, self.id_);
  int rank = 0;
  for (const Member& member : aEntry.agreement_.inForce_->members_) {
    if (member.id_ != self.id_ && RendezvousWeight(aTarget, member.id_) > own) {
      ++rank;
    }
  }
  return rank;
}

int
CountWaiting(const PoolState& aPool)
{
  int waiting = 0;
  for (const auto& [account, queue] : aPool.queues_) {
    waiting += queue.count_;
  }
  return waiting;
}

void
GiveSlots(EventContext& aContext,
          const std::string& aPeer,
          const std::map<std::string, int>& aSlots)
{
  Entry& entry = aContext.entry_;
  PermitTransfer give;
  give.slots_ = aSlots;
  if (!StartTransfer(aContext, aPeer, std::move(give))) {
    return;
  }
  for (const auto& [vm, count] : aSlots) {
    entry.routing_.targets_.at(vm).slots_ -= count;
  }
  ++entry.counts_["slot_transfers"];
}

bool
HoldsMoreThanEvenShare(const EventContext& aContext, const PoolState& aPool)
{
  int held = 0;
  for (const TargetState* target : aPool.targets_) {
    held += target->slots_;
  }
  const std::size_t all =
    aPool.targets_.size() *
    static_cast<std::size_t>(aContext.entry_.options_.slotsPerTarget_);
  const std::size_t members =
    aContext.entry_.agreement_.inForce_->members_.size();
  return static_cast<std::size_t>(held) * members > all;
}

} // namespace

void
AssignSlots(const Entry& aEntry, TargetState& aTarget)
{
  aTarget.slots_ = 0;
  if (!IsMember(aEntry)) {
    return;
  }
  const int members =
    static_cast<int>(aEntry.agreement_.inForce_->members_.size());
  const int slots = aEntry.options_.slotsPerTarget_;
  const int remainder = slots % members;
  aTarget.slots_ = slots / members;
  if (remainder > 0 && RankOf(aEntry, aTarget.address_) < remainder) {
    ++aTarget.slots_;
  }
}

void
AssignAllSlots(Entry& aEntry)
{
  std::erase_if(aEntry.permits_.transfers_, [](const auto& aTransfer) {
    return !aTransfer.second.give_.slots_.empty();
  });
  for (auto& [address, target] : aEntry.routing_.targets_) {
    AssignSlots(aEntry, target);
  }
}

void
AskForSlots(EventContext& aContext, PoolState& aPool)
{
  if (aContext.now_ < aPool.nextSlotAsk_ ||
      aPool.config_->scheduler_ == Scheduler::Old) {
    return;
  }
  aPool.nextSlotAsk_ = aContext.now_ + kAskInterval;
  const SlotRequest ask{ aPool.config_->name_, CountWaiting(aPool) };
  const auto& members = aContext.entry_.agreement_.inForce_->members_;
  const std::size_t count = members.size();
  const std::size_t first =
    aContext.entry_.routing_.random_(static_cast<std::uint32_t>(count));
  std::size_t asked = 0;
  for (std::size_t i = 0; i < count && asked < kPeersAsked; ++i) {
    const Member& member = members[(first + i) % count];
    if (!IsSelf(aContext.entry_, member) &&
        IsResponsive(aContext.entry_, member.id_, aContext.now_)) {
      aContext.Emit(SendPeer{ member.peerAddress_, ask });
      ++asked;
    }
  }
}

void
OnSlotRequest(EventContext& aContext,
              const PeerFrame& aFrame,
              const SlotRequest& aRequest)
{
  Entry& entry = aContext.entry_;
  const auto found = entry.routing_.pools_.find(aRequest.pool_);
  if (found == entry.routing_.pools_.end() || IsFrozen(entry, aContext.now_) ||
      aRequest.count_ <= 0) {
    return;
  }
  PoolState& pool = found->second;
  // Dispatch has left these slots free, so they can't be used here now. While
  // work waits here for permits, half of them is kept for it.
  const bool isWaiting = !pool.queues_.empty();
  std::map<std::string, int> slots;
  int left = aRequest.count_;
  for (const TargetState* target : pool.targets_) {
    const int idle = std::max(0, target->slots_ - target->running_);
    const int spare = isWaiting ? (idle + 1) / 2 : idle;
    const int given = std::min(spare, left);
    const bool isUsable =
      target->status_ == VmStatus::Live && !target->isEjected_;
    if (given > 0 && isUsable) {
      slots[target->address_] = given;
      left -= given;
    }
  }
  if (!slots.empty()) {
    GiveSlots(aContext, aFrame.from_, slots);
  }
  if (left > 0) {
    pool.slotAsks_.byPeer_[aFrame.from_] = { left,
                                             aContext.now_ + kAskLifetime };
  }
}

void
OnSlotFreed(EventContext& aContext,
            PoolState& aPool,
            const TargetState& aTarget)
{
  DropExpiredAsks(aPool.slotAsks_, aContext.now_);
  const bool isFree = aTarget.slots_ > aTarget.running_ &&
                      aTarget.status_ == VmStatus::Live && !aTarget.isEjected_;
  if (aPool.slotAsks_.byPeer_.empty() || !isFree ||
      IsFrozen(aContext.entry_, aContext.now_)) {
    return;
  }
  // While work waits here, freed slots go alternately to peers and to own work.
  // An entry that holds no more than an even share of the slots keeps them all.
  aPool.slotAsks_.isPeerPreferred_ = !aPool.slotAsks_.isPeerPreferred_;
  const bool isKept =
    !aPool.queues_.empty() && (!aPool.slotAsks_.isPeerPreferred_ ||
                               !HoldsMoreThanEvenShare(aContext, aPool));
  if (isKept) {
    return;
  }
  const std::string peer = TakeNextAsk(aPool.slotAsks_);
  GiveSlots(aContext, peer, { { aTarget.address_, 1 } });
}

void
AddReceivedSlots(Entry& aEntry, const std::map<std::string, int>& aSlots)
{
  for (const auto& [vm, count] : aSlots) {
    const auto target = aEntry.routing_.targets_.find(vm);
    if (target != aEntry.routing_.targets_.end()) {
      target->second.slots_ += count;
    }
  }
}

} // namespace cuminbridge::forwarder
