// Internal: choosing a target, and leaving out those that fail.

#ifndef cuminbridge_core_placement_h
#define cuminbridge_core_placement_h

#include "entry_state.h"

namespace cuminbridge::forwarder {

struct Choice
{
  TargetState* target_ = nullptr; // null: no target can take it now
  int weighed_ = 0;
  bool isProbe_ = false; // an ejected target is tried again
};

// The least loaded of the targets looked at that may take one more request.
Choice ChooseTarget(EventContext& aContext,
                    PoolState& aPool,
                    const Request& aRequest);

// What an exchange says of its target.
void OnTargetSucceeded(EventContext& aContext, TargetState& aTarget);
void OnTargetFailed(EventContext& aContext, TargetState& aTarget);

// Is the VM in this pool by the configuration in force and by every change
// that may come?
bool IsInPool(const Entry& aEntry,
              const std::string& aVm,
              const std::string& aPool);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_core_placement_h
