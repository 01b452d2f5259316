// Internal: which target a work item is placed on, and the scheduling order of
// waiting steps.
//
// Pure functions of their arguments.

#ifndef cuminbridge_fleet_placing_h
#define cuminbridge_fleet_placing_h

#include <optional>
#include <string>
#include <vector>

#include "cuminbridge/jobs.h"

namespace cuminbridge {

// One target, as a step's items see it.
struct Candidate
{
  Resources free_;
  std::int64_t capacityCpu_ = 0; // thousandths of a core
  std::int64_t servingRuns_ = 0; // runs that have a tail latency to keep
  std::int64_t fillerRuns_ = 0;
  int sameStepRuns_ = 0;       // runs of the same step and occurrence
  int sameStepRunsOnRack_ = 0; // likewise, on all targets of its rack
  bool isDataRack_ = true;     // the step's data is on its rack, or anywhere
  // Its runs are slow or fail, or this item was slow or failed there.
  bool isAvoided_ = false;
  bool awaitsMaintenance_ = false; // its VM awaits maintenance in an open wave
  // A suspect was started there. Beside it, either could be taken for the cause
  // of a crash.
  bool hasTrial_ = false;
  bool isEligible_ = true; // has the step's label; advice allows it
};

constexpr int kNoCandidate = -1;

// The index of the best candidate for one item of a step, or kNoCandidate.
// Packs batch work, so that items with large needs still find free capacity,
// and spreads serving work over racks. Designed for demand peaks that fill a
// pool within a second.
int ChooseTarget(const Step& aStep, const std::vector<Candidate>& aCandidates);

// First fit: the baseline that ChooseTarget is tested against.
int ChooseFirstFit(const Step& aStep,
                   const std::vector<Candidate>& aCandidates);

// Whether a job is expected to meet its objective.
enum class Lateness
{
  InTime,   // it can still meet the objective
  Late,     // it will miss it, but its result is still worth something
  Hopeless, // its result is worth nothing any more; it is still completed
};

// What decides the scheduling order of a step whose items wait.
struct SchedulingKey
{
  int priority_ = 0; // of its job; 0 goes first
  bool isLongRunning_ = false;
  bool isBeyondShare_ = false; // its job exceeds its client account's share
  Lateness lateness_ = Lateness::InTime;
  // RankOf() its job, where jobs are ranked by what waiting costs them.
  std::optional<double> rank_;
  double work_ = 0; // left of its job, in core-milliseconds
  Instant arrived_; // when its job was accepted
};

// Whether aLeft goes before aRight. The order is by:
//   priority; long-running work first; hopeless work last; work within its
//   client account's share first; lateness; rank; least work left; arrival.
// Least work first is for a queue that asks for five times its mean, where
// short jobs would wait behind long ones. The shares are for an account that
// asks for five times its usual load, where the jobs of others would wait.
bool IsScheduledBefore(const SchedulingKey& aLeft, const SchedulingKey& aRight);

} // namespace cuminbridge

#endif // cuminbridge_fleet_placing_h
