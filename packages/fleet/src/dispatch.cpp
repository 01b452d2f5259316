// Starts waiting work items on targets, in the pools where something changed.

#include "dispatch.h"

#include <algorithm>

#include "account_limits.h"
#include "crashes.h"
#include "jobs.h"
#include "placing.h"
#include "runs.h"
#include "targets.h"
#include "transfers.h"
#include "waiting_work.h"

namespace cuminbridge {

namespace {

// A job that takes longer than this many times its objective is worth nothing
// to its caller.
constexpr int kHopelessFactor = 3;
// Targets in one request for advice.
constexpr std::size_t kMaxTargetsAsked = 30;
// Consecutive failed runs after which a target is avoided.
constexpr int kFailuresToAvoid = 2;
// Least time between two dispatches of one pool, so that changes that come
// close together are handled together.
constexpr Millis kDispatchInterval(4);

// A step of one occurrence whose items wait and may start.
struct WaitingStep
{
  JobEntry* job_ = nullptr;
  int occurrence_ = 0;
  std::size_t step_ = 0;
  SchedulingKey key_;
};

using Targets = std::vector<Target*>;

bool
HasLabel(const Target& aTarget, const std::string& aLabel)
{
  const auto& labels = aTarget.report_.labels_;
  return aLabel.empty() ||
         std::find(labels.begin(), labels.end(), aLabel) != labels.end();
}

std::string
StepName(const WaitingStep& aWaiting)
{
  return aWaiting.job_->job_.id_ + '.' + std::to_string(aWaiting.occurrence_) +
         '.' + std::to_string(aWaiting.step_);
}

SchedulingKey
MakeSchedulingKey(const FleetState& aState,
                  const JobEntry& aJob,
                  const Occurrence& aOccurrence,
                  const Step& aStep)
{
  SchedulingKey key;
  key.priority_ = aJob.job_.priority_;
  key.isLongRunning_ = aStep.isLongRunning_;
  key.isBeyondShare_ = aJob.isBeyondShare_;
  key.arrived_ = aJob.arrived_;
  if (aStep.isLongRunning_) {
    return key;
  }
  key.work_ = RemainingWork(aState, aJob, &aOccurrence);
  if (aJob.job_.repeats_ == 0) {
    const auto objective = CompletionObjective(aState, aJob);
    const auto end = aState.now_ - aJob.arrived_ +
                     RemainingCriticalPath(aState, aJob, &aOccurrence);
    key.lateness_ = end <= objective                     ? Lateness::InTime
                    : end <= kHopelessFactor * objective ? Lateness::Late
                                                         : Lateness::Hopeless;
  }
  return key;
}

std::vector<WaitingStep>
CollectWaiting(const FleetState& aState, const std::string& aPool)
{
  std::vector<WaitingStep> waiting;
  ForEachWaitingStep(
    aState,
    [&](const JobEntry& aJob) { return PoolOf(aState, aJob) == aPool; },
    [&](JobEntry& aJob, int aNumber, std::size_t aStep) {
      waiting.push_back({ &aJob,
                          aNumber,
                          aStep,
                          MakeSchedulingKey(aState,
                                            aJob,
                                            aJob.occurrences_.at(aNumber),
                                            aJob.job_.steps_[aStep]) });
    });
  std::sort(waiting.begin(),
            waiting.end(),
            [](const WaitingStep& aLeft, const WaitingStep& aRight) {
              return IsScheduledBefore(aLeft.key_, aRight.key_);
            });
  return waiting;
}

Targets
CollectTargets(FleetState& aState, const std::string& aPool)
{
  Targets targets;
  for (auto* target : aState.byPool_[aPool]) {
    if (target->IsUsable(aState.now_) && IsCapacityKnown(aState, *target)) {
      targets.push_back(target);
    }
  }
  return targets;
}

int
CountSameStep(const Target& aTarget, const WaitingStep& aWaiting)
{
  int count = 0;
  for (const auto& run : aTarget.runs_) {
    count += run.item_.step_ == static_cast<int>(aWaiting.step_) &&
                 run.item_.occurrence_ == aWaiting.occurrence_ &&
                 run.item_.job_ == aWaiting.job_->job_.id_
               ? 1
               : 0;
  }
  return count;
}

// The targets, with the values that are the same for every step.
std::vector<Candidate>
MakeCandidates(const FleetState& aState, const Targets& aTargets)
{
  std::vector<Candidate> candidates;
  candidates.reserve(aTargets.size());
  for (const auto* target : aTargets) {
    Candidate candidate;
    candidate.free_ = target->report_.capacity_;
    candidate.free_ -= target->used_;
    candidate.capacityCpu_ = target->report_.capacity_.cpu_;
    for (const auto& run : target->runs_) {
      candidate.servingRuns_ += run.targetLatency_.count() > 0 ? 1 : 0;
      candidate.fillerRuns_ += run.isFiller_ ? 1 : 0;
    }
    candidate.isAvoided_ = target->consecutiveFailures_ >= kFailuresToAvoid ||
                           target->slowUntil_ > aState.now_;
    candidate.awaitsMaintenance_ = target->awaitsMaintenance_;
    candidate.hasTrial_ = HasTrial(aState, *target);
    candidates.push_back(candidate);
  }
  return candidates;
}

// Copies aBase and fills in the values that depend on the step.
std::vector<Candidate>
CandidatesForStep(const std::vector<Candidate>& aBase,
                  const Targets& aTargets,
                  const WaitingStep& aWaiting)
{
  const auto& step = aWaiting.job_->job_.steps_[aWaiting.step_];
  auto candidates = aBase;
  const bool countsSameStep =
    step.maxPerTarget_ > 0 || step.prefersSameRack_ || step.isLongRunning_;
  std::map<std::string, int> byRack;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const auto& report = aTargets[index]->report_;
    if (countsSameStep) {
      candidates[index].sameStepRuns_ =
        CountSameStep(*aTargets[index], aWaiting);
      byRack[report.rack_] += candidates[index].sameStepRuns_;
    }
    candidates[index].isDataRack_ =
      step.dataRack_.empty() || report.rack_ == step.dataRack_;
    candidates[index].isEligible_ = HasLabel(*aTargets[index], step.label_);
  }
  for (std::size_t index = 0; countsSameStep && index < candidates.size();
       ++index) {
    candidates[index].sameStepRunsOnRack_ =
      byRack[aTargets[index]->report_.rack_];
  }
  return candidates;
}

// Whether any target has free capacity for one item of the step.
bool
HasFreeCapacity(const std::vector<Candidate>& aCandidates, const Step& aStep)
{
  Resources needs = aStep.needs_;
  if (aStep.isFiller_) {
    needs.cpu_ = 0;
  }
  return std::any_of(
    aCandidates.begin(), aCandidates.end(), [&](const Candidate& aCandidate) {
      return needs.Fits(aCandidate.free_);
    });
}

bool
NeedsAdvice(const FleetState& aState, const JobEntry& aJob)
{
  const auto* queue = FindQueueByName(aState.config_, aJob.job_.queue_);
  return queue && queue->needsAdvice_;
}

// Makes targets ineligible unless valid advice allows them, and asks for advice
// on eligible targets that have no valid answer.
void
ApplyAdvice(FleetState& aState,
            const Targets& aTargets,
            const WaitingStep& aWaiting,
            std::vector<Candidate>& aCandidates)
{
  auto& step =
    aWaiting.job_->occurrences_[aWaiting.occurrence_].steps_[aWaiting.step_];
  std::vector<std::string> unknown;
  bool hasAllowed = false;
  for (std::size_t index = 0; index < aTargets.size(); ++index) {
    const auto& id = aTargets[index]->report_.id_;
    const auto ticket = step.tickets_.find(id);
    const bool isKnown =
      ticket != step.tickets_.end() && ticket->second.validUntil_ > aState.now_;
    if (!isKnown && unknown.size() < kMaxTargetsAsked &&
        aCandidates[index].isEligible_) {
      unknown.push_back(id);
    }
    const bool isAllowed = isKnown && !ticket->second.text_.empty();
    aCandidates[index].isEligible_ =
      aCandidates[index].isEligible_ && isAllowed;
    hasAllowed = hasAllowed || isAllowed;
  }
  if (!unknown.empty() && !step.isAdvicePending_ &&
      step.nextAdviceAt_ <= aState.now_) {
    step.isAdvicePending_ = true;
    aState.Emit(AskAdvice{ StepName(aWaiting), std::move(unknown) });
  }
}

std::string
TicketFor(const WaitingStep& aWaiting, const std::string& aTarget)
{
  const auto& step =
    aWaiting.job_->occurrences_[aWaiting.occurrence_].steps_[aWaiting.step_];
  const auto ticket = step.tickets_.find(aTarget);
  return ticket == step.tickets_.end() ? "" : ticket->second.text_;
}

void
ReserveCapacity(std::vector<Candidate>& aCandidates,
                const Targets& aTargets,
                std::size_t aChosen,
                const Step& aStep)
{
  Resources needs = aStep.needs_;
  if (aStep.isFiller_) {
    needs.cpu_ = 0;
  }
  auto& candidate = aCandidates[aChosen];
  candidate.free_ -= needs;
  ++candidate.sameStepRuns_;
  candidate.servingRuns_ += aStep.targetLatency_.count() > 0 ? 1 : 0;
  candidate.fillerRuns_ += aStep.isFiller_ ? 1 : 0;
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    if (aTargets[index]->report_.rack_ == aTargets[aChosen]->report_.rack_) {
      ++aCandidates[index].sameStepRunsOnRack_;
    }
  }
}

