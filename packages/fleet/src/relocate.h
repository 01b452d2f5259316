// Internal: work that leaves its target.

#ifndef cuminbridge_fleet_relocate_h
#define cuminbridge_fleet_relocate_h

#include "state.h"

namespace cuminbridge {

// Moves lasting work off targets that are to become empty, as far as its steps
// allow.
void Evacuate(FleetState& aState);

// Stops runs on a target that works far slower than expected, where others have
// room for them; they begin again there.
void ReplaceSlowRuns(FleetState& aState, Target& aTarget);

} // namespace cuminbridge

#endif // cuminbridge_fleet_relocate_h
