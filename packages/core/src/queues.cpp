// Queues of pools and teams.

#include "queues.h"

#include "permits.h"

namespace cuminbridge {

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
Enqueue(Turn& aTurn, Request& aRequest, bool aIsFront)
{
  Entry& entry = aTurn.entry_;
  PoolState& pool = *FindPool(entry, aRequest.arrived_.pool_);
  aRequest.phase_ = RequestPhase::Waiting;
  TeamQueue& queue = pool.queues_[aRequest.team_];
  auto& line = aRequest.arrived_.urgent_ ? queue.urgent_ : queue.normal_;
  if (aIsFront) {
    line.push_front(aRequest.arrived_.id_);
  } else {
    line.push_back(aRequest.arrived_.id_);
  }
  ++queue.count_;
  ++entry.routing_.waiting_;
  if (!aRequest.team_.empty()) {
    TeamState& team = FindTeam(entry, aRequest.team_);
    ++team.waiting_;
    team.waitingPools_.insert(aRequest.arrived_.pool_);
  }
}

void
CountDequeued(Turn& aTurn, const Request& aRequest)
{
  Entry& entry = aTurn.entry_;
  --entry.routing_.waiting_;
  PoolState* pool = FindPool(entry, aRequest.arrived_.pool_);
  TeamQueue& queue = pool->queues_[aRequest.team_];
  --queue.count_;
  if (!aRequest.team_.empty()) {
    TeamState& team = FindTeam(entry, aRequest.team_);
    --team.waiting_;
    if (queue.count_ == 0) {
      team.waitingPools_.erase(aRequest.arrived_.pool_);
    }
  }
  if (queue.count_ == 0) {
    pool->queues_.erase(aRequest.team_);
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
NextLine(Entry& aEntry, TeamQueue& aQueue)
{
  TrimLine(aEntry, aQueue.urgent_);
  TrimLine(aEntry, aQueue.normal_);
  const bool isNormalsTurn =
    aQueue.urgent_.empty() ||
    (aQueue.urgentInRow_ >= kUrgentInRow && !aQueue.normal_.empty());
  auto& line = isNormalsTurn ? aQueue.normal_ : aQueue.urgent_;
  return line.empty() ? nullptr : &line;
}

} // namespace cuminbridge
