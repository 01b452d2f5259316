// Internal: the state of a Fleet.

#ifndef cuminbridge_fleet_state_h
#define cuminbridge_fleet_state_h

#include <algorithm>

#include <boost/icl/interval_set.hpp>

#include "cuminbridge/fleet.h"

#include "demand_peaks.h"
#include "run_times.h"
#include "shares.h"
#include "target_record/run_tail.h"
#include "target_record/target_record.h"

namespace cuminbridge {

//-----------------------------------------------------------------------------
// [SECTION] Jobs
//-----------------------------------------------------------------------------

enum class ItemPhase
{
  Waiting,  // for earlier steps, or for free capacity
  Assigned, // a run of it is, or may be, on a target
  Done,
};

// A start of an item that got no answer and may still be carried out.
struct LateStart
{
  std::string target_;
  Instant notedAt_;        // later calls to the target fence it off
  Instant until_;          // it is not carried out after this
  bool isAwaited_ = false; // its item waits for it, and the log says so
};

struct ItemState
{
  ItemPhase phase_ = ItemPhase::Waiting;
  // Run numbers that failed. Owners store them, so that a failure that two
  // owners see counts once.
  std::vector<std::int64_t> failedRuns_;
  std::int64_t run_ = 0; // while Assigned, that run; else the last one known
  std::int64_t highestRun_ = 0; // of earlier runs: numbers are not used again
  // Targets whose process ended under it. A long-running item that gets to work
  // forgets them.
  std::vector<Crash> crashes_;
  std::size_t crashesInBatch_ = 0; // of these, in the batch on its way
  std::size_t crashesStored_ = 0;  // of these, surely stored
  std::string checkpoint_;
  std::string target_; // while Assigned
  // Where a run failed last, was too slow, or had its start left unanswered.
  std::string avoidedTarget_;
  int slowReplacements_ = 0; // runs stopped because they were too slow
  int surplusRuns_ = 0; // of Run::isSurplus_; it starts once there are none
  bool isStartUnanswered_ = false; // the last start of it
  Instant notBefore_; // earliest next start; never set, so no limit

  std::int64_t LastRun() const { return std::max(run_, highestRun_); }
};

// Answer of the advice service for one target.
struct Ticket
{
  std::string text_; // empty: the step may not run on the target
  Instant validUntil_;
};

struct StepState
{
  std::vector<ItemState> items_;
  int done_ = 0;                          // items
  int assigned_ = 0;                      // items
  std::map<std::string, Ticket> tickets_; // by target
  bool isAdvicePending_ = false;          // a question has not been answered
  // A suspect has lived through its start since the last crash.
  bool hasPassedTrial_ = false;
  Instant nextAdviceAt_; // no question before this
  // Completed runs of this owner, and the time that they took in all.
  int runsTimed_ = 0;
  Millis timeOfRuns_{ 0 };
};

struct Occurrence
{
  std::vector<StepState> steps_;
  std::size_t stepsDone_ = 0;
};

using OccurrenceSet = boost::icl::interval_set<int>; // numbers

struct JobEntry
{
  Job job_;
  JobState state_ = JobState::Queued;
  std::optional<JobState> storedState_; // last state that is surely stored
  bool isDirty_ = false;       // changed since it was last put into a batch
  bool wasLoaded_ = false;     // accepted before this owner began
  bool isBeyondShare_ = false; // exceeds the share of its client account
  bool isGuest_ = false;       // another cell has transferred it
  bool hasCrashes_ = false;    // some item has or had
  std::map<int, Occurrence> occurrences_; // by number; only open ones
  OccurrenceSet closedOccurrences_;       // of a repeating job: all done
  Occurrence closedOccurrence_;           // state of each; filled when needed
  int nextOccurrence_ = 0;                // all before it have been opened
  int occurrencesDone_ = 0;
  int unassigned_ = 0; // waiting items, whether their step is ready or not
  Instant arrived_;    // when it was accepted, on this owner's clock
  Instant ended_;

