// Internal: which runs are too slow. Pure functions of what a target lists.

#ifndef cuminbridge_fleet_run_pace_h
#define cuminbridge_fleet_run_pace_h

#include <optional>
#include <vector>

#include "cuminbridge/jobs.h"

namespace cuminbridge {

struct RunPace
{
  Millis age_{ 0 };      // since it was first seen, or started
  Millis expected_{ 0 }; // its whole run time, as learned
  int percentThen_ = 0;  // of its work, when it was first seen
  int percent_ = 0;      // ... and now, as its target lists it

  bool operator==(const RunPace&) const = default;
};

// How fast a target works, as a part of what is expected: 0 if all stands
// still. Nothing while too little has run there to tell: one long run alone is
// no sign. Names the load: targets that turn slow or stand still with work on
// them, in the middle of a turn of demand.
std::optional<double> SpeedOf(const std::vector<RunPace>& aRuns);

// Below this a target is slow.
inline constexpr double kSlowSpeed = 0.4;

// Whether a run on a slow target would end sooner if it began again elsewhere.
bool IsWorthReplacing(const RunPace& aRun);

} // namespace cuminbridge

#endif // cuminbridge_fleet_run_pace_h