ItemName
NameOf(const WaitingStep& aWaiting, std::size_t aIndex)
{
  return { aWaiting.job_->job_.id_,
           aWaiting.occurrence_,
           static_cast<int>(aWaiting.step_),
           static_cast<int>(aIndex) };
}

void
StartItem(FleetState& aState,
          const WaitingStep& aWaiting,
          std::size_t aIndex,
          Target& aTarget,
          std::int64_t aRun)
{
  const auto name = NameOf(aWaiting, aIndex);
  Start(aState,
        name,
        FindItem(aState, name),
        aTarget,
        aRun,
        TicketFor(aWaiting, aTarget.report_.id_));
  aState.Log(
    "run_placed",
    name.job_,
    FormatItem(name),
    aTarget.report_.id_,
    std::to_string((aState.now_ - aWaiting.job_->arrived_).count()) +
      " ms after its job was accepted; the target has " +
      std::to_string(aTarget.report_.capacity_.cpu_ - aTarget.used_.cpu_) +
      " thousandths of a core left; submissions were read " +
      std::to_string((aState.now_ - aState.submissionsReadUpTo_).count()) +
      " ms before");
}

// Whether the next owner would know what has crashed under the item.
bool
AreCrashesStored(const ItemState& aItem)
{
  return aItem.crashesStored_ >= aItem.crashes_.size();
}

