// Queues of waiting requests.

#include "queues.h"

#include "permits.h"

namespace cuminbridge::forwarder {

namespace {

constexpr int kMaxUrgentInRow = 8; // then one normal request, if one waits

} // namespace

PoolState*
FindPool(Entry& aEntry, std::string_view aName)
{
  const auto found = aEntry.routing_.pools_.find(aName);
  return found == aEntry.routing_.pools_.end() ? nullptr : &found->second;
}

void
Enqueue(EventContext& aContext, Request& aRequest, bool aIsFront)
{
  Entry& entry = aContext.entry_;
  PoolState& pool = *FindPool(entry, aRequest.arrived_.pool_);
  aRequest.phase_ = RequestPhase::Waiting;
  AccountQueue& queue = pool.queues_[aRequest.account_];
  auto& ids = aRequest.arrived_.urgent_ ? queue.urgent_ : queue.normal_;
  if (aIsFront) {
    ids.push_front(aRequest.arrived_.id_);
  } else {
    ids.push_back(aRequest.arrived_.id_);
  }
  ++queue.count_;
  ++entry.routing_.waiting_;
  if (!aRequest.account_.empty()) {
    AccountState& account = FindOrCreateAccount(entry, aRequest.account_);
    ++account.waiting_;
    account.waitingPools_.insert(aRequest.arrived_.pool_);
  }
}

void
RecordDequeued(EventContext& aContext, const Request& aRequest)
{
  Entry& entry = aContext.entry_;
  --entry.routing_.waiting_;
  PoolState* pool = FindPool(entry, aRequest.arrived_.pool_);
  AccountQueue& queue = pool->queues_[aRequest.account_];
  --queue.count_;
  if (!aRequest.account_.empty()) {
    AccountState& account = FindOrCreateAccount(entry, aRequest.account_);
    --account.waiting_;
    if (queue.count_ == 0) {
      account.waitingPools_.erase(aRequest.arrived_.pool_);
    }
  }
  if (queue.count_ == 0) {
    pool->queues_.erase(aRequest.account_);
  }
}

Request*
FindWaiting(Entry& aEntry, RequestId aId)
{
  const auto found = aEntry.routing_.requests_.find(aId);
  const bool isWaiting = found != aEntry.routing_.requests_.end() &&
                         found->second.phase_ == RequestPhase::Waiting;
  return isWaiting ? &found->second : nullptr;
}

namespace {

// Removes ids of requests that no longer wait from the front of a queue.
void
TrimIdQueue(Entry& aEntry, std::deque<RequestId>& aIds)
{
  while (!aIds.empty() && FindWaiting(aEntry, aIds.front()) == nullptr) {
    aIds.pop_front();
  }
}

} // namespace

std::deque<RequestId>*
FindNextIdQueue(Entry& aEntry, AccountQueue& aQueue)
{
  TrimIdQueue(aEntry, aQueue.urgent_);
  TrimIdQueue(aEntry, aQueue.normal_);
  const bool isNormalNext =
    aQueue.urgent_.empty() ||
    (aQueue.urgentInRow_ >= kMaxUrgentInRow && !aQueue.normal_.empty());
  auto& ids = isNormalNext ? aQueue.normal_ : aQueue.urgent_;
  return ids.empty() ? nullptr : &ids;
}

} // namespace cuminbridge::forwarder
