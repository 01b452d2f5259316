// Starts what can start, in the pools where something changed.

#include "dispatch.h"

#include <algorithm>

#include "jobs.h"
#include "placing.h"
#include "runs.h"
#include "targets.h"

namespace cuminbridge {

namespace {

// Objectives beyond which a job is worth nothing to its caller.
constexpr int kHopelessObjectives = 3;
constexpr std::size_t kMostAdvised = 30; // targets in one question for advice
constexpr int kDoubtfulFailures =
  2; // failed runs in a row that make a target doubtful
constexpr Millis kDispatchInterval(4); // between two looks at one pool

struct Waiting
{
  JobEntry* job_ = nullptr;
  int occurrence_ = 0;
  std::size_t step_ = 0;
  Claim claim_;
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
StepName(const Waiting& aWaiting)
{
  return aWaiting.job_->job_.id_ + '.' + std::to_string(aWaiting.occurrence_) +
         '.' + std::to_string(aWaiting.step_);
}

Claim
MakeClaim(const FleetState& aState,
          const JobEntry& aJob,
          const Occurrence& aOccurrence,
          const Step& aStep)
{
  Claim claim;
  claim.priority_ = aJob.job_.priority_;
  claim.isLongRunning_ = aStep.isLongRunning_;
  claim.isBeyondShare_ = aJob.isBeyondShare_;
  claim.arrived_ = aJob.arrived_;
  if (aStep.isLongRunning_) {
    return claim;
  }
  claim.work_ = WorkLeft(aState, aJob, &aOccurrence);
  if (aJob.job_.repeats_ == 0) {
    const auto objective = ObjectiveOf(aState, aJob);
    const auto end =
      aState.now_ - aJob.arrived_ + ChainLeft(aState, aJob, &aOccurrence);
    claim.lateness_ = end <= objective ? Lateness::InTime
                      : end <= kHopelessObjectives * objective
                        ? Lateness::Late
                        : Lateness::Hopeless;
  }
  return claim;
}

bool
HasWaiting(const StepState& aStep)
{
  return aStep.done_ + aStep.assigned_ < static_cast<int>(aStep.items_.size());
}

std::vector<Waiting>
CollectWaiting(FleetState& aState, const std::string& aPool)
{
  std::vector<Waiting> waiting;
  for (const auto& id : aState.active_) {
    auto& job = *aState.jobs_[id];
    if (job.unassigned_ == 0 || PoolOf(aState, job) != aPool) {
      continue;
    }
    for (auto& [number, occurrence] : job.occurrences_) {
      for (std::size_t step = 0; step < occurrence.steps_.size(); ++step) {
        if (HasWaiting(occurrence.steps_[step]) &&
            IsReady(job, occurrence, step)) {
          waiting.push_back(
            { &job,
              number,
              step,
              MakeClaim(aState, job, occurrence, job.job_.steps_[step]) });
        }
      }
    }
  }
  std::sort(waiting.begin(),
            waiting.end(),
            [](const Waiting& aLeft, const Waiting& aRight) {
              return GoesBefore(aLeft.claim_, aRight.claim_);
            });
  return waiting;
}

Targets
CollectTargets(FleetState& aState, const std::string& aPool)
{
  Targets targets;
  for (auto* target : aState.byPool_[aPool]) {
    if (target->IsUsable(aState.now_)) {
      targets.push_back(target);
    }
  }
  return targets;
}

int
CountSameStep(const Target& aTarget, const Waiting& aWaiting)
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

// The targets as any step sees them.
std::vector<Site>
MakeBaseSites(const FleetState& aState, const Targets& aTargets)
{
  std::vector<Site> sites;
  sites.reserve(aTargets.size());
  for (const auto* target : aTargets) {
    Site site;
    site.free_ = target->report_.capacity_;
    site.free_ -= target->used_;
    site.capacityCpu_ = target->report_.capacity_.cpu_;
    for (const auto& run : target->runs_) {
      site.servingRuns_ += run.targetLatency_.count() > 0 ? 1 : 0;
      site.fillerRuns_ += run.isFiller_ ? 1 : 0;
    }
    site.isAvoided_ = target->failuresInRow_ >= kDoubtfulFailures ||
                      target->slowUntil_ > aState.now_;
    site.isDueSoon_ = target->isDueSoon_;
    sites.push_back(site);
  }
  return sites;
}

// The same, with what only this step sees.
std::vector<Site>
MakeSites(const std::vector<Site>& aBase,
          const Targets& aTargets,
          const Waiting& aWaiting)
{
  const auto& step = aWaiting.job_->job_.steps_[aWaiting.step_];
  auto sites = aBase;
  const bool looksAtMates =
    step.maxPerTarget_ > 0 || step.prefersSameRack_ || step.isLongRunning_;
  std::map<std::string, int> byRack;
  for (std::size_t index = 0; index < sites.size(); ++index) {
    const auto& report = aTargets[index]->report_;
    if (looksAtMates) {
      sites[index].sameStep_ = CountSameStep(*aTargets[index], aWaiting);
      byRack[report.rack_] += sites[index].sameStep_;
    }
    sites[index].isDataRack_ =
      step.dataRack_.empty() || report.rack_ == step.dataRack_;
    sites[index].hasLabel_ = HasLabel(*aTargets[index], step.label_);
  }
  for (std::size_t index = 0; looksAtMates && index < sites.size(); ++index) {
    sites[index].rackMates_ = byRack[aTargets[index]->report_.rack_];
  }
  return sites;
}

// Whether any target has room for one item of the step.
bool
HasRoom(const std::vector<Site>& aSites, const Step& aStep)
{
  Resources needs = aStep.needs_;
  if (aStep.isFiller_) {
    needs.cpu_ = 0;
  }
  return std::any_of(aSites.begin(), aSites.end(), [&](const Site& aSite) {
    return needs.Fits(aSite.free_);
  });
}

bool
NeedsAdvice(const FleetState& aState, const JobEntry& aJob)
{
  const auto* queue = FindQueueByName(aState.config_, aJob.job_.queue_);
  return queue && queue->needsAdvice_;
}

// Leaves the targets that advice allows; asks about more if they are few.
void
ApplyAdvice(FleetState& aState,
            const Targets& aTargets,
            const Waiting& aWaiting,
            std::vector<Site>& aSites)
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
    if (!isKnown && unknown.size() < kMostAdvised && aSites[index].hasLabel_) {
      unknown.push_back(id);
    }
    const bool isAllowed = isKnown && !ticket->second.text_.empty();
    aSites[index].hasLabel_ = aSites[index].hasLabel_ && isAllowed;
    hasAllowed = hasAllowed || isAllowed;
  }
  if (!unknown.empty() && !step.isAsking_ && step.askAfter_ <= aState.now_) {
    step.isAsking_ = true;
    aState.Emit(AskAdvice{ StepName(aWaiting), std::move(unknown) });
  }
}

std::string
TicketFor(const Waiting& aWaiting, const std::string& aTarget)
{
  const auto& step =
    aWaiting.job_->occurrences_[aWaiting.occurrence_].steps_[aWaiting.step_];
  const auto ticket = step.tickets_.find(aTarget);
  return ticket == step.tickets_.end() ? "" : ticket->second.text_;
}

void
TakeRoom(std::vector<Site>& aSites,
         const Targets& aTargets,
         std::size_t aChosen,
         const Step& aStep)
{
  Resources needs = aStep.needs_;
  if (aStep.isFiller_) {
    needs.cpu_ = 0;
  }
  auto& site = aSites[aChosen];
  site.free_ -= needs;
  ++site.sameStep_;
  site.servingRuns_ += aStep.targetLatency_.count() > 0 ? 1 : 0;
  site.fillerRuns_ += aStep.isFiller_ ? 1 : 0;
  for (std::size_t index = 0; index < aSites.size(); ++index) {
    if (aTargets[index]->report_.rack_ == aTargets[aChosen]->report_.rack_) {
      ++aSites[index].rackMates_;
    }
  }
}

ItemName
NameOf(const Waiting& aWaiting, std::size_t aIndex)
{
  return { aWaiting.job_->job_.id_,
           aWaiting.occurrence_,
           static_cast<int>(aWaiting.step_),
           static_cast<int>(aIndex) };
}

void
StartItem(FleetState& aState,
          const Waiting& aWaiting,
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
    "room " +
      std::to_string(aTarget.report_.capacity_.cpu_ - aTarget.used_.cpu_) +
      " waited " +
      std::to_string((aState.now_ - aWaiting.job_->arrived_).count()) + " ms");
}

