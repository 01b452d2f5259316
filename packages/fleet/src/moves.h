// Internal: decides which VMs move between pools. A pure function of a
// snapshot.

#ifndef cuminbridge_fleet_moves_h
#define cuminbridge_fleet_moves_h

#include <string>
#include <vector>

#include "cuminbridge/jobs.h"

namespace cuminbridge {

struct IdleVm
{
  std::string name_;
  Millis idle_{ 0 };     // nothing has run there for this long
  std::int64_t cpu_ = 0; // its capacity, thousandths of a core

  bool operator==(const IdleVm&) const = default;
};

// A VM whose runs all end by themselves.
struct BusyVm
{
  std::string name_;
  Millis untilEmpty_{ 0 };   // expected, if nothing more starts there
  std::int64_t cpu_ = 0;     // its capacity, thousandths of a core
  std::int64_t usedCpu_ = 0; // that its runs reserve

  bool operator==(const BusyVm&) const = default;
};

// One pool. All cpu values are in thousandths of a core.
struct PoolView
{
  std::string name_;
  bool isStandby_ = false;       // its VMs are off and not paid for
  std::int64_t waitingCpu_ = 0;  // needed by items that wait for free capacity
  std::int64_t incomingCpu_ = 0; // of VMs that are moving to the pool
  std::int64_t capacityCpu_ = 0; // of usable VMs
  std::int64_t offeredCpu_ = 0;  // that arriving work would keep busy
  int size_ = 0;                 // usable VMs
  int lackingVms_ = 0;      // for items that may not share a VM with each other
  bool isPastPeak_ = false; // had a demand peak, and expects none soon
  std::vector<IdleVm> idle_; // VMs that may be moved
  std::int64_t usedCpu_ = 0; // that runs reserve
  std::vector<BusyVm> busy_; // VMs that may be moved once they are empty

  bool operator==(const PoolView&) const = default;
};

struct MoveOptions
{
  int minVms_ = 2; // VMs that a pool keeps for its next job
  // Idle time after which a VM may move to a pool where work waits.
  Millis moveAfterIdle_{ 200 };
  // Idle time after which a VM goes to standby. One move costs as much as about
  // 1.2 seconds in a pool, and the VM moves twice: there and back.
  Millis standbyAfterIdle_{ 2500 };
  // Fraction of a pool's capacity that arriving work may keep busy before the
  // pool needs more VMs.
  double maxUtilisation_ = 0.8;
  std::size_t maxMoves_ = 8; // in one plan
};

struct Move
{
  std::string vm_;
  std::string pool_; // where it goes

  bool operator==(const Move&) const = default;
};

// Processor capacity that a pool lacks, in thousandths of a core; 0 or less if
// it has enough. It is lacking for work that waits and that its idle VMs have
// no free capacity for, for work that arrives faster than the pool can run it,
// or for items that need a VM each. VMs that are moving to the pool count as
// present.
std::int64_t MissingCpu(const PoolView& aPool, const MoveOptions& aOptions);

// Moves standby and idle VMs to pools that lack capacity, or, if no pool does,
// VMs that stay idle to the standby pool. Designed for demand peaks in which
// one queue asks for five times its mean while each of the others asks for a
// twentieth of its own.
std::vector<Move> PlanMoves(std::vector<PoolView> aPools,
                            const MoveOptions& aOptions);

} // namespace cuminbridge

#endif // cuminbridge_fleet_moves_h
