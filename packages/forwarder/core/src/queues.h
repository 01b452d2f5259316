// Internal: requests that wait, by pool and account, in order of arrival.

#ifndef cuminbridge_core_queues_h
#define cuminbridge_core_queues_h

#include "entry_state.h"

namespace cuminbridge::forwarder {

PoolState* FindPool(Entry& aEntry, std::string_view aName);

// Puts a request in its pool's queue; at the front if it waited before.
void Enqueue(EventContext& aContext, Request& aRequest, bool aIsFront);

// Takes a waiting request out of the counts. Its id may stay in the line until
// it comes to the front: a wave of cancellations costs constant time each.
void CountDequeued(EventContext& aContext, const Request& aRequest);

// The request, if it still waits.
Request* FindWaiting(Entry& aEntry, RequestId aId);

// The line whose front goes next, or null if none waits. Urgent work goes
// first, but never all the time.
std::deque<RequestId>* NextLine(Entry& aEntry, AccountQueue& aQueue);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_core_queues_h
