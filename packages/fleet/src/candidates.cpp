// The targets of a pool, as candidates for the items of a step.

#include "candidates.h"

#include <algorithm>

#include "crashes.h"
#include "evacuation/evacuation.h"
#include "targets.h"

namespace cuminbridge {

namespace {

// Consecutive failed runs after which a target is avoided.
constexpr int kFailuresToAvoid = 2;

bool
HasLabel(const Target& aTarget, const std::string& aLabel)
{
  const auto& labels = aTarget.report_.labels_;
  return aLabel.empty() ||
         std::find(labels.begin(), labels.end(), aLabel) != labels.end();
}

int
CountSameStep(const Target& aTarget, const ItemName& aItem)
{
  int count = 0;
  for (const auto& run : aTarget.runs_) {
    count += run.item_.step_ == aItem.step_ &&
                 run.item_.occurrence_ == aItem.occurrence_ &&
                 run.item_.job_ == aItem.job_
               ? 1
               : 0;
  }
  return count;
}

} // namespace

Targets
CollectTargets(FleetState& aState, const std::string& aPool)
{
  Targets targets;
  for (auto* target : aState.byPool_[aPool]) {
    if (target->IsSound(aState.now_) && !IsClosed(*target, aState.now_) &&
        target->releasedUntil_ <= aState.now_ &&
        IsCapacityKnown(aState, *target)) {
      targets.push_back(target);
    }
  }
  return targets;
}

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
                           target->slowUntil_ > aState.now_ ||
                           target->isEvacuated_;
    candidate.awaitsMaintenance_ = target->awaitsMaintenance_;
    candidate.hasTrial_ = HasTrial(aState, *target);
    candidates.push_back(candidate);
  }
  return candidates;
}

std::vector<Candidate>
CandidatesForStep(const std::vector<Candidate>& aBase,
                  const Targets& aTargets,
                  const Step& aStep,
                  const ItemName& aItem)
{
  auto candidates = aBase;
  const bool countsSameStep =
    aStep.maxPerTarget_ > 0 || aStep.prefersSameRack_ || aStep.isLongRunning_;
  std::map<std::string, int> byRack;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const auto& report = aTargets[index]->report_;
    if (countsSameStep) {
      candidates[index].sameStepRuns_ = CountSameStep(*aTargets[index], aItem);
      byRack[report.rack_] += candidates[index].sameStepRuns_;
    }
    candidates[index].isDataRack_ =
      aStep.dataRack_.empty() || report.rack_ == aStep.dataRack_;
    candidates[index].isEligible_ = HasLabel(*aTargets[index], aStep.label_);
  }
  for (std::size_t index = 0; countsSameStep && index < candidates.size();
       ++index) {
    candidates[index].sameStepRunsOnRack_ =
      byRack[aTargets[index]->report_.rack_];
  }
  return candidates;
}

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

namespace {

// As ChooseTargetForSuspect(), among the eligible candidates.
int
ChooseLeastLoaded(const FleetState& aState,
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

} // namespace

int
ChooseTargetForSuspect(FleetState& aState,
                       const Step& aStep,
                       const Targets& aTargets,
                       const std::vector<Candidate>& aCandidates,
                       const ItemName& aName,
                       const ItemState& aItem)
{
  // The other half of the targets stays open to all other work.
  const auto most = std::max<std::size_t>(1, aCandidates.size() / 2);
  const auto trials = static_cast<std::size_t>(std::count_if(
    aCandidates.begin(), aCandidates.end(), [](const Candidate& aThis) {
      return aThis.hasTrial_;
    }));
  if (trials < most) {
    const int best =
      ChooseLeastLoaded(aState, aStep, aTargets, aCandidates, aItem);
    if (best != kNoCandidate) {
      return best;
    }
  }
  auto joined = aCandidates;
  for (std::size_t index = 0; index < joined.size(); ++index) {
    auto& candidate = joined[index];
    candidate.isEligible_ =
      candidate.isEligible_ &&
      MayJoinTrial(aState, *aTargets[index], aName, aItem);
    candidate.hasTrial_ = false;
  }
  return ChooseLeastLoaded(aState, aStep, aTargets, joined, aItem);
}

} // namespace cuminbridge
