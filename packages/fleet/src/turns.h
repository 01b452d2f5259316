// Internal: when the demand on each pool rises next. Pure functions of the
// turns seen so far.
//
//   if (NoteDemand(turn, sample)) { ... store it ... }
//   auto next = NextTurn(turns, "dispatch", pools, now);

#ifndef cuminbridge_fleet_turns_h
#define cuminbridge_fleet_turns_h

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "cuminbridge/fleet.h"

namespace cuminbridge {

struct DemandSample
{
  std::int64_t offeredCpu_ = 0;  // that arriving work would keep busy
  std::int64_t capacityCpu_ = 0; // of the pool
  WallTime at_;

  bool operator==(const DemandSample&) const = default;
};

// A turn: for some seconds a pool's queues ask several times their mean.
struct PoolTurn
{
  StoredDemandPeak known_; // its last turn; not begun if there was none
  bool isOn_ = false;      // it lasts
  std::int64_t sum_ = 0;   // of the samples while it lasts
  std::int64_t count_ = 0; // of these samples
  std::deque<DemandSample> recent_;
};

// True if a turn has begun or ended.
bool NoteDemand(PoolTurn& aTurn, const DemandSample& aSample);

// Whether the pool ever had a turn.
bool HasHadTurn(const PoolTurn& aTurn);

// When the pool's next turn is expected. Nothing while too little is known,
// neither two turns of this pool nor one of every pool, or when one did not
// come.
std::optional<WallTime> NextTurn(const std::map<std::string, PoolTurn>& aTurns,
                                 const std::string& aPool,
                                 std::size_t aPools,
                                 WallTime aNow);

// The processor time, in thousandths of a core, that the pool's work is
// expected to keep busy: the mean of its last turn from aLead before the next
// one, and while that has just begun; else 0.
std::int64_t ExpectedCpu(const std::map<std::string, PoolTurn>& aTurns,
                         const std::string& aPool,
                         std::size_t aPools,
                         WallTime aNow,
                         Millis aLead);

// What a demand that rises has grown by after aAhead, if it goes on as in the
// last second; no more than it is now, and 0 if it falls.
std::int64_t ExpectedRise(const PoolTurn& aTurn, Millis aAhead);

// A turn that does not begin this long after it was expected is given up.
inline constexpr Millis kTurnDoubt(1000);

} // namespace cuminbridge

#endif // cuminbridge_fleet_turns_h
