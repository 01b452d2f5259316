// cuminbridge fleet: makes every scheduling decision about jobs, targets and
// VMs, as a reducer that turns events into effects.
//
//   Fleet fleet(options, now);
//   fleet.Handle(JobsLoaded{ ... }, now);      // the contents of the store
//   fleet.Handle(TargetsSeen{ ... }, now);
//   for (auto& effect : fleet.TakeEffects()) { ... carry it out ... }
//   fleet.Handle(RenewalAnswered{ ... }, now); // report its result
//
// The owner of the fleet runs one Fleet and creates a new one each time that it
// becomes the owner. A Fleet does no input or output and reads no clock: events
// carry what happened, effects say what to do. Each call that an effect asks
// for must be answered by exactly one event, also if the call failed.
//
// A new Fleet starts no work before reconciliation: it first asks every listed
// target what runs there. Its fencing token is higher than that of the previous
// owner, whose calls the targets then reject.
//
// Index of this file:
//   [SECTION] Options
//   [SECTION] Events
//   [SECTION] Effects
//   [SECTION] The reducer

#ifndef cuminbridge_fleet_h
#define cuminbridge_fleet_h

#include <algorithm>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "cuminbridge/admission.h"

namespace cuminbridge {

//-----------------------------------------------------------------------------
// [SECTION] Options
//-----------------------------------------------------------------------------

struct FleetOptions
{
  // Lease of the runs on a target: how long they go on after the last renewal.
  // It must exceed the time that a change of owner takes (the 2 s lease in the
  // store, then reading the store). It should be short, because work on an
  // unresponsive target is started elsewhere only after this lease has expired.
  Millis targetLease_{ 4000 };
  // Targets shorten longer leases to this. Comes from the settings.
  Millis longestLease_{ 10000 };
  // Long poll of a renewal: the target answers when its next run ends, or after
  // this time at the latest.
  Millis renewalWait_{ 1000 };
  // Long poll on targets with runs that end by themselves. It is shorter,
  // because a lost answer delays the steps that depend on these runs.
  Millis batchRenewalWait_{ 400 };
  // Long poll on targets where fillers run beside work that serves requests.
  // It is shorter, so that the pacing of the fillers follows the load in time.
  Millis pacedRenewalWait_{ 400 };
  // A target that has not answered a renewal this long after the end of its
  // long poll counts as unresponsive.
  Millis renewalGrace_{ 700 };
  // Longest time that an owner may go on acting after its lease in the store
  // has expired.
  Millis ownerAllowance_{ 5000 };
  // Longest time from a stop until the run has ended. Comes from the settings.
  Millis stopTime_{ 1000 };
  // A stop without an answer is sent again after this.
  Millis stopRetry_{ 400 };
  // A start that arrives later than this after it was sent has no effect.
  Millis startTimeout_{ 1300 };
  // While the store is reachable, nothing is started on knowledge of
  // submissions that is older than this: cancelled work must not start. The sum
  // with startTimeout_ must be below the time that the users allow for a
  // cancellation.
  Millis maxSubmissionAge_{ 1500 };
  // While the store is reachable, a start must reach its target while the list
  // of targets that it goes by is younger than this: a target that drains gets
  // no new work. Comes from the settings.
  Millis maxTargetsAge_{ 2000 };
  // A start must reach its target while the requests to evacuate data centres
  // that it goes by are younger than this. 0: none are ever made. Comes from
  // the settings.
  Millis maxEvacuationsAge_{ 0 };
  // In a pool that does not reject overload, a start must reach its target
  // while the report that it goes by is younger than this: capacities shrink.
  // Comes from the settings.
  Millis maxReportAge_{ 4500 };
  // Shortest time between two writes of changed progress. The end of a job is
  // written at once.
  Millis storeInterval_{ 50 };
  // Time between two plans of VM moves between pools.
  Millis planInterval_{ 200 };
  // Most moves in one plan. It keeps moves to a part of the call rate that the
  // settings allow for VM orders.
  std::size_t maxMovesPerPlan_ = 8;
  // Time for which a moving VM is in neither pool. Comes from the settings.
  Millis moveTime_{ 1500 };
  // Shortest time between orders of two owners for the same VM. Comes from the
  // settings.
  Millis vmOrderLease_{ 3000 };
  // Largest difference between the times of day of two processes of the fleet,
  // apart from clock steps.
  Millis clockSkew_{ 500 };
  // A target that is unresponsive or not reconciled yet is asked without a long
  // poll. It counts as unresponsive if it does not answer within this.
  Millis reconcileTimeout_{ 350 };
  // Shortest time between two changes of the pacing of one filler. Targets
  // apply a change within 100 ms.
  Millis paceInterval_{ 300 };
  // Ended jobs can be queried for this long. Comes from the settings.
  Millis keepEnded_{ 120000 };
  // In pools that reject overload, jobs that can still be in time start in the
  // order of what waiting costs their callers, not of their work.
  bool ranksByCost_ = true;
  // Busy VMs that their pool can spare take no more work while others lack
  // room.
  bool releasesVms_ = true;
  // Work items and steps of one client account whose state is kept at once, of
  // some 200 bytes each. Its further jobs wait until others have ended.
  std::int64_t maxOpenItems_ = 200000;
  // Cells of the fleet. Jobs are divided evenly, so a cell gets one job of this
  // many of each account.
  int cells_ = 1;
  // Run time on another rack than that of the data, relative to the run time on
  // the rack of the data.
  double remoteFactor_ = 1.5;
};

//-----------------------------------------------------------------------------
// [SECTION] Events
//-----------------------------------------------------------------------------

// A target that an owner has used, stored for the next owner. The list of
// targets alone does not suffice, because after an outage of the store it may
// lack live targets.
struct StoredTarget
{
  std::string id_;
  std::string address_;
  std::string pool_;
  // It was unresponsive. Everything that was started there is stored, as it
  // gets no work before this is stored as false again.
  bool isSilent_ = false;

