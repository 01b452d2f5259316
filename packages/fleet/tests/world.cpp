// A fleet in virtual time.

#include "world.h"

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
constexpr Millis kStopTime(150);
constexpr double kSlowClock = 0.98;
constexpr Millis kCancelBound(3000);
constexpr Millis kGangTimeout(3000);
constexpr Millis kEarly(
  250); // a timed start may come this much before its time

} // namespace

struct World::VirtualRun
{
  ItemName item_;
  std::int64_t run_ = 0;
  Resources needs_;
  Instant endsAt_;
  bool willFail_ = false;
  bool isLasting_ = false;
  bool isGang_ = false; // works once all members of the run are there
  Instant cameAt_;
  std::optional<Instant> stopsAt_;
};

struct World::VirtualTarget
{
  std::string id_;
  std::string pool_;
  std::int64_t born_ = 0;
  Instant bornAt_;
  Resources capacity_;
  std::int64_t token_ = 0;
  std::int64_t lease_ = 0; // on its clock
  std::vector<VirtualRun> runs_;
  std::vector<EndedRun> ended_;
  std::int64_t ends_ = 0;
  // Ends up to here were listed when the lease lapsed. By the users' rules such
  // an end is never taken note of, so its item may run again.
  std::int64_t voidEnds_ = 0;
  std::map<ItemName, std::int64_t> closed_; // highest run stopped or ended
  Instant cutUntil_;
  Instant hiddenUntil_;
  bool isDraining_ = false;
  std::int64_t sequence_ = 0;
};

struct World::VirtualOwner : std::enable_shared_from_this<VirtualOwner>
{
  VirtualOwner(std::int64_t aToken, Instant aNow)
    : fleet_(FleetOptions{}, aNow)
    , token_(aToken)
  {
  }