  bool HasEnded() const { return IsEnd(state_); }
};

//-----------------------------------------------------------------------------
// [SECTION] Targets
//-----------------------------------------------------------------------------

enum class RunPhase
{
  Starting, // the start has not been answered
  Running,
  Stopping, // a stop has been sent
};

struct Run
{
  ItemName item_;
  std::int64_t run_ = 0;
  RunPhase phase_ = RunPhase::Starting;
  bool isJobUnknown_ = false; // its job has not arrived yet
  // Known only from the stored record of an earlier owner, or from an earlier
  // incarnation of the target: the target has yet to list it.
  bool isUnconfirmed_ = false;
  bool isStartedByThisOwner_ = false;
  bool isStartPending_ = false; // the call that starts it has not returned
  // Its target had answered a moment before the start was sent.
  bool wasTargetInContact_ = false;
  bool isTrial_ = false;        // its item was a suspect when it was added
  bool isSurplus_ = false;      // its item was assigned to another run then
  bool hasPassedStart_ = false; // listed when kTrialTime old or older
  // Its target has been unresponsive since it last listed the run.
  bool mayHaveEnded_ = false;
  bool isExplained_ = false; // the crash is likely the doing of another run
  // Its process has crashed by then, unless the new process lists the run.
  std::optional<Instant> processEndedBy_;
  Resources needs_;     // what it reserves; a filler reserves no processor time
  std::string account_; // client account
  bool isLongRunning_ = false;
  bool isFiller_ = false;
  Millis targetLatency_{ 0 };
  Instant sentAt_; // when the start was sent, or the run became known here
  std::optional<Instant> confirmedAt_; // when the target first confirmed it
  Instant stopSentAt_;                 // last one
  std::optional<Instant> stoppedAt_;   // when the target accepted a stop
  // Its start got no answer. Calls to the target with this process_ or a higher
  // one fence the start off; see late_starts.h.
  int fencedFrom_ = 0;
  int percent_ = 0; // of its work that is done
  // Baseline for its speed: when it had done basePercent_. That is its start,
  // or the first listing by the target if an earlier owner started it.
  std::optional<Instant> progressBaseAt_;
  int basePercent_ = 0;
  std::string checkpoint_;
  std::int64_t usage_ = 0; // as RunningRun::usage_
  int pace_ = 100;         // last pacing sent, in percent
  Instant pacedAt_;        // when it was sent

  // Whether the answer to its start may still show that it never began.
  bool AwaitsStartAnswer() const { return isStartPending_ && !confirmedAt_; }
};

enum class Contact
{
  Unreconciled, // has not listed its runs yet, or they are in doubt again
  Good,
  Unresponsive,
};

struct Target
{
  TargetReport report_;
  bool isListed_ = false;       // in the last list of targets
  bool isRecorded_ = false;     // stored, so that the next owner will find it
  bool isRecording_ = false;    // is being stored
  bool isStoredSilent_ = false; // StoredTarget::isSilent_, stored or to be
  // The previous owner had stored it as silent, and it has not answered since:
  // what runs there is recorded.
  bool wasSilentBefore_ = false;
  bool isInherited_ = false;   // the previous owner used it
  bool hasListedRuns_ = false; // this owner has read its list of runs
  bool hasExited_ = false;     // its process has ended; see SetExited()
  bool isReplaced_ = false;    // likewise, and none follows under its id
  // Another process was there before under its id, or may have been.
  bool hasRestarted_ = false;
  int reportsSinceExit_ = 0; // of that process, read since
  // Its clock went back, and no list of runs or report has shown which process
  // it is now.
  bool mayHaveRestarted_ = false;
  Contact contact_ = Contact::Unreconciled;
  Instant unresponsiveSince_;      // while Unresponsive
  std::optional<Instant> heardAt_; // when it last answered
  Instant incarnationSeenAt_;      // when its process became known
  // A list of VMs has named this process since, or the previous owner used it.
  bool wasOnVm_ = false;
  int listsWithoutIt_ = 0;       // lists of VMs in a row in which no VM has it
  std::int64_t startUnixMs_ = 0; // start of its process; 0: unknown
  // Number of its process for TargetToken(). It also rises with each start that
  // got no answer.
  int process_ = 0;
  // It has not answered a call of its own process, so it may still take those
  // for one before. Their deadlines may lie far ahead on its clock: that one
  // may have lived long, and another owner may have sent them.
  bool isUnfenced_ = false;