// Starts all members of a gang, or none. False if there is not enough free
// capacity for all of them.
bool
PlaceGang(FleetState& aState,
          const WaitingStep& aWaiting,
          const Targets& aTargets,
          std::vector<Candidate> aCandidates)
{
  const auto& spec = aWaiting.job_->job_.steps_[aWaiting.step_];
  auto& step =
    aWaiting.job_->occurrences_[aWaiting.occurrence_].steps_[aWaiting.step_];
  if (step.assigned_ > 0) {
    return true; // the remaining members of its last run have to end first
  }
  if (!std::all_of(step.items_.begin(), step.items_.end(), AreCrashesStored)) {
    return true;
  }
  Resources all;
  for (int member = 0; member < spec.count_; ++member) {
    all += spec.needs_;
  }
  if (!IsWithinLimit(aState, aWaiting.job_->job_.account_, all)) {
    return true;
  }
  std::vector<std::size_t> chosen;
  std::int64_t run = 0;
  for (std::size_t index = 0; index < step.items_.size(); ++index) {
    const int best = ChooseTarget(spec, aCandidates);
    if (best == kNoCandidate) {
      return false;
    }
    chosen.push_back(static_cast<std::size_t>(best));
    ReserveCapacity(aCandidates, aTargets, chosen.back(), spec);
    run = std::max(run, step.items_[index].run_);
  }
  for (std::size_t index = 0; index < chosen.size(); ++index) {
    StartItem(aState, aWaiting, index, *aTargets[chosen[index]], run + 1);
  }
  return true;
}

// The best candidate; the target aAvoid only if there is no other.
int
ChooseTargetAvoiding(const Step& aStep,
                     const Targets& aTargets,
                     const std::vector<Candidate>& aCandidates,
                     const std::string& aAvoid)
{
  if (aAvoid.empty()) {
    return ChooseTarget(aStep, aCandidates);
  }
  auto candidates = aCandidates;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    candidates[index].isAvoided_ =
      candidates[index].isAvoided_ || aTargets[index]->report_.id_ == aAvoid;
  }
  return ChooseTarget(aStep, candidates);
}

