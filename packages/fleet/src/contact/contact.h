// Internal: whether a target is known to live just before work starts there.
//
// Idle targets are not called, and their reports are up to a heartbeat old. A
// start that one of them leaves unanswered proves nothing about the item, even
// if the target turns out to have ended: it may have ended before. The next
// start of such an item goes to a target that has answered a moment ago.

#ifndef cuminbridge_fleet_contact_h
#define cuminbridge_fleet_contact_h

#include <functional>

#include "candidates.h"

namespace cuminbridge {

// Whether the target has answered a moment ago.
bool IsInContact(const FleetState& aState, const Target& aTarget);

// Whether an item may start only on targets in contact.
bool NeedsContact(const ItemState& aItem);

// In the functions below, candidate N stands for target N.

// The candidates, of which only those in contact are eligible.
std::vector<Candidate> CandidatesInContact(const FleetState& aState,
                                           const Targets& aTargets,
                                           std::vector<Candidate> aCandidates);

// The index of the best candidate, or kNoCandidate.
using Choose = std::function<int(const std::vector<Candidate>&)>;

// Calls the best candidates, aCount at most, that are not in contact. Those
// that answer are in contact from then on, and their pool is dispatched again.
void ProbeCandidates(FleetState& aState,
                     const Targets& aTargets,
                     std::vector<Candidate> aCandidates,
                     std::size_t aCount,
                     const Choose& aChoose);

} // namespace cuminbridge

#endif // cuminbridge_fleet_contact_h
