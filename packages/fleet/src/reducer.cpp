// The reducer: passes each event to its handler, then dispatches waiting work
// and stores changes.

#include "cuminbridge/fleet.h"

#include <utility>

#include "dispatch.h"
#include "evacuation/evacuation.h"
#include "fleet_waves.h"
#include "jobs.h"
#include "late_starts/late_starts.h"
#include "occurrences/occurrences.h"
#include "pacing.h"
#include "relocate.h"
#include "runs.h"
#include "state.h"
#include "storing.h"
#include "targets.h"
#include "vm_orders.h"
#include "vms.h"

namespace cuminbridge {

namespace {

constexpr Millis kSweepInterval(
  100); // between checks of all jobs, targets and VMs

void
HandleAdvice(FleetState& aState, const AdviceAnswered& aAnswer)
{
  // The name of a step is that of an item without its index.
  const auto name = ParseItem(aAnswer.step_ + ".0");
  const auto ref = name ? FindItem(aState, *name) : ItemRef{};
  if (!ref.step_) {
    return;
  }
  // Tickets are not used in this last part of their validity, but they count as
  // valid for at least this long.
  constexpr Millis kMargin(500);
  constexpr Millis kRetry(150); // after a question without an answer
  // Refusals can be kept for long: the targets that may run a step never
  // change.
  constexpr Millis kRefusalValidity(60000);
  ref.step_->isAdvicePending_ = false;
  if (!aAnswer.isAnswered_) {
    ref.step_->nextAdviceAt_ = aState.now_ + kRetry;
    return;
  }
  for (const auto& target : aAnswer.asked_) {
    ref.step_->tickets_[target] = { "", aState.now_ + kRefusalValidity };
  }
  for (const auto& [target, ticket] : aAnswer.allowed_) {
    ref.step_->tickets_[target] = {
      ticket, aState.now_ + std::max(kMargin, aAnswer.validity_ - kMargin)
    };
  }
  aState.dirtyPools_.insert(PoolOf(aState, *ref.job_));
}

// Whether this process was held up so recently that calls may have failed only
// because it did not read their answers in time.
bool
HasLagged(FleetState& aState)
{
  // Calls that waited while the process was held up have ended by then.
  constexpr Millis kLagMemory(1000);
  if (aState.now_ - aState.lastTickAt_ > kLateTick) {
    aState.lagSuspectedUntil_ = aState.now_ + kLagMemory;
    if (aState.lastTickAt_ != Instant()) {
      aState.heldUpUntil_ = aState.now_;
      aState.heldUpFor_ = aState.now_ - aState.lastTickAt_;
    }
  }
  aState.lastTickAt_ = aState.now_;
  return aState.now_ < aState.lagSuspectedUntil_;
}

void
HandleTick(FleetState& aState, const Tick& aTick)
{
  aState.timeOfDay_ = aTick.timeOfDay_;
  aState.timeOfDayAt_ = aState.now_;
  aState.soleOwnerUntil_ = aTick.soleOwnerUntil_;
  const bool hasLagged = HasLagged(aState);
  aState.isStoreReachable_ = aTick.isStoreReachable_ || hasLagged;
  if (aState.now_ < aState.nextSweep_) {
    return;
  }
  aState.nextSweep_ = aState.now_ + kSweepInterval;
  DropEndedOccurrences(aState);
  OpenAllOccurrences(aState);
  UpdateWatchedTargets(aState);
  ForgetLateStarts(aState);
  aState.dirtyPools_.merge(aState.lateStartPools_);
  aState.lateStartPools_.clear();
  NoteStepsThatWait(aState);
  Evacuate(aState);
  PlanVms(aState);
  PaceFillers(aState);
  DeleteExpiredJobs(aState);
  ForgetEarlyCancellations(aState);
}

struct Reducer
{
  FleetState& state_;