// The target for a suspect: where fewest runs could be the cause of a crash, or
// would be lost with it, and not one that crashed under it if there is another.
int
ChooseTargetForSuspect(const FleetState& aState,
                       const Step& aStep,
                       const Targets& aTargets,
                       const std::vector<Candidate>& aCandidates,
                       const ItemState& aItem)
{
  using Load = std::pair<std::size_t, std::size_t>;
  std::vector<Load> loads; // by target: starting runs, all runs
  for (const auto* target : aTargets) {
    loads.emplace_back(CountStarting(aState, *target), target->runs_.size());
  }
  for (const auto& load : std::set<Load>(loads.begin(), loads.end())) {
    auto candidates = aCandidates;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
      auto& candidate = candidates[index];
      const auto& target = *aTargets[index];
      candidate.isEligible_ = candidate.isEligible_ && loads[index] == load;
      candidate.isAvoided_ =
        candidate.isAvoided_ ||
        std::any_of(aItem.crashes_.begin(),
                    aItem.crashes_.end(),
                    [&](const Crash& aCrash) {
                      return aCrash.target_ == target.report_.id_;
                    });
    }
    const int best = ChooseTarget(aStep, candidates);
    if (best != kNoCandidate) {
      return best;
    }
  }
  return kNoCandidate;
}

void
PlaceItems(FleetState& aState,
           const WaitingStep& aWaiting,
           const Targets& aTargets,
           std::vector<Candidate> aCandidates)
{
  const auto& spec = aWaiting.job_->job_.steps_[aWaiting.step_];
  auto& step =
    aWaiting.job_->occurrences_[aWaiting.occurrence_].steps_[aWaiting.step_];
  for (std::size_t index = 0; index < step.items_.size(); ++index) {
    auto& item = step.items_[index];
    if (item.phase_ != ItemPhase::Waiting || item.notBefore_ > aState.now_) {
      continue;
    }
    if (!IsWithinLimit(aState, aWaiting.job_->job_.account_, spec.needs_)) {
      return;
    }
    const bool isSuspect = IsSuspect(item);
    if (isSuspect &&
        (!AreCrashesStored(item) || !MayTrySuspect(aState, step))) {
      continue;
    }
    const int best =
      isSuspect
        ? ChooseTargetForSuspect(aState, spec, aTargets, aCandidates, item)
        : ChooseTargetAvoiding(
            spec, aTargets, aCandidates, item.avoidedTarget_);
    if (best == kNoCandidate && isSuspect) {
      continue;
    }
    if (best == kNoCandidate) {
      return;
    }
    const auto chosen = static_cast<std::size_t>(best);
    StartItem(aState, aWaiting, index, *aTargets[chosen], item.run_ + 1);
    ReserveCapacity(aCandidates, aTargets, chosen, spec);
    aCandidates[chosen].hasTrial_ = isSuspect;
  }
}

// Whether a run of the job that the previous owner started, and did not record,
// may be on a target that has not yet reported its runs to this owner.
bool
MayRunUnreported(const FleetState& aState, const JobEntry& aJob)
{
  const bool areAllRecorded =
    aState.previousOwner_ == PreviousOwner::HandedOver &&
    aState.now_ >= aState.inheritedUntil_;
  if (!aJob.wasLoaded_ || areAllRecorded ||
      aState.now_ >= InheritedWorkExpiry(aState)) {
    return false;
  }
  const auto& pool = PoolOf(aState, aJob);
  // Owners before the previous one may still have acted until then.
  const bool isSilenceKnown = aState.now_ >= aState.inheritedUntil_;
  for (const auto& [id, target] : aState.targets_) {
    const bool isRecorded = target.wasSilentBefore_ && isSilenceKnown;
    if (target.isInherited_ && !target.hasExited_ && !target.hasListedRuns_ &&
        !isRecorded && target.report_.pool_ == pool) {
      return true;
    }
  }
  return false;
}

// What the other cells have free. Old reports say nothing any more.
std::map<int, FreeCpu>
RecentPeers(const FleetState& aState)
{
  std::map<int, FreeCpu> peers;
  for (const auto& [cell, peer] : aState.peers_) {
    if (peer.IsRecent(aState.now_)) {
      peers[cell] = peer.freeCpu_;
    }
  }
  return peers;
}

// Whether nothing of the job has ever started or been stored, so that it can
// still go to another cell.
bool
IsTransferable(const JobEntry& aJob)
{
  if (aJob.isGuest_ || aJob.storedState_ || aJob.isDirty_ ||
      aJob.state_ != JobState::Queued || aJob.job_.repeats_ > 0) {
    return false;
  }
  for (const auto& [number, occurrence] : aJob.occurrences_) {
    for (const auto& step : occurrence.steps_) {
      for (const auto& item : step.items_) {
        if (item.run_ != 0 || item.phase_ != ItemPhase::Waiting ||
            !item.crashes_.empty()) {
          return false;
        }
      }
    }
  }
  return true;
}