// All members of a gang, or none. False if they do not all find room.
bool
PlaceGang(FleetState& aState,
          const Waiting& aWaiting,
          const Targets& aTargets,
          std::vector<Site> aSites)
{
  const auto& spec = aWaiting.job_->job_.steps_[aWaiting.step_];
  auto& step =
    aWaiting.job_->occurrences_[aWaiting.occurrence_].steps_[aWaiting.step_];
  if (step.assigned_ > 0) {
    return true; // what is left of its last run has to end first
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
    const int site = ChooseSite(spec, aSites);
    if (site == kNoSite) {
      return false;
    }
    chosen.push_back(static_cast<std::size_t>(site));
    TakeRoom(aSites, aTargets, chosen.back(), spec);
    run = std::max(run, step.items_[index].run_);
  }
  for (std::size_t index = 0; index < chosen.size(); ++index) {
    StartItem(aState, aWaiting, index, *aTargets[chosen[index]], run + 1);
  }
  return true;
}

// The best site, with one target only if there is no other.
int
ChooseSiteAvoiding(const Step& aStep,
                   const Targets& aTargets,
                   const std::vector<Site>& aSites,
                   const std::string& aAvoid)
{
  if (aAvoid.empty()) {
    return ChooseSite(aStep, aSites);
  }
  auto view = aSites;
  for (std::size_t site = 0; site < view.size(); ++site) {
    view[site].isAvoided_ =
      view[site].isAvoided_ || aTargets[site]->report_.id_ == aAvoid;
  }
  return ChooseSite(aStep, view);
}

