// Internal: counts the backlog of a pool, for admission control.

#ifndef cuminbridge_fleet_admission_backlog_h
#define cuminbridge_fleet_admission_backlog_h

#include "placing.h"
#include "state.h"

namespace cuminbridge {

// A waiting step, in the order in which steps are started.
struct QueuedWork
{
  SchedulingKey key_;
  double work_ = 0; // left of its waiting items, in core-milliseconds
};

// The work that goes before a new job, for jobs of each priority, within and
// beyond their account's share, and of several sizes.
std::vector<BacklogRank> RankBacklog(const std::vector<QueuedWork>& aQueued,
                                     const std::set<int>& aPriorities,
                                     Instant aNow);

PoolBacklog CountBacklog(const FleetState& aState, const std::string& aPool);

} // namespace cuminbridge

#endif // cuminbridge_fleet_admission_backlog_h