  StoredTarget() = default;
  StoredTarget(std::string aId,
               std::string aAddress,
               std::string aPool,
               bool aIsSilent = false)
    : id_(std::move(aId))
    , address_(std::move(aAddress))
    , pool_(std::move(aPool))
    , isSilent_(aIsSilent)
  {
  }
  bool operator==(const StoredTarget&) const = default;
};

// An order for a VM. It is stored before it is sent.
struct StoredOrder
{
  std::string vm_;
  WallTime at_; // when it was created

  bool operator==(const StoredOrder&) const = default;
};

// The last demand peak of a pool, stored for the next owner.
struct StoredDemandPeak
{
  std::string pool_;
  WallTime began_;
  Millis period_{ 0 };       // since the previous peak began; 0 if none
  std::int64_t meanCpu_ = 0; // mean demand over the last complete peak, in
                             // thousandths of a core

  bool operator==(const StoredDemandPeak&) const = default;
};

// The stored state of a maintenance wave.
struct WaveRecord
{
  WallTime firstSeenAt_; // when the first owner saw the wave
  std::vector<std::string> maintenanceBegun_; // VMs

  bool operator==(const WaveRecord&) const = default;
};

// What a new owner knows about the previous owner.
enum class PreviousOwner
{
  Unknown,    // it may go on renewing leases for up to ownerAllowance_
  Ended,      // its process has ended, or says that it is no longer the owner
  HandedOver, // it ended after it had stored all its changes; or none existed
};

// The contents of the store when this owner began. Comes once; no work starts
// before it.
struct JobsLoaded
{
  Instant readAt_; // when the reading of the records began
  std::vector<Job> jobs_;
  std::map<std::string, Progress> progress_; // by job
  std::set<std::string> cancelled_;          // ids of cancelled jobs
  std::set<std::string> guests_; // ids of jobs that other cells transferred
  std::map<std::int64_t, WaveRecord> waves_;
  std::vector<StoredOrder> orders_;           // recent, of earlier owners
  std::vector<StoredTarget> targets_;         // used by the previous owner
  std::vector<StoredDemandPeak> demandPeaks_; // at most one per pool
  PreviousOwner previousOwner_ = PreviousOwner::Unknown;
  // Bound that the previous owner stored: until then, owners before it may
  // renew leases, or their work may run on targets that cannot be asked.
  WallTime inheritedUntil_;
  int term_ = 1; // number of this owner, counted from 1
};

// The previous owner was Unknown when the records came, and has ended by now.
struct PreviousOwnerEnded
{};

struct JobArrived
{
  Job job_;
  bool isGuest_ = false; // another cell has transferred it; it stays here
};

// What another cell reports of its pools, in thousandths of a core.
struct PeerCapacitySeen
{
  int cell_ = 0;
  std::map<std::string, std::int64_t> freeCpu_;    // that no work waits for
  std::map<std::string, std::int64_t> offeredCpu_; // offered load
};

struct JobCancelled
{
  std::string job_;
};

// All jobs and cancellations that were stored before this time have been passed
// on.
struct SubmissionsRead
{
  Instant upTo_;
};

struct ConfigSeen
{
  FleetConfig config_;
};

// The complete list of targets, as read from the store.
struct TargetsSeen
{
  std::vector<TargetReport> targets_;
  // When the list was requested: it is no older than this. Empty: not known.
  std::optional<Instant> askedAt_ = std::nullopt;
};

struct VmsSeen
{
  std::vector<Vm> vms_;
  Instant askedAt_; // when the list was requested: it is no older than this
};

struct WavesSeen
{
  std::vector<Wave> waves_;
};

// All data centres whose operator asks that nothing more start there. While one
// is named, its targets get no work.
struct EvacuationsSeen
{
  std::set<std::string> dataCentres_;
  Instant askedAt_; // when the list was requested: it is no older than this
};

enum class StartOutcome
{
  Started,
  Fenced,           // the target has seen a higher fencing token
  StaleRun,         // the target has seen this run number or a higher one
  TooLate,          // the lease of the start had expired on arrival
  NoCapacity,       // the run does not fit into the target's free capacity
  BadTicket,        // the ticket of the advice is no longer valid
  Rejected,         // the target is unhealthy or cannot run it; nothing started
  OtherIncarnation, // another process answers at the address
  NotSent,          // the request never reached the target
  Unknown,          // no answer: the run may still start
};

struct StartAnswered
{
  std::string target_;
  ItemName item_;
  std::int64_t run_ = 0;
  StartOutcome outcome_ = StartOutcome::Unknown;
  std::int64_t clockMs_ = 0; // clock of the target; 0 if it was not reported
  Instant sentAt_;           // of the request
  int process_ = 0;          // as in StartRun
};

struct StopAnswered
{
  std::string target_;
  ItemName item_;
  std::int64_t run_ = 0;
  bool isDone_ = false; // the target has accepted the stop
};

enum class RenewalOutcome
{
  Answered,
  Fenced,           // the target has seen a higher fencing token
  OtherIncarnation, // another process answers at the address
  Refused,          // connection refused: by its VM, or by the network
  Unresponsive,     // no valid answer in time
};

struct RenewalAnswered
{
  std::string target_;
  RenewalOutcome outcome_ = RenewalOutcome::Unresponsive;
  Instant sentAt_;               // of the request
  std::int64_t startUnixMs_ = 0; // when the target's process started
  std::int64_t clockMs_ = 0;     // clock of the target
  std::vector<RunningRun> running_;
  std::vector<EndedRun> ended_; // those after RenewTarget::acknowledgedEnds_
  int process_ = 0;             // as in RenewTarget
};

struct AdviceAnswered
{
  std::string step_;
  bool isAnswered_ = false;        // false if the call failed
  std::vector<std::string> asked_; // the targets of the question
  std::vector<std::pair<std::string, std::string>> allowed_; // target, ticket
  Millis validity_{ 0 };                                     // of the tickets
};

enum class VmOrderOutcome
{
  Done,
  Busy,    // the VM is not up, or it is leaving
  Refused, // unknown VM, pool or wave, or a newer owner exists
  Limited, // the rate limit was exceeded; nothing was done
  Unknown, // no answer: the order may have been carried out
};

struct VmOrderAnswered
{
  std::string vm_;
  VmOrderOutcome outcome_ = VmOrderOutcome::Unknown;
};

// Everything in one StoreProgress effect has been stored.
struct ProgressStored
{
  std::uint64_t batch_ = 0;
};

// The parts of the accounts' limits that this owner may use, in thousandths. An
// account that is not named may use an equal part.
struct LimitsGranted
{
  std::map<std::string, int> parts_; // by account
};

// Changes options while the Fleet runs. Leases and other times on which
// successive owners have to agree must not change.
struct OptionsChanged
{
  FleetOptions options_;
};

// Time has passed. Comes a few times in each 100 ms. From soleOwnerUntil_ on,
// the owner's lease may expire before a call would arrive, and another owner
// may have taken over by then. Then nothing is started and no VM is ordered: a
// target that has restarted would accept the start, as it has not seen the
// token of the other owner. It is a time, as the process may be held up until
// after it, and other events may come before the next tick.
struct Tick
{
  WallTime timeOfDay_;
  Instant soleOwnerUntil_;
  bool isStoreReachable_ = true; // as seen from this process
};

using Event = std::variant<JobsLoaded,
                           PreviousOwnerEnded,
                           JobArrived,
                           JobCancelled,
                           SubmissionsRead,
                           PeerCapacitySeen,
                           ConfigSeen,
                           TargetsSeen,
                           VmsSeen,
                           WavesSeen,
                           EvacuationsSeen,
                           StartAnswered,
                           StopAnswered,
                           RenewalAnswered,
                           AdviceAnswered,
                           VmOrderAnswered,
                           ProgressStored,
                           LimitsGranted,
                           OptionsChanged,
                           Tick>;

//-----------------------------------------------------------------------------
// [SECTION] Effects
//-----------------------------------------------------------------------------

// A target that starts again under its id takes calls that were meant for the
// process before, also seconds later. So a call's token tells the processes
// apart: a process that has seen the token of its own calls refuses the others.
//
// The fencing token of a call to a target. aProcess is process_ of the effect:
// it rises with each restart of a target that the owner learns of.
constexpr std::int64_t
TargetToken(std::int64_t aOwnerToken, int aProcess)
{
  constexpr int kProcesses = 1000000; // that one owner can tell apart
  return aOwnerToken * kProcesses + std::min(aProcess, kProcesses - 1);
}

struct StartRun
{
  std::string target_;
  std::string address_;
  int process_ = 0; // for TargetToken(), as in the effects below
  ItemName item_;
  std::int64_t run_ = 0;
  std::string spec_;
  std::string checkpoint_;
  std::string ticket_;
  std::int64_t leaseUntil_ = 0; // on the target's clock, in ms
};

struct StopRun
{
  std::string target_;
  std::string address_;
  int process_ = 0;
  ItemName item_;
  std::int64_t run_ = 0;
};

// Renews the leases of all runs on a target and asks for its lists of running
// and ended runs.
struct RenewTarget
{
  std::string target_;
  std::string address_;
  int process_ = 0;
  std::int64_t leaseUntil_ = 0; // on the target's clock, in ms; 0 only asks
  std::int64_t acknowledgedEnds_ = 0; // ends up to this number are stored
  Millis wait_{ 0 };                  // long poll; 0 asks for an answer at once
  Millis limit_{ 0 }; // without an answer by then it counts as unresponsive
};

// Sets the pacing of a filler.
struct PaceRun
{
  std::string target_;
  std::string address_;
  int process_ = 0;
  ItemName item_;
  std::int64_t run_ = 0;
  int percent_ = 100; // share of the processor that it may use; 0 halts it
};

// Asks which of these targets may run a step.
struct AskAdvice
{
  std::string step_; // "<job>.<occurrence>.<step>": "5c0e7a21d94b36f8.0.1"
  std::vector<std::string> targets_;
};

// Asks for a VmsSeen soon, before the next one that is due: it shows whether
// the process of a target that does not answer has ended.
struct RequestVmList
{};

struct MoveVm
{
  std::string vm_;
  std::string pool_;
};

// Starts the maintenance of a VM.
struct MaintainVm
{
  std::string vm_;
  std::int64_t wave_ = 0;
};

struct StoreProgress
{
  std::uint64_t batch_ = 0;
  std::vector<std::pair<std::string, Progress>> jobs_;
  std::vector<StoredTarget> newTargets_;    // used from now on
  std::vector<std::string> removedTargets_; // ids of those not used any more
  bool hasOrders_ = false;                  // orders_ is not empty
  std::vector<StoredOrder> orders_; // new ones, besides those stored before
  bool hasDemandPeaks_ = false;     // demandPeaks_ replaces the stored list
  std::vector<StoredDemandPeak> demandPeaks_;
};

struct StoreWave
{
  std::int64_t wave_ = 0;
  WaveRecord record_;
  bool isCompleted_ = false;
};

// Gives a job of which nothing has started to another cell. This Fleet does not
// know the job any more.
struct TransferJob
{
  Job job_;
  int cell_ = 0;
};

// Deletes all records of jobs that ended more than keepEnded_ ago.
struct DeleteJobRecords
{
  std::vector<std::string> jobs_;
};

// A log line: a decision about a job, or a change in what the Fleet knows about
// a target, a VM or a wave.
struct LogLine
{
  std::string event_;  // as "run_started"
  std::string job_;    // empty if the line is about no job
  std::string item_;   // empty if it is about no work item
  std::string target_; // a target or a VM; empty if it is about none
  std::string detail_; // reason and figures of the decision
};

// A newer owner exists: this owner must stop acting.
struct StepDown
{};

using Effect = std::variant<StartRun,
                            StopRun,
                            RenewTarget,
                            PaceRun,
                            AskAdvice,
                            RequestVmList,
                            MoveVm,
                            MaintainVm,
                            StoreProgress,
                            StoreWave,
                            TransferJob,
                            DeleteJobRecords,
                            LogLine,
                            StepDown>;

//-----------------------------------------------------------------------------
// [SECTION] The reducer
//-----------------------------------------------------------------------------

// Load of one queue, for admission control and for operators.
struct QueueLoad
{
  std::string queue_;
  int waiting_ = 0;     // jobs that have not begun, without repeating ones
  Millis backlog_{ 0 }; // not set by Fleet
};

// Views for operators.
struct PoolSummary
{
  std::string pool_;
  int vms_ = 0;     // in the platform's list
  int targets_ = 0; // that accept new work now
  int runs_ = 0;
  int waiting_ = 0; // work items that could start if there were free capacity
  std::int64_t offeredCpu_ = 0; // offered load, in thousandths of a core

