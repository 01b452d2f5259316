// Internal: the steward's part of the permits: the ledger and its audits.

#ifndef cuminbridge_core_steward_h
#define cuminbridge_core_steward_h

#include "entry_state.h"

namespace cuminbridge::forwarder {

// The members in force have changed: what was under way is void.
void OnEpochChanged(Turn& aTurn);

void TickSteward(Turn& aTurn);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_core_steward_h
