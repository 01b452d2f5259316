// The simulated fleet: setup, faults, owners, their calls and the store.

#include "simulated_fleet_parts.h"
#include "state.h"

#include <algorithm>

namespace cuminbridge {

namespace {

constexpr Millis kNetworkDelay(2);  // one way, between any two processes
constexpr Millis kCallTimeout(600); // until a caller gives up a call
constexpr Millis kStoreWriteTime(5);
constexpr Millis kTickInterval(20);
constexpr Millis kListInterval(400);
constexpr Millis kVmListInterval(400);
constexpr Millis kHeartbeat(1500);
// The store drops the report of a target that has been silent for this long.
constexpr Millis kReportLifetime = 3 * kHeartbeat;
// A late call is carried out after a delay between these two.
constexpr Millis kLateDelayMin(2000);
constexpr Millis kLateDelayMax(12000);

} // namespace

SimulatedFleet::SimulatedFleet(unsigned aSeed, SimulatedFaults aFaults)
  : random_(aSeed)
  , faults_(aFaults)
  , now_(Millis(1000000))
{
  config_.version_ = 1;
}

SimulatedFleet::~SimulatedFleet() = default;

double
SimulatedFleet::Draw()
{
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

void
SimulatedFleet::At(Millis aDelay, Action aAction)
{
  actions_.emplace(now_ + aDelay, std::move(aAction));
}

void
SimulatedFleet::ReportViolation(const std::string& aWhat)
{
  violations_.push_back(std::to_string(now_.time_since_epoch().count()) + ": " +
                        aWhat);
}

//-----------------------------------------------------------------------------
// [SECTION] Setup
//-----------------------------------------------------------------------------

void
SimulatedFleet::AddTargets(const std::string& aPool,
                           int aCount,
                           bool aRejectsOverload)
{
  if (!FindPool(config_, aPool)) {
    config_.pools_.push_back({ aPool, aRejectsOverload, false });
    Queue queue;
    queue.name_ = "queue-" + aPool;
    queue.pool_ = aPool;
    config_.queues_.push_back(queue);
  }
  for (int index = 0; index < aCount; ++index) {
    AddTarget(aPool, "", now_ - Millis(5000), aRejectsOverload);
  }
}

void
SimulatedFleet::SetAccount(Account aAccount)
{
  config_.accounts_.push_back(std::move(aAccount));
}

void
SimulatedFleet::Submit(Job aJob)
{
  jobs_[aJob.id_] = aJob;
  if (owner_ && !owner_->hasEnded_) {
    Deliver(*owner_, JobArrived{ std::move(aJob) });
  }
}

void
SimulatedFleet::Cancel(const std::string& aJob)
{
  cancelled_.insert(aJob);
  cancelledAt_[aJob] = now_;
  if (owner_ && !owner_->hasEnded_) {
    Deliver(*owner_, JobCancelled{ aJob });
  }
}

void
SimulatedFleet::StartOwner(PreviousOwner aFormer)
{
  if (owner_) {
    owner_->replacedAt_ = ownerCutUntil_ > now_ ? ownerCutAt_ : now_;
    owner_->hasEnded_ = owner_->hasEnded_ || aFormer != PreviousOwner::Unknown;
    if (!owner_->hasEnded_) {
      Deliver(*owner_,
              Tick{ WallTime(now_.time_since_epoch()), kNever, false });
    }
  }
  ownerCutUntil_ = now_;
  ++term_;
  token_ += 100;
  owner_ = std::make_shared<SimulatedOwner>(token_, now_);
  const auto owner = owner_;
  if (areVmsMoved_) {
    Deliver(*owner, OptionsChanged{ FleetOptions{} });
  }
  if (areEvacuationsServed_) {
    auto options = owner->fleet_.State().options_;
    options.maxEvacuationsAge_ = kEvacuationLimit;
    Deliver(*owner, OptionsChanged{ options });
    ListEvacuations(owner);
  }
  Deliver(*owner, ConfigSeen{ config_ });
  if (recordsDelay_.count() > 0) {
    ListTargets(owner);
    At(recordsDelay_, [this, owner, aFormer] { ReadRecords(owner, aFormer); });
    return;
  }
  ReadRecords(owner, aFormer);
  ListTargets(owner);
}

void
SimulatedFleet::ReadRecords(const std::shared_ptr<SimulatedOwner>& aOwner,
                            PreviousOwner aFormer)
{
  Deliver(*aOwner, Tick{ WallTime(now_.time_since_epoch()), kAlways });
  JobsLoaded loaded;
  loaded.readAt_ = now_;
  for (const auto& [id, job] : jobs_) {
    loaded.jobs_.push_back(job);
  }
  loaded.progress_ = progress_;
  loaded.cancelled_ = cancelled_;
  for (const auto& [id, target] : storedTargets_) {
    loaded.targets_.push_back(target);
  }
  loaded.previousOwner_ = term_ == 1 ? PreviousOwner::HandedOver : aFormer;
  loaded.term_ = term_;
  loaded.inheritedUntil_ = inheritedUntil_;
  Deliver(*aOwner, loaded);
  inheritedUntil_ = aOwner->fleet_.InheritedUntil();
  TickOwner(aOwner);
  PollVms(aOwner);
}

void
SimulatedFleet::KillOwner()
{
  owner_->hasEnded_ = true;
}

//-----------------------------------------------------------------------------
// [SECTION] Faults
//-----------------------------------------------------------------------------

void
SimulatedFleet::PartitionTarget(const std::string& aTarget, Millis aTime)
{
  targets_.at(aTarget)->unreachableUntil_ = now_ + aTime;
}

void
SimulatedFleet::RejectConnections(const std::string& aTarget, Millis aTime)
{
  targets_.at(aTarget)->rejectingUntil_ = now_ + aTime;
}

void
SimulatedFleet::DelistTarget(const std::string& aTarget, Millis aTime)
{
  targets_.at(aTarget)->delistedUntil_ = now_ + aTime;
}

std::size_t
SimulatedFleet::LearnedQueues() const
{
  return owner_->fleet_.State().runTimes_.size();
}

std::vector<PoolBacklog>
SimulatedFleet::ShortBacklogs() const
{
  return owner_->fleet_.ShortBacklogs();
}

void
SimulatedFleet::SlowTarget(const std::string& aTarget, double aSpeed)
{
  targets_.at(aTarget)->speed_ = aSpeed;
}

void
SimulatedFleet::SetCapacity(const std::string& aTarget, Resources aCapacity)
{
  auto& target = *targets_.at(aTarget);
  target.capacity_ = aCapacity;
  target.capacities_[now_] = aCapacity;
}

void
SimulatedFleet::CutOwnerFromStore(Millis aTime)
{
  ownerCutAt_ = now_;
  ownerCutUntil_ = now_ + aTime;
}

void
SimulatedFleet::CutTargetFromStore(const std::string& aTarget, Millis aTime)
{
  targets_.at(aTarget)->cutUntil_ = now_ + aTime;
}

void
SimulatedFleet::DrainTarget(const std::string& aTarget)
{
  targets_.at(aTarget)->isDraining_ = true;
}

void
SimulatedFleet::EndProcess(SimulatedTarget& aTarget)
{
  Advance(aTarget);
  for (const auto& run : aTarget.runs_) {
    --runningNow_[run.item_];
    ++crashes_[run.item_];
  }
  aTarget.runs_.clear();
  aTarget.ended_.clear();
  aTarget.closedRuns_.clear();
  aTarget.endCount_ = 0;
  aTarget.discardedEnds_ = 0;
  aTarget.token_ = 0;
  aTarget.lease_ = 0;
}

void
SimulatedFleet::CrashTarget(const std::string& aTarget)
{
  constexpr Millis kDownTime(2500);
  auto& target = *targets_.at(aTarget);
  EndProcess(target);
  target.downUntil_ = now_ + kDownTime;
  At(kDownTime, [this, aTarget] { RestartTarget(aTarget); });
}

void
SimulatedFleet::RestartTarget(const std::string& aTarget)
{
  auto& target = *targets_.at(aTarget);
  EndProcess(target);
  target.downUntil_ = now_;
  target.startedAt_ = now_;
  target.incarnation_ =
    std::max(target.incarnation_ + 1, now_.time_since_epoch().count());
  target.sequence_ = 0;
}

//-----------------------------------------------------------------------------
// [SECTION] Owners
//-----------------------------------------------------------------------------

void
SimulatedFleet::RunFor(Millis aTime)
{
  const auto end = now_ + aTime;
  while (!actions_.empty() && actions_.begin()->first <= end) {
    const auto next = actions_.begin();
    now_ = next->first;
    const auto action = std::move(next->second);
    actions_.erase(next);
    action();
  }
  now_ = end;
}

void
SimulatedFleet::Deliver(SimulatedOwner& aOwner, const Event& aEvent)
{
  if (aOwner.hasEnded_) {
    return;
  }
  aOwner.fleet_.Handle(aEvent, now_);
  for (auto& effect : aOwner.fleet_.TakeEffects()) {
    Execute(aOwner, effect);
  }
}

void
SimulatedFleet::TickOwner(const std::shared_ptr<SimulatedOwner>& aOwner)
{
  const FleetOptions options;
  if (aOwner->replacedAt_ &&
      now_ > *aOwner->replacedAt_ + options.ownerAllowance_) {
    aOwner->hasEnded_ = true;
  }
  if (aOwner->hasEnded_) {
    return;
  }
  const bool isStoreReachable = !aOwner->replacedAt_ && ownerCutUntil_ <= now_;
  if (isStoreReachable) {
    Deliver(*aOwner, SubmissionsRead{ now_ });
  }
  Deliver(*aOwner,
          Tick{ WallTime(now_.time_since_epoch()),
                isStoreReachable ? kAlways : kNever,
                isStoreReachable });
  At(kTickInterval, [this, aOwner] { TickOwner(aOwner); });
}

void
SimulatedFleet::ListTargets(const std::shared_ptr<SimulatedOwner>& aOwner)
{
  if (aOwner->hasEnded_ || aOwner->replacedAt_) {
    return;
  }
  if (ownerCutUntil_ > now_) {
    At(kListInterval, [this, aOwner] { ListTargets(aOwner); });
    return;
  }
  TargetsSeen seen;
  for (auto& [id, target] : targets_) {
    if (target->delistedUntil_ > now_) {
      continue;
    }
    if (target->rejectsOverload_) {
      seen.targets_.push_back(MakeReport(*target));
    } else if (target->report_ &&
               now_ < target->reportedAt_ + kReportLifetime) {
      seen.targets_.push_back(*target->report_);
    }
  }
  Deliver(*aOwner, seen);
  At(kListInterval, [this, aOwner] { ListTargets(aOwner); });
}

void
SimulatedFleet::ListVms(const std::shared_ptr<SimulatedOwner>& aOwner)
{
  const auto askedAt = now_;
  At(kNetworkDelay, [this, aOwner, askedAt] {
    if (vmServiceAwayUntil_ > now_) {
      return;
    }
    const VmsSeen seen{ ListedVms(), askedAt };
    At(kNetworkDelay, [this, aOwner, seen] { Deliver(*aOwner, seen); });
  });
}

void
SimulatedFleet::PollVms(const std::shared_ptr<SimulatedOwner>& aOwner)
{
  if (!aOwner->hasEnded_) {
    ListVms(aOwner);
    At(kVmListInterval, [this, aOwner] { PollVms(aOwner); });
  }
}

TargetReport
SimulatedFleet::MakeReport(SimulatedTarget& aTarget)
{
  TargetReport report;
  report.id_ = aTarget.id_;
  report.address_ = aTarget.id_;
  report.pool_ = aTarget.pool_;
  report.vm_ = aTarget.vm_;
  report.dataCentre_ = aTarget.dataCentre_;
  report.capacity_ = aTarget.capacity_;
  report.isDraining_ = aTarget.isDraining_;
  report.startUnixMs_ = aTarget.incarnation_;
  report.clockMs_ = ClockOf(aTarget);
  report.sequence_ = ++aTarget.sequence_;
  return report;
}

void
SimulatedFleet::SendHeartbeats(const std::string& aTarget)
{
  auto& target = *targets_.at(aTarget);
  if (target.cutUntil_ <= now_) {
    target.report_ = MakeReport(target);
    target.reportedAt_ = now_;
  }
  At(kHeartbeat, [this, aTarget] { SendHeartbeats(aTarget); });
}

template<typename Answer, typename Execution, typename Reply>
void
SimulatedFleet::Call(SimulatedOwner& aOwner,
                     const std::string& aTarget,
                     Answer aNoAnswer,
                     Execution aExecute,
                     Reply aReply,
                     double aHeldUp,
                     std::optional<Millis> aHeldUpFor)
{
  const auto owner = aOwner.shared_from_this();
  const bool isHeldUp = aHeldUpFor || (aHeldUp > 0 && Draw() < aHeldUp);
  const bool isLate = Draw() < faults_.lateRequest_;
  const bool isLost = Draw() < faults_.lostRequest_;
  const bool isAnswerLost = Draw() < faults_.lostAnswer_;
  const auto timeOut = [this, owner, aNoAnswer, aReply] {
    At(kCallTimeout, [owner, aNoAnswer, aReply] { aReply(*owner, aNoAnswer); });
  };
  const auto drawDelay = [this] {
    const auto span =
      static_cast<double>((kLateDelayMax - kLateDelayMin).count());
    return kLateDelayMin + Millis(static_cast<std::int64_t>(Draw() * span));
  };
  if (isHeldUp) {
    const auto delay = aHeldUpFor ? *aHeldUpFor : drawDelay();
    At(delay, [this, aTarget, aExecute] {
      if (targets_.at(aTarget)->unreachableUntil_ <= now_) {
        aExecute();
      }
    });
    timeOut();
    return;
  }
  if (isLate) {
    // A call that was not carried out yet is lost when the process ends.
    const auto incarnation = targets_.at(aTarget)->incarnation_;
    At(drawDelay(), [this, aTarget, aExecute, incarnation] {
      const auto& target = *targets_.at(aTarget);
      if (target.unreachableUntil_ <= now_ &&
          target.incarnation_ == incarnation) {
        aExecute();
      }
    });
    timeOut();
    return;
  }
  if (isLost) {
    timeOut();
    return;
  }
  At(kNetworkDelay,
     [this, owner, aTarget, aExecute, aReply, isAnswerLost, timeOut] {
       if (targets_.at(aTarget)->unreachableUntil_ > now_) {
         timeOut();
         return;
       }
       const auto answer = aExecute();
       if (isAnswerLost) {
         timeOut();
       } else {
         At(kNetworkDelay, [owner, answer, aReply] { aReply(*owner, answer); });
       }
     });
}

void
SimulatedFleet::Store(SimulatedOwner& aOwner, StoreProgress aStore)
{
  const auto owner = aOwner.shared_from_this();
  At(kStoreWriteTime, [this, owner, aStore = std::move(aStore)] {
    // Each write is conditional on the owner's lease key, so the writes of a
    // replaced owner fail.
    if (owner->replacedAt_ || owner->hasEnded_) {
      return;
    }
    if (ownerCutUntil_ > now_) {
      At(ownerCutUntil_ - now_,
         [this, owner, aStore] { Store(*owner, aStore); });
      return;
    }
    for (const auto& [job, progress] : aStore.jobs_) {
      progress_[job] = progress;
      if (progress.state_ == JobState::Failed) {
        CheckFailed(job);
      }
      if (progress.state_ == JobState::Completed) {
        const auto& record = jobs_.at(job);
        for (int number = 0; number < std::max(1, record.repeats_); ++number) {
          CheckDone(record, number);
        }
      }
    }
    for (const auto& target : aStore.newTargets_) {
      storedTargets_[target.id_] = target;
    }
    for (const auto& id : aStore.removedTargets_) {
      storedTargets_.erase(id);
    }
    Deliver(*owner, ProgressStored{ aStore.batch_ });
  });
}

void
SimulatedFleet::Execute(SimulatedOwner& aOwner, Effect& aEffect)
{
  const auto token = aOwner.token_;
  const auto deliver = [this](SimulatedOwner& aTo, const Event& aEvent) {
    Deliver(aTo, aEvent);
  };
  if (auto* start = std::get_if<StartRun>(&aEffect)) {
    const auto call = *start;
    const auto sent = now_;
    const auto heldUpFor = std::exchange(nextStartHeldUp_, std::nullopt);
    heldUpAt_ = heldUpFor ? call.target_ : heldUpAt_;
    Call(
      aOwner,
      call.target_,
      StartAnswered{
        call.target_, call.item_, call.run_, StartOutcome::Unknown, 0 },
      [this, token, call, sent] {
        auto answer = HandleStart(TargetToken(token, call.process_), call);
        answer.sentAt_ = sent;
        answer.process_ = call.process_;
        return answer;
      },
      deliver,
      faults_.heldUpStart_,
      heldUpFor);
  } else if (auto* stop = std::get_if<StopRun>(&aEffect)) {
    const auto call = *stop;
    Call(
      aOwner,
      call.target_,
      StopAnswered{ call.target_, call.item_, call.run_, false },
      [this, token, call] {
        return HandleStop(TargetToken(token, call.process_), call);
      },
      deliver);
  } else if (auto* hold = std::get_if<RenewTarget>(&aEffect)) {
    const auto call = *hold;
    const auto sent = now_;
    RenewalAnswered noAnswer;
    noAnswer.target_ = call.target_;
    noAnswer.sentAt_ = sent;
    noAnswer.process_ = call.process_;
    Call(
      aOwner,
      call.target_,
      noAnswer,
      [this, token, call, sent] {
        auto answer =
          HandleRenewal(TargetToken(token, call.process_), call, sent);
        answer.process_ = call.process_;
        return answer;
      },
      deliver,
      faults_.heldUpRenewal_);
  } else if (std::get_if<RequestVmList>(&aEffect)) {
    ListVms(aOwner.shared_from_this());
  } else if (auto* move = std::get_if<MoveVm>(&aEffect)) {
    CarryOutMove(aOwner.shared_from_this(), *move);
  } else if (auto* store = std::get_if<StoreProgress>(&aEffect)) {
    Store(aOwner, std::move(*store));
  } else if (std::get_if<StepDown>(&aEffect)) {
    aOwner.hasEnded_ = true;
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Queries
//-----------------------------------------------------------------------------

std::optional<JobState>
SimulatedFleet::StoredState(const std::string& aJob) const
{
  const auto found = progress_.find(aJob);
  return found == progress_.end() ? std::nullopt
                                  : std::optional(found->second.state_);
}

std::optional<Progress>
SimulatedFleet::StoredProgress(const std::string& aJob) const
{
  const auto found = progress_.find(aJob);
  return found == progress_.end() ? std::nullopt : std::optional(found->second);
}

std::vector<std::string>
SimulatedFleet::TargetIds() const
{
  std::vector<std::string> ids;
  for (const auto& [id, target] : targets_) {
    ids.push_back(id);
  }
  return ids;
}

int
SimulatedFleet::Starts(const std::string& aJob) const
{
  const auto found = starts_.find(aJob);
  return found == starts_.end() ? 0 : found->second;
}

int
SimulatedFleet::StartsOf(const ItemName& aItem) const
{
  const auto found = itemStarts_.find(aItem);
  return found == itemStarts_.end() ? 0 : found->second;
}

int
SimulatedFleet::CrashesUnder(const ItemName& aItem) const
{
  const auto found = crashes_.find(aItem);
  return found == crashes_.end() ? 0 : found->second;
}

bool
SimulatedFleet::IsRunning(const ItemName& aItem) const
{
  const auto found = runningNow_.find(aItem);
  return found != runningNow_.end() && found->second > 0;
}

int
SimulatedFleet::RunningOn(const std::string& aTarget) const
{
  return static_cast<int>(targets_.at(aTarget)->runs_.size());
}

Job
MakeJob(const std::string& aId,
        const std::string& aPool,
        const std::vector<int>& aCounts)
{
  Job job;
  job.id_ = aId;
  job.queue_ = "queue-" + aPool;
  job.pool_ = aPool;
  job.attempts_ = 3;
  job.allowance_ = Millis(600);
  for (std::size_t number = 0; number < aCounts.size(); ++number) {
    Step step;
    step.count_ = aCounts[number];
    step.needs_ = { 1000, 1000, 0 };
    step.estimate_ = Millis(700);
    if (number > 0) {
      step.after_ = { static_cast<int>(number) - 1 };
    }
    job.steps_.push_back(step);
  }
  return job;
}

std::string
MakeJobId(int aNumber)
{
  constexpr std::size_t kDigits = 16;
  const auto text = std::to_string(aNumber);
  return std::string(kDigits - text.size(), '0') + text;
}

} // namespace cuminbridge
