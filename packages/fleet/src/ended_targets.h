// Internal: targets whose process the list of VMs shows to have ended.

#ifndef cuminbridge_fleet_ended_targets_h
#define cuminbridge_fleet_ended_targets_h

#include "state.h"

namespace cuminbridge {

// A VM can be missing from one list that is read page by page while others are
// added or removed.
inline constexpr int kListsToBeGone = 2;

// Releases what ran on targets that do not answer and have left their VM, as
// the list shows. A refused connection alone proves nothing: a network that
// rejects connections to a live target looks the same.
void ReleaseEndedTargets(FleetState& aState, const VmsSeen& aSeen);

} // namespace cuminbridge

#endif // cuminbridge_fleet_ended_targets_h
