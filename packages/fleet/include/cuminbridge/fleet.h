// cuminbridge fleet: every decision about jobs, targets and VMs, as one
// reducer.
//
//   Fleet fleet(options, token);
//   fleet.Handle(JobsLoaded{ ... }, now);      // what lies in the store
//   fleet.Handle(TargetsSeen{ ... }, now);
//   for (auto& effect : fleet.TakeEffects()) { ... carry it out ... }
//   fleet.Handle(HoldAnswered{ ... }, now);    // and tell what became of it
//
// The owner of the fleet runs one Fleet, made anew each time it becomes the
// owner. A Fleet does no input or output and reads no clock: events carry what
// happened, effects say what to do. A call that an effect asks for is answered
// by exactly one event, also when it failed.
//
// Before it starts anything, a new Fleet asks every listed target what runs
// there. Its higher fencing token keeps out the owner before it.
//
// Index of this file:
//   [SECTION] Options
//   [SECTION] Events
//   [SECTION] Effects
//   [SECTION] The reducer

#ifndef cuminbridge_fleet_h
#define cuminbridge_fleet_h

#include <deque>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "cuminbridge/jobs.h"

namespace cuminbridge {

//-----------------------------------------------------------------------------
// [SECTION] Options
//-----------------------------------------------------------------------------

struct FleetOptions
{
  // How long what runs on a target outlives its last renewal. Longer than a
  // change of owner takes (2 s lease in the store, then reading it), and short,
  // as work on a silent target is started elsewhere only after it.
  Millis targetLease_{ 4000 };
  // A target shortens longer leases to this, from the settings.
  Millis longestLease_{ 10000 };
  // A target answers a renewal at the next end, or after this.
  Millis holdWait_{ 1000 };
  // The same where runs end by themselves: an answer that is lost then holds up
  // the steps after them.
  Millis runWait_{ 400 };
  // The same where fillers run beside work that serves, to pace them in time.
  Millis pacingWait_{ 400 };
  // A target that does not answer a renewal this long after its wait is silent.
  Millis holdGrace_{ 700 };
  // Longest that an owner goes on after its lease in the store has run out.
  Millis ownerAllowance_{ 5000 };
  // Stops that got no answer are sent again after this.
  Millis stopRetry_{ 400 };
  // Changed progress is written together at most this often; ends of jobs go
  // at once.
  Millis storeInterval_{ 50 };
  // Time between two looks at moves of VMs between pools.
  Millis planInterval_{ 200 };
  // Moves in one plan: a part of the rate that the settings allow for orders.
  std::size_t movesInPlan_ = 8;
  // A VM has left its pool for this long when it moves, from the settings.
  Millis moveTime_{ 1500 };
  // Orders of two owners for one VM stay this far apart, from the settings.
  Millis vmOrderLease_{ 3000 };
  // Times of day of two entries differ by this at most, outside of clock steps.
  Millis clockSkew_{ 500 };
  // A target that was not asked yet answers within this, or is silent.
  Millis lookLimit_{ 350 };
  // A filler's share is looked at this often; targets act within 100 ms.
  Millis paceInterval_{ 300 };
  // Ended jobs can be asked for this long, from the settings.
  Millis keepEnded_{ 120000 };
  // Run time on a rack that is not the data's, against the data's own.
  double remoteFactor_ = 1.5;
};

//-----------------------------------------------------------------------------
// [SECTION] Events
//-----------------------------------------------------------------------------

// A target that an owner has used, in the store for the next owner: the list of
// targets may lack live ones after an outage of the store.
struct KnownTarget
{
  std::string id_;
  std::string address_;
  std::string pool_;

  KnownTarget() = default;
  KnownTarget(std::string aId, std::string aAddress, std::string aPool)
    : id_(std::move(aId))
    , address_(std::move(aAddress))
    , pool_(std::move(aPool))
  {
  }
  bool operator==(const KnownTarget&) const = default;
};

// An order for a VM, in the store before it is sent.
struct KnownOrder
{
  std::string vm_;
  WallTime at_;

  bool operator==(const KnownOrder&) const = default;
};

// The last turn of demand on a pool, in the store for the next owner.
struct KnownTurn
{
  std::string pool_;
  WallTime began_;
  Millis period_{ 0 };       // since the turn before it; 0 if it is the first
  std::int64_t meanCpu_ = 0; // thousandths of a core kept busy, last whole turn

  bool operator==(const KnownTurn&) const = default;
};

// What is known of a wave, in the store.
struct WaveRecord
{
  WallTime seen_;                       // by the first owner that saw it
  std::vector<std::string> upkeepDone_; // VMs whose upkeep has begun