  void operator()(const JobsLoaded& aEvent)
  {
    LoadJobs(state_, aEvent);
    state_.submissionsReadUpTo_ = aEvent.readAt_;
    UpdateWatchedTargets(state_);
  }
  void operator()(const PreviousOwnerEnded&)
  {
    if (state_.previousOwner_ == PreviousOwner::Unknown) {
      state_.previousOwner_ = PreviousOwner::Ended;
      state_.previousOwnerEndedAt_ = state_.now_;
    }
  }
  void operator()(const JobArrived& aEvent)
  {
    AddJob(state_, aEvent.job_, aEvent.isGuest_);
  }
  void operator()(const JobCancelled& aEvent)
  {
    CancelJob(state_, aEvent.job_);
  }
  void operator()(const SubmissionsRead& aEvent)
  {
    state_.submissionsReadUpTo_ =
      std::max(state_.submissionsReadUpTo_, aEvent.upTo_);
  }
  void operator()(const PeerCapacitySeen& aEvent)
  {
    state_.peers_[aEvent.cell_] = { aEvent.freeCpu_,
                                    aEvent.offeredCpu_,
                                    state_.now_ };
  }
  void operator()(const ConfigSeen& aEvent)
  {
    if (aEvent.config_.version_ > state_.config_.version_) {
      state_.config_ = aEvent.config_;
      for (const auto& pool : state_.config_.pools_) {
        state_.dirtyPools_.insert(pool.name_);
      }
    }
  }
  void operator()(const TargetsSeen& aEvent)
  {
    HandleTargetList(state_, aEvent);
  }
  void operator()(const VmsSeen& aEvent) { HandleVms(state_, aEvent); }
  void operator()(const WavesSeen& aEvent) { HandleWaves(state_, aEvent); }
  void operator()(const EvacuationsSeen& aEvent)
  {
    HandleEvacuations(state_, aEvent);
  }
  void operator()(const StartAnswered& aEvent)
  {
    HandleStartAnswer(state_, aEvent);
  }
  void operator()(const StopAnswered& aEvent)
  {
    HandleStopAnswer(state_, aEvent);
  }
  void operator()(const RenewalAnswered& aEvent)
  {
    HandleRenewalAnswer(state_, aEvent);
    const auto target = state_.targets_.find(aEvent.target_);
    if (target != state_.targets_.end()) {
      MaintainTarget(state_, target->second);
    }
  }
  void operator()(const AdviceAnswered& aEvent)
  {
    HandleAdvice(state_, aEvent);
  }
  void operator()(const VmOrderAnswered& aEvent)
  {
    HandleVmOrderAnswer(state_, aEvent);
  }
  void operator()(const ProgressStored& aEvent)
  {
    HandleProgressStored(state_, aEvent.batch_);
  }
  void operator()(const LimitsGranted& aEvent)
  {
    state_.limitParts_ = aEvent.parts_;
    for (const auto& pool : state_.config_.pools_) {
      state_.dirtyPools_.insert(pool.name_);
    }
  }
  void operator()(const OptionsChanged& aEvent)
  {
    state_.options_ = aEvent.options_;
  }
  void operator()(const Tick& aEvent)
  {
    HandleTick(state_, aEvent);
    MaintainTargets(state_);
  }
};

} // namespace

Fleet::Fleet(FleetOptions aOptions, Instant aNow)
  : state_(std::make_unique<FleetState>())
{
  state_->options_ = aOptions;
  state_->began_ = aNow;
  state_->now_ = aNow;
}

Fleet::~Fleet() = default;

void
Fleet::Handle(const Event& aEvent, Instant aNow)
{
  state_->now_ = std::max(state_->now_, aNow);
  std::visit(Reducer{ *state_ }, aEvent);
  Dispatch(*state_);
  StoreChanges(*state_);
}

std::vector<Effect>
Fleet::TakeEffects()
{
  return std::exchange(state_->effects_, {});
}

std::optional<JobState>
Fleet::StoredState(const std::string& aJob) const
{
  const auto job = state_->jobs_.find(aJob);
  if (job == state_->jobs_.end()) {
    return std::nullopt;
  }
  const auto& entry = *job->second;
  if (!entry.storedState_) {
    return JobState::Queued;
  }
  return entry.HasEnded() ? *entry.storedState_ : entry.state_;
}

std::vector<QueueLoad>
Fleet::Loads() const
{
  std::map<std::string, QueueLoad> loads;
  for (const auto& id : state_->activeJobs_) {
    const auto& job = *state_->jobs_.at(id);
    if (job.state_ == JobState::Queued && job.job_.repeats_ == 0) {
      ++loads[job.job_.queue_].waiting_;
    }
  }
  std::vector<QueueLoad> rows;
  for (auto& [queue, load] : loads) {
    load.queue_ = queue;
    rows.push_back(load);
  }
  return rows;
}

WallTime
Fleet::InheritedUntil() const
{
  return state_->TimeOfDay() + (InheritedWorkExpiry(*state_) - state_->now_);
}

bool
Fleet::HasUnstoredChanges() const
{
  return state_->batch_ != 0 || !state_->dirtyJobs_.empty() ||
         !state_->unrecordedTargets_.empty() ||
         !state_->removedTargets_.empty() || state_->mustStoreOrders_;
}

bool
Fleet::HasVmOrders() const
{
  return !state_->vmOrders_.empty();
}

const FleetCounts&
Fleet::Counts() const
{
  return state_->counts_;
}

} // namespace cuminbridge
