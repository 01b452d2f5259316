// Learns how far run times exceed what was expected.

#include "target_record/run_tail.h"

#include <algorithm>
#include <cmath>

namespace cuminbridge {

namespace {

constexpr double kMinRuns = 50; // runs seen before the distribution is used

// Weight of the assumed tail, in runs. It matters only for ratios beyond all
// that were seen.
constexpr double kAssumedRuns = 20;

// A heavy tail, as nothing is known of it.
double
AssumedChanceOfLonger(double aRatio)
{
  return 1 / (1 + aRatio);
}

} // namespace

int
RunTail::BinOf(double aRatio)
{
  const double bin =
    kBinsPerDoubling * std::log2(std::max(aRatio, 1e-9)) + kBins / 2.0;
  return static_cast<int>(std::clamp(std::floor(bin), 0.0, kBins - 1.0));
}

void
RunTail::Learn(Millis aExpected, Millis aTaken)
{
  if (aExpected.count() <= 0 || aTaken.count() <= 0) {
    return;
  }
  const double ratio = static_cast<double>(aTaken.count()) /
                       static_cast<double>(aExpected.count());
  counts_[static_cast<std::size_t>(BinOf(ratio))] += 1;
  count_ += 1;
}

bool
RunTail::IsLearned() const
{
  return count_ >= kMinRuns;
}

double
RunTail::ChanceOfLonger(double aRatio) const
{
  double longer = 0;
  for (int bin = BinOf(aRatio); bin < kBins; ++bin) {
    longer += counts_[static_cast<std::size_t>(bin)];
  }
  return (longer + kAssumedRuns * AssumedChanceOfLonger(aRatio)) /
         (count_ + kAssumedRuns);
}

} // namespace cuminbridge
