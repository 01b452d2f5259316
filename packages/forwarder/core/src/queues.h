// Internal: queues of waiting requests, by pool and account, in order of
// arrival.

#ifndef cuminbridge_core_queues_h
#define cuminbridge_core_queues_h

#include "entry_state.h"

namespace cuminbridge::forwarder {

// The pool with this name, or null.
PoolState* FindPool(Entry& aEntry, std::string_view aName);

// Puts a request in its pool's queue: at the front (aIsFront) if it is retried
// and has waited before.
void Enqueue(EventContext& aContext, Request& aRequest, bool aIsFront);

// Removes a waiting request from the counts. Its id may stay in the queue until
// it reaches the front, so that each of many cancellations costs constant time.
void RecordDequeued(EventContext& aContext, const Request& aRequest);

// The request if it is still waiting, else null.
Request* FindWaiting(Entry& aEntry, RequestId aId);

// The queue of ids (urgent or normal) whose front is next in order, or null if
// no request waits. Urgent requests go first, but a limited number in a row, so
// that normal ones are not starved.
std::deque<RequestId>* FindNextIdQueue(Entry& aEntry, AccountQueue& aQueue);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_core_queues_h
