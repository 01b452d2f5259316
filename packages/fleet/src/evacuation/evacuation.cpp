// Which data centres are being evacuated, and what that means for their
// targets.

#include "evacuation.h"

#include <algorithm>

#include "jobs.h"

namespace cuminbridge {

namespace {

const std::string&
DataCentreOf(const FleetState& aState, const Target& aTarget)
{
  const auto& reported = aTarget.report_.dataCentre_;
  if (!reported.empty()) {
    return reported;
  }
  const auto vm = aState.vms_.find(aTarget.report_.vm_);
  return vm == aState.vms_.end() ? reported : vm->second.dataCentre_;
}

// Logs a change of what is asked for, with what it means now.
void
LogChange(FleetState& aState,
          const char* aEvent,
          const std::string& aDataCentre,
          const std::string& aDetail)
{
  std::size_t targets = 0;
  std::size_t runs = 0;
  for (const auto& [id, target] : aState.targets_) {
    if (target.isListed_ && DataCentreOf(aState, target) == aDataCentre) {
      ++targets;
      runs += target.runs_.size();
    }
  }
  aState.Log(aEvent,
             "",
             "",
             "",
             aDataCentre + ": " + aDetail + "; " + std::to_string(targets) +
               " targets, " + std::to_string(runs) + " runs there");
}

} // namespace

std::optional<Millis>
TimeToReachTarget(const EvacuationState& aEvacuations,
                  Millis aMaxAge,
                  Instant aNow)
{
  if (aMaxAge.count() == 0) {
    return std::nullopt;
  }
  return aEvacuations.askedAt_ ? aMaxAge - (aNow - *aEvacuations.askedAt_)
                               : Millis(0);
}

bool
IsClosed(const Target& aTarget, Instant aNow)
{
  return aTarget.isEvacuated_ && aTarget.closesAt_ < aNow + kLeastStartTime;
}

bool
IsEvacuated(const FleetState& aState, const Vm& aVm)
{
  return aState.evacuations_.asked_.count(aVm.dataCentre_) != 0;
}

bool
MayStillRun(const FleetState& aState,
            const Target& aTarget,
            const JobEntry& aJob,
            const Step& aStep)
{
  return !aTarget.isEvacuated_ || (!aStep.isLongRunning_ && !aStep.isFiller_ &&
                                   ExpectedRunTime(aState, aJob, aStep) <=
                                     aState.options_.maxEvacuationsAge_);
}

bool
MustBeEmptied(const FleetState& aState,
              const Target& aTarget,
              const std::map<std::string, WaitingWork>& aWaiting)
{
  const auto waiting = aWaiting.find(aTarget.report_.pool_);
  return IsClosed(aTarget, aState.now_) &&
         (waiting == aWaiting.end() || waiting->second.items_ == 0);
}

// A target whose data centre is not known may be in any.
void
MarkEvacuatedTargets(FleetState& aState)
{
  const auto& asked = aState.evacuations_.asked_;
  for (auto& [id, target] : aState.targets_) {
    const auto& dataCentre = DataCentreOf(aState, target);
    const auto found = asked.find(dataCentre);
    const bool isEvacuated =
      found != asked.end() || (dataCentre.empty() && !asked.empty());
    target.closesAt_ =
      found == asked.end() ? Instant() : found->second.closesAt_;
    if (target.isEvacuated_ != isEvacuated) {
      target.isEvacuated_ = isEvacuated;
      aState.dirtyPools_.insert(target.report_.pool_);
    }
  }
}

void
HandleEvacuations(FleetState& aState, const EvacuationsSeen& aSeen)
{
  auto& evacuations = aState.evacuations_;
  if (evacuations.askedAt_ && aSeen.askedAt_ < *evacuations.askedAt_) {
    return;
  }
  // A request that is new to this owner was made after the last list without it
  // was asked for.
  const auto closesAt =
    evacuations.askedAt_
      ? *evacuations.askedAt_ + aState.options_.maxEvacuationsAge_
      : Instant();
  evacuations.askedAt_ = aSeen.askedAt_;
  bool hasChanged = false;
  for (const auto& dataCentre : aSeen.dataCentres_) {
    const Evacuation evacuation{ aState.now_, closesAt };
    if (evacuations.asked_.emplace(dataCentre, evacuation).second) {
      hasChanged = true;
      const auto left = std::max(
        Millis(0), std::chrono::duration_cast<Millis>(closesAt - aState.now_));
      LogChange(aState,
                "evacuation_seen",
                dataCentre,
                "nothing starts there from " + std::to_string(left.count()) +
                  " ms on");
    }
  }
  for (auto it = evacuations.asked_.begin(); it != evacuations.asked_.end();) {
    if (aSeen.dataCentres_.count(it->first) != 0) {
      ++it;
      continue;
    }
    hasChanged = true;
    LogChange(aState,
              "evacuation_over",
              it->first,
              "it was known for " +
                std::to_string(std::chrono::duration_cast<Millis>(
                                 aState.now_ - it->second.seenAt_)
                                 .count()) +
                " ms");
    it = evacuations.asked_.erase(it);
  }
  if (hasChanged) {
    evacuations.noted_.clear();
    MarkEvacuatedTargets(aState);
  }
}

void
NoteStepsThatWait(FleetState& aState)
{
  auto& evacuations = aState.evacuations_;
  if (evacuations.asked_.empty()) {
    return;
  }
  const auto hasLabel = [](const Target& aTarget, const std::string& aLabel) {
    const auto& labels = aTarget.report_.labels_;
    return aLabel.empty() ||
           std::find(labels.begin(), labels.end(), aLabel) != labels.end();
  };
  ForEachWaitingStep(
    aState,
    [](const JobEntry&) { return true; },
    [&](JobEntry& aJob, int aNumber, std::size_t aStep) {
      const auto name = aJob.job_.id_ + '.' + std::to_string(aNumber) + '.' +
                        std::to_string(aStep);
      if (evacuations.noted_.count(name) != 0) {
        return;
      }
      const auto& label = aJob.job_.steps_[aStep].label_;
      int evacuated = 0;
      for (const auto* target : aState.byPool_[PoolOf(aState, aJob)]) {
        if (hasLabel(*target, label)) {
          if (!IsClosed(*target, aState.now_)) {
            return;
          }
          ++evacuated;
        }
      }
      if (evacuated > 0) {
        evacuations.noted_.insert(name);
        aState.Log("waits_for_data_centre",
                   aJob.job_.id_,
                   name,
                   "",
                   "all " + std::to_string(evacuated) +
                     " targets that may run it are in data centres that are "
                     "being evacuated");
      }
    });
}

std::vector<EvacuationSummary>
Fleet::Evacuations() const
{
  std::vector<EvacuationSummary> rows;
  for (const auto& [dataCentre, evacuation] : state_->evacuations_.asked_) {
    EvacuationSummary row;
    row.dataCentre_ = dataCentre;
    row.knownFor_ =
      std::chrono::duration_cast<Millis>(state_->now_ - evacuation.seenAt_);
    for (const auto& [id, target] : state_->targets_) {
      if (DataCentreOf(*state_, target) != dataCentre) {
        continue;
      }
      row.targets_ += target.isListed_ ? 1 : 0;
      for (const auto& run : target.runs_) {
        ++(run.phase_ == RunPhase::Stopping ? row.stopping_
           : run.isLongRunning_             ? row.longRunning_
                                            : row.ending_);
      }
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

} // namespace cuminbridge
