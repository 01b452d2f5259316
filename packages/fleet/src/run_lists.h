// Internal: what targets list as running and as ended.

#ifndef cuminbridge_fleet_run_lists_h
#define cuminbridge_fleet_run_lists_h

#include "state.h"

namespace cuminbridge {

// Takes in the lists of running and ended runs of a target: applies ends,
// adopts or stops runs that this owner has no record of, and releases those
// that are gone.
void HandleRunLists(FleetState& aState,
                    Target& aTarget,
                    const RenewalAnswered& aAnswer);

} // namespace cuminbridge

#endif // cuminbridge_fleet_run_lists_h
