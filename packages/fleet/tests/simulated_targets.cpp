// The targets of a SimulatedFleet, and the rules that it checks.

#include <algorithm>

#include "simulated_fleet_parts.h"

namespace cuminbridge {

namespace {

constexpr Millis kStopTime(150);    // from a stop until the run ends
constexpr double kClockRate = 0.98; // targets' clocks run slow
// No item may start this long after its job was cancelled.
constexpr Millis kCancelBound(3000);
constexpr Millis kGangTimeout(3000); // a gang member waits this long for others
// A capacity that has shrunk counts this long afterwards: the bound of contact
// plus one heartbeat interval.
constexpr Millis kCapacityBound(3000 + 1500);
// An item that has crashed this many targets ...
constexpr int kCrashesToStop = 3;
// ... may not be started this often any more.
constexpr int kStartsTooMany = 3;
constexpr int kCrashesToFail = 2;  // under one item; its job may end as failed
constexpr Millis kDeadlyDelay(10); // from the start of a deadly item
// A timed start may come this much before its scheduled time.
constexpr Millis kTimedStartTolerance(250);

int
PercentOf(Instant aBegan, Instant aEnds, Instant aNow)
{
  constexpr int kFullPercent = 100;
  const auto duration = std::max<std::int64_t>(1, (aEnds - aBegan).count());
  return static_cast<int>(std::clamp<std::int64_t>(
    kFullPercent * (aNow - aBegan).count() / duration, 0, kFullPercent));
}

} // namespace

bool
SimulatedFleet::RejectsConnections(const SimulatedTarget& aTarget) const
{
  return aTarget.downUntil_ > now_ || aTarget.rejectingUntil_ > now_;
}

std::int64_t
SimulatedFleet::ClockOf(const SimulatedTarget& aTarget) const
{
  return 1000 + static_cast<std::int64_t>(
                  static_cast<double>((now_ - aTarget.startedAt_).count()) *
                  kClockRate);
}

std::int64_t
SimulatedFleet::ClampLease(std::int64_t aLease,
                           const SimulatedTarget& aTarget) const
{
  return std::min(aLease,
                  ClockOf(aTarget) + FleetOptions{}.longestLease_.count());
}

Millis
SimulatedFleet::Duration(const ItemName& aItem) const
{
  const auto& step =
    jobs_.at(aItem.job_).steps_[static_cast<std::size_t>(aItem.step_)];
  return step.estimate_ + Millis(aItem.index_ * 20);
}

void
SimulatedFleet::EndRun(SimulatedTarget& aTarget,
                       std::size_t aIndex,
                       EndKind aKind)
{
  const auto run = aTarget.runs_[aIndex];
  aTarget.runs_.erase(aTarget.runs_.begin() +
                      static_cast<std::ptrdiff_t>(aIndex));
  --runningNow_[run.item_];
  aTarget.closedRuns_[run.item_] =
    std::max(aTarget.closedRuns_[run.item_], run.run_);
  EndedRun end;
  end.number_ = ++aTarget.endCount_;
  end.item_ = run.item_;
  end.run_ = run.run_;
  end.kind_ = aKind;
  aTarget.ended_.push_back(std::move(end));
  if (aKind == EndKind::Done) {
    done_.insert(run.item_);
    startsWhenDone_[{ run.item_, run.run_ }] = itemStarts_[run.item_];
  } else if (aKind == EndKind::Failed) {
    ++failures_[run.item_];
  }
  const auto& spec =
    jobs_.at(run.item_.job_).steps_[static_cast<std::size_t>(run.item_.step_)];
  if (spec.isGang_ && aKind != EndKind::Done && aKind != EndKind::GangBroken) {
    BreakGang(run.item_, run.run_);
  }
}

// All runs of one gang, on all targets.
std::vector<std::pair<SimulatedFleet::SimulatedTarget*, std::size_t>>
SimulatedFleet::FindGang(const ItemName& aMember, std::int64_t aRun)
{
  std::vector<std::pair<SimulatedTarget*, std::size_t>> members;
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

// Starts the work of a gang once its last member has been started.
void
SimulatedFleet::BeginGang(const ItemName& aMember, std::int64_t aRun)
{
  const auto members = FindGang(aMember, aRun);
  const auto& spec =
    jobs_.at(aMember.job_).steps_[static_cast<std::size_t>(aMember.step_)];
  if (static_cast<int>(members.size()) < spec.count_) {
    return;
  }
  for (const auto& [target, index] : members) {
    auto& run = target->runs_[index];
    run.isWaitingForGang_ = false;
    run.endsAt_ = now_ + spec.estimate_;
    At(spec.estimate_, [this, id = target->id_] { Advance(*targets_.at(id)); });
  }
}

// Ends the other members of a gang when one has ended without being done.
void
SimulatedFleet::BreakGang(const ItemName& aMember, std::int64_t aRun)
{
  while (true) {
    const auto members = FindGang(aMember, aRun);
    if (members.empty()) {
      return;
    }
    EndRun(*members.front().first, members.front().second, EndKind::GangBroken);
  }
}

// Brings a target up to the current time: ends the runs that are due, stopped
// or without a valid lease, and gang members that waited too long.
void
SimulatedFleet::Advance(SimulatedTarget& aTarget)
{
  const bool hasLapsed = ClockOf(aTarget) >= aTarget.lease_;
  aTarget.discardedEnds_ =
    hasLapsed ? aTarget.endCount_ : aTarget.discardedEnds_;
  for (std::size_t index = aTarget.runs_.size(); index-- > 0;) {
    if (index >= aTarget.runs_.size()) {
      continue; // it ended with its gang
    }
    const auto& run = aTarget.runs_[index];
    if (run.isWaitingForGang_ && run.arrivedAt_ + kGangTimeout <= now_) {
      ++gangTimeouts_;
      EndRun(aTarget, index, EndKind::GangIncomplete);
      continue;
    }
    if (run.isWaitingForGang_ && !run.stopsAt_ && !hasLapsed) {
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

// What an item takes of its target's capacity. Fillers take no processor time.
Resources
SimulatedFleet::ReservedBy(const ItemName& aItem) const
{
  const auto& step =
    jobs_.at(aItem.job_).steps_[static_cast<std::size_t>(aItem.step_)];
  auto needs = step.needs_;
  needs.cpu_ = step.isFiller_ ? 0 : needs.cpu_;
  return needs;
}

void
SimulatedFleet::CheckCapacity(const SimulatedTarget& aTarget,
                              const StartRun& aStart)
{
  if (aTarget.rejectsOverload_) {
    return;
  }
  // The most of each resource that the target had within the bound.
  Resources allowed;
  for (auto it = aTarget.capacities_.begin(); it != aTarget.capacities_.end();
       ++it) {
    const auto next = std::next(it);
    if (next == aTarget.capacities_.end() ||
        now_ < next->first + kCapacityBound) {
      allowed.cpu_ = std::max(allowed.cpu_, it->second.cpu_);
      allowed.memMb_ = std::max(allowed.memMb_, it->second.memMb_);
      allowed.gpu_ = std::max(allowed.gpu_, it->second.gpu_);
    }
  }
  auto used = ReservedBy(aStart.item_);
  for (const auto& run : aTarget.runs_) {
    used += ReservedBy(run.item_);
  }
  if (!used.Fits(allowed)) {
    ReportViolation(
      "item started beyond the capacity of " + aTarget.id_ + ": " +
      FormatItem(aStart.item_) + ", " + std::to_string(used.cpu_) + " of " +
      std::to_string(allowed.cpu_) + " thousandths of a core in use");
  }
}

void
SimulatedFleet::CheckStart(const SimulatedTarget& aTarget,
                           const StartRun& aStart)
{
  const auto name = FormatItem(aStart.item_);
  const auto job = jobs_.find(aStart.item_.job_);
  if (job == jobs_.end()) {
    ReportViolation("start of an item whose job was never submitted: " + name);
    return;
  }
  CheckCapacity(aTarget, aStart);
  CheckEvacuation(aTarget, aStart);
  if (runningNow_[aStart.item_] > 0) {
    ReportViolation("item started while another run of it is running: " + name);
  }
  if (acknowledgedDone_.count(aStart.item_) != 0) {
    ReportViolation("item started after its completion was acknowledged: " +
                    name);
  }
  if (acknowledgedFailures_[aStart.item_] >= job->second.attempts_) {
    ReportViolation("item started after its attempts were used up: " + name);
  }
  ++itemStarts_[aStart.item_];
  if (deadly_.count(aStart.item_) != 0 &&
      crashes_[aStart.item_] >= kCrashesToStop &&
      ++startsAfterCrashes_[aStart.item_] >= kStartsTooMany) {
    ReportViolation("item started " +
                    std::to_string(startsAfterCrashes_[aStart.item_]) +
                    " times more after it had crashed " +
                    std::to_string(kCrashesToStop) + " targets: " + name);
  }
  const auto& steps = job->second.steps_;
  const auto& spec = steps[static_cast<std::size_t>(aStart.item_.step_)];
  for (const int before : spec.after_) {
    for (int index = 0; index < steps[static_cast<std::size_t>(before)].count_;
         ++index) {
      if (done_.count(
            { job->first, aStart.item_.occurrence_, before, index }) == 0) {
        ReportViolation(
          "item started before a step that it depends on was done: " + name);
      }
    }
  }
  const auto& record = job->second;
  if (record.repeats_ > 0) {
    const auto due =
      record.firstRun_ + aStart.item_.occurrence_ * record.interval_;
    if (WallTime(now_.time_since_epoch()) + kTimedStartTolerance < due) {
      ReportViolation("item started before its scheduled time: " + name);
    }
  }
  int sameStep = 0;
  for (const auto& run : aTarget.runs_) {
    sameStep += run.item_.job_ == aStart.item_.job_ &&
                    run.item_.step_ == aStart.item_.step_
                  ? 1
                  : 0;
  }
  if (spec.maxPerTarget_ > 0 && sameStep >= spec.maxPerTarget_) {
    ReportViolation("more items of the step on one target than allowed: " +
                    name);
  }
  const auto cancelled = cancelledAt_.find(job->first);
  if (cancelled != cancelledAt_.end() && faults_.lateRequest_ == 0 &&
      now_ > cancelled->second + kCancelBound) {
    ReportViolation("item started more than " +
                    std::to_string(kCancelBound.count()) +
                    " ms after its job was cancelled: " + name);
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
    // The new item itself may exceed the limit; what ran before it may not.
    if (cpu > account->limit_.cpu_ + spec.needs_.cpu_) {
      ReportViolation("item started while its account was above its limit: " +
                      name);
    }
  }
}

void
SimulatedFleet::CheckDone(const Job& aJob, int aOccurrence)
{
  for (std::size_t step = 0; step < aJob.steps_.size(); ++step) {
    // A gang is done when one of its members ended done.
    const int count = aJob.steps_[step].isGang_ ? 1 : aJob.steps_[step].count_;
    int done = 0;
    for (int index = 0; index < aJob.steps_[step].count_; ++index) {
      done += static_cast<int>(
        done_.count({ aJob.id_, aOccurrence, static_cast<int>(step), index }));
    }
    if (done < count) {
      ReportViolation("job stored as completed before its items were done: " +
                      aJob.id_);
    }
  }
}

void
SimulatedFleet::CheckFailed(const std::string& aJob)
{
  int most = 0;
  for (const auto& [item, failures] : failures_) {
    most = std::max(most, item.job_ == aJob ? failures : 0);
  }
  int mostCrashes = 0;
  for (const auto& [item, crashes] : crashes_) {
    mostCrashes = std::max(mostCrashes, item.job_ == aJob ? crashes : 0);
  }
  if (most < jobs_.at(aJob).attempts_ && mostCrashes < kCrashesToFail) {
    ReportViolation("job stored as failed after only " + std::to_string(most) +
                    " failed runs of an item and " +
                    std::to_string(mostCrashes) +
                    " targets that crashed under one: " + aJob);
  }
}

StartAnswered
SimulatedFleet::HandleStart(std::int64_t aToken, const StartRun& aStart)
{
  auto& target = *targets_.at(aStart.target_);
  if (RejectsConnections(target)) {
    return {
      aStart.target_, aStart.item_, aStart.run_, StartOutcome::NotSent, 0
    };
  }
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
  const auto closed = target.closedRuns_.find(aStart.item_);
  Resources freeCapacity = target.capacity_;
  for (const auto& run : target.runs_) {
    freeCapacity -= ReservedBy(run.item_);
  }
  const auto& spec = jobs_.at(aStart.item_.job_)
                       .steps_[static_cast<std::size_t>(aStart.item_.step_)];
  if (aStart.leaseUntil_ <= ClockOf(target)) {
    answer.outcome_ = StartOutcome::TooLate;
  } else if (closed != target.closedRuns_.end() &&
             aStart.run_ <= closed->second) {
    answer.outcome_ = StartOutcome::StaleRun;
  } else if (target.rejectsOverload_ &&
             !ReservedBy(aStart.item_).Fits(freeCapacity)) {
    answer.outcome_ = StartOutcome::NoCapacity;
  }
  if (answer.outcome_ != StartOutcome::Started) {
    return answer;
  }
  for (auto& [id, other] : targets_) {
    Advance(*other); // leases lapse also on targets that get no calls
  }
  CheckStart(target, aStart);
  target.lease_ =
    std::max(target.lease_, ClampLease(aStart.leaseUntil_, target));
  SimulatedRun run;
  run.item_ = aStart.item_;
  run.run_ = aStart.run_;
  run.needs_ = spec.needs_;
  run.isLongRunning_ = spec.isLongRunning_;
  run.isWaitingForGang_ = spec.isGang_;
  run.arrivedAt_ = now_;
  run.willFail_ = Draw() < faults_.failedRun_;
  constexpr double kMinSpeed = 0.0001;
  const auto takes = std::chrono::duration_cast<Millis>(
    Duration(aStart.item_) / std::max(kMinSpeed, target.speed_));
  run.beganAt_ = now_;
  run.endsAt_ = now_ + takes;
  target.runs_.push_back(run);
  ++runningNow_[aStart.item_];
  ++starts_[aStart.item_.job_];
  if (deadly_.count(aStart.item_) != 0) {
    At(kDeadlyDelay,
       [this, id = target.id_, item = run.item_, number = run.run_] {
         const auto& runs = targets_.at(id)->runs_;
         if (std::any_of(
               runs.begin(), runs.end(), [&](const SimulatedRun& aRun) {
                 return aRun.item_ == item && aRun.run_ == number;
               })) {
           CrashTarget(id);
         }
       });
  }
  if (run.isWaitingForGang_) {
    BeginGang(run.item_, run.run_);
    At(kGangTimeout + Millis(1),
       [this, id = target.id_] { Advance(*targets_.at(id)); });
    return answer;
  }
  // Ends the run on time also when the target gets no calls.
  At(takes, [this, id = target.id_] { Advance(*targets_.at(id)); });
  return answer;
}

StopAnswered
SimulatedFleet::HandleStop(std::int64_t aToken, const StopRun& aStop)
{
  auto& target = *targets_.at(aStop.target_);
  Advance(target);
  StopAnswered answer{ aStop.target_, aStop.item_, aStop.run_, true };
  if (RejectsConnections(target)) {
    answer.isDone_ = false;
    return answer;
  }
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
    target.closedRuns_[aStop.item_] =
      std::max(target.closedRuns_[aStop.item_], aStop.run_);
  }
  return answer;
}

void
SimulatedFleet::AcknowledgeEnds(SimulatedTarget& aTarget,
                                std::int64_t aLastStored)
{
  std::erase_if(aTarget.ended_, [&](const EndedRun& aEnd) {
    if (aEnd.number_ > aLastStored) {
      return false;
    }
    if (aEnd.number_ <= aTarget.discardedEnds_) {
      return true;
    }
    if (aEnd.kind_ == EndKind::Done) {
      if (itemStarts_[aEnd.item_] >
          startsWhenDone_[{ aEnd.item_, aEnd.run_ }]) {
        ReportViolation(
          "item had been started after an end that is now acknowledged: " +
          FormatItem(aEnd.item_));
      }
      acknowledgedDone_.insert(aEnd.item_);
    } else if (aEnd.kind_ == EndKind::Failed) {
      ++acknowledgedFailures_[aEnd.item_];
    }
    return true;
  });
}

RenewalAnswered
SimulatedFleet::HandleRenewal(std::int64_t aToken,
                              const RenewTarget& aRenewal,
                              Instant aSent)
{
  ++renewals_;
  auto& target = *targets_.at(aRenewal.target_);
  Advance(target);
  RenewalAnswered answer;
  answer.target_ = aRenewal.target_;
  answer.sentAt_ = aSent;
  answer.startUnixMs_ = target.incarnation_;
  answer.clockMs_ = ClockOf(target);
  if (RejectsConnections(target)) {
    answer.outcome_ = RenewalOutcome::Refused;
    return answer;
  }
  if (aToken < target.token_) {
    answer.outcome_ = RenewalOutcome::Fenced;
    return answer;
  }
  target.token_ = aToken;
  target.lease_ =
    std::max(target.lease_, ClampLease(aRenewal.leaseUntil_, target));
  AcknowledgeEnds(target, aRenewal.acknowledgedEnds_);
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
