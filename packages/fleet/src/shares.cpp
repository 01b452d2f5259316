// Decides which jobs lie within their client account's share.

#include "shares.h"

#include <algorithm>

namespace cuminbridge {

namespace {

// The capacity of a bucket, as the time that refills it. With less than the one
// second that shares are stated for, usual bursts would count as excess.
constexpr std::chrono::duration<double> kBurst(1.0);

} // namespace

bool
ConsumeShare(ShareBucket& aBucket, double aWeight, WallTime aAt)
{
  const double capacity = std::max(1.0, aWeight * kBurst.count());
  if (aBucket.refilledAt_ == WallTime()) {
    aBucket.tokens_ = capacity;
    aBucket.refilledAt_ = aAt;
  }
  // Entries' clocks differ. A job whose time lies before the last refill adds
  // nothing, so that the same time is not counted twice.
  const std::chrono::duration<double> passed =
    std::max(aAt - aBucket.refilledAt_, Millis(0));
  aBucket.tokens_ =
    std::min(capacity, aBucket.tokens_ + passed.count() * aWeight);
  aBucket.refilledAt_ = std::max(aBucket.refilledAt_, aAt);
  if (aBucket.tokens_ < 1) {
    return false;
  }
  aBucket.tokens_ -= 1;
  return true;
}

} // namespace cuminbridge
