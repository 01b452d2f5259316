// Internal: which VM of a maintenance wave goes next. A pure function of a
// snapshot.

#ifndef cuminbridge_fleet_waves_h
#define cuminbridge_fleet_waves_h

#include <string>
#include <vector>

#include "cuminbridge/jobs.h"

namespace cuminbridge {

struct WaveVm
{
  std::string name_;
  bool isUp_ = false;       // as the platform lists it
  bool isOrdered_ = false;  // an order for it is on its way
  bool isCordoned_ = false; // nothing new is placed there
  int runs_ = 0;            // on its target
  int lastingRuns_ = 0;     // of these

  bool operator==(const WaveVm&) const = default;
};

struct WaveView
{
  std::vector<WaveVm> waiting_; // upkeep has not begun
  int total_ = 0;
  int down_ = 0; // for this wave, orders on their way included
  int maxDown_ = 1;
  Millis age_{ 0 }; // since it was seen
  Millis duration_{ 0 };

  bool operator==(const WaveView&) const = default;
};

struct WavePlan
{
  std::vector<std::string> upkeep_; // order now: nothing runs there
  std::vector<std::string> cordon_; // place nothing new there

  bool operator==(const WavePlan&) const = default;
};

// Takes idle VMs ahead of an even pace, and empties as many others as are
// behind it and can go down next. Names the load: waves of half the fleet
// during turns of demand.
WavePlan PlanWave(const WaveView& aWave);

} // namespace cuminbridge

#endif // cuminbridge_fleet_waves_h
