// Internal: finds targets and runs that are too slow. Pure functions of what a
// target lists.

#ifndef cuminbridge_fleet_run_speed_h
#define cuminbridge_fleet_run_speed_h

#include <optional>
#include <vector>

#include "cuminbridge/jobs.h"

namespace cuminbridge {

struct RunProgress
{
  Millis age_{ 0 };      // since its start, or since this owner first saw it
  Millis expected_{ 0 }; // its whole run time, as learned
  int firstPercent_ = 0; // of its work, when age_ began
  int percent_ = 0;      // of its work, as its target lists it now

  bool operator==(const RunProgress&) const = default;
};

// Whether the progress of the run shows anything yet.
bool IsOldEnoughToJudge(const RunProgress& aRun);

// How fast a target works, as a fraction of the expected speed: 0 if nothing
// there makes progress. Nothing while the work that its runs should have done
// by now is less than one whole run: a single run that takes long does not show
// a slow target. Designed for targets that turn slow or stall with work on them
// during a demand peak.
std::optional<double> SpeedOf(const std::vector<RunProgress>& aRuns);

// A target below this fraction of the expected speed is slow.
inline constexpr double kSlowSpeed = 0.4;

// Whether a run on a slow target would end sooner if it began again elsewhere.
bool IsWorthReplacing(const RunProgress& aRun);

} // namespace cuminbridge

#endif // cuminbridge_fleet_run_speed_h