  bool operator==(const PoolSummary&) const = default;
};

struct AccountSummary
{
  std::string account_;
  Resources running_;
  Resources waiting_; // what items need that could start, but for the limit
  Resources limit_;   // 0 in a part means no limit there

  bool operator==(const AccountSummary&) const = default;
};

struct WaveSummary
{
  std::int64_t wave_ = 0;
  int vms_ = 0;
  int begun_ = 0; // VMs whose maintenance has begun
  int down_ = 0;  // VMs that are down for it now
  bool isCompleted_ = false;

  bool operator==(const WaveSummary&) const = default;
};

// What still runs in a data centre that is being evacuated.
struct EvacuationSummary
{
  std::string dataCentre_;
  Millis knownFor_{ 0 }; // to this owner
  int targets_ = 0;
  int ending_ = 0;      // runs that end there by themselves
  int longRunning_ = 0; // runs that wait for capacity elsewhere, or until their
                        // step may lack one item
  int stopping_ = 0;    // runs that are being stopped

  bool operator==(const EvacuationSummary&) const = default;
};

struct FleetCounts
{
  std::uint64_t starts_ = 0;        // runs sent to a target
  std::uint64_t startsRefused_ = 0; // starts with any outcome except Started
  std::uint64_t done_ = 0;          // work items; a gang counts as one
  std::uint64_t failed_ = 0;        // runs
  std::uint64_t lost_ = 0;    // runs whose lease expired or whose target ended
  std::uint64_t crashed_ = 0; // runs counted as Crash
  // Ends that neither finished nor failed their item; of these, runs that were
  // done but not current. Runs stopped because they were not current. Targets
  // heard of again, as the same process, after their runs were given up.
  std::uint64_t endsIgnored_ = 0;
  std::uint64_t endsDoneIgnored_ = 0;
  std::uint64_t stoppedUnwanted_ = 0;
  std::uint64_t targetsBackAfterLoss_ = 0;
  std::uint64_t moves_ = 0;
  std::uint64_t maintenanceStarts_ = 0;
  std::uint64_t jobsEnded_ = 0;
  std::uint64_t jobsTransferred_ = 0; // to other cells
};

struct FleetState; // internal, declared in packages/fleet/src/state.h

class Fleet
{
public:
  Fleet(FleetOptions aOptions, Instant aNow);
  ~Fleet();

