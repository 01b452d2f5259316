// Internal: how long work items really run, learned by queue.

#ifndef cuminbridge_fleet_run_times_h
#define cuminbridge_fleet_run_times_h

#include "cuminbridge/jobs.h"

namespace cuminbridge {

// Callers' estimates are far off by a factor that varies from job to job. The
// logarithms of the run times of a queue and of the errors of its estimates are
// taken to be normal, with the means and spreads seen so far; an estimate then
// counts for as much as its error is small against the spread of run times.
class RunTimes
{
public:
  void Learn(Millis aEstimate, Millis aTaken);

  // The likely run time of an item with this estimate. The estimate itself
  // until enough has been seen.
  Millis Expect(Millis aEstimate) const;

private:
  struct Moments
  {
    double count_ = 0;
    double mean_ = 0;
    double squares_ = 0; // of the distances from the mean

    void Add(double aValue);
    double Variance() const;
  };

  Moments taken_; // logarithms of run times
  Moments error_; // logarithms of estimate / run time
};

} // namespace cuminbridge

#endif // cuminbridge_fleet_run_times_h
