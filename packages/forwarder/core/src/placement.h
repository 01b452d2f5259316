// Internal: choosing a target for a request, and ejecting targets that fail.
//
// A target that fails too often in a row is ejected: it gets no requests for a
// while, then a single one as a probe. A probe that is answered readmits it;
// one that fails extends the ejection.

#ifndef cuminbridge_core_placement_h
#define cuminbridge_core_placement_h

#include "entry_state.h"

namespace cuminbridge::forwarder {

struct TargetChoice
{
  TargetState* target_ = nullptr; // null: no target can take the request now
  int candidates_ = 0;            // targets compared that could take it
  bool isProbe_ = false;          // the request probes an ejected target
};

// The least loaded of the candidates, or an ejected target that is due a probe.
// Small pools are searched whole; of larger ones a few candidates are sampled.
TargetChoice ChooseTarget(EventContext& aContext,
                          PoolState& aPool,
                          const Request& aRequest);

// An exchange with the target has succeeded or failed: readmits or ejects it.
void OnTargetSucceeded(EventContext& aContext, TargetState& aTarget);
void OnTargetFailed(EventContext& aContext, TargetState& aTarget);

// True if the VM belongs to the pool in the configuration in force and in every
// pending change, any of which may come into force at any moment.
bool IsInPool(const Entry& aEntry,
              const std::string& aVm,
              const std::string& aPool);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_core_placement_h
