// Internal: what the runs on targets show about the speed of the targets.

#ifndef cuminbridge_fleet_target_record_deliveries_h
#define cuminbridge_fleet_target_record_deliveries_h

#include <optional>

#include "run_speed.h"
#include "state.h"

namespace cuminbridge {

// Takes in a completed run of this owner, before its end is applied.
void NoteDelivery(FleetState& aState,
                  Target& aTarget,
                  const Run& aRun,
                  const ItemRef& aRef);

// How far a run is. Nothing if it does not run, or if its speed depends on more
// than its target.
std::optional<RunProgress> ProgressOf(FleetState& aState,
                                      const Target& aTarget,
                                      const Run& aRun);

// The chance that a target of usual speed would be as slow with the runs that
// it has and has just completed. Nothing while too little is learned to tell.
std::optional<double> ChanceOfUsualSpeed(FleetState& aState,
                                         const Target& aTarget);

} // namespace cuminbridge

#endif // cuminbridge_fleet_target_record_deliveries_h