  bool operator==(const WaveRecord&) const = default;
};

// What is known of the owner before.
enum class FormerOwner
{
  Unknown,    // it may still renew leases on targets for a while
  Ended,      // its process has ended, or says that it is no owner
  HandedOver, // it has also recorded all that it did
};

// All that lay in the store when this owner began. Comes first, once.
struct JobsLoaded
{
  std::vector<Job> jobs_;
  std::map<std::string, Progress> progress_; // by job
  std::set<std::string> cancelled_;          // jobs
  std::map<std::int64_t, WaveRecord> waves_;
  std::vector<KnownOrder> orders_;   // recent ones of the owner before
  std::vector<KnownTarget> targets_; // of the owner before
  std::vector<KnownTurn> turns_;     // one a pool
  FormerOwner former_ = FormerOwner::Unknown;
  // Until then an owner before the last one may renew leases, or what it left
  // may run where nobody can ask.
  WallTime inheritedUntil_;
  int term_ = 1; // counts the owners, from 1
};

struct JobArrived
{
  Job job_;
};

struct JobCancelled
{
  std::string job_;
};

struct ConfigSeen
{
  FleetConfig config_;
};

// The whole list. isFresh_ is false while the store may have lost entries.
struct TargetsSeen
{
  std::vector<TargetReport> targets_;
};

struct VmsSeen
{
  std::vector<Vm> vms_;
  Instant askedAt_; // the list is no older
};

struct WavesSeen
{
  std::vector<Wave> waves_;
};

enum class StartOutcome
{
  Started,
  Fenced,    // a newer owner has been there
  OldRun,    // the target has seen this run or a higher one
  TooLate,   // the lease of the start had run out on arrival
  NoRoom,    // it does not fit
  BadTicket, // the advice no longer holds
  Rejected,  // the target is unhealthy or can't take it; nothing was done
  OtherLife, // another process answers at the address
  NotSent,   // it never arrived
  Unknown,   // no answer: it may still start
};

struct StartAnswered
{
  std::string target_;
  ItemName item_;
  std::int64_t run_ = 0;
  StartOutcome outcome_ = StartOutcome::Unknown;
  std::int64_t clockMs_ = 0; // of the target; 0 if it did not tell
};

struct StopAnswered
{
  std::string target_;
  ItemName item_;
  std::int64_t run_ = 0;
  bool isDone_ = false; // the target has taken it
};

enum class HoldOutcome
{
  Answered,
  Fenced,
  OtherLife, // another process answers at the address
  Refused,   // nothing listens there: all that ran there is over
  Silent,
};

struct HoldAnswered
{
  std::string target_;
  HoldOutcome outcome_ = HoldOutcome::Silent;
  Instant sentAt_;
  std::int64_t born_ = 0;
  std::int64_t clockMs_ = 0;
  std::vector<RunningRun> running_;
  std::vector<EndedRun> ended_;
};

struct AdviceAnswered
{
  std::string step_;
  bool isAnswered_ = false;
  std::vector<std::string> asked_;
  std::vector<std::pair<std::string, std::string>> allowed_; // target, ticket
  Millis validity_{ 0 };
};

enum class VmOrderOutcome
{
  Done,
  Busy,    // it is not up, or it is leaving
  Refused, // no such VM, pool or wave, or a newer owner
  Limited, // too many calls; nothing was done
  Unknown, // no answer
};

struct VmOrderAnswered
{
  std::string vm_;
  VmOrderOutcome outcome_ = VmOrderOutcome::Unknown;
};

// All of a StoreProgress effect is in the store.
struct ProgressStored
{
  std::uint64_t batch_ = 0;
};

// Times that its owner chose anew. Leases and other times that owners have to
// agree on must stay as they were.
struct OptionsChanged
{
  FleetOptions options_;
};

// Time has passed; comes a few times in each 100 ms. mayOrderVms_ is false when
// the owner's lease may run out before an order would arrive, or has: then
// another owner may have taken over.
struct Tick
{
  WallTime timeOfDay_;
  bool mayOrderVms_ = false;
};

using Event = std::variant<JobsLoaded,
                           JobArrived,
                           JobCancelled,
                           ConfigSeen,
                           TargetsSeen,
                           VmsSeen,
                           WavesSeen,
                           StartAnswered,
                           StopAnswered,
                           HoldAnswered,
                           AdviceAnswered,
                           VmOrderAnswered,
                           ProgressStored,
                           OptionsChanged,
                           Tick>;

//-----------------------------------------------------------------------------
// [SECTION] Effects
//-----------------------------------------------------------------------------

struct StartRun
{
  std::string target_;
  std::string address_;
  ItemName item_;
  std::int64_t run_ = 0;
  std::string spec_;
  std::string checkpoint_;
  std::string ticket_;
  std::int64_t leaseUntil_ = 0; // on the target's clock
};

struct StopRun
{
  std::string target_;
  std::string address_;
  ItemName item_;
  std::int64_t run_ = 0;
};

struct HoldTarget
{
  std::string target_;
  std::string address_;
  std::int64_t leaseUntil_ = 0; // 0 renews nothing
  std::int64_t lastSeen_ = 0;   // ends up to here are stored
  Millis wait_{ 0 };
  Millis limit_{ 0 }; // without an answer it is silent then
};

struct PaceRun
{
  std::string target_;
  std::string address_;
  ItemName item_;
  std::int64_t run_ = 0;
  int percent_ = 100;
};

struct AskAdvice
{
  std::string step_; // as "5c0e7a21d94b36f8.0.1"
  std::vector<std::string> targets_;
};

struct MoveVm
{
  std::string vm_;
  std::string pool_;
};

struct UpkeepVm
{
  std::string vm_;
  std::int64_t wave_ = 0;
};

struct StoreProgress
{
  std::uint64_t batch_ = 0;
  std::vector<std::pair<std::string, Progress>> jobs_;
  bool hasTargets_ = false; // the list of known targets is written too
  std::vector<KnownTarget> targets_;
  bool hasOrders_ = false; // so is that of recent orders
  std::vector<KnownOrder> orders_;
  bool hasTurns_ = false; // and that of turns of demand
  std::vector<KnownTurn> turns_;
};

struct StoreWave
{
  std::int64_t wave_ = 0;
  WaveRecord record_;
  bool isCompleted_ = false;
};

// Removes all records of jobs that ended long ago.
struct ForgetJobs
{
  std::vector<std::string> jobs_;
};

// A line for the log: a decision that touches a job, or a changed belief.
struct LogLine
{
  std::string event_; // as "run_started"
  std::string job_;   // empty if it is about no job
  std::string item_;
  std::string target_;
  std::string detail_; // what decided it
};

// A newer owner exists: this one must end.
struct Abdicate
{};

using Effect = std::variant<StartRun,
                            StopRun,
                            HoldTarget,
                            PaceRun,
                            AskAdvice,
                            MoveVm,
                            UpkeepVm,
                            StoreProgress,
                            StoreWave,
                            ForgetJobs,
                            LogLine,
                            Abdicate>;

//-----------------------------------------------------------------------------
// [SECTION] The reducer
//-----------------------------------------------------------------------------

// Load of one queue, for those who refuse work and for operators.
struct QueueLoad
{
  std::string queue_;
  int waiting_ = 0;     // jobs without times that have not begun
  Millis backlog_{ 0 }; // time that the work ahead of a new job takes
};

// What operators are shown.
struct PoolSummary
{
  std::string pool_;
  int vms_ = 0;     // as the platform lists them
  int targets_ = 0; // that can be used now
  int runs_ = 0;
  int waiting_ = 0;             // work items whose turn has come
  std::int64_t offeredCpu_ = 0; // thousandths of a core kept busy by arrivals