  // Its clock was at least clockMs_ at clockAt_. 0 means unknown.
  std::int64_t clockMs_ = 0;
  Instant clockAt_;
  std::int64_t leaseUntil_ = 0; // latest that it may hold, on its clock in ms

  std::vector<Run> runs_;
  Resources used_; // sum of what its runs reserve

  Instant listedAt_;      // when the renewal was sent that last listed its runs
  Instant firstListedAt_; // likewise, that did so first for this owner
  bool isRenewalPending_ = false; // a renewal has not been answered
  bool isProbed_ = false;         // called for ProbeCandidates()
  Instant nextRenewal_;
  Instant lateStartsUntil_; // an unanswered start may be carried out until then
  Instant nextLook_;        // likewise, no call for that reason before this
  int looksMissed_ = 0;     // of these calls in a row, without an answer
  // Ended runs, by their number in the target's list. Each of these is a
  // high-water mark: the ends up to it ...
  std::int64_t endsApplied_ = 0; // ... are applied to this state
  std::int64_t endsInBatch_ = 0; // ... are in the batch on its way
  std::int64_t endsStored_ = 0;  // ... are stored
  // Ends in its last list, from the first to the last number; 0 if it had none.
  std::int64_t firstListedEnd_ = 0;
  std::int64_t lastListedEnd_ = 0;
  Instant endsListedAt_; // when that list arrived

  Instant avoidUntil_;    // no starts until then, after a rejected one
  Instant idleSince_;     // nothing has run there since
  Instant leavingUntil_;  // no starts until then: its VM was ordered away
  Instant releasedUntil_; // no starts until then: other pools lack its VM
  bool awaitsMaintenance_ = false; // its VM does, by an open wave
  bool isCordoned_ = false;        // gets no work: a wave needs it empty now
  Instant cordonedAt_;             // when it was cordoned
  bool isEvacuated_ = false;       // its data centre is, or may be
  Instant closesAt_;               // while it is: as Evacuation::closesAt_
  Instant slowUntil_;              // was found slow: used last until then
  TargetRecord record_;            // what it has completed lately
  int consecutiveFailures_ = 0;    // failed runs since the last success there

  // Whether its report is that of its current process. After a restart, the
  // store may still hold that of the process before.
  bool HasReported() const
  {
    return !mayHaveRestarted_ && report_.startUnixMs_ == startUnixMs_;
  }
  // Whether it may take work, unless its data centre is being evacuated.
  bool IsSound(Instant aNow) const
  {
    return isListed_ && HasReported() && isRecorded_ && !hasExited_ &&
           contact_ == Contact::Good && !report_.isDraining_ && !isCordoned_ &&
           avoidUntil_ <= aNow && leavingUntil_ <= aNow;
  }
  bool IsUsable(Instant aNow) const { return IsSound(aNow) && !isEvacuated_; }
};

// A run that was given up, for the log.
struct LostRun
{
  ItemName item_;
  std::int64_t run_ = 0;
  Instant at_;
  std::string reason_;
};

// The runs that were given up at one process of a target.
struct TargetLoss
{
  std::int64_t startUnixMs_ = 0; // of the process; 0: unknown
  bool isGivenUp_ = false;       // the process; it has not been heard of since
  std::vector<LostRun> runs_;
};

//-----------------------------------------------------------------------------
// [SECTION] VMs and waves
//-----------------------------------------------------------------------------

struct VmOrder
{
  bool isMaintenance_ = false; // else it is a move
  std::int64_t wave_ = 0;      // of the maintenance
  std::string pool_;           // destination of the move
  Instant sentAt_;             // when it was planned, then when it was sent
  WallTime recordedAt_;        // time in its stored record
  bool isStored_ = false;      // an order is sent only once it is stored
  bool isInBatch_ = false;     // part of a batch for the store
  std::optional<Instant> doneAt_;
  bool isAnswered_ = false; // by the platform, with Done
};

struct WaveState
{
  Wave wave_;
  Instant seenAt_;                         // firstSeenAt_ on this owner's clock
  WallTime firstSeenAt_;                   // by any owner
  std::set<std::string> maintenanceBegun_; // VMs
  std::map<std::string, Instant> down_;    // VM, and since when
  // Lists of VMs in a row without the VM; only of VMs that the last one lacks.
  std::map<std::string, int> listsWithout_;
  bool isCompleted_ = false;
  bool isStatusStored_ = false; // not used
};

// A data centre that is being evacuated.
struct Evacuation
{
  Instant seenAt_;
  // A start that arrives there by then keeps the operator's limit, as the
  // request was certainly made less than that before. Never set if this owner
  // has not seen the time before the request.
  Instant closesAt_;
};

struct EvacuationState
{
  std::optional<Instant> askedAt_;          // as EvacuationsSeen::askedAt_
  std::map<std::string, Evacuation> asked_; // by data centre
  std::set<std::string> noted_; // steps of which the log says that they wait
};

// Load that arriving work offers to a pool: the cores that it would keep busy,
// as an average in which older arrivals decay exponentially.
struct OfferedLoad
{
  double cores_ = 0; // at updatedAt_
  Instant updatedAt_;

