// Internal: what a World is made of.

#ifndef cuminbridge_fleet_tests_world_parts_h
#define cuminbridge_fleet_tests_world_parts_h

#include "world.h"

namespace cuminbridge {

struct World::VirtualRun
{
  ItemName item_;
  std::int64_t run_ = 0;
  Resources needs_;
  Instant beganAt_;
  Instant endsAt_;
  bool willFail_ = false;
  bool isLongRunning_ = false;
  bool isGang_ = false; // works once all members of the run are there
  Instant cameAt_;
  std::optional<Instant> stopsAt_;
};

struct World::VirtualTarget
{
  std::string id_;
  std::string pool_;
  std::int64_t born_ = 0;
  Instant bornAt_;
  Resources capacity_;
  std::int64_t token_ = 0;
  std::int64_t lease_ = 0; // on its clock
  std::vector<VirtualRun> runs_;
  std::vector<EndedRun> ended_;
  std::int64_t ends_ = 0;
  // Ends up to here were listed when the lease lapsed. By the users' rules such
  // an end is never taken note of, so its item may run again.
  std::int64_t voidEnds_ = 0;
  std::map<ItemName, std::int64_t> closed_; // highest run stopped or ended
  Instant cutUntil_;
  Instant hiddenUntil_;
  bool isDraining_ = false;
  double speed_ = 1; // of what is started there; 0 stands still
  std::int64_t sequence_ = 0;
};

struct World::VirtualOwner : std::enable_shared_from_this<VirtualOwner>
{
  VirtualOwner(std::int64_t aToken, Instant aNow)
    : fleet_(FleetOptions{}, aNow)
    , token_(aToken)
  {
  }

  Fleet fleet_;
  std::int64_t token_;
  bool hasEnded_ = false;
  std::optional<Instant> cutOffAt_; // another owner has taken over
};

} // namespace cuminbridge

#endif // cuminbridge_fleet_tests_world_parts_h
