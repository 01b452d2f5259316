// Internal: the runs, targets and owners of a SimulatedFleet.

#ifndef cuminbridge_fleet_tests_simulated_fleet_parts_h
#define cuminbridge_fleet_tests_simulated_fleet_parts_h

#include "simulated_fleet.h"

namespace cuminbridge {

struct SimulatedFleet::SimulatedRun
{
  ItemName item_;
  std::int64_t run_ = 0;
  Resources needs_;
  Instant beganAt_;
  Instant endsAt_;
  bool willFail_ = false;
  bool isLongRunning_ = false;
  bool isWaitingForGang_ = false; // until all members of the gang are started
  Instant arrivedAt_;
  std::optional<Instant> stopsAt_; // a stop was asked for
};

struct SimulatedFleet::SimulatedTarget
{
  std::string id_;
  std::string pool_;
  std::string vm_;
  std::string dataCentre_;
  std::int64_t incarnation_ = 0;
  Instant startedAt_;
  bool rejectsOverload_ = true;
  Resources capacity_;
  std::map<Instant, Resources> capacities_; // by when each began to hold
  std::optional<TargetReport> report_;      // last one in the store, if kept
  Instant reportedAt_;
  Instant cutUntil_;       // from the store
  std::int64_t token_ = 0; // highest fencing token seen
  std::int64_t lease_ = 0; // until then, on its own clock, in ms
  std::vector<SimulatedRun> runs_;
  std::vector<EndedRun> ended_; // listed until an owner acknowledges them
  std::int64_t endCount_ = 0;
  // Ends numbered up to this had happened when the lease last lapsed. By the
  // users' rules such an end is never acknowledged, so its item may run again.
  std::int64_t discardedEnds_ = 0;
  std::map<ItemName, std::int64_t> closedRuns_; // highest run stopped or ended
  Instant unreachableUntil_;
  Instant rejectingUntil_; // the network rejects all connections to it
  Instant downUntil_;      // its process has ended, the next one begins then
  Instant delistedUntil_;  // missing from the list of targets
  bool isDraining_ = false;
  double speed_ = 1; // of runs started there; 0 makes no progress
  std::int64_t sequence_ = 0;
};

struct SimulatedFleet::SimulatedVm
{
  std::string pool_;
  std::string target_; // id of the last target there; empty if it had none
  Instant movingUntil_;
};

struct SimulatedFleet::SimulatedOwner
  : std::enable_shared_from_this<SimulatedOwner>
{
  SimulatedOwner(std::int64_t aToken, Instant aNow)
    : fleet_(MakeOptions(), aNow)
    , token_(aToken)
  {
  }

  // VMs stay in their pools, except in a fleet with standby VMs.
  static FleetOptions MakeOptions()
  {
    FleetOptions options;
    options.maxMovesPerPlan_ = 0;
    return options;
  }

  Fleet fleet_;
  std::int64_t token_;
  bool hasEnded_ = false;
  std::optional<Instant> replacedAt_; // when another owner took over
};

} // namespace cuminbridge

#endif // cuminbridge_fleet_tests_simulated_fleet_parts_h
