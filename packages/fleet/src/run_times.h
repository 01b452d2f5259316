// Internal: learns how long the work items of a queue really run.

#ifndef cuminbridge_fleet_run_times_h
#define cuminbridge_fleet_run_times_h

#include "cuminbridge/admission.h"

namespace cuminbridge {

// Callers' estimates are wrong by a factor that varies from job to job. The
// model takes the run times of a queue, and the ratios of estimate to run time,
// to be log-normal, with the means and variances seen so far. It weighs an
// estimate against the mean run time: the smaller the variance of the ratios
// is beside that of the run times, the more the estimate counts.
class RunTimes
{
public:
  // Values of 0 or less are ignored.
  void Learn(Millis aEstimate, Millis aTaken);

  // The likely run time of an item with this estimate. The estimate itself
  // until enough runs have been seen; from then on 0 stands for no estimate.
  Millis Expect(Millis aEstimate) const;
  RunTimeModel Model() const;

private:
  // Mean and variance, updated value by value.
  struct Moments
  {
    double count_ = 0;
    double mean_ = 0;
    double squaredDeviations_ = 0; // sum over all values

    void Add(double aValue);
    double Variance() const;
  };

  Moments taken_; // logarithms of run times
  Moments error_; // logarithms of estimate / run time
};

} // namespace cuminbridge

#endif // cuminbridge_fleet_run_times_h
