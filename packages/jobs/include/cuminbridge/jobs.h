// cuminbridge jobs: the values that jobs, targets and the fleet are made of.
//
//   auto job = DecodeJob(text);            // as EncodeJob() wrote it
//   job.steps_[0].count_                   // work items of its first step
//   ItemName name{ job.id_, 0, 0, 3 };     // item 3 of step 0, occurrence 0
//   FormatItem(name)                       // "5c0e7a21d94b36f8.0.0.3"
//
// All of them are plain values with comparison. Times of day are counted from
// 1970 (WallTime); all else is counted on a steady clock (Instant).
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

// The two clocks a program needs. Real programs pass SystemClocks.
class Clocks
{
public:
  virtual ~Clocks() = default;
  virtual Instant Now() const = 0; // counts while the VM is suspended too
  virtual WallTime TimeOfDay() const = 0; // may differ between VMs
};

class SystemClocks : public Clocks
{
public:
  Instant Now() const override;
  WallTime TimeOfDay() const override;
};

// What a work item needs, or a target has.
struct Resources
{
  std::int64_t cpu_ = 0;   // thousandths of a core
  std::int64_t memMb_ = 0; // MB
  std::int64_t gpu_ = 0;   // whole accelerators

  bool operator==(const Resources&) const = default;
  Resources& operator+=(const Resources& aOther);
  Resources& operator-=(const Resources& aOther);
  bool Fits(const Resources& aRoom) const; // no more than aRoom in any part
};

//-----------------------------------------------------------------------------
// [SECTION] Jobs
//-----------------------------------------------------------------------------

struct Step
{
  int count_ = 0;                // work items
  Resources needs_;              // of each work item
  Millis estimate_{ 0 };         // of one work item's run time; rough
  std::vector<int> after_;       // earlier steps that must be done first
  bool isCheckpointing_ = false; // resumes from a checkpoint
  bool isGang_ = false;          // all items run together or none does
  bool isSameRack_ = false;      // slow when spread over racks
  bool isSpeculative_ = false;   // copies may run in parallel
  bool isLasting_ = false;       // runs until the job is cancelled
  bool isFiller_ = false;        // takes the processor time that others leave
  std::string label_;            // the target must have it, unless empty
  std::string dataRack_;         // slow on any other rack, unless empty
  int maxPerTarget_ = 0;         // items of one occurrence; 0 is no limit
  int maxUnavailable_ = 0;       // items away by our own doing; 0 is no limit
  Millis targetLatency_{ 0 };    // tail that its users expect; 0 serves none
  std::string image_;            // work items of one image behave alike

  bool operator==(const Step&) const = default;
};

struct Job
{
  std::string id_;      // 16 hexadecimal digits, chosen by the caller
  std::string queue_;   // name of its queue
  std::string pool_;    // pool of the queue when it was handed in
  std::string account_; // client account; empty on queues open to all
  std::string spec_;    // handed to the targets as it is
  int priority_ = 0;    // 0 goes first
  int attempts_ = 1;    // failed runs of one item after which the job fails
  double stretch_ = 1; // objective: stretch times the longest chain of work ...
  Millis allowance_{ 0 }; // ... and this much more
  WallTime accepted_;
  WallTime firstRun_;    // of occurrence 0, if it repeats
  Millis interval_{ 0 }; // between occurrences
  int repeats_ = 0;      // occurrences; 0 runs once, at once
  std::vector<Step> steps_;

  bool operator==(const Job&) const = default;
};

enum class JobState
{
  Queued,
  Serving,
  Completed,
  Failed,
  Cancelled,
};

struct ItemName
{
  std::string job_;
  int occurrence_ = 0;
  int step_ = 0;
  int index_ = 0;

  bool operator==(const ItemName&) const = default;
  bool operator<(const ItemName& aOther) const;
};

std::string FormatItem(const ItemName& aName);
std::optional<ItemName> ParseItem(std::string_view aText);

//-----------------------------------------------------------------------------
// [SECTION] Configuration
//-----------------------------------------------------------------------------