// Gives the job of a waiting step to another cell if the step does not fit here
// as a whole and fits there. True if the job is gone.
bool
TransferIfFull(FleetState& aState,
               const WaitingStep& aWaiting,
               const std::vector<Candidate>& aCandidates)
{
  auto& job = *aWaiting.job_;
  const auto& step = job.job_.steps_[aWaiting.step_];
  const auto& state =
    job.occurrences_[aWaiting.occurrence_].steps_[aWaiting.step_];
  const int items = CountWaitingItems(state);
  if (aState.peers_.empty() || !IsTransferable(job) ||
      FitsItems(aCandidates, step, items)) {
    return false;
  }
  const auto pool = PoolOf(aState, job);
  const auto cpu = items * step.needs_.cpu_;
  const auto cell = ChooseCell(RecentPeers(aState), pool, cpu);
  if (!cell) {
    return false;
  }
  aState.peers_[*cell].freeCpu_[pool] -= cpu;
  ++aState.counts_.jobsTransferred_;
  const std::string id = job.job_.id_;
  aState.Log("job_transferred",
             id,
             "",
             "",
             "to cell " + std::to_string(*cell) + ": " + std::to_string(items) +
               " items of " + std::to_string(step.needs_.cpu_) +
               " thousandths of a core do not fit here");
  aState.Emit(TransferJob{ job.job_, *cell });
  aState.activeJobs_.erase(id);
  aState.jobs_.erase(id);
  return true;
}

void
DispatchPool(FleetState& aState, const std::string& aPool)
{
  const auto targets = CollectTargets(aState, aPool);
  if (targets.empty()) {
    return;
  }
  auto base = MakeCandidates(aState, targets);
  std::set<const JobEntry*> transferred; // no longer exist
  for (const auto& waiting : CollectWaiting(aState, aPool)) {
    if (transferred.count(waiting.job_) != 0 ||
        MayRunUnreported(aState, *waiting.job_)) {
      continue;
    }
    if (TransferIfFull(aState, waiting, base)) {
      transferred.insert(waiting.job_);
      continue;
    }
    const auto& step = waiting.job_->job_.steps_[waiting.step_];
    if (!HasFreeCapacity(base, step)) {
      continue;
    }
    auto candidates = CandidatesForStep(base, targets, waiting);
    if (NeedsAdvice(aState, *waiting.job_)) {
      ApplyAdvice(aState, targets, waiting, candidates);
    }
    const auto before = aState.counts_.starts_;
    if (step.isGang_) {
      PlaceGang(aState, waiting, targets, std::move(candidates));
    } else {
      PlaceItems(aState, waiting, targets, std::move(candidates));
    }
    if (aState.counts_.starts_ != before) {
      base = MakeCandidates(aState, targets);
    }
  }
}

// Whether cancelled work might be started, because cancellations may not have
// been read yet. Logs each change.
bool
AreStartsPaused(FleetState& aState)
{
  const auto age = aState.now_ - aState.submissionsReadUpTo_;
  const bool isPaused =
    aState.isStoreReachable_ && age > aState.options_.maxSubmissionAge_;
  if (isPaused != aState.areStartsPaused_) {
    aState.areStartsPaused_ = isPaused;
    aState.Log(
      isPaused ? "starts_paused" : "starts_resumed",
      "",
      "",
      "",
      "submissions were last read " + std::to_string(age.count()) + " ms ago" +
        (aState.isStoreReachable_ ? "" : ", and the store is unreachable"));
  }
  return isPaused;
}

} // namespace

void
Dispatch(FleetState& aState)
{
  if (aState.isReconciling_) {
    aState.isReconciling_ = !IsReconciled(aState);
    if (aState.isReconciling_) {
      return;
    }
    aState.Log("looked",
               "",
               "",
               "",
               "reconciliation is done: every target has listed its runs or is "
               "unresponsive");
    for (const auto& pool : aState.config_.pools_) {
      aState.dirtyPools_.insert(pool.name_);
    }
  }
  if (AreStartsPaused(aState)) {
    return;
  }
  std::vector<std::string> due;
  for (const auto& pool : aState.dirtyPools_) {
    auto& last = aState.lastDispatch_[pool];
    if (aState.now_ - last >= kDispatchInterval) {
      last = aState.now_;
      due.push_back(pool);
    }
  }
  for (const auto& pool : due) {
    aState.dirtyPools_.erase(pool);
    DispatchPool(aState, pool);
  }
}

} // namespace cuminbridge