  void Handle(const Event& aEvent, Instant aNow);
  std::vector<Effect> TakeEffects();

  // State of a job as callers may see it: Queued until some state of the job is
  // stored, and an end only once it is stored. Empty if the job is unknown.
  std::optional<JobState> StoredState(const std::string& aJob) const;
  std::vector<QueueLoad> Loads() const;
  std::vector<PoolSummary> Pools() const;
  // Of all pools that are not on standby; or only of those that are short.
  std::vector<PoolBacklog> Backlogs() const;
  std::vector<PoolBacklog> ShortBacklogs() const;
  std::vector<AccountSummary> Accounts() const;
  std::vector<WaveSummary> Waves() const;
  std::vector<EvacuationSummary> Evacuations() const;
  // As in PeerCapacitySeen, for the other cells.
  std::map<std::string, std::int64_t> FreeCpu() const;
  std::map<std::string, std::int64_t> OfferedCpu() const;
  // Until then, work of earlier owners may run on targets that this owner could
  // not ask.
  WallTime InheritedUntil() const;
  bool HasUnstoredChanges() const;
  bool HasVmOrders() const; // some have not been completed
  const FleetCounts& Counts() const;
  const FleetState& State() const { return *state_; } // for tests

private:
  std::unique_ptr<FleetState> state_;
};

} // namespace cuminbridge

#endif // cuminbridge_fleet_h
