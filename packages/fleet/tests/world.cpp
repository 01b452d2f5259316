// A fleet in virtual time.

#include "state.h"
#include "world_parts.h"

#include <algorithm>

namespace cuminbridge {

namespace {

constexpr Millis kHop(2);        // one way, between any two processes
constexpr Millis kNoAnswer(600); // until a caller gives a call up
constexpr Millis kStoreTime(5);
constexpr Millis kTick(20);
constexpr Millis kListInterval(400);
constexpr Millis kLatestStart(2000); // a late call is carried out from then ...
constexpr Millis kLatestEnd(12000);  // ... until then

} // namespace

World::World(unsigned aSeed, WorldFaults aFaults)
  : random_(aSeed)
  , faults_(aFaults)
  , now_(Millis(1000000))
{
  config_.version_ = 1;
}

World::~World() = default;

double
World::Draw()
{
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

void
World::At(Millis aDelay, Action aAction)
{
  actions_.emplace(now_ + aDelay, std::move(aAction));
}

void
World::Break(const std::string& aWhat)
{
  broken_.push_back(std::to_string(now_.time_since_epoch().count()) + ": " +
                    aWhat);
}

//-----------------------------------------------------------------------------
// [SECTION] Setting up
//-----------------------------------------------------------------------------

void
World::AddTargets(const std::string& aPool, int aCount)
{
  if (!FindPool(config_, aPool)) {
    config_.pools_.push_back({ aPool, true, false });
    Queue queue;
    queue.name_ = "queue-" + aPool;
    queue.pool_ = aPool;
    config_.queues_.push_back(queue);
  }
  for (int index = 0; index < aCount; ++index) {
    auto target = std::make_unique<VirtualTarget>();
    target->id_ = aPool + "-" + std::to_string(targets_.size());
    target->pool_ = aPool;
    target->bornAt_ = now_ - Millis(5000);
    target->born_ = target->bornAt_.time_since_epoch().count();
    target->capacity_ = { 8000, 32000, 0 };
    targets_[target->id_] = std::move(target);
  }
}

void
World::SetAccount(Account aAccount)
{
  config_.accounts_.push_back(std::move(aAccount));
}

void
World::Submit(Job aJob)
{
  jobs_[aJob.id_] = aJob;
  if (owner_ && !owner_->hasEnded_) {
    Feed(*owner_, JobArrived{ std::move(aJob) });
  }
}

void
World::Cancel(const std::string& aJob)
{
  cancelled_.insert(aJob);
  cancelledAt_[aJob] = now_;
  if (owner_ && !owner_->hasEnded_) {
    Feed(*owner_, JobCancelled{ aJob });
  }
}

void
World::BeginOwner(PreviousOwner aFormer)
{
  if (owner_) {
    owner_->cutOffAt_ = now_;
    owner_->hasEnded_ = owner_->hasEnded_ || aFormer != PreviousOwner::Unknown;
    if (!owner_->hasEnded_) {
      Feed(*owner_, Tick{ WallTime(now_.time_since_epoch()), false });
    }
  }
  ++term_;
  token_ += 100;
  owner_ = std::make_shared<VirtualOwner>(token_, now_);
  const auto owner = owner_;
  Feed(*owner, ConfigSeen{ config_ });
  Feed(*owner, Tick{ WallTime(now_.time_since_epoch()), true });
  JobsLoaded loaded;
  for (const auto& [id, job] : jobs_) {
    loaded.jobs_.push_back(job);
  }
  loaded.progress_ = progress_;
  loaded.cancelled_ = cancelled_;
  loaded.targets_ = known_;
  loaded.previousOwner_ = term_ == 1 ? PreviousOwner::HandedOver : aFormer;
  loaded.term_ = term_;
  loaded.inheritedUntil_ = inheritedUntil_;
  Feed(*owner, loaded);
  inheritedUntil_ = owner->fleet_.InheritedUntil();
  TickOwner(owner);
  ListTargets(owner);
}

void
World::EndOwner()
{
  owner_->hasEnded_ = true;
}

//-----------------------------------------------------------------------------
// [SECTION] Faults
//-----------------------------------------------------------------------------

void
World::CutTarget(const std::string& aTarget, Millis aTime)
{
  targets_.at(aTarget)->cutUntil_ = now_ + aTime;
}

void
World::DelistTarget(const std::string& aTarget, Millis aTime)
{
  targets_.at(aTarget)->hiddenUntil_ = now_ + aTime;
}

std::size_t
World::LearnedQueues() const
{
  return owner_->fleet_.State().runTimes_.size();
}

void
World::SlowTarget(const std::string& aTarget, double aSpeed)
{
  targets_.at(aTarget)->speed_ = aSpeed;
}

void
World::DrainTarget(const std::string& aTarget)
{
  targets_.at(aTarget)->isDraining_ = true;
}

void
World::RestartTarget(const std::string& aTarget)
{
  auto& target = *targets_.at(aTarget);
  Advance(target);
  for (const auto& run : target.runs_) {
    --runningNow_[run.item_];
  }
  target.runs_.clear();
  target.ended_.clear();
  target.closed_.clear();
  target.ends_ = 0;
  target.voidEnds_ = 0;
  target.token_ = 0;
  target.lease_ = 0;
  target.bornAt_ = now_;
  target.born_ = std::max(target.born_ + 1, now_.time_since_epoch().count());
  target.sequence_ = 0;
}

//-----------------------------------------------------------------------------
// [SECTION] Owners
//-----------------------------------------------------------------------------

void
World::RunFor(Millis aTime)
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
World::Feed(VirtualOwner& aOwner, const Event& aEvent)
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
World::TickOwner(const std::shared_ptr<VirtualOwner>& aOwner)
{
  const FleetOptions options;
  if (aOwner->cutOffAt_ &&
      now_ > *aOwner->cutOffAt_ + options.ownerAllowance_) {
    aOwner->hasEnded_ = true;
  }
  if (aOwner->hasEnded_) {
    return;
  }
  Feed(*aOwner, Tick{ WallTime(now_.time_since_epoch()), !aOwner->cutOffAt_ });
  At(kTick, [this, aOwner] { TickOwner(aOwner); });
}

void
World::ListTargets(const std::shared_ptr<VirtualOwner>& aOwner)
{
  if (aOwner->hasEnded_ || aOwner->cutOffAt_) {
    return;
  }
  TargetsSeen seen;
  for (auto& [id, target] : targets_) {
    if (target->hiddenUntil_ > now_) {
      continue;
    }
    TargetReport report;
    report.id_ = id;
    report.address_ = id;
    report.pool_ = target->pool_;
    report.vm_ = "vm-" + id;
    report.capacity_ = target->capacity_;
    report.isDraining_ = target->isDraining_;
    report.startUnixMs_ = target->born_;
    report.clockMs_ = ClockOf(*target);
    report.sequence_ = ++target->sequence_;
    seen.targets_.push_back(std::move(report));
  }
  Feed(*aOwner, seen);
  At(kListInterval, [this, aOwner] { ListTargets(aOwner); });
}

template<typename Answer, typename Carry, typename Reply>
void
World::Call(VirtualOwner& aOwner,
            const std::string& aTarget,
            Answer aNoAnswer,
            Carry aCarry,
            Reply aReply)
{
  const auto owner = aOwner.shared_from_this();
  const bool isLate = Draw() < faults_.late_;
  const bool isLost = Draw() < faults_.lostRequest_;
  const bool isMute = Draw() < faults_.lostAnswer_;
  const auto giveUp = [this, owner, aNoAnswer, aReply] {
    At(kNoAnswer, [owner, aNoAnswer, aReply] { aReply(*owner, aNoAnswer); });
  };
  if (isLate) {
    const auto span = static_cast<double>((kLatestEnd - kLatestStart).count());
    // What a process has not carried out yet ends with it.
    const auto life = targets_.at(aTarget)->born_;
    At(kLatestStart + Millis(static_cast<std::int64_t>(Draw() * span)),
       [this, aTarget, aCarry, life] {
         const auto& target = *targets_.at(aTarget);
         if (target.cutUntil_ <= now_ && target.born_ == life) {
           aCarry();
         }
       });
    giveUp();
    return;
  }
  if (isLost) {
    giveUp();
    return;
  }
  At(kHop, [this, owner, aTarget, aCarry, aReply, isMute, giveUp] {
    if (targets_.at(aTarget)->cutUntil_ > now_) {
      giveUp();
      return;
    }
    const auto answer = aCarry();
    if (isMute) {
      giveUp();
    } else {
      At(kHop, [owner, answer, aReply] { aReply(*owner, answer); });
    }
  });
}

void
World::Store(VirtualOwner& aOwner, StoreProgress aStore)
{
  const auto keep = aOwner.shared_from_this();
  At(kStoreTime, [this, keep, aStore = std::move(aStore)] {
    // Each write is conditional on the owner's key.
    if (keep->cutOffAt_ || keep->hasEnded_) {
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
    if (aStore.hasTargets_) {
      known_ = aStore.targets_;
    }
    Feed(*keep, ProgressStored{ aStore.batch_ });
  });
}

void
World::Execute(VirtualOwner& aOwner, Effect& aEffect)
{
  const auto token = aOwner.token_;
  const auto feed = [this](VirtualOwner& aTo, const Event& aEvent) {
    Feed(aTo, aEvent);
  };
  if (auto* start = std::get_if<StartRun>(&aEffect)) {
    const auto call = *start;
    Call(
      aOwner,
      call.target_,
      StartAnswered{
        call.target_, call.item_, call.run_, StartOutcome::Unknown, 0 },
      [this, token, call] { return CarryStart(token, call); },
      feed);
  } else if (auto* stop = std::get_if<StopRun>(&aEffect)) {
    const auto call = *stop;
    Call(
      aOwner,
      call.target_,
      StopAnswered{ call.target_, call.item_, call.run_, false },
      [this, token, call] { return CarryStop(token, call); },
      feed);
  } else if (auto* hold = std::get_if<RenewTarget>(&aEffect)) {
    const auto call = *hold;
    const auto sent = now_;
    RenewalAnswered silent;
    silent.target_ = call.target_;
    silent.sentAt_ = sent;
    Call(
      aOwner,
      call.target_,
      silent,
      [this, token, call, sent] { return CarryHold(token, call, sent); },
      feed);
  } else if (auto* store = std::get_if<StoreProgress>(&aEffect)) {
    Store(aOwner, std::move(*store));
  } else if (std::get_if<StepDown>(&aEffect)) {
    aOwner.hasEnded_ = true;
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Looking
//-----------------------------------------------------------------------------

std::optional<JobState>
World::StoredState(const std::string& aJob) const
{
  const auto found = progress_.find(aJob);
  return found == progress_.end() ? std::nullopt
                                  : std::optional(found->second.state_);
}

std::vector<std::string>
World::TargetIds() const
{
  std::vector<std::string> ids;
  for (const auto& [id, target] : targets_) {
    ids.push_back(id);
  }
  return ids;
}

int
World::Starts(const std::string& aJob) const
{
  const auto found = starts_.find(aJob);
  return found == starts_.end() ? 0 : found->second;
}

int
World::RunningOn(const std::string& aTarget) const
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
IdOf(int aNumber)
{
  constexpr std::size_t kDigits = 16;
  const auto text = std::to_string(aNumber);
  return std::string(kDigits - text.size(), '0') + text;
}

} // namespace cuminbridge