  void Add(double aCoreMillis, Millis aDecayTime, Instant aNow);
  double At(Instant aNow, Millis aDecayTime) const;
  Millis decayTime_{ 1 }; // of the last arrival
};

// Capacity of another cell, as it reported it.
struct PeerCapacity
{
  std::map<std::string, std::int64_t> freeCpu_;
  std::map<std::string, std::int64_t> offeredCpu_;
  Instant seenAt_;

  // Reports come ten times a second.
  bool IsRecent(Instant aNow) const
  {
    constexpr Millis kMaxAge(500);
    return aNow - seenAt_ < kMaxAge;
  }
};

//-----------------------------------------------------------------------------
// [SECTION] The fleet
//-----------------------------------------------------------------------------

// Ticks come every few tens of milliseconds. After a longer pause, this process
// has been held up.
inline constexpr Millis kLateTick(300);

struct FleetState
{
  FleetOptions options_;
  Instant began_;
  Instant now_;
  WallTime timeOfDay_;
  Instant timeOfDayAt_;
  Instant soleOwnerUntil_;       // see Tick
  bool isStoreReachable_ = true; // also true while that can't be told
  Instant lastTickAt_;
  Instant lagSuspectedUntil_;
  // The last time that this process was held up, for the log.
  std::optional<Instant> heldUpUntil_;
  Millis heldUpFor_{ 0 };
  Instant submissionsReadUpTo_;
  std::optional<Instant> targetsAskedAt_; // as TargetsSeen::askedAt_
  EvacuationState evacuations_;
  bool areStartsPaused_ = false; // see Dispatch()
  bool hasJobs_ = false;         // JobsLoaded has come
  bool hasTargets_ = false;      // TargetsSeen has come
  bool isReconciling_ = true; // some target has not been asked what runs there
  int term_ = 1;              // number of this owner, counted from 1
  PreviousOwner previousOwner_ = PreviousOwner::Unknown;
  Instant previousOwnerEndedAt_; // while Ended: it had ended by then
  Instant inheritedUntil_;       // see JobsLoaded

