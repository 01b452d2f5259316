// Internal: moves work off its target.

#ifndef cuminbridge_fleet_relocate_h
#define cuminbridge_fleet_relocate_h

#include "state.h"

namespace cuminbridge {

// Stops long-running work on targets that are cordoned, evacuated or drain, as
// far as the availability of its steps allows; it starts again elsewhere.
void Evacuate(FleetState& aState);

// Stops runs on a target that works far slower than expected, where others have
// free capacity for them; they start again there.
void ReplaceSlowRuns(FleetState& aState, Target& aTarget);

} // namespace cuminbridge

#endif // cuminbridge_fleet_relocate_h
