// Choice and ejection of targets.

#include "placement.h"

#include <algorithm>

#include "waves.h"

namespace cuminbridge::forwarder {

namespace {

// Pools of up to kMaxFullyScannedPool targets are searched whole. In larger
// ones the search stops after kSampledTargets candidates.
constexpr std::size_t kMaxFullyScannedPool = 16;
constexpr int kSampledTargets = 4;
// Ejections last kFirstEjection at first and twice as long after each failed
// probe, up to kMaxEjectionDoublings times.
constexpr Duration kFirstEjection = std::chrono::seconds(2);
constexpr int kMaxEjectionDoublings = 4;

int
OwnConnectionLimit(const Entry& aEntry)
{
  // The upstream connections of a target are divided evenly among the members,
  // so that the fleet stays within the limit without any message.
  const auto& inForce = aEntry.agreement_.inForce_;
  const std::size_t members = std::max<std::size_t>(
    1, inForce ? inForce->members_.size() : std::size_t{ 1 });
  return std::max(
    1, aEntry.options_.connectionsPerTarget_ / static_cast<int>(members));
}

bool
HasFreeCapacity(const Entry& aEntry, const TargetState& aTarget)
{
  if (aTarget.running_ >= OwnConnectionLimit(aEntry)) {
    return false;
  }
  return aTarget.isOldScheduler_ || aTarget.running_ < aTarget.slots_;
}

bool
CanTakeRequest(const EventContext& aContext,
               const TargetState& aTarget,
               const PoolState& aPool,
               const Request& aRequest)
{
  if (aTarget.status_ != VmStatus::Live || aTarget.isInWave_ ||
      !HasFreeCapacity(aContext.entry_, aTarget)) {
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
  // Free slots are compared, not running requests, because this entry's shares
  // of the targets differ in size.
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

TargetChoice
ChooseTarget(EventContext& aContext, PoolState& aPool, const Request& aRequest)
{
  TargetChoice choice;
  const std::size_t size = aPool.targets_.size();
  if (size == 0 || !IsWaveKnown(aContext.entry_, *aPool.config_)) {
    return choice;
  }
  const std::size_t first =
    aContext.entry_.routing_.random_(static_cast<std::uint32_t>(size));
  for (std::size_t i = 0; i < size; ++i) {
    TargetState* target = aPool.targets_[(first + i) % size];
    if (!CanTakeRequest(aContext, *target, aPool, aRequest)) {
      continue;
    }
    ++choice.candidates_;
    // A target that is due a probe takes precedence: without a probe it would
    // stay ejected.
    const bool isBetter =
      choice.target_ == nullptr || target->isEjected_ ||
      (!choice.isProbe_ && LoadOf(*target) < LoadOf(*choice.target_));
    if (isBetter) {
      choice.target_ = target;
      choice.isProbe_ = target->isEjected_;
    }
    if (choice.isProbe_ || (size > kMaxFullyScannedPool &&
                            choice.candidates_ >= kSampledTargets)) {
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
  aContext.Note("target taken back",
                aTarget.address_ + " has answered and gets requests again");
}

void
OnTargetFailed(EventContext& aContext, TargetState& aTarget)
{
  ++aTarget.failuresInRow_;
  const EntryOptions& options = aContext.entry_.options_;
  const bool isFailedProbe = aTarget.isEjected_ && aTarget.isProbing_;
  aTarget.isProbing_ = false;
  if (!isFailedProbe &&
      (aTarget.isEjected_ || aTarget.failuresInRow_ < options.ejectAfter_)) {
    return;
  }
  PoolState* pool = FindPoolOf(aContext.entry_, aTarget);
  if (pool == nullptr) {
    return;
  }
  if (!isFailedProbe) {
    const auto maxEjected =
      std::max(1,
               static_cast<int>(options.ejectShare_ *
                                static_cast<double>(pool->targets_.size())));
    if (pool->ejected_ >= maxEjected) {
      // When this many targets fail at once, the cause is the pool or the work
      // and not the single target.
      return;
    }
    ++pool->ejected_;
    aTarget.isEjected_ = true;
    ++aContext.entry_.counts_["targets_ejected"];
    aContext.Note("target ejected",
                  aTarget.address_ + " failed " +
                    std::to_string(aTarget.failuresInRow_) + " times in a row");
  }
  const int doublings = std::min(aTarget.ejections_, kMaxEjectionDoublings);
  aTarget.ejectedUntil_ = aContext.now_ + kFirstEjection * (1 << doublings);
  ++aTarget.ejections_;
}

} // namespace cuminbridge::forwarder
