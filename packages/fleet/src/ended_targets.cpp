// Targets whose process the list of VMs shows to have ended.

#include "ended_targets.h"

#include <algorithm>

#include "crashes.h"
#include "targets.h"

namespace cuminbridge {

namespace {

// Whether a VM may have a target that the list does not name: the platform does
// not promise that it names each. VMs on standby have none.
bool
MayHaveUnnamedTarget(const FleetState& aState, const Vm& aVm)
{
  const auto* pool = FindPool(aState.config_, aVm.pool_);
  return aVm.target_.empty() && aVm.state_ == VmState::Up &&
         !(pool && pool->isStandby_);
}

// Whether the target is on none of the VMs, whichever of them it was on.
bool
IsOnNoVm(const FleetState& aState, const Target& aTarget)
{
  return aTarget.listsWithoutIt_ >= kListsToBeGone &&
         (!aTarget.report_.vm_.empty() ||
          std::none_of(
            aState.vms_.begin(), aState.vms_.end(), [&](const auto& aEntry) {
              return MayHaveUnnamedTarget(aState, aEntry.second);
            }));
}

// Why no VM has the target any more, or null if one may.
const char*
WhyNotOnVm(const FleetState& aState, const Target& aTarget)
{
  if (aTarget.listsWithoutIt_ == 0) {
    return nullptr;
  }
  const auto vm = aState.vms_.find(aTarget.report_.vm_);
  if (vm == aState.vms_.end()) {
    return IsOnNoVm(aState, aTarget) ? "no VM has it" : nullptr;
  }
  if (MayHaveUnnamedTarget(aState, vm->second)) {
    return nullptr;
  }
  return vm->second.target_.empty() ? "its VM has no target"
                                    : "its VM has another target";
}

// Whether the list was requested late enough to tell of the target. A start of
// this owner that was on its way when the target was lost may have reached the
// next process under its id, of which a list from before does not tell.
bool
IsRecent(const VmsSeen& aSeen, const Target& aTarget)
{
  return !aTarget.hasListedRuns_ ||
         aSeen.askedAt_ >= aTarget.unresponsiveSince_;
}

// A start on its way may still reach the next process of the target.
bool
HasUnansweredStart(const Target& aTarget)
{
  return std::any_of(aTarget.runs_.begin(),
                     aTarget.runs_.end(),
                     [](const Run& aRun) { return aRun.AwaitsStartAnswer(); });
}

} // namespace

void
ReleaseEndedTargets(FleetState& aState, const VmsSeen& aSeen)
{
  std::set<std::string> onVms; // ids of targets
  for (const auto& [name, vm] : aState.vms_) {
    onVms.insert(vm.target_);
  }
  for (auto& [id, target] : aState.targets_) {
    const bool isOnVm = onVms.count(id) != 0;
    target.listsWithoutIt_ = isOnVm ? 0 : target.listsWithoutIt_ + 1;
    // An older list may name the process before, under the same id.
    target.wasOnVm_ = target.wasOnVm_ ||
                      (isOnVm && aSeen.askedAt_ >= target.incarnationSeenAt_);
    // While its process starts, a VM may not be named as having it yet.
    if (!target.wasOnVm_ || target.hasExited_ ||
        target.contact_ != Contact::Unresponsive || !IsRecent(aSeen, target) ||
        HasUnansweredStart(target)) {
      continue;
    }
    if (const char* why = WhyNotOnVm(aState, target)) {
      const auto evidence =
        DescribeVm(aState, target) + "; " + DescribeContact(aState, target);
      aState.Log("target_gone", "", "", id, std::string(why) + "; " + evidence);
      SetExited(target);
      // Its VM runs one process at a time.
      const auto vm = aState.vms_.find(target.report_.vm_);
      target.isReplaced_ =
        vm != aState.vms_.end() && !vm->second.target_.empty();
      ReleaseEnded(aState,
                   target,
                   { "the process of its target has ended",
                     std::string(why) + "; " + evidence });
    }
  }
}

} // namespace cuminbridge
