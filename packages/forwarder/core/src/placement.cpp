// Choice of targets.

#include "placement.h"

#include <algorithm>

#include "waves.h"

namespace cuminbridge::forwarder {

namespace {

// Pools up to this size are looked at whole; of larger ones, samples.
constexpr std::size_t kSmallPool = 16;
constexpr int kSamples = 4;
constexpr Duration kFirstEjection = std::chrono::seconds(2);
constexpr int kMaxEjectionDoublings = 4;

int
OwnConnectionCap(const Entry& aEntry)
{
  // Upstream connections are shared out evenly: no message is needed to keep
  // the fleet within the cap.
  const auto& inForce = aEntry.agreement_.inForce_;
  const std::size_t members = std::max<std::size_t>(
    1, inForce ? inForce->members_.size() : std::size_t{ 1 });
  return std::max(
    1, aEntry.options_.connectionsPerTarget_ / static_cast<int>(members));
}

bool
HasRoom(const Entry& aEntry, const TargetState& aTarget)
{
  if (aTarget.running_ >= OwnConnectionCap(aEntry)) {
    return false;
  }
  return aTarget.isOldScheduler_ || aTarget.running_ < aTarget.slots_;
}

bool
MayTake(const EventContext& aContext,
        const TargetState& aTarget,
        const PoolState& aPool,
        const Request& aRequest)
{
  if (aTarget.status_ != VmStatus::Live || aTarget.isInWave_ ||
      !HasRoom(aContext.entry_, aTarget)) {
    return false;
  }
  if (std::find(aRequest.tried_.begin(),
                aRequest.tried_.end(),
                aTarget.address_) != aRequest.tried_.end()) {
    return false;
  }
  if (!aContext.entry_.agreement_.pending_.empty() &&
      !aTarget.isOldScheduler_ &&
      !IsInPool(aContext.entry_, aTarget.address_, aPool.config_->name_)) {
    return false;
  }
  if (aTarget.isEjected_) {
    return aContext.now_ >= aTarget.ejectedUntil_ && !aTarget.isProbing_;
  }
  return true;
}

int
LoadOf(const TargetState& aTarget)
{
  // What is free counts, not what runs: parts of targets differ in size.
  return aTarget.running_ - aTarget.slots_;
}

PoolState*
FindPoolOf(Entry& aEntry, const TargetState& aTarget)
{
  for (auto& [name, pool] : aEntry.routing_.pools_) {
    if (std::find(pool.targets_.begin(), pool.targets_.end(), &aTarget) !=
        pool.targets_.end()) {
      return &pool;
    }
  }
  return nullptr;
}

} // namespace

bool
IsInPool(const Entry& aEntry, const std::string& aVm, const std::string& aPool)
{
  const auto isIn = [&](const Config& aConfig) {
    const auto found = aConfig.poolOfVm_.find(aVm);
    return found != aConfig.poolOfVm_.end() && found->second == aPool;
  };
  const Agreement& agreement = aEntry.agreement_;
  return isIn(*agreement.inForce_->config_) &&
         std::all_of(agreement.pending_.begin(),
                     agreement.pending_.end(),
                     [&](const PendingChange& aPending) {
                       return isIn(*aPending.config_);
                     });
}

Choice
ChooseTarget(EventContext& aContext, PoolState& aPool, const Request& aRequest)
{
  Choice choice;
  const std::size_t size = aPool.targets_.size();
  if (size == 0 || !IsWaveKnown(aContext.entry_, *aPool.config_)) {
    return choice;
  }
  const std::size_t first =
    aContext.entry_.routing_.random_(static_cast<std::uint32_t>(size));
  for (std::size_t i = 0; i < size; ++i) {
    TargetState* target = aPool.targets_[(first + i) % size];
    if (!MayTake(aContext, *target, aPool, aRequest)) {
      continue;
    }
    ++choice.weighed_;
    // A probe is worth one request: without it an ejected target stays out.
    const bool isBetter =
      choice.target_ == nullptr || target->isEjected_ ||
      (!choice.isProbe_ && LoadOf(*target) < LoadOf(*choice.target_));
    if (isBetter) {
      choice.target_ = target;
      choice.isProbe_ = target->isEjected_;
    }
    if (choice.isProbe_ || (size > kSmallPool && choice.weighed_ >= kSamples)) {
      break;
    }
  }
  return choice;
}

void
OnTargetSucceeded(EventContext& aContext, TargetState& aTarget)
{
  aTarget.failuresInRow_ = 0;
  aTarget.isProbing_ = false;
  if (!aTarget.isEjected_) {
    return;
  }
  aTarget.isEjected_ = false;
  aTarget.ejections_ = 0;
  PoolState* pool = FindPoolOf(aContext.entry_, aTarget);
  if (pool != nullptr) {
    --pool->ejected_;
  }
  aContext.Note("target taken back", aTarget.address_);
}

void
OnTargetFailed(EventContext& aContext, TargetState& aTarget)
{
  ++aTarget.failuresInRow_;
  const EntryOptions& options = aContext.entry_.options_;
  const bool isAgain = aTarget.isEjected_ && aTarget.isProbing_;
  aTarget.isProbing_ = false;
  if (!isAgain &&
      (aTarget.isEjected_ || aTarget.failuresInRow_ < options.ejectAfter_)) {
    return;
  }
  PoolState* pool = FindPoolOf(aContext.entry_, aTarget);
  if (pool == nullptr) {
    return;
  }
  if (!isAgain) {
    const auto cap =
      std::max(1,
               static_cast<int>(options.ejectShare_ *
                                static_cast<double>(pool->targets_.size())));
    if (pool->ejected_ >= cap) {
      return; // so many at once is the pool's fault or the work's, not theirs
    }
    ++pool->ejected_;
    aTarget.isEjected_ = true;
    ++aContext.entry_.counts_["targets_ejected"];
    aContext.Note("target ejected", aTarget.address_);
  }
  const int doublings = std::min(aTarget.ejections_, kMaxEjectionDoublings);
  aTarget.ejectedUntil_ = aContext.now_ + kFirstEjection * (1 << doublings);
  ++aTarget.ejections_;
}

} // namespace cuminbridge::forwarder
