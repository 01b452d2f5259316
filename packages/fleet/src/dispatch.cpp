// Starts waiting work items on targets, in the pools where something changed.

#include "dispatch.h"

#include <algorithm>

#include "account_limits.h"
#include "candidates.h"
#include "contact/contact.h"
#include "crashes.h"
#include "evacuation/evacuation.h"
#include "jobs.h"
#include "late_starts/late_starts.h"
#include "occurrences/occurrences.h"
#include "placing.h"
#include "runs.h"
#include "scarcity/waiting_order.h"
#include "targets.h"
#include "transfers.h"
#include "waiting_work.h"

namespace cuminbridge {

namespace {

// Targets in one request for advice.
constexpr std::size_t kMaxTargetsAsked = 30;
// Least time between two dispatches of one pool, so that changes that come
// close together are handled together.
constexpr Millis kDispatchInterval(4);
// Targets that are probed for one item, as some may have fallen silent
// together.
constexpr std::size_t kProbes = 8;

std::string
StepName(const WaitingStep& aWaiting)
{
  return aWaiting.job_->job_.id_ + '.' + std::to_string(aWaiting.occurrence_) +
         '.' + std::to_string(aWaiting.step_);
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

// Whether another run of the item is still being stopped.
bool
HasSurplusRuns(const ItemState& aItem)
{
  return aItem.surplusRuns_ > 0;
}

bool
IsHeldByLateStart(FleetState& aState,
                  const WaitingStep& aWaiting,
                  std::size_t aIndex)
{
  return !aState.lateStarts_.empty() &&
         MustAwaitLateStart(aState, NameOf(aWaiting, aIndex));
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
  // The remaining members of its last runs have to end first.
  if (step.assigned_ > 0 ||
      std::any_of(step.items_.begin(), step.items_.end(), HasSurplusRuns)) {
    return true;
  }
  if (!std::all_of(step.items_.begin(), step.items_.end(), AreCrashesStored)) {
    return true;
  }
  for (std::size_t index = 0; index < step.items_.size(); ++index) {
    if (IsHeldByLateStart(aState, aWaiting, index)) {
      return true;
    }
  }
  if (std::any_of(step.items_.begin(), step.items_.end(), NeedsContact)) {
    ProbeCandidates(aState,
                    aTargets,
                    aCandidates,
                    step.items_.size() + kProbes,
                    [&](const std::vector<Candidate>& aOnes) {
                      return ChooseTarget(spec, aOnes);
                    });
    aCandidates = CandidatesInContact(aState, aTargets, std::move(aCandidates));
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
    run = std::max(run, step.items_[index].LastRun());
  }
  for (std::size_t index = 0; index < chosen.size(); ++index) {
    StartItem(aState, aWaiting, index, *aTargets[chosen[index]], run + 1);
  }
  return true;
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
    if (item.phase_ != ItemPhase::Waiting || item.notBefore_ > aState.now_ ||
        HasSurplusRuns(item) || IsHeldByLateStart(aState, aWaiting, index)) {
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
    const auto choose = [&](const std::vector<Candidate>& aOnes) {
      return isSuspect
               ? ChooseTargetForSuspect(
                   aState, spec, aTargets, aOnes, NameOf(aWaiting, index), item)
               : ChooseTargetAvoiding(
                   spec, aTargets, aOnes, item.avoidedTarget_);
    };
    const bool needsContact = NeedsContact(item);
    const int best =
      needsContact ? choose(CandidatesInContact(aState, aTargets, aCandidates))
                   : choose(aCandidates);
    if (best == kNoCandidate && needsContact) {
      ProbeCandidates(aState, aTargets, aCandidates, kProbes, choose);
    }
    if (best == kNoCandidate && (isSuspect || needsContact)) {
      continue;
    }
    if (best == kNoCandidate) {
      return;
    }
    const auto chosen = static_cast<std::size_t>(best);
    StartItem(aState, aWaiting, index, *aTargets[chosen], item.LastRun() + 1);
    ReserveCapacity(aCandidates, aTargets, chosen, spec);
    aCandidates[chosen].hasTrial_ = aCandidates[chosen].hasTrial_ || isSuspect;
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
  DropOccurrences(aState, job);
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
  for (const auto& waiting : OrderWaitingSteps(aState, aPool)) {
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
    auto candidates =
      CandidatesForStep(base, targets, step, NameOf(waiting, 0));
    for (std::size_t index = 0; index < candidates.size(); ++index) {
      candidates[index].isEligible_ =
        candidates[index].isEligible_ &&
        MayStillRun(aState, *targets[index], *waiting.job_, step);
    }
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

// Why nothing may start now; empty if it may. Work that another owner may start
// must not start, nor cancelled work, nor any on a target that has drained for
// long.
std::string
WhyPaused(const FleetState& aState)
{
  const auto& options = aState.options_;
  const auto ago = [&](Instant aReadAt) {
    return " were last read " +
           std::to_string((aState.now_ - aReadAt).count()) + " ms ago";
  };
  if (!aState.IsSoleOwner()) {
    return "another owner may have taken over";
  }
  const auto left = TimeToReachTarget(
    aState.evacuations_, options.maxEvacuationsAge_, aState.now_);
  if (left && *left < kLeastStartTime) {
    return aState.evacuations_.askedAt_
             ? "evacuations" + ago(*aState.evacuations_.askedAt_)
             : "evacuations have not been read";
  }
  if (!aState.MayReachStore()) {
    return "";
  }
  if (aState.now_ - aState.submissionsReadUpTo_ > options.maxSubmissionAge_) {
    return "submissions" + ago(aState.submissionsReadUpTo_);
  }
  const auto& asked = aState.targetsAskedAt_;
  if (asked &&
      aState.now_ - *asked + kLeastStartTime > options.maxTargetsAge_) {
    return "targets" + ago(*asked);
  }
  return "";
}

// Logs each change.
bool
AreStartsPaused(FleetState& aState)
{
  const auto why = WhyPaused(aState);
  const bool isPaused = !why.empty();
  if (isPaused != aState.areStartsPaused_) {
    aState.areStartsPaused_ = isPaused;
    aState.Log(isPaused ? "starts_paused" : "starts_resumed", "", "", "", why);
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

void
VisitWaiting(const FleetState& aState,
             const std::string& aPool,
             const WaitingVisitor& aVisit)
{
  for (const auto& waiting : OrderWaitingSteps(aState, aPool)) {
    const auto& occurrence = waiting.job_->occurrences_.at(waiting.occurrence_);
    aVisit(*waiting.job_,
           occurrence.steps_[waiting.step_],
           waiting.job_->job_.steps_[waiting.step_],
           waiting.key_);
  }
}

} // namespace cuminbridge
