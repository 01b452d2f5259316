// Internal: how much fillers may work beside work that serves.

#ifndef cuminbridge_fleet_pacing_h
#define cuminbridge_fleet_pacing_h

#include "state.h"

namespace cuminbridge {

constexpr int kFullPace = 100; // percent

// The share that fillers may have, given the worst tail beside them as a part
// of its target. Down at once, up slowly. Names the load: interference that
// changes within seconds.
int NextPace(int aPace, double aWorstTail);

// Sends a new pace to the fillers of each target where it changed.
void PaceFillers(FleetState& aState);

} // namespace cuminbridge

#endif // cuminbridge_fleet_pacing_h