  Fleet fleet_;
  std::int64_t token_;
  bool hasEnded_ = false;
  std::optional<Instant> cutOffAt_; // another owner has taken over
};

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
    target->born_ = static_cast<std::int64_t>(targets_.size()) + 1;
    target->bornAt_ = now_ - Millis(5000);
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
World::BeginOwner(FormerOwner aFormer)
{
  if (owner_) {
    owner_->cutOffAt_ = now_;
    owner_->hasEnded_ = owner_->hasEnded_ || aFormer != FormerOwner::Unknown;
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
  loaded.former_ = term_ == 1 ? FormerOwner::HandedOver : aFormer;
  loaded.term_ = term_;
  Feed(*owner, loaded);
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
  target.born_ += 1000;
  target.bornAt_ = now_;
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
    report.born_ = target->born_;
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
    At(kLatestStart + Millis(static_cast<std::int64_t>(Draw() * span)),
       [this, aTarget, aCarry] {
         if (targets_.at(aTarget)->cutUntil_ <= now_) {
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
  } else if (auto* hold = std::get_if<HoldTarget>(&aEffect)) {
    const auto call = *hold;
    const auto sent = now_;
    HoldAnswered silent;
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
  } else if (std::get_if<Abdicate>(&aEffect)) {
    aOwner.hasEnded_ = true;
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Targets
//-----------------------------------------------------------------------------

std::int64_t
World::ClockOf(const VirtualTarget& aTarget) const
{
  return 1000 +
         static_cast<std::int64_t>(
           static_cast<double>((now_ - aTarget.bornAt_).count()) * kSlowClock);
}

Millis
World::Duration(const ItemName& aItem) const
{
  const auto& step =
    jobs_.at(aItem.job_).steps_[static_cast<std::size_t>(aItem.step_)];
  return step.estimate_ + Millis(aItem.index_ * 20);
}

void
World::EndRun(VirtualTarget& aTarget, std::size_t aIndex, EndKind aKind)
{
  const auto run = aTarget.runs_[aIndex];
  aTarget.runs_.erase(aTarget.runs_.begin() +
                      static_cast<std::ptrdiff_t>(aIndex));
  --runningNow_[run.item_];
  aTarget.closed_[run.item_] = std::max(aTarget.closed_[run.item_], run.run_);
  EndedRun end;
  end.number_ = ++aTarget.ends_;
  end.item_ = run.item_;
  end.run_ = run.run_;
  end.kind_ = aKind;
  aTarget.ended_.push_back(std::move(end));
  if (aKind == EndKind::Done) {
    done_.insert(run.item_);
  } else if (aKind == EndKind::Failed) {
    ++failures_[run.item_];
  }
  const auto& spec =
    jobs_.at(run.item_.job_).steps_[static_cast<std::size_t>(run.item_.step_)];
  if (spec.isGang_ && aKind != EndKind::Done && aKind != EndKind::Broken) {
    BreakGang(run.item_, run.run_);
  }
}

// All runs of one gang, wherever they are.
std::vector<std::pair<World::VirtualTarget*, std::size_t>>
World::FindGang(const ItemName& aMember, std::int64_t aRun)
{
  std::vector<std::pair<VirtualTarget*, std::size_t>> members;
  for (auto& [id, target] : targets_) {
    for (std::size_t index = 0; index < target->runs_.size(); ++index) {
      const auto& run = target->runs_[index];
      if (run.run_ == aRun && run.item_.job_ == aMember.job_ &&
          run.item_.occurrence_ == aMember.occurrence_ &&
          run.item_.step_ == aMember.step_) {
        members.emplace_back(target.get(), index);
      }
    }
  }
  return members;
}

// Sets the end of a gang once its last member is there.
void
World::BeginGang(const ItemName& aMember, std::int64_t aRun)
{
  const auto members = FindGang(aMember, aRun);
  const auto& spec =
    jobs_.at(aMember.job_).steps_[static_cast<std::size_t>(aMember.step_)];
  if (static_cast<int>(members.size()) < spec.count_) {
    return;
  }
  for (const auto& [target, index] : members) {
    auto& run = target->runs_[index];
    run.isGang_ = false; // from now on it ends by time
    run.endsAt_ = now_ + spec.estimate_;
    At(spec.estimate_, [this, id = target->id_] { Advance(*targets_.at(id)); });
  }
}

// A member has ended otherwise than done: the others end too.
void
World::BreakGang(const ItemName& aMember, std::int64_t aRun)
{
  while (true) {
    const auto members = FindGang(aMember, aRun);
    if (members.empty()) {
      return;
    }
    EndRun(*members.front().first, members.front().second, EndKind::Broken);
  }
}

// Ends what is over by now.
void
World::Advance(VirtualTarget& aTarget)
{
  const bool hasLapsed = ClockOf(aTarget) >= aTarget.lease_;
  aTarget.voidEnds_ = hasLapsed ? aTarget.ends_ : aTarget.voidEnds_;
  for (std::size_t index = aTarget.runs_.size(); index-- > 0;) {
    if (index >= aTarget.runs_.size()) {
      continue; // its gang has ended meanwhile
    }
    const auto& run = aTarget.runs_[index];
    if (run.isGang_ && run.cameAt_ + kGangTimeout <= now_) {
      ++alone_;
      EndRun(aTarget, index, EndKind::Alone);
      continue;
    }
    if (run.isGang_ && !run.stopsAt_ && !hasLapsed) {
      continue;
    }
    if (run.stopsAt_ && *run.stopsAt_ <= now_) {
      EndRun(aTarget, index, EndKind::Stopped);
    } else if (!run.isLasting_ && run.endsAt_ <= now_) {
      EndRun(aTarget, index, run.willFail_ ? EndKind::Failed : EndKind::Done);
    } else if (hasLapsed) {
      EndRun(aTarget, index, EndKind::Lapsed);
    }
  }
}

void
World::CheckStart(const VirtualTarget& aTarget, const StartRun& aStart)
{
  const auto name = FormatItem(aStart.item_);
  const auto job = jobs_.find(aStart.item_.job_);
  if (job == jobs_.end()) {
    Break("unasked " + name);
    return;
  }
  if (runningNow_[aStart.item_] > 0) {
    Break("twice at once: " + name);
  }
  if (notedDone_.count(aStart.item_) != 0) {
    Break("again after its end was noted: " + name);
  }
  if (notedFailures_[aStart.item_] >= job->second.attempts_) {
    Break("attempts used up: " + name);
  }
  const auto& steps = job->second.steps_;
  const auto& spec = steps[static_cast<std::size_t>(aStart.item_.step_)];
  for (const int before : spec.after_) {
    for (int index = 0; index < steps[static_cast<std::size_t>(before)].count_;
         ++index) {
      if (done_.count(
            { job->first, aStart.item_.occurrence_, before, index }) == 0) {
        Break("before its turn: " + name);
      }
    }
  }
  const auto& record = job->second;
  if (record.repeats_ > 0) {
    const auto due =
      record.firstRun_ + aStart.item_.occurrence_ * record.interval_;
    if (WallTime(now_.time_since_epoch()) + kEarly < due) {
      Break("before its time: " + name);
    }
  }
  int same = 0;
  for (const auto& run : aTarget.runs_) {
    same += run.item_.job_ == aStart.item_.job_ &&
                run.item_.step_ == aStart.item_.step_
              ? 1
              : 0;
  }
  if (spec.maxPerTarget_ > 0 && same >= spec.maxPerTarget_) {
    Break("too many on one target: " + name);
  }
  const auto cancelled = cancelledAt_.find(job->first);
  if (cancelled != cancelledAt_.end() && faults_.late_ == 0 &&
      now_ > cancelled->second + kCancelBound) {
    Break("started after its cancelling: " + name);
  }
  const auto* account = FindAccount(config_, job->second.account_);
  if (account && account->limit_.cpu_ > 0) {
    std::int64_t cpu = spec.needs_.cpu_;
    for (const auto& [id, target] : targets_) {
      for (const auto& run : target->runs_) {
        cpu += jobs_.at(run.item_.job_).account_ == account->name_
                 ? run.needs_.cpu_
                 : 0;
      }
    }
    if (cpu > account->limit_.cpu_ + spec.needs_.cpu_) {
      Break("over its account's limit: " + name);
    }
  }
}

void
World::CheckDone(const Job& aJob, int aOccurrence)
{
  for (std::size_t step = 0; step < aJob.steps_.size(); ++step) {
    // The end of one member of a gang stands for all of them.
    const int count = aJob.steps_[step].isGang_ ? 1 : aJob.steps_[step].count_;
    int done = 0;
    for (int index = 0; index < aJob.steps_[step].count_; ++index) {
      done += static_cast<int>(
        done_.count({ aJob.id_, aOccurrence, static_cast<int>(step), index }));
    }
    if (done < count) {
      Break("completed too early: " + aJob.id_);
    }
  }
}

void
World::CheckFailed(const std::string& aJob)
{
  int most = 0;
  for (const auto& [item, failures] : failures_) {
    most = std::max(most, item.job_ == aJob ? failures : 0);
  }
  if (most < jobs_.at(aJob).attempts_) {
    Break("given up after " + std::to_string(most) + " failed runs: " + aJob);
  }
}

StartAnswered
World::CarryStart(std::int64_t aToken, const StartRun& aStart)
{
  auto& target = *targets_.at(aStart.target_);
  Advance(target);
  StartAnswered answer{ aStart.target_,
                        aStart.item_,
                        aStart.run_,
                        StartOutcome::Started,
                        ClockOf(target) };
  if (aToken < target.token_) {
    answer.outcome_ = StartOutcome::Fenced;
    return answer;
  }
  target.token_ = aToken;
  for (const auto& run : target.runs_) {
    if (run.item_ == aStart.item_ && run.run_ == aStart.run_) {
      return answer;
    }
  }
  const auto closed = target.closed_.find(aStart.item_);
  Resources room = target.capacity_;
  for (const auto& run : target.runs_) {
    room -= run.needs_;
  }
  const auto& spec = jobs_.at(aStart.item_.job_)
                       .steps_[static_cast<std::size_t>(aStart.item_.step_)];
  if (aStart.leaseUntil_ <= ClockOf(target)) {
    answer.outcome_ = StartOutcome::TooLate;
  } else if (closed != target.closed_.end() && aStart.run_ <= closed->second) {
    answer.outcome_ = StartOutcome::OldRun;
  } else if (!spec.needs_.Fits(room)) {
    answer.outcome_ = StartOutcome::NoRoom;
  }
  if (answer.outcome_ != StartOutcome::Started) {
    return answer;
  }
  for (auto& [id, other] : targets_) {
    Advance(*other); // leases lapse also where nobody asks
  }
  CheckStart(target, aStart);
  target.lease_ = std::max(target.lease_, aStart.leaseUntil_);
  VirtualRun run;
  run.item_ = aStart.item_;
  run.run_ = aStart.run_;
  run.needs_ = spec.needs_;
  run.isLasting_ = spec.isLasting_;
  run.isGang_ = spec.isGang_;
  run.cameAt_ = now_;
  run.willFail_ = Draw() < faults_.failing_;
  run.endsAt_ = now_ + Duration(aStart.item_);
  target.runs_.push_back(run);
  ++runningNow_[aStart.item_];
  ++starts_[aStart.item_.job_];
  if (run.isGang_) {
    BeginGang(run.item_, run.run_);
    At(kGangTimeout + Millis(1),
       [this, id = target.id_] { Advance(*targets_.at(id)); });
    return answer;
  }
  // So that what runs ends on time, also when nobody asks.
  At(Duration(aStart.item_),
     [this, id = target.id_] { Advance(*targets_.at(id)); });
  return answer;
}

StopAnswered
World::CarryStop(std::int64_t aToken, const StopRun& aStop)
{
  auto& target = *targets_.at(aStop.target_);
  Advance(target);
  StopAnswered answer{ aStop.target_, aStop.item_, aStop.run_, true };
  if (aToken < target.token_) {
    answer.isDone_ = false;
    return answer;
  }
  target.token_ = aToken;
  bool isThere = false;
  for (auto& run : target.runs_) {
    if (run.item_ == aStop.item_ && run.run_ == aStop.run_) {
      run.stopsAt_ = now_ + kStopTime;
      isThere = true;
    }
  }
  if (!isThere) {
    target.closed_[aStop.item_] =
      std::max(target.closed_[aStop.item_], aStop.run_);
  }
  return answer;
}

void
World::NoteEnds(VirtualTarget& aTarget, std::int64_t aSeen)
{
  std::erase_if(aTarget.ended_, [&](const EndedRun& aEnd) {
    if (aEnd.number_ > aSeen) {
      return false;
    }
    if (aEnd.number_ <= aTarget.voidEnds_) {
      return true;
    }
    if (aEnd.kind_ == EndKind::Done) {
      notedDone_.insert(aEnd.item_);
    } else if (aEnd.kind_ == EndKind::Failed) {
      ++notedFailures_[aEnd.item_];
    }
    return true;
  });
}

HoldAnswered
World::CarryHold(std::int64_t aToken, const HoldTarget& aHold, Instant aSent)
{
  auto& target = *targets_.at(aHold.target_);
  Advance(target);
  HoldAnswered answer;
  answer.target_ = aHold.target_;
  answer.sentAt_ = aSent;
  answer.born_ = target.born_;
  answer.clockMs_ = ClockOf(target);
  if (aToken < target.token_) {
    answer.outcome_ = HoldOutcome::Fenced;
    return answer;
  }
  target.token_ = aToken;
  target.lease_ = std::max(target.lease_, aHold.leaseUntil_);
  NoteEnds(target, aHold.lastSeen_);
  answer.outcome_ = HoldOutcome::Answered;
  for (const auto& run : target.runs_) {
    RunningRun row;
    row.item_ = run.item_;
    row.run_ = run.run_;
    row.percent_ = 100;
    answer.running_.push_back(std::move(row));
  }
  answer.ended_ = target.ended_;
  return answer;
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

} // namespace cuminbridge
