// What the log tells of the grounds on which runs are given up.

#include "evidence.h"

#include <algorithm>

#include "runs.h"

namespace cuminbridge {

namespace {

constexpr Millis kLossMemory(600000); // a lost run is remembered for this long
constexpr Millis kHeldUpMemory(30000);

const LostRun*
FindLostRun(const FleetState& aState,
            const std::string& aTarget,
            const ItemName& aItem,
            std::int64_t aRun)
{
  const auto loss = aState.losses_.find(aTarget);
  if (loss == aState.losses_.end()) {
    return nullptr;
  }
  for (const auto& run : loss->second.runs_) {
    if (run.run_ == aRun && run.item_ == aItem) {
      return &run;
    }
  }
  return nullptr;
}

std::string
FormatMillis(Millis aTime)
{
  return std::to_string(aTime.count()) + " ms";
}

} // namespace

std::string
FormatAge(const FleetState& aState, std::optional<Instant> aAt)
{
  return aAt ? FormatMillis(aState.now_ - *aAt) + " ago" : "never";
}

std::string
DescribeContact(const FleetState& aState, const Target& aTarget)
{
  auto text = "process born " + std::to_string(aTarget.startUnixMs_) +
              ", last heard " + FormatAge(aState, aTarget.heardAt_);
  if (aTarget.contact_ == Contact::Unresponsive) {
    text +=
      ", silent for " + FormatMillis(aState.now_ - aTarget.unresponsiveSince_);
  }
  return text;
}

std::string
DescribeLease(const FleetState& aState, const Target& aTarget)
{
  auto text = "lease until " + std::to_string(aTarget.leaseUntil_);
  if (aTarget.clockMs_ == 0) {
    text += ", its clock unknown";
  } else {
    text += ", its clock at least " + std::to_string(ClockOf(aState, aTarget)) +
            ", read " + FormatAge(aState, aTarget.clockAt_);
  }
  if (aState.heldUpUntil_ &&
      aState.now_ - *aState.heldUpUntil_ < kHeldUpMemory) {
    text += ", this entry held up for " + FormatMillis(aState.heldUpFor_) +
            " until " + FormatAge(aState, aState.heldUpUntil_);
  }
  return text;
}

std::string
DescribeVm(const FleetState& aState, const Target& aTarget)
{
  static const char* const kStates[] = {
    "up", "moving", "maintenance", "down"
  };
  std::string text = "VM " + aTarget.report_.vm_;
  const auto vm = aState.vms_.find(aTarget.report_.vm_);
  if (vm == aState.vms_.end()) {
    text += " not listed";
  } else {
    text += std::string(" ") + kStates[static_cast<int>(vm->second.state_)] +
            " in pool " + vm->second.pool_ + " with " +
            (vm->second.target_.empty() ? "no target"
                                        : "target " + vm->second.target_);
  }
  return text + ", list asked for " + FormatAge(aState, aState.vmsSeen_) +
         ", lists in a row without the target: " +
         std::to_string(aTarget.listsWithoutIt_);
}

std::string
DescribeRun(const FleetState& aState, const Run& aRun)
{
  return "run " + std::to_string(aRun.run_) + ", " +
         (aRun.isStartedByThisOwner_ ? "sent " : "known since ") +
         FormatAge(aState, aRun.sentAt_) + ", first confirmed " +
         FormatAge(aState, aRun.confirmedAt_);
}

std::string
DescribeUnwanted(FleetState& aState,
                 const std::string& aTarget,
                 const ItemName& aItem,
                 std::int64_t aRun)
{
  auto text = "run " + std::to_string(aRun);
  const auto* lost = FindLostRun(aState, aTarget, aItem, aRun);
  if (lost) {
    text +=
      " was given up " + FormatAge(aState, lost->at_) + ": " + lost->reason_;
  }
  const auto job = aState.jobs_.find(aItem.job_);
  if (job == aState.jobs_.end()) {
    return text + "; its job is unknown";
  }
  const auto ref = FindItem(aState, aItem);
  if (!ref.item_) {
    return text + (job->second->HasEnded() ? "; its job has ended"
                                           : "; its item is unknown");
  }
  const auto number = std::to_string(ref.item_->run_);
  if (ref.job_->HasEnded()) {
    return text + "; its job has ended, the item's last run is " + number;
  }
  switch (ref.item_->phase_) {
    case ItemPhase::Done:
      return text + "; the item is done, its last run is " + number;
    case ItemPhase::Assigned:
      return text + "; run " + number + " on " + ref.item_->target_ +
             " is current";
    case ItemPhase::Waiting:
      break;
  }
  return text + "; the item waits";
}

void
NoteLoss(FleetState& aState,
         const Target& aTarget,
         const Run& aRun,
         const Ground& aGround)
{
  const auto& id = aTarget.report_.id_;
  aState.Log("run_lost",
             aRun.item_.job_,
             FormatItem(aRun.item_),
             id,
             aGround.reason_ + "; " + DescribeRun(aState, aRun) + "; " +
               aGround.evidence_);
  ++aState.counts_.lost_;
  auto& loss = aState.losses_[id];
  loss.startUnixMs_ = aTarget.startUnixMs_;
  loss.runs_.push_back({ aRun.item_, aRun.run_, aState.now_, aGround.reason_ });
}

void
NoteGivenUp(FleetState& aState, const Target& aTarget)
{
  aState.losses_[aTarget.report_.id_].isGivenUp_ = true;
}

bool
IsNotedAsLost(const FleetState& aState,
              const std::string& aTarget,
              const ItemName& aItem,
              std::int64_t aRun)
{
  return FindLostRun(aState, aTarget, aItem, aRun) != nullptr;
}

void
ForgetOldLosses(FleetState& aState)
{
  for (auto it = aState.losses_.begin(); it != aState.losses_.end();) {
    auto& runs = it->second.runs_;
    runs.erase(std::remove_if(runs.begin(),
                              runs.end(),
                              [&](const LostRun& aRun) {
                                return aState.now_ - aRun.at_ > kLossMemory;
                              }),
               runs.end());
    it = runs.empty() ? aState.losses_.erase(it) : std::next(it);
  }
}

void
ForgetLoss(FleetState& aState, const Target& aTarget, std::int64_t aStartUnixMs)
{
  const auto loss = aState.losses_.find(aTarget.report_.id_);
  if (loss != aState.losses_.end() && loss->second.startUnixMs_ != 0 &&
      loss->second.startUnixMs_ != aStartUnixMs) {
    aState.losses_.erase(loss);
  }
}

std::string
NoteReturn(FleetState& aState, const Target& aTarget)
{
  const auto loss = aState.losses_.find(aTarget.report_.id_);
  if (loss == aState.losses_.end() || !loss->second.isGivenUp_) {
    return "";
  }
  loss->second.isGivenUp_ = false;
  ++aState.counts_.targetsBackAfterLoss_;
  const auto& runs = loss->second.runs_;
  return "; " + std::to_string(runs.size()) +
         " runs there were given up, the last " +
         FormatAge(aState, runs.back().at_) + ": " + runs.back().reason_;
}

} // namespace cuminbridge
