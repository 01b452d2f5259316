// Internal: work that leaves its target.

#ifndef cuminbridge_fleet_relocate_h
#define cuminbridge_fleet_relocate_h

#include "state.h"

namespace cuminbridge {

// Moves lasting work off targets that are to become empty, as far as its steps
// allow.
void Evacuate(FleetState& aState);

} // namespace cuminbridge

#endif // cuminbridge_fleet_relocate_h
