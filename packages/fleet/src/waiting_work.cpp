// Work items that wait for free capacity.

#include "waiting_work.h"

#include <algorithm>
#include <tuple>

#include "account_limits.h"
#include "jobs.h"

namespace cuminbridge {

namespace {

// Targets that a step lacks because of its limit of items on one target. Items
// on cordoned targets have to go elsewhere too.
int
CountLackingTargets(const FleetState& aState,
                    const std::string& aPool,
                    const Occurrence& aOccurrence,
                    std::size_t aStep,
                    const Step& aSpec)
{
  const auto pool = aState.byPool_.find(aPool);
  if (aSpec.maxPerTarget_ <= 0 || pool == aState.byPool_.end()) {
    return 0;
  }
  std::map<std::string, int> used; // items by target
  int waiting = 0;
  for (const auto& item : aOccurrence.steps_[aStep].items_) {
    const auto target = aState.targets_.find(item.target_);
    const bool mustLeave =
      target != aState.targets_.end() && target->second.isCordoned_;
    if (item.phase_ == ItemPhase::Waiting || mustLeave) {
      ++waiting;
    } else if (item.phase_ == ItemPhase::Assigned) {
      ++used[item.target_];
    }
  }
  int space = 0;
  for (const auto* target : pool->second) {
    if (target->IsUsable(aState.now_)) {
      const auto here = used.find(target->report_.id_);
      space += std::max(
        0, aSpec.maxPerTarget_ - (here == used.end() ? 0 : here->second));
    }
  }
  return space >= waiting
           ? 0
           : (waiting - space + aSpec.maxPerTarget_ - 1) / aSpec.maxPerTarget_;
}

// Adds the targets that are lacking for items on cordoned ones: a wave waits
// for these items.
void
AddLackingForCordoned(const FleetState& aState,
                      std::map<std::string, WaitingWork>& aByPool)
{
  std::set<std::tuple<std::string, int, int>> counted; // steps
  for (const auto& [id, target] : aState.targets_) {
    if (!target.isCordoned_) {
      continue;
    }
    for (const auto& run : target.runs_) {
      const auto& name = run.item_;
      const auto found = aState.jobs_.find(name.job_);
      if (!run.isLongRunning_ || found == aState.jobs_.end() ||
          !counted.insert({ name.job_, name.occurrence_, name.step_ }).second) {
        continue;
      }
      const auto& job = *found->second;
      const auto occurrence = job.occurrences_.find(name.occurrence_);
      if (occurrence == job.occurrences_.end()) {
        continue;
      }
      const auto step = static_cast<std::size_t>(name.step_);
      const auto& pool = PoolOf(aState, job);
      auto& work = aByPool[pool];
      work.lackingTargets_ = std::max(
        work.lackingTargets_,
        CountLackingTargets(
          aState, pool, occurrence->second, step, job.job_.steps_[step]));
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

int
CountWaitingItems(const StepState& aStep)
{
  return static_cast<int>(aStep.items_.size()) - aStep.done_ - aStep.assigned_;
}

std::map<std::string, WaitingWork>
WaitingWorkByPool(const FleetState& aState)
{
  std::map<std::string, WaitingWork> byPool;
  ForEachWaitingStep(
    aState,
    [](const JobEntry&) { return true; },
    [&](const JobEntry& aJob, int aNumber, std::size_t aStep) {
      const auto& occurrence = aJob.occurrences_.at(aNumber);
      const auto& spec = aJob.job_.steps_[aStep];
      if (!IsWithinLimit(aState, aJob.job_.account_, spec.needs_)) {
        return;
      }
      const auto& pool = PoolOf(aState, aJob);
      const int items = CountWaitingItems(occurrence.steps_[aStep]);
      auto& work = byPool[pool];
      work.items_ += items;
      work.topPriorityItems_ += aJob.job_.priority_ == 0 ? items : 0;
      work.cpu_ += spec.isFiller_ ? 0 : items * spec.needs_.cpu_;
      work.largestCpu_ =
        std::max(work.largestCpu_, spec.isFiller_ ? 0 : spec.needs_.cpu_);
      work.lackingTargets_ =
        std::max(work.lackingTargets_,
                 CountLackingTargets(aState, pool, occurrence, aStep, spec));
    });
  AddLackingForCordoned(aState, byPool);
  return byPool;
}

} // namespace cuminbridge
