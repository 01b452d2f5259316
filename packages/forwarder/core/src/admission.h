// Internal: which callers are admitted, by their key or because a pool is open.

#ifndef cuminbridge_core_admission_h
#define cuminbridge_core_admission_h

#include "entry_state.h"

namespace cuminbridge::forwarder {

// The account of a key. Empty unless the configuration in force and every
// pending change agree on it.
std::string AccountOfKey(const Entry& aEntry, const std::string& aKeyHash);

// Is the pool open to callers without a key, both in the configuration in force
// and in every pending change?
bool IsPoolOpen(const Entry& aEntry, const std::string& aPool);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_core_admission_h
