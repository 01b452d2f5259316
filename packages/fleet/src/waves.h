// Internal: decides which VMs of a maintenance wave go next. A pure function of
// a snapshot.

#ifndef cuminbridge_fleet_waves_h
#define cuminbridge_fleet_waves_h

#include <string>
#include <vector>

#include "cuminbridge/jobs.h"

namespace cuminbridge {

struct WaveVm
{
  std::string name_;
  bool isUp_ = false;       // listed as up; its target, if any, answers
  bool hasOrder_ = false;   // an order for it is, or may be, on its way
  bool isCordoned_ = false; // no new runs are placed there
  int runs_ = 0;            // on its target
  int longRunningRuns_ = 0; // of these

  bool operator==(const WaveVm&) const = default;
};

struct WaveView
{
  std::vector<WaveVm> waiting_; // VMs whose maintenance has not begun
  int total_ = 0;               // VMs of the wave
  int down_ = 0; // VMs down for this wave, orders on their way included
  int maxDown_ = 1;
  Millis age_{ 0 };      // since an owner first saw the wave
  Millis duration_{ 0 }; // in which all VMs must have had their maintenance
  bool isRoomScarce_ = false; // some pool lacks room

  bool operator==(const WaveView&) const = default;
};

struct WavePlan
{
  std::vector<std::string> maintenance_; // VMs to take down now; none has runs
  std::vector<std::string> cordon_;      // VMs on which to place nothing new

  bool operator==(const WavePlan&) const = default;
};

// Takes down idle VMs, ahead of an even pace over the duration. Cordons as many
// busy VMs as it takes to keep that pace, and no more than can go down next.
// While room is scarce, the pace is as slow as the duration allows.
// Designed for waves over half the fleet during demand peaks.
WavePlan PlanWave(const WaveView& aWave);

} // namespace cuminbridge

#endif // cuminbridge_fleet_waves_h
