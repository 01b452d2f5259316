// Internal: learns how far run times exceed what was expected.

#ifndef cuminbridge_fleet_target_record_run_tail_h
#define cuminbridge_fleet_target_record_run_tail_h

#include <array>

#include "cuminbridge/jobs.h"

namespace cuminbridge {

// The distribution of run time / expected run time over the completed runs of a
// queue, as a histogram of logarithms. Run times are not assumed to follow any
// distribution: a small part of the work may take several times as long as the
// rest.
class RunTail
{
public:
  // Ignored if either time is 0 or less.
  void Learn(Millis aExpected, Millis aTaken);

  // Whether enough runs have been seen to tell a rare run from a usual one.
  bool IsLearned() const;

  // The chance that a run on a target of usual speed takes at least aRatio
  // times as long as expected. Never 0: longer runs than those seen so far may
  // come.
  double ChanceOfLonger(double aRatio) const;

private:
  static constexpr int kBinsPerDoubling = 4;
  static constexpr int kBins = 16 * kBinsPerDoubling; // ratios 1/256 to 256
  static int BinOf(double aRatio);

  std::array<double, kBins> counts_{};
  double count_ = 0;
};

// The tails of a queue, by what a run time is compared with.
struct RunTails
{
  RunTail beyondEstimate_; // the learned expectation
  RunTail beyondPeers_;    // the mean of completed runs of the same step
};

} // namespace cuminbridge

#endif // cuminbridge_fleet_target_record_run_tail_h
