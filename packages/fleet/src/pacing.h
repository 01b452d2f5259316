// Internal: pacing, the share of the processor that fillers are allowed beside
// work that serves requests.

#ifndef cuminbridge_fleet_pacing_h
#define cuminbridge_fleet_pacing_h

#include "state.h"

namespace cuminbridge {

constexpr int kFullPace = 100; // percent

// The next pace of a filler, in percent, from its pace now and the worst tail
// latency beside it, as a fraction of the latency that its users expect.
// Additive increase, multiplicative decrease, as interference between fillers
// and serving work changes within seconds.
int NextPace(int aPace, double aWorstTail);

// Sends a new pace to the fillers of each target where it changed.
void PaceFillers(FleetState& aState);

} // namespace cuminbridge

#endif // cuminbridge_fleet_pacing_h
