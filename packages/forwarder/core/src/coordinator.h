// Internal: what the coordinator does for permits: it keeps the ledger of
// issued permits, and audits it. See IsCoordinator() in agreement.h.

#ifndef cuminbridge_core_coordinator_h
#define cuminbridge_core_coordinator_h

#include "entry_state.h"

namespace cuminbridge::forwarder {

// The members in force have changed: an audit under way is void.
void OnEpochChanged(EventContext& aContext);

void TickCoordinator(EventContext& aContext);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_core_coordinator_h
