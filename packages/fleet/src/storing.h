// Internal: what goes into the store, and what is removed from it.

#ifndef cuminbridge_fleet_storing_h
#define cuminbridge_fleet_storing_h

#include "state.h"

namespace cuminbridge {

// Writes what changed, if it is time.
void StoreChanges(FleetState& aState);
// A batch is in the store: what waited for it goes on.
void TakeStored(FleetState& aState, std::uint64_t aBatch);
// Removes jobs that ended long ago.
void ForgetOldJobs(FleetState& aState);

} // namespace cuminbridge

#endif // cuminbridge_fleet_storing_h
