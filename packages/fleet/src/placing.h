// Internal: which target a work item goes to, and whose turn it is.
//
// Pure functions of what the caller shows them.

#ifndef cuminbridge_fleet_placing_h
#define cuminbridge_fleet_placing_h

#include <string>
#include <vector>

#include "cuminbridge/jobs.h"

namespace cuminbridge {

// One target, as placing sees it.
struct Site
{
  Resources free_;
  std::int64_t capacityCpu_ = 0;
  std::int64_t servingRuns_ = 0; // runs that serve users of their own
  std::int64_t fillerRuns_ = 0;
  int sameStep_ = 0;  // runs of the same step and occurrence
  int rackMates_ = 0; // runs of the same step on its rack
  bool isDataRack_ = true;
  bool isAvoided_ = false; // the item failed there last, or others do now
  bool isDueSoon_ = false; // a wave wants it empty soon
  bool hasLabel_ = true;
};

constexpr int kNoSite = -1;

// The best site for one item of a step, or kNoSite. Packs batch work, so that
// wide items still find room, and spreads work that serves over racks. Names
// the load: turns of demand that fill a pool within a second.
int ChooseSite(const Step& aStep, const std::vector<Site>& aSites);

// First fit: the baseline that ChooseSite is tested against.
int ChooseFirstSite(const Step& aStep, const std::vector<Site>& aSites);

enum class Lateness
{
  InTime,   // it can still make its objective
  Late,     // it is still worth something
  Hopeless, // it is only finished
};

// One step whose items wait.
struct Claim
{
  int priority_ = 0;
  bool isLongRunning_ = false;
  bool isBeyondShare_ = false; // of its client account
  Lateness lateness_ = Lateness::InTime;
  double work_ = 0; // left of its job, in core-milliseconds
  Instant arrived_;
};

// Whether aLeft goes before aRight: urgent first, then what lasts; hopeless
// work last; before it what lies beyond its account's share; among the rest
// what can still make its objective, then the least work left. Names the loads:
// a queue that asks five times its mean, where the short ones would wait, and
// an account that asks five times its usual, where the others would.
bool GoesBefore(const Claim& aLeft, const Claim& aRight);

} // namespace cuminbridge

#endif // cuminbridge_fleet_placing_h
