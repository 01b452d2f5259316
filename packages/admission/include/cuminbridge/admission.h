// cuminbridge admission: decides, before a job is stored, whether its pool can
// still run it in a time that is useful to its caller. Pure functions of
// values.
//
//   auto decision = DecideAdmission(backlog, job, { age, waited });
//   if (!decision.isAdmitted_) { ... 503, Retry-After ... }
//
// The owner of a cell counts a PoolBacklog, and entries decide by the last one
// that they got. Designed for the peak of a pool's demand, when jobs would be
// accepted that are still waiting after their results have lost all value.

#ifndef cuminbridge_admission_h
#define cuminbridge_admission_h

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cuminbridge/jobs.h"

namespace cuminbridge {

//-----------------------------------------------------------------------------
// [SECTION] Backlog
//-----------------------------------------------------------------------------

// Learned run times of a queue's work items: means and variances of the
// logarithms, in ms, of run times and of the ratios of estimate to run time.
struct RunTimeModel
{
  double runs_ = 0; // that it was learned from
  double takenMean_ = 0;
  double takenVariance_ = 0;
  double errorMean_ = 0;
  double errorVariance_ = 0;

  bool operator==(const RunTimeModel&) const = default;
};

// The run time of an item with this estimate, aDeviations standard deviations
// above the likely one. Nothing while too few runs have been seen.
std::optional<Millis> RunTimeAt(const RunTimeModel& aModel,
                                Millis aEstimate,
                                double aDeviations);

// Work that goes before a new job, by the order that is really used.
struct BacklogRank
{
  int priority_ = 0; // of the job
  bool isBeyondShare_ = false;
  double work_ = 0;  // of the job, in core-milliseconds
  double ahead_ = 0; // work that waits and goes before it, likewise

  bool operator==(const BacklogRank&) const = default;
};

// The work of one pool in one cell. Processor capacity is in thousandths of a
// core, work in core-milliseconds.
struct PoolBacklog
{
  std::string pool_;
  std::int64_t usableCpu_ = 0;      // for batch work
  std::int64_t largestFreeCpu_ = 0; // on one target
  std::int64_t incomingCpu_ = 0;    // of VMs that are moving to the pool
  std::int64_t lendableCpu_ = 0;    // of idle VMs in other pools, and standby
  std::int64_t peerFreeCpu_ = 0;    // of the pool in another cell, at most
  Millis moveTime_{ 0 };            // until a lendable VM has moved
  double runningWork_ = 0;          // left of runs
  double waitingWork_ = 0;          // of steps that are ready
  std::int64_t waitingItems_ = 0;
  std::vector<BacklogRank> ranks_;
  std::map<std::string, RunTimeModel> runTimes_; // by queue
  std::set<std::string> beyondShare_; // accounts whose next job exceeds it

  // Whether new jobs may have to wait.
  bool IsShort() const { return waitingItems_ > 0; }
  bool operator==(const PoolBacklog&) const = default;
};

// What an owner tells the entries: the pools of its cell that are short. Those
// that it does not name are not.
struct BacklogReport
{
  int term_ = 0;              // number of the owner, counted from 1
  std::uint64_t version_ = 0; // counts up in each term
  std::vector<PoolBacklog> pools_;

  bool operator==(const BacklogReport&) const = default;
};

std::string EncodeBacklogReport(const BacklogReport& aReport);
std::optional<BacklogReport> DecodeBacklogReport(const std::string& aText);

//-----------------------------------------------------------------------------
// [SECTION] Decision
//-----------------------------------------------------------------------------

// A job that takes longer than this many times its objective is worth nothing
// to its caller.
inline constexpr int kWorthlessFactor = 3;

// From the time of the decision.
struct JobForecast
{
  Millis start_{ 0 }; // of its first item
  Millis end_{ 0 };
  Millis objective_{ 0 };
  // It does not start before this, even if the work ahead of it turns out to be
  // much less, and all idle VMs are moved to the pool.
  Millis earliestStart_{ 0 };
  // If it starts later than this, it is worthless even if its items run much
  // longer, which would extend its objective.
  Millis latestUsefulStart_{ 0 };

  bool operator==(const JobForecast&) const = default;
};

// Times that matter to a decision.
struct AdmissionTimes
{
  Millis backlogAge_{ 0 }; // at most
  Millis waited_{ 0 };     // since the caller first sent the job

  bool operator==(const AdmissionTimes&) const = default;
};

// Nothing if the backlog does not suffice for one.
std::optional<JobForecast> ForecastJob(const PoolBacklog& aBacklog,
                                       const Job& aJob,
                                       const AdmissionTimes& aTimes);

// Whether admission control applies to a job: it ends by itself, has an
// objective, and starts at once.
bool HasObjective(const Job& aJob);

struct AdmissionDecision
{
  bool isAdmitted_ = true;
  Millis retryAfter_{ 0 }; // until a job like this one would be in time
  std::optional<JobForecast> forecast_;

  bool operator==(const AdmissionDecision&) const = default;
};

// Rejects a job only if it surely ends too late to be worth anything, and no
// target has room for its first step now.
AdmissionDecision DecideAdmission(const PoolBacklog& aBacklog,
                                  const Job& aJob,
                                  const AdmissionTimes& aTimes);

} // namespace cuminbridge

#endif // cuminbridge_admission_h
