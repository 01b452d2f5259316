// Internal: which jobs lie within their client account's share.

#ifndef cuminbridge_fleet_shares_h
#define cuminbridge_fleet_shares_h

#include "cuminbridge/jobs.h"

namespace cuminbridge {

// A token bucket: jobs that an account may still hand in within its share.
struct ShareBucket
{
  double jobs_ = 0;
  WallTime filledAt_; // 0: not used yet

  bool operator==(const ShareBucket&) const = default;
};

// Counts one job, handed in at aAt, against a share of aWeight jobs a second.
// False if it lies beyond. A weight of 0 or less is no share at all.
bool TakeShare(ShareBucket& aBucket, double aWeight, WallTime aAt);

} // namespace cuminbridge

#endif // cuminbridge_fleet_shares_h
