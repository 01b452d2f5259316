// Planning and carrying out maintenance.

#include "waves.h"

#include <algorithm>
#include <charconv>

#include <xxhash.h>

#include "agreement.h"
#include "permits.h"
#include "routing.h"

namespace cuminbridge::forwarder {

namespace {

constexpr Duration kTurnInterval = std::chrono::milliseconds(500);
constexpr Duration kAskInterval = std::chrono::milliseconds(1000);
constexpr Duration kEmptyAskInterval = std::chrono::seconds(10);
constexpr Duration kRebootRetry = std::chrono::seconds(5);

//-----------------------------------------------------------------------------
// [SECTION] What counts
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

// A VM counts as available only if everything known speaks for it.
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

bool
IsDone(const Entry& aEntry, const WaveVm& aTaken)
{
  const VmState* vm = FindVm(aEntry, aTaken.vm_);
  return vm != nullptr && vm->status_ == VmStatus::Live &&
         vm->lastOperation_ == aTaken.operation_;
}

// False if the round was called off and the VM has not been rebooted for it: it
// goes back as it is.
bool
IsWanted(const WaveState& aWave, const PoolConfig& aPool, const WaveVm& aTaken)
{
  return aTaken.operation_ == NameOperation(aPool.round_, aTaken.vm_) ||
         aWave.rebootedAt_.contains(aTaken.vm_);
}

// A wave keeps to one rack: a rack that fails then takes no second one's VMs
// out of their pools together with it.
bool
IsInRackOfWave(const Entry& aEntry,
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

bool
IsStuck(const Turn& aTurn, const WaveState& aWave)
{
  return std::any_of(
    aWave.takenAt_.begin(), aWave.takenAt_.end(), [&](const auto& aTaken) {
      return aTurn.now_ - aTaken.second > aTurn.entry_.options_.waveLimit_;
    });
}

// Have all members said, for this very record, that nothing runs on the VM?
bool
IsDrained(const Turn& aTurn, const WaveState& aWave, const std::string& aVm)
{
  if (aTurn.now_ < aTurn.entry_.waves_.goneMayRunUntil_) {
    return false;
  }
  for (const Member& member : aTurn.entry_.agreement_.inForce_->members_) {
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
ReadWave(Turn& aTurn, const std::string& aPool, WaveState& aWave)
{
  aWave.call_ = aTurn.entry_.nextCall_++;
  aWave.isSwapCall_ = false;
  aTurn.Emit(StoreRead{ aWave.call_, WaveKey(aPool), false });
}

void
SwapWave(Turn& aTurn,
         const std::string& aPool,
         WaveState& aWave,
         std::vector<WaveVm> aTaken)
{
  StoreSwap swap;
  swap.call_ = aWave.call_ = aTurn.entry_.nextCall_++;
  aWave.isSwapCall_ = true;
  aWave.swapped_ = std::move(aTaken);
  // The head too: the budget must be the one in force.
  swap.compares_ = { { WaveKey(aPool), aWave.revision_ },
                     { std::string(kHeadKey),
                       aTurn.entry_.agreement_.inForce_->revision_ } };
  swap.puts_ = { { WaveKey(aPool), EncodeWave(aWave.swapped_) } };
  aTurn.Emit(std::move(swap));
}

void
SetTaken(Turn& aTurn,
         WaveState& aWave,
         std::vector<WaveVm> aTaken,
         std::int64_t aRevision)
{
  aWave.taken_ = std::move(aTaken);
  aWave.revision_ = aRevision;
  aWave.replies_.clear();
  aWave.nextAsk_ = aTurn.now_;
  std::erase_if(aWave.rebootedAt_, [&](const auto& aTold) {
    return !IsTaken(aWave, aTold.first);
  });
  std::map<std::string, TimePoint> takenAt;
  for (const WaveVm& taken : aWave.taken_) {
    const auto known = aWave.takenAt_.find(taken.vm_);
    takenAt[taken.vm_] =
      known == aWave.takenAt_.end() ? aTurn.now_ : known->second;
  }
  aWave.takenAt_ = std::move(takenAt);
}

//-----------------------------------------------------------------------------
// [SECTION] Telling and marking
//-----------------------------------------------------------------------------

// Marks the VMs taken in a pool at this entry, and unmarks all others.
void
MarkTargets(Entry& aEntry, const std::string& aPool)
{
  const auto pool = aEntry.routing_.pools_.find(aPool);
  if (pool == aEntry.routing_.pools_.end()) {
    return;
  }
  const WaveNote& note = aEntry.waves_.notes_[aPool];
  for (TargetState* target : pool->second.targets_) {
    target->isInWave_ = note.vms_.contains(target->address_);
  }
}

// False if it is older than what is known.
bool
TakeNote(Turn& aTurn, const WaveRequest& aAsk)
{
  WaveNote& note = aTurn.entry_.waves_.notes_[aAsk.pool_];
  if (aAsk.revision_ < note.revision_) {
    return false;
  }
  if (aAsk.revision_ > note.revision_) {
    note.revision_ = aAsk.revision_;
    note.vms_ = { aAsk.vms_.begin(), aAsk.vms_.end() };
  }
  MarkTargets(aTurn.entry_, aAsk.pool_);
  const auto pool = aTurn.entry_.routing_.pools_.find(aAsk.pool_);
  if (pool != aTurn.entry_.routing_.pools_.end()) {
    DispatchPool(aTurn, pool->second);
  }
  return true;
}

std::map<std::string, int>
CountRunning(const Entry& aEntry, const std::vector<std::string>& aVms)
{
  std::map<std::string, int> running;
  for (const std::string& vm : aVms) {
    const auto target = aEntry.routing_.targets_.find(vm);
    if (target != aEntry.routing_.targets_.end() &&
        target->second.running_ + target->second.mayRun_ > 0) {
      running[vm] = target->second.running_ + target->second.mayRun_;
    }
  }
  return running;
}

void
AskAll(Turn& aTurn, const std::string& aPool, WaveState& aWave)
{
  // An empty wave is told too, but seldom: somebody may have missed its end.
  aWave.nextAsk_ =
    aTurn.now_ + (aWave.taken_.empty() ? kEmptyAskInterval : kAskInterval);
  WaveRequest ask;
  ask.pool_ = aPool;
  ask.epoch_ = aTurn.entry_.permits_.epoch_;
  ask.revision_ = aWave.revision_;
  for (const WaveVm& taken : aWave.taken_) {
    ask.vms_.push_back(taken.vm_);
  }
  TakeNote(aTurn, ask);
  aWave.replies_[aTurn.entry_.options_.self_.id_] =
    CountRunning(aTurn.entry_, ask.vms_);
  SendToMembers(aTurn, ask);
}

//-----------------------------------------------------------------------------
// [SECTION] Planning
//-----------------------------------------------------------------------------

void
RebootDrained(Turn& aTurn, WaveState& aWave, const PoolConfig& aPool)
{
  for (const WaveVm& taken : aWave.taken_) {
    if (!IsWanted(aWave, aPool, taken)) {
      continue;
    }
    const auto told = aWave.rebootedAt_.find(taken.vm_);
    const VmState* vm = FindVm(aTurn.entry_, taken.vm_);
    const bool isDue = told == aWave.rebootedAt_.end() ||
                       aTurn.now_ - told->second >= kRebootRetry;
    const bool isUp = vm != nullptr && vm->status_ == VmStatus::Live &&
                      vm->lastOperation_ != taken.operation_;
    if (isDue && isUp && IsDrained(aTurn, aWave, taken.vm_)) {
      aWave.rebootedAt_[taken.vm_] = aTurn.now_;
      ++aTurn.entry_.counts_["reboots_asked"];
      aTurn.Emit(RebootVm{ taken.vm_, taken.operation_ });
    }
  }
}

// The VMs that stay taken: not those that are done or in the pool no more.
std::vector<WaveVm>
KeepUndone(const Entry& aEntry, const WaveState& aWave, const PoolConfig& aPool)
{
  std::vector<WaveVm> kept;
  for (const WaveVm& taken : aWave.taken_) {
    const bool isInPool =
      std::binary_search(aPool.vms_.begin(), aPool.vms_.end(), taken.vm_);
    if (isInPool && IsWanted(aWave, aPool, taken) && !IsDone(aEntry, taken)) {
      kept.push_back(taken);
    }
  }
  return kept;
}

// Takes back VMs that are not rebooted yet, while the pool is below budget.
void
GiveBackIfShort(const Entry& aEntry,
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

// The next VM to take, or nothing and the reason.
std::optional<std::string>
ChooseNext(Turn& aTurn, WaveState& aWave, const PoolConfig& aPool)
{
  const Entry& entry = aTurn.entry_;
  const std::vector<std::string> todo = FindTodo(entry, aPool);
  if (todo.empty()) {
    aWave.why_ = "every VM has had the round";
    return {};
  }
  if (IsStuck(aTurn, aWave)) {
    aWave.why_ = "a VM taken earlier has not come back; the wave stops";
    return {};
  }
  if (static_cast<int>(aWave.taken_.size()) >= entry.options_.waveSize_) {
    aWave.why_ = "as many VMs are taken as a wave may have";
    return {};
  }
  if (CountAvailable(entry, aWave, aPool) - 1 < aPool.minAvailable_) {
    aWave.why_ = "one more would leave fewer than min_available";
    return {};
  }
  // Least work first: it drains soonest and costs least.
  const std::string* best = nullptr;
  int bestRunning = 0;
  for (const std::string& vm : todo) {
    if (!IsAvailable(entry, aWave, vm) || !IsInRackOfWave(entry, aWave, vm)) {
      continue;
    }
    const int running = entry.routing_.targets_.at(vm).running_;
    if (best == nullptr || running < bestRunning) {
      best = &vm;
      bestRunning = running;
    }
  }
  if (best == nullptr) {
    aWave.why_ = "the VMs left are in other racks, or not live";
    return {};
  }
  aWave.why_ = "";
  return *best;
}

void
PlanPool(Turn& aTurn, const std::string& aPool, const PoolConfig& aConfig)
{
  WaveState& wave = aTurn.entry_.waves_.planned_[aPool];
  if (wave.call_ != 0) {
    return;
  }
  if (!wave.isRead_) {
    ReadWave(aTurn, aPool, wave);
    return;
  }
  const WaveNote& note = aTurn.entry_.waves_.notes_[aPool];
  const bool isAny =
    aConfig.round_ > 0 || !wave.taken_.empty() || !note.vms_.empty();
  if (isAny && aTurn.now_ >= wave.nextAsk_) {
    AskAll(aTurn, aPool, wave);
  }
  RebootDrained(aTurn, wave, aConfig);
  std::vector<WaveVm> taken = KeepUndone(aTurn.entry_, wave, aConfig);
  GiveBackIfShort(aTurn.entry_, wave, aConfig, taken);
  if (taken == wave.taken_) {
    const auto next = ChooseNext(aTurn, wave, aConfig);
    if (next) {
      taken.push_back({ *next, NameOperation(aConfig.round_, *next) });
    }
  }
  if (taken != wave.taken_) {
    SwapWave(aTurn, aPool, wave, std::move(taken));
  }
}

} // namespace

std::string
NameOperation(std::int64_t aRound, const std::string& aVm)
{
  return "round-" + std::to_string(aRound) + "-" + aVm;
}

std::int64_t
RoundOf(std::string_view aOperation)
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
FindTodo(const Entry& aEntry, const PoolConfig& aPool)
{
  std::vector<std::string> todo;
  for (const std::string& vm : aPool.vms_) {
    // A later round counts too: a round that was called off is not made up for.
    const VmState* state = FindVm(aEntry, vm);
    const std::int64_t had =
      state == nullptr
        ? 0
        : std::max<std::int64_t>(0, RoundOf(state->lastOperation_));
    if (had < aPool.round_) {
      todo.push_back(vm);
    }
  }
  return todo;
}

bool
IsPlanner(const Entry& aEntry, const std::string& aPool, TimePoint aNow)
{
  const Member* best = nullptr;
  std::uint64_t bestWeight = 0;
  for (const Member& member : aEntry.agreement_.inForce_->members_) {
    const bool isHere = IsSelf(aEntry, member);
    if (!isHere && !IsHeard(aEntry, member.id_, aNow)) {
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
OnWavesEpoch(Turn& aTurn, const std::vector<Member>& aOld)
{
  Entry& entry = aTurn.entry_;
  const bool isAnyGone =
    aOld.empty() ||
    std::any_of(aOld.begin(), aOld.end(), [&](const Member& aMember) {
      return FindMember(entry, aMember.id_, aMember.incarnation_) == nullptr;
    });
  if (isAnyGone) {
    // An entry that is new here can't know who went shortly before.
    entry.waves_.goneMayRunUntil_ =
      aTurn.now_ + entry.options_.runLimit_ + entry.options_.evidenceLifetime_;
  }
  for (auto& [pool, wave] : entry.waves_.planned_) {
    wave.replies_.clear();
    wave.nextAsk_ = aTurn.now_;
  }
}

bool
IsWaveKnown(const Entry& aEntry, const PoolConfig& aPool)
{
  return aPool.round_ == 0 || aEntry.waves_.notes_.contains(aPool.name_);
}

void
OnWaveAsk(Turn& aTurn, const PeerFrame& aFrame, const WaveRequest& aAsk)
{
  const bool isSameEpoch = aTurn.entry_.permits_.epoch_ == aAsk.epoch_;
  if (!TakeNote(aTurn, aAsk) || !isSameEpoch) {
    return;
  }
  SendToPeer(aTurn,
             aFrame.from_,
             WaveReply{ aAsk.pool_,
                        aAsk.epoch_,
                        aAsk.revision_,
                        CountRunning(aTurn.entry_, aAsk.vms_) });
}

void
OnWaveReply(Turn& aTurn, const PeerFrame& aFrame, const WaveReply& aReply)
{
  auto& planned = aTurn.entry_.waves_.planned_;
  const auto wave = planned.find(aReply.pool_);
  const bool isCurrent = wave != planned.end() &&
                         wave->second.revision_ == aReply.revision_ &&
                         aTurn.entry_.permits_.epoch_ == aReply.epoch_;
  if (isCurrent) {
    wave->second.replies_[aFrame.from_] = aReply.running_;
  }
}

bool
OnWaveAnswer(Turn& aTurn, const StoreAnswer& aAnswer)
{
  for (auto& [pool, wave] : aTurn.entry_.waves_.planned_) {
    if (wave.call_ != aAnswer.call_ || wave.call_ == 0) {
      continue;
    }
    wave.call_ = 0;
    if (wave.isSwapCall_) {
      wave.isRead_ = aAnswer.status_ == StoreStatus::Ok;
      if (wave.isRead_) {
        SetTaken(aTurn, wave, wave.swapped_, aAnswer.revision_);
        AskAll(aTurn, pool, wave);
      }
      return true; // else the record is read again before anything is done
    }
    if (aAnswer.status_ != StoreStatus::Ok) {
      return true;
    }
    if (aAnswer.values_.empty()) {
      wave.isRead_ = true;
      SetTaken(aTurn, wave, {}, 0);
      AskAll(aTurn, pool, wave);
      return true;
    }
    const StoreValue& value = aAnswer.values_.front();
    auto record = DecodeWave(value.value_);
    wave.isRead_ = record.has_value();
    if (record) {
      SetTaken(aTurn, wave, std::move(*record), value.revision_);
      AskAll(aTurn, pool, wave);
    }
    return true;
  }
  return false;
}

void
TickWaves(Turn& aTurn)
{
  Entry& entry = aTurn.entry_;
  if (!entry.agreement_.inForce_ || !IsMember(entry) ||
      !IsFresh(entry, aTurn.now_) || aTurn.now_ < entry.waves_.nextTurn_) {
    return;
  }
  // Who plans what is a walk over pools and members: not at every tick.
  entry.waves_.nextTurn_ = aTurn.now_ + kTurnInterval;
  for (const auto& [name, pool] : entry.agreement_.inForce_->config_->pools_) {
    const bool isOurs = pool->scheduler_ == Scheduler::Cuminbridge;
    if (!isOurs || !IsPlanner(entry, name, aTurn.now_)) {
      entry.waves_.planned_.erase(name);
      continue;
    }
    PlanPool(aTurn, name, *pool);
  }
}

} // namespace cuminbridge::forwarder
