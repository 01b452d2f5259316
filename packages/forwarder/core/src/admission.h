// Internal: who may ask for what, by keys and open pools.

#ifndef cuminbridge_core_admission_h
#define cuminbridge_core_admission_h

#include "entry_state.h"

namespace cuminbridge::forwarder {

// The account of a key by the configuration in force and by every change that
// may come; empty if they differ or there is none.
std::string AccountOfKey(const Entry& aEntry, const std::string& aKeyHash);

// Is the pool open to callers without a key, by all of them?
bool IsOpen(const Entry& aEntry, const std::string& aPool);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_core_admission_h
