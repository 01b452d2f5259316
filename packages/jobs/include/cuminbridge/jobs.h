// cuminbridge jobs: the value types that describe jobs, targets and the fleet.
//
//   auto job = DecodeJob(text);            // text from EncodeJob()
//   job.steps_[0].count_                   // number of items in the first step
//   ItemName name{ job.id_, 0, 0, 3 };     // item 3 of step 0, occurrence 0
//   FormatItem(name)                       // "5c0e7a21d94b36f8.0.0.3"
//
// A job consists of steps, a step of work items that are alike. A run is one
// attempt to execute a work item on a target; a target is the process on a VM
// that executes runs. A job that repeats has several occurrences, each of which
// runs all its steps.
//
// All types are plain values with comparison. Times of day (WallTime) count
// from 1970; all other times are on a steady clock (Instant).
//
// Index of this file:
//   [SECTION] Time and resources
//   [SECTION] Jobs
//   [SECTION] Configuration
//   [SECTION] Targets and VMs
//   [SECTION] Stored records

#ifndef cuminbridge_jobs_h
#define cuminbridge_jobs_h

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cuminbridge {

//-----------------------------------------------------------------------------
// [SECTION] Time and resources
//-----------------------------------------------------------------------------

using Millis = std::chrono::milliseconds;
using Instant = std::chrono::time_point<std::chrono::steady_clock, Millis>;
using WallTime = std::chrono::time_point<std::chrono::system_clock, Millis>;

// The clocks of a program. Tests replace them; programs use SystemClocks.
class Clocks
{
public:
  virtual ~Clocks() = default;
  virtual Instant Now() const = 0;        // steady; advances during suspend
  virtual WallTime TimeOfDay() const = 0; // may differ between VMs
};

class SystemClocks : public Clocks
{
public:
  Instant Now() const override;
  WallTime TimeOfDay() const override;
};

// The resources that a work item needs, or that a target offers.
struct Resources
{
  std::int64_t cpu_ = 0;   // thousandths of a core
  std::int64_t memMb_ = 0; // MB
  std::int64_t gpu_ = 0;   // whole accelerators

  bool operator==(const Resources&) const = default;
  Resources& operator+=(const Resources& aOther);
  Resources& operator-=(const Resources& aOther);
  bool Fits(const Resources& aFree) const; // at most aFree of each resource
};

//-----------------------------------------------------------------------------
// [SECTION] Jobs
//-----------------------------------------------------------------------------

struct Step
{
  int count_ = 0;                // number of work items
  Resources needs_;              // of each work item
  Millis estimate_{ 0 };         // rough run time of one work item
  std::vector<int> after_;       // earlier steps that must be done first
  bool isCheckpointing_ = false; // a new run resumes from the last checkpoint
  bool isGang_ = false;          // all items run at once, or none does
  bool prefersSameRack_ = false; // slow when its items are on several racks
  bool isSpeculative_ = false;   // one item may have several runs in parallel
  bool isLongRunning_ = false;   // runs until the job is cancelled
  bool isFiller_ = false;        // best effort: uses processor time left idle
  std::string label_;            // that the target must have; empty for none
  std::string dataRack_;         // slow on any other rack; empty for any rack
  int maxPerTarget_ = 0;         // items of one occurrence; 0 for no limit
  int maxUnavailable_ = 0;       // items down by the scheduler; 0 for no limit
  Millis targetLatency_{ 0 };    // of the tail; 0 if it serves no requests
  std::string image_;            // items with the same image behave alike

  bool operator==(const Step&) const = default;
};

struct Job
{
  std::string id_;      // 16 hexadecimal digits, chosen by the caller
  std::string queue_;   // name of the queue it was submitted to
  std::string pool_;    // pool of the queue at submission
  std::string account_; // client account; empty if no known key was given
  std::string spec_;    // passed unchanged to the targets
  int priority_ = 0;    // 0 is the highest
  int attempts_ = 1;    // the job fails after this many failed runs of one item
  // Objective: the job ends within stretch_ times the run time of its longest
  // chain of steps, plus allowance_.
  double stretch_ = 1;
  Millis allowance_{ 0 };
  WallTime accepted_;
  WallTime firstRun_;    // start of occurrence 0, if the job repeats
  Millis interval_{ 0 }; // between the starts of two occurrences
  int repeats_ = 0;      // number of occurrences; 0 runs once, immediately
  std::vector<Step> steps_;

  bool operator==(const Job&) const = default;
};

enum class JobState
{
  Queued,  // no work item is known to have been started by a target
  Serving, // one was; it may have ended or been lost since
  Completed,
  Failed,
  Cancelled,
};

// Whether a job in this state has ended.
constexpr bool
IsEnd(JobState aState)
{
  return aState == JobState::Completed || aState == JobState::Failed ||
         aState == JobState::Cancelled;
}

// Identifies one work item in the whole fleet.
struct ItemName
{
  std::string job_; // id of its job
  int occurrence_ = 0;
  int step_ = 0;
  int index_ = 0;

  bool operator==(const ItemName&) const = default;
  bool operator<(const ItemName& aOther) const;
};

// "JOB.OCCURRENCE.STEP.INDEX". ParseItem() returns nothing for any other form.
std::string FormatItem(const ItemName& aName);
std::optional<ItemName> ParseItem(std::string_view aText);

//-----------------------------------------------------------------------------
// [SECTION] Configuration
//-----------------------------------------------------------------------------

// Where callers submit jobs. A job keeps the pool, priority, attempts and
// objective that its queue had at submission.
struct Queue
{
  std::string name_;
  std::string host_;         // requests are matched by host and path prefix
  std::string prefix_;       // of the path; begins and ends with '/'
  std::string pool_;         // its jobs run on targets of this pool
  int priority_ = 0;         // 0 is the highest
  int attempts_ = 1;         // as Job::attempts_
  double stretch_ = 1;       // as Job::stretch_
  Millis allowance_{ 0 };    // as Job::allowance_
  Millis timeout_{ 0 };      // of a caller's request
  bool isPublic_ = false;    // accepts requests without an API key
  bool needsAdvice_ = false; // the advice service chooses among the targets

  bool operator==(const Queue&) const = default;
};

struct Pool
{
  std::string name_;
  bool rejectsOverload_ = true; // its targets reject runs that do not fit
  bool isStandby_ = false;      // its VMs are off and cost nothing

  bool operator==(const Pool&) const = default;
};

// A client account.
struct Account
{
  std::string name_;
  std::vector<std::string> keys_; // API keys
  double weight_ = 1;             // its share of the fleet, against the others'
  Resources limit_; // of all its runs together; 0 for no limit on a resource

  bool operator==(const Account&) const = default;
};

struct FleetConfig
{
  std::int64_t version_ = 0; // 0: none has been read yet
  std::vector<Queue> queues_;
  std::vector<Pool> pools_;
  std::vector<Account> accounts_;
  std::int64_t maxBodyBytes_ = 0; // of a caller's request

  bool operator==(const FleetConfig&) const = default;
};

// Look-ups; all return null if there is no match. FindQueue() returns the queue
// of the host that has the longest matching prefix.
const Queue* FindQueue(const FleetConfig& aConfig,
                       std::string_view aHost,
                       std::string_view aPath);
const Queue* FindQueueByName(const FleetConfig& aConfig,
                             std::string_view aName);
const Pool* FindPool(const FleetConfig& aConfig, std::string_view aName);
const Account* FindAccount(const FleetConfig& aConfig, std::string_view aName);
const Account* FindAccountByKey(const FleetConfig& aConfig,
                                std::string_view aKey);

//-----------------------------------------------------------------------------
// [SECTION] Targets and VMs
//-----------------------------------------------------------------------------

// The entry that a target writes about itself into the store.
struct TargetReport
{
  std::string id_;
  std::string address_; // host:port
  std::string pool_;
  std::string vm_; // name of the VM it runs on; empty if not reported
  std::string dataCentre_;
  std::string rack_;
  std::vector<std::string> labels_;
  Resources capacity_;
  bool isDraining_ = false;
  Millis remaining_{ 0 };        // draining: runs at least this much longer
  std::int64_t startUnixMs_ = 0; // tells its incarnations apart
  std::int64_t clockMs_ = 0;     // its steady clock at the time of the report
  std::int64_t sequence_ = 0;    // changes with each report

  bool operator==(const TargetReport&) const = default;
};

enum class VmState
{
  Up,
  Moving,
  Maintenance,
  Down,
};

struct Vm
{
  std::string name_;
  std::string pool_;
  std::string target_; // id of its target; empty if it has none
  std::string dataCentre_;
  std::string rack_;
  VmState state_ = VmState::Down;
  Resources capacity_;

  bool operator==(const Vm&) const = default;
};

// A maintenance wave: each of its VMs gets maintenance once, within duration_.
struct Wave
{
  std::int64_t number_ = 0;
  std::vector<std::string> vms_; // names
  Millis duration_{ 0 };         // from when an owner first sees the wave
  int maxDown_ = 1;              // limit for VMs in maintenance at once

  bool operator==(const Wave&) const = default;
};

// A run that a target lists as running.
struct RunningRun
{
  ItemName item_;
  std::int64_t run_ = 0;   // run number; a newer run has a higher one
  std::string checkpoint_; // empty if it has written none
  int percent_ = 0;        // progress; a long-running item is at work at 100
  std::int64_t usage_ = 0; // tail latency in ms if it serves requests, else
                           // thousandths of a core

  bool operator==(const RunningRun&) const = default;
};

// How a run ended.
enum class EndKind
{
  Done,
  Failed,
  Stopped,        // by an order to stop it
  Lapsed,         // its lease ran out
  GangBroken,     // another member of its gang ended
  GangIncomplete, // other members of its gang were not started in time
};

// A run that has ended. A target lists it until the owner acknowledges it.
struct EndedRun
{
  std::int64_t number_ = 0; // counts from 1 in each incarnation of a target
  ItemName item_;
  std::int64_t run_ = 0;
  EndKind kind_ = EndKind::Failed;
  std::string checkpoint_;

  bool operator==(const EndedRun&) const = default;
};

//-----------------------------------------------------------------------------
// [SECTION] Stored records
//-----------------------------------------------------------------------------
// Records that the owner keeps in the store, in the project's own format.

// How a run stood when its target's process ended. Stored by these numbers.
enum class CrashKind
{
  Early = 0,      // soon after its start, which the target had confirmed
  Late = 1,       // later, or it was started by an earlier owner
  Unanswered = 2, // its start was not answered: it may not have run there
  Uncertain = 3,  // it may have ended there before
  Unreached = 4,  // as Unanswered, but the target may have ended before it
};

// A run of an item was on a target whose process ended by itself.
struct Crash
{
  std::string target_;
  std::int64_t run_ = 0;
  CrashKind kind_ = CrashKind::Early;

  bool operator==(const Crash&) const = default;
};

// A start of an item that its target has not answered, and may carry out late.
struct UnansweredStart
{
  std::string target_;
  WallTime until_; // it is not carried out after this

  bool operator==(const UnansweredStart&) const = default;
};

// Progress of one work item. Items without such a record were never started.
struct ItemProgress
{
  int occurrence_ = 0;
  int step_ = 0;
  int index_ = 0;
  bool isDone_ = false;
  std::vector<std::int64_t> failedRuns_; // run numbers
  std::int64_t run_ = 0;                 // highest run number issued
  std::string checkpoint_;               // the last one; empty for none
  std::string target_; // where run_ was started; empty once that run is over
  std::vector<Crash> crashes_;
  std::vector<UnansweredStart> lateStarts_;

  bool operator==(const ItemProgress&) const = default;
};

// Progress of one job.
struct Progress
{
  JobState state_ = JobState::Queued;
  WallTime changed_;                // when this record was made
  std::vector<ItemProgress> items_; // empty once the job has ended
  // Occurrences whose items are all done, as ranges from first to last. They
  // have no rows in items_.
  std::vector<std::pair<int, int>> doneOccurrences_;

  bool operator==(const Progress&) const = default;
};

// A decoder returns nothing if the text is not a whole record.
std::string EncodeJob(const Job& aJob);
std::optional<Job> DecodeJob(std::string_view aText);
std::string EncodeProgress(const Progress& aProgress);
std::optional<Progress> DecodeProgress(std::string_view aText);

} // namespace cuminbridge

#endif // cuminbridge_jobs_h
