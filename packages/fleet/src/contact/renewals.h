// Internal: renewals, which extend the leases on a target and list what runs
// and what has ended there.

#ifndef cuminbridge_fleet_renewals_h
#define cuminbridge_fleet_renewals_h

#include "state.h"

namespace cuminbridge {

// Whether the target is to be called for what runs or has ended there, or to
// learn whether it lives. IsLookDue() has one more reason.
bool NeedsRenewal(const Target& aTarget);

// Calls the target, which may hold its answer until a run ends.
void SendRenewal(FleetState& aState, Target& aTarget);

} // namespace cuminbridge

#endif // cuminbridge_fleet_renewals_h
