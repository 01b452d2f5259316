// Internal: starts waiting work items on targets, in the pools where something
// changed.

#ifndef cuminbridge_fleet_dispatch_h
#define cuminbridge_fleet_dispatch_h

#include "state.h"

namespace cuminbridge {

void Dispatch(FleetState& aState);

} // namespace cuminbridge

#endif // cuminbridge_fleet_dispatch_h
