// Which jobs lie within their client account's share.

#include "shares.h"

#include <algorithm>

namespace cuminbridge {

namespace {

// An account may hand in this much of its share at once. The share itself is
// per second; a shorter time would count its usual bursts as excess.
constexpr std::chrono::duration<double> kBurst(1.0);

} // namespace

bool
TakeShare(ShareBucket& aBucket, double aWeight, WallTime aAt)
{
  const double full = std::max(1.0, aWeight * kBurst.count());
  if (aBucket.filledAt_ == WallTime()) {
    aBucket.jobs_ = full;
    aBucket.filledAt_ = aAt;
  }
  // Entries' clocks differ: a job from behind adds nothing.
  const std::chrono::duration<double> passed =
    std::max(aAt - aBucket.filledAt_, Millis(0));
  aBucket.jobs_ = std::min(full, aBucket.jobs_ + passed.count() * aWeight);
  aBucket.filledAt_ = std::max(aBucket.filledAt_, aAt);
  if (aBucket.jobs_ < 1) {
    return false;
  }
  aBucket.jobs_ -= 1;
  return true;
}

} // namespace cuminbridge
