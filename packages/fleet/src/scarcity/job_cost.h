// Internal: what it costs a caller to let a waiting job wait, beside the others
// of its queue. Pure functions.
//
// Designed for a queue that asks for more than its pool holds for some seconds.
// The order by work alone delays large jobs although small ones have time left.
// The order by objectives alone delays all of them until most are late.

#ifndef cuminbridge_fleet_scarcity_job_cost_h
#define cuminbridge_fleet_scarcity_job_cost_h

#include "placing.h"

namespace cuminbridge {

// Means over the waiting jobs of a queue.
struct QueueMeans
{
  double work_ = 0;         // whole jobs, in core-milliseconds
  double criticalPath_ = 0; // that is left, in milliseconds

  bool operator==(const QueueMeans&) const = default;
};

// A waiting job that can still be in time.
struct WaitingJob
{
  double wholeWork_ = 0;       // in core-milliseconds
  double workLeft_ = 0;        // likewise
  Millis criticalPath_{ 0 };   // that is left
  Millis untilObjective_{ 0 }; // time left

  bool operator==(const WaitingJob&) const = default;
};

// The time that a critical path may take if its items are faster than expected.
// Expected times are uncertain: a job that is late only by them still goes with
// those that are in time.
Millis ShortestTime(Millis aCriticalPath);

// The rank among jobs that can still be in time; the smallest goes first. It is
// the room that the job takes for what it is worth to its caller, times a
// factor that grows with the time that the job can still wait. A job is worth
// one for itself, and one more for each time that it holds the mean work. Only
// work that is left takes room, so a job that has been started goes before a
// like one that has not.
double RankOf(const WaitingJob& aJob, const QueueMeans& aMeans);

} // namespace cuminbridge

#endif // cuminbridge_fleet_scarcity_job_cost_h