struct Queue
{
  std::string name_;
  std::string host_;
  std::string prefix_; // of the path, from '/' to '/'
  std::string pool_;
  int priority_ = 0;
  int attempts_ = 1;
  double stretch_ = 1;
  Millis allowance_{ 0 };
  Millis timeout_{ 0 }; // of a caller's request
  bool isOpen_ = false; // takes work without a key
  bool needsAdvice_ = false;

  bool operator==(const Queue&) const = default;
};

struct Pool
{
  std::string name_;
  bool isGuarded_ = true;  // its targets reject what does not fit
  bool isStandby_ = false; // its VMs are off and not paid for

  bool operator==(const Pool&) const = default;
};

struct Account
{
  std::string name_;
  std::vector<std::string> keys_;
  double weight_ = 1;
  Resources limit_; // running over the whole fleet; 0 in a part is no limit

  bool operator==(const Account&) const = default;
};

struct FleetConfig
{
  std::int64_t version_ = 0;
  std::vector<Queue> queues_;
  std::vector<Pool> pools_;
  std::vector<Account> accounts_;
  std::int64_t maxBodyBytes_ = 0;

  bool operator==(const FleetConfig&) const = default;
};

// The queue with the longest matching prefix, or null.
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

// What a target says of itself in the store.
struct TargetReport
{
  std::string id_;
  std::string address_; // host:port
  std::string pool_;
  std::string vm_;
  std::string dataCentre_;
  std::string rack_;
  std::vector<std::string> labels_;
  Resources capacity_;
  bool isDraining_ = false;
  Millis remaining_{ 0 };    // least time left while it drains
  std::int64_t born_ = 0;    // Unix milliseconds of its start
  std::int64_t clockMs_ = 0; // its steady clock when it reported
  std::int64_t sequence_ = 0;

  bool operator==(const TargetReport&) const = default;
};

enum class VmState
{
  Up,
  Moving,
  Upkeep,
  Down,
};

struct Vm
{
  std::string name_;
  std::string pool_;
  std::string target_; // id of its target, if it has one
  std::string rack_;
  VmState state_ = VmState::Down;
  Resources capacity_;

  bool operator==(const Vm&) const = default;
};

// A maintenance wave: each VM has its upkeep within the duration.
struct Wave
{
  std::int64_t number_ = 0;
  std::vector<std::string> vms_;
  Millis duration_{ 0 };
  int maxDown_ = 1; // VMs down for it at once

  bool operator==(const Wave&) const = default;
};

// One run that a target lists as running.
struct RunningRun
{
  ItemName item_;
  std::int64_t run_ = 0;
  std::string checkpoint_;
  int percent_ = 0; // of its work; 100 is at work for lasting items
  std::int64_t usage_ =
    0; // tail in ms if it serves, else thousandths of a core

  bool operator==(const RunningRun&) const = default;
};

enum class EndKind
{
  Done,
  Failed,
  Stopped,
  Lapsed,
  Broken, // another member of its gang ended
  Alone,  // the other members of its gang did not come
};

struct EndedRun
{
  std::int64_t number_ = 0; // counts from 1 in each life of a target
  ItemName item_;
  std::int64_t run_ = 0;
  EndKind kind_ = EndKind::Failed;
  std::string checkpoint_;

  bool operator==(const EndedRun&) const = default;
};

//-----------------------------------------------------------------------------
// [SECTION] Stored records
//-----------------------------------------------------------------------------
// What lies in the store, in our own format.

// What is known of one work item. Items that are not listed were not started.
struct ItemProgress
{
  int occurrence_ = 0;
  int step_ = 0;
  int index_ = 0;
  bool isDone_ = false;
  std::vector<std::int64_t> failedRuns_;
  std::int64_t run_ = 0; // highest run given out
  std::string checkpoint_;
  std::string target_; // where run_ was started, while it is not over

  bool operator==(const ItemProgress&) const = default;
};

struct Progress
{
  JobState state_ = JobState::Queued;
  WallTime changed_;
  std::vector<ItemProgress> items_; // left out once the job has ended

  bool operator==(const Progress&) const = default;
};

std::string EncodeJob(const Job& aJob);
std::optional<Job> DecodeJob(std::string_view aText);
std::string EncodeProgress(const Progress& aProgress);
std::optional<Progress> DecodeProgress(std::string_view aText);

} // namespace cuminbridge

#endif // cuminbridge_jobs_h
