// Internal: writes changes to the store and deletes old records.

#ifndef cuminbridge_fleet_storing_h
#define cuminbridge_fleet_storing_h

#include "state.h"

namespace cuminbridge {

// Emits a batch with all changes, if one is due and none is being stored.
void StoreChanges(FleetState& aState);
// A batch is stored: sends the VM orders in it, lets its targets be used and
// its ended runs be acknowledged.
void HandleProgressStored(FleetState& aState, std::uint64_t aBatch);
// Deletes jobs that ended more than keepEnded_ ago, and their records.
void DeleteExpiredJobs(FleetState& aState);

} // namespace cuminbridge

#endif // cuminbridge_fleet_storing_h
