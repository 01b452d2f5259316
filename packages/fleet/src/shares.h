// Internal: decides which jobs lie within their client account's share.

#ifndef cuminbridge_fleet_shares_h
#define cuminbridge_fleet_shares_h

#include "cuminbridge/jobs.h"

namespace cuminbridge {

// A token bucket of one client account. A token stands for one job.
struct ShareBucket
{
  double tokens_ = 0;
  WallTime refilledAt_; // 0: not used yet; its first use fills it

  bool operator==(const ShareBucket&) const = default;
};

// Takes a token for a job that was accepted at aAt, from a bucket that is
// refilled with aWeight tokens a second. False if there is none: the job lies
// beyond the share. With a weight of 0 or less only the first job lies within.
bool ConsumeShare(ShareBucket& aBucket, double aWeight, WallTime aAt);

} // namespace cuminbridge

#endif // cuminbridge_fleet_shares_h
