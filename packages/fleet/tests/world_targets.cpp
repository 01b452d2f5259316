// The targets of a World, and what is checked at each start.

#include <algorithm>

#include "world_parts.h"

namespace cuminbridge {

namespace {

constexpr Millis kStopTime(150);
constexpr double kSlowClock = 0.98;
constexpr Millis kCancelBound(3000);
constexpr Millis kGangTimeout(3000);
constexpr Millis kEarly(
  250); // a timed start may come this much before its time

int
PercentOf(Instant aBegan, Instant aEnds, Instant aNow)
{
  constexpr int kWhole = 100;
  const auto whole = std::max<std::int64_t>(1, (aEnds - aBegan).count());
  return static_cast<int>(std::clamp<std::int64_t>(
    kWhole * (aNow - aBegan).count() / whole, 0, kWhole));
}

} // namespace

std::int64_t
World::ClockOf(const VirtualTarget& aTarget) const
{
  return 1000 +
         static_cast<std::int64_t>(
           static_cast<double>((now_ - aTarget.bornAt_).count()) * kSlowClock);
}

std::int64_t
World::Shorten(std::int64_t aLease, const VirtualTarget& aTarget) const
{
  return std::min(aLease,
                  ClockOf(aTarget) + FleetOptions{}.longestLease_.count());
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
  if (spec.isGang_ && aKind != EndKind::Done && aKind != EndKind::GangBroken) {
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
    EndRun(*members.front().first, members.front().second, EndKind::GangBroken);
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
      EndRun(aTarget, index, EndKind::GangIncomplete);
      continue;
    }
    if (run.isGang_ && !run.stopsAt_ && !hasLapsed) {
      continue;
    }
    if (run.stopsAt_ && *run.stopsAt_ <= now_) {
      EndRun(aTarget, index, EndKind::Stopped);
    } else if (!run.isLongRunning_ && run.endsAt_ <= now_) {
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
    answer.outcome_ = StartOutcome::StaleRun;
  } else if (!spec.needs_.Fits(room)) {
    answer.outcome_ = StartOutcome::NoCapacity;
  }
  if (answer.outcome_ != StartOutcome::Started) {
    return answer;
  }
  for (auto& [id, other] : targets_) {
    Advance(*other); // leases lapse also where nobody asks
  }
  CheckStart(target, aStart);
  target.lease_ = std::max(target.lease_, Shorten(aStart.leaseUntil_, target));
  VirtualRun run;
  run.item_ = aStart.item_;
  run.run_ = aStart.run_;
  run.needs_ = spec.needs_;
  run.isLongRunning_ = spec.isLongRunning_;
  run.isGang_ = spec.isGang_;
  run.cameAt_ = now_;
  run.willFail_ = Draw() < faults_.failing_;
  constexpr double kSlowest = 0.0001;
  const auto takes = std::chrono::duration_cast<Millis>(
    Duration(aStart.item_) / std::max(kSlowest, target.speed_));
  run.beganAt_ = now_;
  run.endsAt_ = now_ + takes;
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
  At(takes, [this, id = target.id_] { Advance(*targets_.at(id)); });
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

RenewalAnswered
World::CarryHold(std::int64_t aToken, const RenewTarget& aHold, Instant aSent)
{
  auto& target = *targets_.at(aHold.target_);
  Advance(target);
  RenewalAnswered answer;
  answer.target_ = aHold.target_;
  answer.sentAt_ = aSent;
  answer.born_ = target.born_;
  answer.clockMs_ = ClockOf(target);
  if (aToken < target.token_) {
    answer.outcome_ = RenewalOutcome::Fenced;
    return answer;
  }
  target.token_ = aToken;
  target.lease_ = std::max(target.lease_, Shorten(aHold.leaseUntil_, target));
  NoteEnds(target, aHold.acknowledgedEnds_);
  answer.outcome_ = RenewalOutcome::Answered;
  for (const auto& run : target.runs_) {
    RunningRun row;
    row.item_ = run.item_;
    row.run_ = run.run_;
    row.percent_ =
      run.isLongRunning_ ? 100 : PercentOf(run.beganAt_, run.endsAt_, now_);
    answer.running_.push_back(std::move(row));
  }
  answer.ended_ = target.ended_;
  return answer;
}

} // namespace cuminbridge
