// Internal: which VMs move between pools. A pure function of a snapshot.

#ifndef cuminbridge_fleet_moves_h
#define cuminbridge_fleet_moves_h

#include <string>
#include <vector>

#include "cuminbridge/jobs.h"

namespace cuminbridge {

struct IdleVm
{
  std::string name_;
  Millis idle_{ 0 }; // nothing has run there for this long
  std::int64_t cpu_ = 0;

  bool operator==(const IdleVm&) const = default;
};

struct PoolView
{
  std::string name_;
  bool isStandby_ = false;       // its VMs are off and not paid for
  std::int64_t waitingCpu_ = 0;  // of items that wait for room
  std::int64_t comingCpu_ = 0;   // of VMs on their way
  std::int64_t capacityCpu_ = 0; // of usable VMs
  std::int64_t offeredCpu_ = 0;  // that arriving work would keep busy
  int size_ = 0;                 // usable VMs
  bool hadTurn_ = false;         // its demand has risen and may be over
  std::vector<IdleVm> idle_;     // may be moved

  bool operator==(const PoolView&) const = default;
};

struct MoveOptions
{
  int leastInPool_ = 2;     // VMs that a pool keeps for its next job
  Millis lendAfter_{ 200 }; // an idle VM is lent to a pool that waits
  // An idle VM goes to standby: the price of a move is that of about 1.2
  // seconds in a pool, and it moves twice.
  Millis parkAfter_{ 2500 };
  // Arriving work may keep this part of a pool busy before it needs more VMs.
  double fullPart_ = 0.8;
  std::size_t mostAtOnce_ = 8; // moves in one plan
};

struct Move
{
  std::string vm_;
  std::string pool_;

  bool operator==(const Move&) const = default;
};

// Cores that a pool lacks, in thousandths: for work that waits and that its
// idle VMs have no room for, or for work that arrives faster than it can run
// it.
std::int64_t MissingCpu(const PoolView& aPool, const MoveOptions& aOptions);

// Lends standby and idle VMs to pools where work waits for room, and parks what
// stays idle. Names the load: turns in which one queue asks five times its mean
// while the others ask a twentieth.
std::vector<Move> PlanMoves(std::vector<PoolView> aPools,
                            const MoveOptions& aOptions);

} // namespace cuminbridge

#endif // cuminbridge_fleet_moves_h