  bool operator==(const PoolSummary&) const = default;
};

struct AccountSummary
{
  std::string account_;
  Resources running_;
  Resources limit_; // 0 in a part is no limit

  bool operator==(const AccountSummary&) const = default;
};

struct WaveSummary
{
  std::int64_t wave_ = 0;
  int vms_ = 0;
  int begun_ = 0; // upkeeps
  int down_ = 0;  // for it now
  bool isCompleted_ = false;

  bool operator==(const WaveSummary&) const = default;
};

struct FleetCounts
{
  std::uint64_t starts_ = 0;
  std::uint64_t startsRefused_ = 0;
  std::uint64_t done_ = 0;
  std::uint64_t failed_ = 0;
  std::uint64_t lost_ = 0; // runs that lapsed or went with their target
  std::uint64_t moves_ = 0;
  std::uint64_t upkeeps_ = 0;
  std::uint64_t jobsEnded_ = 0;
};

struct FleetState; // internal: packages/fleet/src/state.h

class Fleet
{
public:
  Fleet(FleetOptions aOptions, Instant aNow);
  ~Fleet();

  void Handle(const Event& aEvent, Instant aNow);
  std::vector<Effect> TakeEffects();

  // What the store is known to hold about a job; nothing if it is unknown here.
  std::optional<JobState> StoredState(const std::string& aJob) const;
  std::vector<QueueLoad> Loads() const;
  std::vector<PoolSummary> Pools() const;
  std::vector<AccountSummary> Accounts() const;
  std::vector<WaveSummary> Waves() const;
  // Until then work that owners before this one left may run unseen.
  WallTime InheritedUntil() const;
  bool HasUnstored() const; // something changed that the store does not hold
  const FleetCounts& Counts() const;
  const FleetState& State() const { return *state_; } // for tests

private:
  std::unique_ptr<FleetState> state_;
};

} // namespace cuminbridge

#endif // cuminbridge_fleet_h
