// Slots: parts by rendezvous hashing, and idle ones on request.

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
Weigh(std::string_view aTarget, std::string_view aMember)
{
  const std::uint64_t seed = XXH3_64bits(aMember.data(), aMember.size());
  return XXH3_64bits_withSeed(aTarget.data(), aTarget.size(), seed);
}

// How many members weigh more for this target than this entry does.
int
RankOf(const Entry& aEntry, std::string_view aTarget)
{
  const Member& self = aEntry.options_.self_;
  const std::uint64_t own = Weigh(aTarget, self.id_);
  int rank = 0;
  for (const Member& member : aEntry.agreement_.inForce_->members_) {
    if (member.id_ != self.id_ && Weigh(aTarget, member.id_) > own) {
      ++rank;
    }
  }
  return rank;
}

int
WaitingIn(const PoolState& aPool)
{
  int waiting = 0;
  for (const auto& [account, queue] : aPool.queues_) {
    waiting += queue.count_;
  }
  return waiting;
}

void
GiveSlots(Turn& aTurn,
          const std::string& aPeer,
          const std::map<std::string, int>& aSlots)
{
  Entry& entry = aTurn.entry_;
  PermitTransfer give;
  give.slots_ = aSlots;
  if (!StartTransfer(aTurn, aPeer, std::move(give))) {
    return;
  }
  for (const auto& [vm, count] : aSlots) {
    entry.routing_.targets_.at(vm).slots_ -= count;
  }
  ++entry.counts_["slot_transfers"];
}

bool
HoldsMoreThanEven(const Turn& aTurn, const PoolState& aPool)
{
  int held = 0;
  for (const TargetState* target : aPool.targets_) {
    held += target->slots_;
  }
  const std::size_t all =
    aPool.targets_.size() *
    static_cast<std::size_t>(aTurn.entry_.options_.slotsPerTarget_);
  const std::size_t members = aTurn.entry_.agreement_.inForce_->members_.size();
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
  const int left = slots % members;
  aTarget.slots_ = slots / members;
  if (left > 0 && RankOf(aEntry, aTarget.address_) < left) {
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
AskForSlots(Turn& aTurn, PoolState& aPool)
{
  if (aTurn.now_ < aPool.nextSlotAsk_ ||
      aPool.config_->scheduler_ == Scheduler::Old) {
    return;
  }
  aPool.nextSlotAsk_ = aTurn.now_ + kAskInterval;
  const SlotRequest ask{ aPool.config_->name_, WaitingIn(aPool) };
  const auto& members = aTurn.entry_.agreement_.inForce_->members_;
  const std::size_t count = members.size();
  const std::size_t first =
    aTurn.entry_.routing_.random_(static_cast<std::uint32_t>(count));
  std::size_t asked = 0;
  for (std::size_t i = 0; i < count && asked < kPeersAsked; ++i) {
    const Member& member = members[(first + i) % count];
    if (!IsSelf(aTurn.entry_, member) &&
        IsHeard(aTurn.entry_, member.id_, aTurn.now_)) {
      aTurn.Emit(SendPeer{ member.peerAddress_, ask });
      ++asked;
    }
  }
}

void
OnSlotAsk(Turn& aTurn, const PeerFrame& aFrame, const SlotRequest& aAsk)
{
  Entry& entry = aTurn.entry_;
  const auto found = entry.routing_.pools_.find(aAsk.pool_);
  if (found == entry.routing_.pools_.end() || IsFrozen(entry, aTurn.now_) ||
      aAsk.count_ <= 0) {
    return;
  }
  PoolState& pool = found->second;
  // What is free after a dispatch can't be used here now. While work waits for
  // permits, half is kept for it.
  const bool isWaiting = !pool.queues_.empty();
  std::map<std::string, int> slots;
  int left = aAsk.count_;
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
    GiveSlots(aTurn, aFrame.from_, slots);
  }
  if (left > 0) {
    pool.slotAsks_.byPeer_[aFrame.from_] = { left, aTurn.now_ + kAskLifetime };
  }
}

void
OnSlotFreed(Turn& aTurn, PoolState& aPool, const TargetState& aTarget)
{
  DropOldAsks(aPool.slotAsks_, aTurn.now_);
  const bool isFree = aTarget.slots_ > aTarget.running_ &&
                      aTarget.status_ == VmStatus::Live && !aTarget.isEjected_;
  if (aPool.slotAsks_.byPeer_.empty() || !isFree ||
      IsFrozen(aTurn.entry_, aTurn.now_)) {
    return;
  }
  // An entry that holds no more than an even part keeps it while it has work.
  aPool.slotAsks_.isGiveTurn_ = !aPool.slotAsks_.isGiveTurn_;
  const bool isOwn =
    !aPool.queues_.empty() &&
    (!aPool.slotAsks_.isGiveTurn_ || !HoldsMoreThanEven(aTurn, aPool));
  if (isOwn) {
    return;
  }
  const std::string peer = TakeNextAsk(aPool.slotAsks_);
  GiveSlots(aTurn, peer, { { aTarget.address_, 1 } });
}

void
TakeSlots(Entry& aEntry, const std::map<std::string, int>& aSlots)
{
  for (const auto& [vm, count] : aSlots) {
    const auto target = aEntry.routing_.targets_.find(vm);
    if (target != aEntry.routing_.targets_.end()) {
      target->second.slots_ += count;
    }
  }
}

} // namespace cuminbridge::forwarder
