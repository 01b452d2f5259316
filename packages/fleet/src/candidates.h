// Internal: the targets of a pool, as candidates for the items of a step.

#ifndef cuminbridge_fleet_candidates_h
#define cuminbridge_fleet_candidates_h

#include "placing.h"
#include "state.h"

namespace cuminbridge {

using Targets = std::vector<Target*>;

// The targets of the pool that may get work now.
Targets CollectTargets(FleetState& aState, const std::string& aPool);

// In the functions below, candidate N stands for target N.

// The candidates, with the values that are the same for every step.
std::vector<Candidate> MakeCandidates(const FleetState& aState,
                                      const Targets& aTargets);
// Copies aBase and fills in the values that depend on the step; aItem names any
// of its items.
std::vector<Candidate> CandidatesForStep(const std::vector<Candidate>& aBase,
                                         const Targets& aTargets,
                                         const Step& aStep,
                                         const ItemName& aItem);

// Whether any candidate has free capacity for one item of the step.
bool HasFreeCapacity(const std::vector<Candidate>& aCandidates,
                     const Step& aStep);
// Counts an item of the step that is started on a target.
void ReserveCapacity(std::vector<Candidate>& aCandidates,
                     const Targets& aTargets,
                     std::size_t aChosen,
                     const Step& aStep);

// The best candidate, or kNoCandidate; the target aAvoid only if there is no
// other.
int ChooseTargetAvoiding(const Step& aStep,
                         const Targets& aTargets,
                         const std::vector<Candidate>& aCandidates,
                         const std::string& aAvoid);
// The best candidate for a suspect, or kNoCandidate: where fewest runs could be
// the cause of a crash, or would be lost with it, and not one that crashed
// under it if there is another.
int ChooseTargetForSuspect(FleetState& aState,
                           const Step& aStep,
                           const Targets& aTargets,
                           const std::vector<Candidate>& aCandidates,
                           const ItemName& aName,
                           const ItemState& aItem);

} // namespace cuminbridge

#endif // cuminbridge_fleet_candidates_h