  FleetConfig config_;
  std::unordered_map<std::string, std::unique_ptr<JobEntry>> jobs_;
  std::set<std::string> activeJobs_; // ids of jobs that have not ended
  // Items and steps of all open occurrences, by account.
  std::map<std::string, std::int64_t> openItems_;
  std::set<std::string> endedOpenJobs_; // ids of ended jobs with open ones
  // Jobs that are not known yet, and when their cancellation became known.
  std::map<std::string, Instant> earlyCancellations_;
  std::map<std::string, Target> targets_;
  // Restarts and unanswered starts of all targets; numbers their processes.
  int restartsSeen_ = 0;
  std::size_t targetsAwaitingStarts_ = 0; // at the last sweep
  std::map<ItemName, std::vector<LateStart>> lateStarts_;
  // Pools of items that wait for contact with the target of a late start.
  std::set<std::string> lateStartPools_;
  std::map<std::string, std::vector<Target*>> byPool_; // listed ones
  // Targets that may need a renewal, a stop or the release of lapsed runs. Each
  // tick checks only these; the sweep adds those that need it anew.
  std::set<std::string> watchedTargets_;
  // Only for the log. By target, also of those that are not listed any more.
  std::map<std::string, TargetLoss> losses_;
  std::map<std::string, Resources> running_;  // in use, by account
  std::map<std::string, int> limitParts_;     // as LimitsGranted::parts_
  std::map<std::string, ShareBucket> shares_; // by account
  std::map<std::string, RunTimes> runTimes_;  // by queue
  std::map<std::string, RunTails> runTails_;  // by queue
  RunTail commonRunTail_; // beyond the estimate, of all queues
  std::map<std::string, PoolPeak> demandPeaks_; // by pool
  bool mustStoreDemandPeaks_ = false;
  std::map<std::string, OfferedLoad> offeredLoads_; // by pool
  std::map<int, PeerCapacity> peers_;               // by cell

  std::map<std::string, Vm> vms_;
  Instant vmsSeen_; // when the list in vms_ was requested
  std::map<std::string, VmOrder> vmOrders_; // open ones, by VM
  std::map<std::int64_t, WaveState> waves_;
  std::map<std::int64_t, WaveRecord> loadedWaves_; // from the store
  // VMs that an earlier owner ordered, and from when this one may order them.
  std::map<std::string, Instant> orderAllowedFrom_;
  // VMs with an order of this owner that was not answered, and when the first
  // one was sent. It may have been carried out, or may be yet.
  std::map<std::string, Instant> unansweredOrders_;
  std::vector<StoredOrder> newOrders_; // for the next batch
  bool mustStoreOrders_ = false;
  Instant nextPlan_;
  bool isRoomScarce_ = false; // at the last plan; see LackingCpu()

  std::set<std::string> dirtyJobs_;
  std::uint64_t batch_ = 0; // that is being stored; 0 if there is none
  std::uint64_t lastBatch_ = 0;
  std::vector<std::pair<std::string, JobState>> batchStates_; // jobs in batch_
  Instant nextStore_;     // no batch before this, unless isUrgent_
  bool isUrgent_ = false; // a job has ended or a VM is ordered: store at once
  std::set<std::string> unrecordedTargets_; // to store in the next batch
  std::set<std::string> removedTargets_;    // to remove in the next batch
  std::vector<std::string> batchTargets_;   // new targets in batch_

  std::map<std::string, Instant> lastDispatch_; // by pool
  std::set<std::string> dirtyPools_; // a change may allow work to start there
  Instant nextSweep_;

  FleetCounts counts_;
  std::vector<Effect> effects_;

  void Emit(Effect aEffect) { effects_.push_back(std::move(aEffect)); }
  void Log(std::string aEvent,
           std::string aJob,
           std::string aItem,
           std::string aTarget,
           std::string aDetail)
  {
    effects_.push_back(LogLine{ std::move(aEvent),
                                std::move(aJob),
                                std::move(aItem),
                                std::move(aTarget),
                                std::move(aDetail) });
  }
  bool IsSoleOwner() const { return now_ < soleOwnerUntil_; }
  // False only if the store certainly does not answer this process.
  bool MayReachStore() const
  {
    return isStoreReachable_ || now_ - lastTickAt_ > kLateTick;
  }
  WallTime TimeOfDay() const { return timeOfDay_ + (now_ - timeOfDayAt_); }
};

// The objects that an item name refers to. All are null if it is unknown.
struct ItemRef
{
  JobEntry* job_ = nullptr;
  StepState* step_ = nullptr;
  const Step* spec_ = nullptr;
  ItemState* item_ = nullptr;
};

ItemRef FindItem(FleetState& aState, const ItemName& aName);

} // namespace cuminbridge

#endif // cuminbridge_fleet_state_h