void
PlaceItems(FleetState& aState,
           const Waiting& aWaiting,
           const Targets& aTargets,
           std::vector<Site> aSites)
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
    const int chosen = ChooseSiteAvoiding(spec, aTargets, aSites, item.avoid_);
    if (chosen == kNoSite) {
      return;
    }
    const auto site = static_cast<std::size_t>(chosen);
    StartItem(aState, aWaiting, index, *aTargets[site], item.run_ + 1);
    TakeRoom(aSites, aTargets, site, spec);
  }
}

// Work that the owner before us had may run, without a record of it, on a
// target of its that has not told us yet.
bool
MayRunUnseen(const FleetState& aState, const JobEntry& aJob)
{
  const bool isAllRecorded = aState.former_ == FormerOwner::HandedOver &&
                             aState.now_ >= aState.inheritedUntil_;
  if (!aJob.wasLoaded_ || isAllRecorded ||
      aState.now_ >= InheritedLapse(aState)) {
    return false;
  }
  const auto& pool = PoolOf(aState, aJob);
  for (const auto& [id, target] : aState.targets_) {
    if (target.isInherited_ && !target.isGone_ && !target.wasSeen_ &&
        target.report_.pool_ == pool) {
      return true;
    }
  }
  return false;
}

void
DispatchPool(FleetState& aState, const std::string& aPool)
{
  const auto targets = CollectTargets(aState, aPool);
  if (targets.empty()) {
    return;
  }
  auto base = MakeBaseSites(aState, targets);
  for (const auto& waiting : CollectWaiting(aState, aPool)) {
    if (MayRunUnseen(aState, *waiting.job_)) {
      continue;
    }
    const auto& step = waiting.job_->job_.steps_[waiting.step_];
    if (!HasRoom(base, step)) {
      continue;
    }
    auto sites = MakeSites(base, targets, waiting);
    if (NeedsAdvice(aState, *waiting.job_)) {
      ApplyAdvice(aState, targets, waiting, sites);
    }
    const auto before = aState.counts_.starts_;
    if (step.isGang_) {
      PlaceGang(aState, waiting, targets, std::move(sites));
    } else {
      PlaceItems(aState, waiting, targets, std::move(sites));
    }
    if (aState.counts_.starts_ != before) {
      base = MakeBaseSites(aState, targets);
    }
  }
}

} // namespace

bool
IsReady(const JobEntry& aJob, const Occurrence& aOccurrence, std::size_t aStep)
{
  for (const int before : aJob.job_.steps_[aStep].after_) {
    const auto step = static_cast<std::size_t>(before);
    if (aOccurrence.steps_[step].done_ < aJob.job_.steps_[step].count_) {
      return false;
    }
  }
  return true;
}

bool
IsWithinLimit(const FleetState& aState,
              const std::string& aAccount,
              const Resources& aMore)
{
  const auto* account =
    aAccount.empty() ? nullptr : FindAccount(aState.config_, aAccount);
  if (!account) {
    return true;
  }
  Resources sum = aMore;
  const auto running = aState.running_.find(aAccount);
  if (running != aState.running_.end()) {
    sum += running->second;
  }
  const auto& limit = account->limit_;
  return (limit.cpu_ == 0 || sum.cpu_ <= limit.cpu_) &&
         (limit.memMb_ == 0 || sum.memMb_ <= limit.memMb_) &&
         (limit.gpu_ == 0 || sum.gpu_ <= limit.gpu_);
}

std::map<std::string, Demand>
WaitingDemand(const FleetState& aState)
{
  std::map<std::string, Demand> demands;
  for (const auto& id : aState.active_) {
    const auto& job = *aState.jobs_.at(id);
    if (job.unassigned_ == 0) {
      continue;
    }
    auto& demand = demands[PoolOf(aState, job)];
    for (const auto& [number, occurrence] : job.occurrences_) {
      for (std::size_t index = 0; index < occurrence.steps_.size(); ++index) {
        const auto& step = occurrence.steps_[index];
        const auto& spec = job.job_.steps_[index];
        if (!HasWaiting(step) || !IsReady(job, occurrence, index) ||
            !IsWithinLimit(aState, job.job_.account_, spec.needs_)) {
          continue;
        }
        const int items =
          static_cast<int>(step.items_.size()) - step.done_ - step.assigned_;
        demand.items_ += items;
        demand.urgent_ += job.job_.priority_ == 0 ? items : 0;
        demand.cpu_ += spec.isFiller_ ? 0 : items * spec.needs_.cpu_;
        demand.widest_ = std::max(demand.widest_, spec.needs_.cpu_);
      }
    }
  }
  return demands;
}

void
Dispatch(FleetState& aState)
{
  if (aState.isLooking_) {
    aState.isLooking_ = !HasLooked(aState);
    if (aState.isLooking_) {
      return;
    }
    aState.Log("looked", "", "", "", "all targets answered or are silent");
    for (const auto& pool : aState.config_.pools_) {
      aState.dirtyPools_.insert(pool.name_);
    }
  }
  // Changes that come close together are looked at together.
  std::vector<std::string> due;
  for (const auto& pool : aState.dirtyPools_) {
    auto& last = aState.dispatched_[pool];
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
