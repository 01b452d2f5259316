// Queues of pools and accounts.

#include "queues.h"

#include "permits.h"

namespace cuminbridge::forwarder {

namespace {

constexpr int kUrgentInRow = 8; // then one that is not urgent, if one waits

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
  auto& line = aRequest.arrived_.urgent_ ? queue.urgent_ : queue.normal_;
  if (aIsFront) {
    line.push_front(aRequest.arrived_.id_);
  } else {
    line.push_back(aRequest.arrived_.id_);
  }
  ++queue.count_;
  ++entry.routing_.waiting_;
  if (!aRequest.account_.empty()) {
    AccountState& account = FindAccount(entry, aRequest.account_);
    ++account.waiting_;
    account.waitingPools_.insert(aRequest.arrived_.pool_);
  }
}

void
CountDequeued(EventContext& aContext, const Request& aRequest)
{
  Entry& entry = aContext.entry_;
  --entry.routing_.waiting_;
  PoolState* pool = FindPool(entry, aRequest.arrived_.pool_);
  AccountQueue& queue = pool->queues_[aRequest.account_];
  --queue.count_;
  if (!aRequest.account_.empty()) {
    AccountState& account = FindAccount(entry, aRequest.account_);
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

// Drops ids of requests that went away from the front of a line.
void
TrimLine(Entry& aEntry, std::deque<RequestId>& aLine)
{
  while (!aLine.empty() && FindWaiting(aEntry, aLine.front()) == nullptr) {
    aLine.pop_front();
  }
}

} // namespace

std::deque<RequestId>*
NextLine(Entry& aEntry, AccountQueue& aQueue)
{
  TrimLine(aEntry, aQueue.urgent_);
  TrimLine(aEntry, aQueue.normal_);
  const bool isNormalsTurn =
    aQueue.urgent_.empty() ||
    (aQueue.urgentInRow_ >= kUrgentInRow && !aQueue.normal_.empty());
  auto& line = isNormalsTurn ? aQueue.normal_ : aQueue.urgent_;
  return line.empty() ? nullptr : &line;
}

} // namespace cuminbridge::forwarder
