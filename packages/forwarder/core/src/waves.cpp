// Planning maintenance waves and carrying them out.

#include "waves.h"

#include <algorithm>
#include <charconv>

#include <xxhash.h>

#include "agreement.h"
#include "permits.h"
#include "routing.h"

namespace cuminbridge::forwarder {

namespace {

constexpr Duration kPlanInterval = std::chrono::milliseconds(500);
constexpr Duration kAskInterval = std::chrono::milliseconds(1000);
constexpr Duration kEmptyAskInterval = std::chrono::seconds(10); // no VM taken
constexpr Duration kRebootRetry = std::chrono::seconds(5);

//-----------------------------------------------------------------------------
// [SECTION] State of VMs
//-----------------------------------------------------------------------------

const VmState*
FindVm(const Entry& aEntry, const std::string& aVm)
{
  const auto found = aEntry.fleet_.vms_.find(aVm);
  return found == aEntry.fleet_.vms_.end() ? nullptr : &found->second;
}

bool
IsTaken(const WaveState& aWave, const std::string& aVm)
{
  return std::any_of(aWave.taken_.begin(),
                     aWave.taken_.end(),
                     [&](const WaveVm& aTaken) { return aTaken.vm_ == aVm; });
}

// A VM is available if the platform lists it as live and it is neither ejected
// nor taken for maintenance.
bool
IsAvailable(const Entry& aEntry, const WaveState& aWave, const std::string& aVm)
{
  const VmState* vm = FindVm(aEntry, aVm);
  const auto target = aEntry.routing_.targets_.find(aVm);
  const bool isEjected =
    target != aEntry.routing_.targets_.end() && target->second.isEjected_;
  return vm != nullptr && vm->status_ == VmStatus::Live && !isEjected &&
         !IsTaken(aWave, aVm);
}

int
CountAvailable(const Entry& aEntry,
               const WaveState& aWave,
               const PoolConfig& aPool)
{
  return static_cast<int>(std::count_if(
    aPool.vms_.begin(), aPool.vms_.end(), [&](const std::string& aVm) {
      return IsAvailable(aEntry, aWave, aVm);
    }));
}

// True once the VM is live again after the reboot it was taken for.
bool
IsDone(const Entry& aEntry, const WaveVm& aTaken)
{
  const VmState* vm = FindVm(aEntry, aTaken.vm_);
  return vm != nullptr && vm->status_ == VmStatus::Live &&
         vm->lastOperation_ == aTaken.operation_;
}

// False if the round was cancelled before the VM's reboot was requested: the VM
// is returned without a reboot.
bool
IsStillRequired(const WaveState& aWave,
                const PoolConfig& aPool,
                const WaveVm& aTaken)
{
  return aTaken.operation_ == FormatOperationId(aPool.round_, aTaken.vm_) ||
         aWave.rebootedAt_.contains(aTaken.vm_);
}

// True if the VM is in the same rack as all VMs of the wave. A wave stays
// within one rack, so that the failure of a rack during a wave coincides with
// maintenance in at most one other rack.
bool
IsInWaveRack(const Entry& aEntry,
             const WaveState& aWave,
             const std::string& aVm)
{
  const VmState* vm = FindVm(aEntry, aVm);
  return std::all_of(
    aWave.taken_.begin(), aWave.taken_.end(), [&](const WaveVm& aTaken) {
      const VmState* other = FindVm(aEntry, aTaken.vm_);
      return vm != nullptr && other != nullptr && !vm->rack_.empty() &&
             vm->rack_ == other->rack_;
    });
}

// True if a VM has been taken for longer than EntryOptions::waveLimit_.
bool
IsStuck(const EventContext& aContext, const WaveState& aWave)
{
  return std::any_of(
    aWave.takenAt_.begin(), aWave.takenAt_.end(), [&](const auto& aTaken) {
      return aContext.now_ - aTaken.second >
             aContext.entry_.options_.waveLimit_;
    });
}

// True if all members have replied, for the current record, that nothing runs
// on the VM, and processes that have left can't have work on it either.
bool
IsDrained(const EventContext& aContext,
          const WaveState& aWave,
          const std::string& aVm)
{
  if (aContext.now_ < aContext.entry_.waves_.departedMayRunUntil_) {
    return false;
  }
  for (const Member& member : aContext.entry_.agreement_.inForce_->members_) {
    const auto reply = aWave.replies_.find(member.id_);
    if (reply == aWave.replies_.end() || reply->second.contains(aVm)) {
      return false;
    }
  }
  return true;
}

//-----------------------------------------------------------------------------
// [SECTION] The record in the store
//-----------------------------------------------------------------------------

void
ReadWave(EventContext& aContext, const std::string& aPool, WaveState& aWave)
{
  aWave.call_ = aContext.entry_.nextCall_++;
  aWave.isSwapCall_ = false;
  aContext.Emit(StoreRead{ aWave.call_, WaveKey(aPool), false });
}

void
SwapWave(EventContext& aContext,
         const std::string& aPool,
         WaveState& aWave,
         std::vector<WaveVm> aTaken)
{
  StoreSwap swap;
  swap.call_ = aWave.call_ = aContext.entry_.nextCall_++;
  aWave.isSwapCall_ = true;
  aWave.vmsAfterSwap_ = std::move(aTaken);
  // The head is compared too, so that the budget is the one in force.
  swap.compares_ = { { WaveKey(aPool), aWave.revision_ },
                     { std::string(kHeadKey),
                       aContext.entry_.agreement_.inForce_->revision_ } };
  swap.puts_ = { { WaveKey(aPool), EncodeWave(aWave.vmsAfterSwap_) } };
  aContext.Emit(std::move(swap));
}

// Adopts the taken VMs of a record. Earlier replies don't apply to it.
void
SetTaken(EventContext& aContext,
         WaveState& aWave,
         std::vector<WaveVm> aTaken,
         std::int64_t aRevision)
{
  aWave.taken_ = std::move(aTaken);
  aWave.revision_ = aRevision;
  aWave.replies_.clear();
  aWave.nextAsk_ = aContext.now_;
  std::erase_if(aWave.rebootedAt_, [&](const auto& aReboot) {
    return !IsTaken(aWave, aReboot.first);
  });
  std::map<std::string, TimePoint> takenAt;
  for (const WaveVm& taken : aWave.taken_) {
    const auto earlier = aWave.takenAt_.find(taken.vm_);
    takenAt[taken.vm_] =
      earlier == aWave.takenAt_.end() ? aContext.now_ : earlier->second;
  }
  aWave.takenAt_ = std::move(takenAt);
}

//-----------------------------------------------------------------------------
// [SECTION] Notifying members and marking targets
//-----------------------------------------------------------------------------

// Marks the targets of a pool that are taken for maintenance, and unmarks the
// others. No request starts on a marked target.
void
MarkTargets(Entry& aEntry, const std::string& aPool)
{
  const auto pool = aEntry.routing_.pools_.find(aPool);
  if (pool == aEntry.routing_.pools_.end()) {
    return;
  }
  const AnnouncedWave& note = aEntry.waves_.announced_[aPool];
  for (TargetState* target : pool->second.targets_) {
    target->isInWave_ = note.vms_.contains(target->address_);
  }
}

// Records which VMs of a pool are taken. False if this entry has been notified
// of a newer record.
bool
ApplyWaveRequest(EventContext& aContext, const WaveRequest& aRequest)
{
  AnnouncedWave& note = aContext.entry_.waves_.announced_[aRequest.pool_];
  if (aRequest.revision_ < note.revision_) {
    return false;
  }
  if (aRequest.revision_ > note.revision_) {
    note.revision_ = aRequest.revision_;
    note.vms_ = { aRequest.vms_.begin(), aRequest.vms_.end() };
  }
  MarkTargets(aContext.entry_, aRequest.pool_);
  const auto pool = aContext.entry_.routing_.pools_.find(aRequest.pool_);
  if (pool != aContext.entry_.routing_.pools_.end()) {
    DispatchPool(aContext, pool->second);
  }
  return true;
}

// Requests of this entry that run or may still run, by VM, without zeros.
std::map<std::string, int>
CountRunning(const Entry& aEntry, const std::vector<std::string>& aVms)
{
  std::map<std::string, int> running;
  for (const std::string& vm : aVms) {
    const auto target = aEntry.routing_.targets_.find(vm);
    if (target != aEntry.routing_.targets_.end() &&
        target->second.running_ + target->second.possiblyRunning_ > 0) {
      running[vm] = target->second.running_ + target->second.possiblyRunning_;
    }
  }
  return running;
}

// Notifies all members which VMs are taken, and asks what runs on them.
void
AskMembers(EventContext& aContext, const std::string& aPool, WaveState& aWave)
{
  // An empty wave is sent too, at a longer interval, because a member may have
  // missed the end of the last wave.
  aWave.nextAsk_ =
    aContext.now_ + (aWave.taken_.empty() ? kEmptyAskInterval : kAskInterval);
  WaveRequest ask;
  ask.pool_ = aPool;
  ask.epoch_ = aContext.entry_.permits_.epoch_;
  ask.revision_ = aWave.revision_;
  for (const WaveVm& taken : aWave.taken_) {
    ask.vms_.push_back(taken.vm_);
  }
  ApplyWaveRequest(aContext, ask);
  aWave.replies_[aContext.entry_.options_.self_.id_] =
    CountRunning(aContext.entry_, ask.vms_);
  SendToMembers(aContext, ask);
}

//-----------------------------------------------------------------------------
// [SECTION] Planning
//-----------------------------------------------------------------------------

// Requests the reboot of drained VMs, and repeats a request without effect.
void
RebootDrained(EventContext& aContext, WaveState& aWave, const PoolConfig& aPool)
{
  for (const WaveVm& taken : aWave.taken_) {
    if (!IsStillRequired(aWave, aPool, taken)) {
      continue;
    }
    const auto requested = aWave.rebootedAt_.find(taken.vm_);
    const VmState* vm = FindVm(aContext.entry_, taken.vm_);
    const bool isDue = requested == aWave.rebootedAt_.end() ||
                       aContext.now_ - requested->second >= kRebootRetry;
    const bool isUp = vm != nullptr && vm->status_ == VmStatus::Live &&
                      vm->lastOperation_ != taken.operation_;
    if (isDue && isUp && IsDrained(aContext, aWave, taken.vm_)) {
      aWave.rebootedAt_[taken.vm_] = aContext.now_;
      ++aContext.entry_.counts_["reboots_asked"];
      aContext.Emit(RebootVm{ taken.vm_, taken.operation_ });
    }
  }
}

// The VMs that stay taken: those still in the pool whose reboot is required and
// not finished.
std::vector<WaveVm>
FindVmsToKeep(const Entry& aEntry,
              const WaveState& aWave,
              const PoolConfig& aPool)
{
  std::vector<WaveVm> kept;
  for (const WaveVm& taken : aWave.taken_) {
    const bool isInPool =
      std::binary_search(aPool.vms_.begin(), aPool.vms_.end(), taken.vm_);
    if (isInPool && IsStillRequired(aWave, aPool, taken) &&
        !IsDone(aEntry, taken)) {
      kept.push_back(taken);
    }
  }
  return kept;
}

// Removes VMs whose reboot was not requested yet from aTaken, while fewer than
// the pool's min_available VMs are available.
void
ReleaseIfBelowBudget(const Entry& aEntry,
                     WaveState& aWave,
                     const PoolConfig& aPool,
                     std::vector<WaveVm>& aTaken)
{
  int available = CountAvailable(aEntry, aWave, aPool);
  std::erase_if(aTaken, [&](const WaveVm& aVm) {
    const bool isShort = available < aPool.minAvailable_;
    const VmState* vm = FindVm(aEntry, aVm.vm_);
    const bool isUntouched = vm != nullptr && vm->status_ == VmStatus::Live &&
                             !aWave.rebootedAt_.contains(aVm.vm_);
    if (isShort && isUntouched) {
      ++available;
      return true;
    }
    return false;
  });
}

// The next VM to take; if none, the reason is left in aWave.reason_.
std::optional<std::string>
ChooseNext(EventContext& aContext, WaveState& aWave, const PoolConfig& aPool)
{
  const Entry& entry = aContext.entry_;
  const std::vector<std::string> toReboot = FindVmsToReboot(entry, aPool);
  if (toReboot.empty()) {
    aWave.reason_ = "every VM has had the round";
    return {};
  }
  if (IsStuck(aContext, aWave)) {
    aWave.reason_ = "a VM taken earlier has not come back; the wave stops";
    return {};
  }
  if (static_cast<int>(aWave.taken_.size()) >= entry.options_.waveSize_) {
    aWave.reason_ = "as many VMs are taken as a wave may have";
    return {};
  }
  if (CountAvailable(entry, aWave, aPool) - 1 < aPool.minAvailable_) {
    aWave.reason_ = "one more would leave fewer than min_available";
    return {};
  }
  // The VM with the least work goes first: it drains soonest, and taking it
  // costs the least capacity.
  const std::string* best = nullptr;
  int bestRunning = 0;
  for (const std::string& vm : toReboot) {
    if (!IsAvailable(entry, aWave, vm) || !IsInWaveRack(entry, aWave, vm)) {
      continue;
    }
    const int running = entry.routing_.targets_.at(vm).running_;
    if (best == nullptr || running < bestRunning) {
      best = &vm;
      bestRunning = running;
    }
  }
  if (best == nullptr) {
    aWave.reason_ = "the VMs left are in other racks, or not live";
    return {};
  }
  aWave.reason_ = "";
  return *best;
}

// One step of the wave of a pool: reads its record, asks the members, requests
// reboots, and swaps in a record with VMs returned or one more VM taken.
void
PlanPool(EventContext& aContext,
         const std::string& aPool,
         const PoolConfig& aConfig)
{
  WaveState& wave = aContext.entry_.waves_.planned_[aPool];
  if (wave.call_ != 0) {
    return;
  }
  if (!wave.isRecordCurrent_) {
    ReadWave(aContext, aPool, wave);
    return;
  }
  const AnnouncedWave& note = aContext.entry_.waves_.announced_[aPool];
  const bool hasMaintenance =
    aConfig.round_ > 0 || !wave.taken_.empty() || !note.vms_.empty();
  if (hasMaintenance && aContext.now_ >= wave.nextAsk_) {
    AskMembers(aContext, aPool, wave);
  }
  RebootDrained(aContext, wave, aConfig);
  std::vector<WaveVm> taken = FindVmsToKeep(aContext.entry_, wave, aConfig);
  ReleaseIfBelowBudget(aContext.entry_, wave, aConfig, taken);
  if (taken == wave.taken_) {
    const auto next = ChooseNext(aContext, wave, aConfig);
    if (next) {
      taken.push_back({ *next, FormatOperationId(aConfig.round_, *next) });
    }
  }
  if (taken != wave.taken_) {
    SwapWave(aContext, aPool, wave, std::move(taken));
  }
}

} // namespace

std::string
FormatOperationId(std::int64_t aRound, const std::string& aVm)
{
  return "round-" + std::to_string(aRound) + "-" + aVm;
}

std::int64_t
ParseRound(std::string_view aOperation)
{
  constexpr std::string_view kPrefix = "round-";
  std::int64_t round = -1;
  if (aOperation.starts_with(kPrefix)) {
    aOperation.remove_prefix(kPrefix.size());
    std::from_chars(
      aOperation.data(), aOperation.data() + aOperation.size(), round);
  }
  return round;
}

std::vector<std::string>
FindVmsToReboot(const Entry& aEntry, const PoolConfig& aPool)
{
  std::vector<std::string> toReboot;
  for (const std::string& vm : aPool.vms_) {
    // A reboot for a later round counts too: when a round is cancelled and the
    // pool goes back to an earlier one, no VM is rebooted again for that.
    const VmState* state = FindVm(aEntry, vm);
    const std::int64_t lastRound =
      state == nullptr
        ? 0
        : std::max<std::int64_t>(0, ParseRound(state->lastOperation_));
    if (lastRound < aPool.round_) {
      toReboot.push_back(vm);
    }
  }
  return toReboot;
}

bool
IsPlanner(const Entry& aEntry, const std::string& aPool, TimePoint aNow)
{
  const Member* best = nullptr;
  std::uint64_t bestWeight = 0;
  for (const Member& member : aEntry.agreement_.inForce_->members_) {
    const bool isSelf = IsSelf(aEntry, member);
    if (!isSelf && !IsResponsive(aEntry, member.id_, aNow)) {
      continue;
    }
    const std::string text = aPool + "\n" + member.id_;
    const std::uint64_t weight = XXH3_64bits(text.data(), text.size());
    if (best == nullptr || weight > bestWeight) {
      best = &member;
      bestWeight = weight;
    }
  }
  return best != nullptr && IsSelf(aEntry, *best);
}

void
OnWaveEpochChanged(EventContext& aContext, const std::vector<Member>& aOld)
{
  Entry& entry = aContext.entry_;
  const bool isAnyGone =
    aOld.empty() ||
    std::any_of(aOld.begin(), aOld.end(), [&](const Member& aMember) {
      return FindMember(entry, aMember.id_, aMember.incarnation_) == nullptr;
    });
  if (isAnyGone) {
    // An entry that has just joined (aOld is empty) can't know whether a member
    // left shortly before.
    entry.waves_.departedMayRunUntil_ = aContext.now_ +
                                        entry.options_.runLimit_ +
                                        entry.options_.evidenceLifetime_;
  }
  for (auto& [pool, wave] : entry.waves_.planned_) {
    wave.replies_.clear();
    wave.nextAsk_ = aContext.now_;
  }
}

bool
IsWaveKnown(const Entry& aEntry, const PoolConfig& aPool)
{
  return aPool.round_ == 0 || aEntry.waves_.announced_.contains(aPool.name_);
}

void
OnWaveRequest(EventContext& aContext,
              const PeerFrame& aFrame,
              const WaveRequest& aRequest)
{
  const bool isSameEpoch = aContext.entry_.permits_.epoch_ == aRequest.epoch_;
  if (!ApplyWaveRequest(aContext, aRequest) || !isSameEpoch) {
    return;
  }
  SendToPeer(aContext,
             aFrame.from_,
             WaveReply{ aRequest.pool_,
                        aRequest.epoch_,
                        aRequest.revision_,
                        CountRunning(aContext.entry_, aRequest.vms_) });
}

void
OnWaveReply(EventContext& aContext,
            const PeerFrame& aFrame,
            const WaveReply& aReply)
{
  auto& planned = aContext.entry_.waves_.planned_;
  const auto wave = planned.find(aReply.pool_);
  const bool isCurrent = wave != planned.end() &&
                         wave->second.revision_ == aReply.revision_ &&
                         aContext.entry_.permits_.epoch_ == aReply.epoch_;
  if (isCurrent) {
    wave->second.replies_[aFrame.from_] = aReply.running_;
  }
}

bool
OnWaveAnswer(EventContext& aContext, const StoreAnswer& aAnswer)
{
  for (auto& [pool, wave] : aContext.entry_.waves_.planned_) {
    if (wave.call_ != aAnswer.call_ || wave.call_ == 0) {
      continue;
    }
    wave.call_ = 0;
    if (wave.isSwapCall_) {
      wave.isRecordCurrent_ = aAnswer.status_ == StoreStatus::Ok;
      if (wave.isRecordCurrent_) {
        SetTaken(aContext, wave, wave.vmsAfterSwap_, aAnswer.revision_);
        AskMembers(aContext, pool, wave);
      }
      return true; // after a failed swap the record is read again first
    }
    if (aAnswer.status_ != StoreStatus::Ok) {
      return true;
    }
    if (aAnswer.values_.empty()) {
      wave.isRecordCurrent_ = true;
      SetTaken(aContext, wave, {}, 0);
      AskMembers(aContext, pool, wave);
      return true;
    }
    const StoreValue& value = aAnswer.values_.front();
    auto record = DecodeWave(value.value_);
    wave.isRecordCurrent_ = record.has_value();
    if (record) {
      SetTaken(aContext, wave, std::move(*record), value.revision_);
      AskMembers(aContext, pool, wave);
    }
    return true;
  }
  return false;
}

void
TickWaves(EventContext& aContext)
{
  Entry& entry = aContext.entry_;
  if (!entry.agreement_.inForce_ || !IsMember(entry) ||
      !IsFresh(entry, aContext.now_) ||
      aContext.now_ < entry.waves_.nextPlanning_) {
    return;
  }
  // Finding the planner of each pool takes pools times members steps, which is
  // too much for every tick.
  entry.waves_.nextPlanning_ = aContext.now_ + kPlanInterval;
  for (const auto& [name, pool] : entry.agreement_.inForce_->config_->pools_) {
    const bool isScheduledHere = pool->scheduler_ == Scheduler::Cuminbridge;
    if (!isScheduledHere || !IsPlanner(entry, name, aContext.now_)) {
      entry.waves_.planned_.erase(name);
      continue;
    }
    PlanPool(aContext, name, *pool);
  }
}

} // namespace cuminbridge::forwarder
