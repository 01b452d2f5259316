// Internal: what a Fleet knows.

#ifndef cuminbridge_fleet_state_h
#define cuminbridge_fleet_state_h

#include "cuminbridge/fleet.h"

#include "run_times.h"
#include "shares.h"
#include "turns.h"

namespace cuminbridge {

//-----------------------------------------------------------------------------
// [SECTION] Jobs
//-----------------------------------------------------------------------------

enum class ItemPhase
{
  Waiting,  // for its step's turn, or for room
  Assigned, // a run of it is, or may be, on a target
  Done,
};

struct ItemState
{
  ItemPhase phase_ = ItemPhase::Waiting;
  std::vector<std::int64_t> failedRuns_; // each counts once, whoever sees it
  std::int64_t run_ = 0;                 // highest given out
  std::string checkpoint_;
  std::string target_; // while Assigned
  std::string avoid_;  // target where it failed last, or was too slow
  int replaced_ = 0;   // runs that were stopped for being slow
  Instant notBefore_;  // its next start
};

struct Ticket
{
  std::string text_;
  Instant validUntil_;
};

struct StepState
{
  std::vector<ItemState> items_;
  int done_ = 0;
  int assigned_ = 0;
  std::map<std::string, Ticket> tickets_;
  bool isAsking_ = false;
  Instant askAfter_;
};

struct Occurrence
{
  std::vector<StepState> steps_;
  std::size_t stepsDone_ = 0;
};

struct JobEntry
{
  Job job_;
  JobState state_ = JobState::Queued;
  std::optional<JobState> stored_; // what the store is known to hold
  bool isDirty_ = false;
  bool wasLoaded_ = false;     // accepted before this owner began
  bool isBeyondShare_ = false; // of its client account
  std::map<int, Occurrence> occurrences_;
  int nextOccurrence_ = 0; // first that is not open yet
  int occurrencesDone_ = 0;
  int unassigned_ = 0; // items that wait, their step's turn come or not
  Instant arrived_;
  Instant ended_;

  bool HasEnded() const
  {
    return state_ == JobState::Completed || state_ == JobState::Failed ||
           state_ == JobState::Cancelled;
  }
};

//-----------------------------------------------------------------------------
// [SECTION] Targets
//-----------------------------------------------------------------------------

enum class RunPhase
{
  Starting, // the start is not answered
  Running,
  Stopping, // a stop was sent
};

struct Run
{
  ItemName item_;
  std::int64_t run_ = 0;
  RunPhase phase_ = RunPhase::Starting;
  bool isUnknown_ = false;  // no job has this item, so far
  bool isPresumed_ = false; // by the stored record of the owner before
  bool isOurs_ = false;     // this owner sent its start, at sentAt_
  Resources needs_;
  std::string account_;
  bool isLongRunning_ = false;
  bool isFiller_ = false;
  Millis targetLatency_{ 0 };
  Instant sentAt_;
  std::optional<Instant> confirmedAt_; // the target answered or listed it
  Instant stopSentAt_;
  std::optional<Instant> stoppedAt_; // the stop was answered
  int percent_ = 0;
  // How far it was, and when, for its pace: at its start, or when the target
  // first listed a run of the owner before.
  std::optional<Instant> progressFrom_;
  int percentThen_ = 0;
  std::string checkpoint_;
  std::int64_t usage_ = 0;
  int pace_ = 100;
  Instant pacedAt_;
};

enum class Contact
{
  Unseen, // has not told what runs there
  Good,
  Silent,
};

struct Target
{
  TargetReport report_;
  bool isListed_ = false;
  bool isRecorded_ = false;  // a next owner would find it, listed or not
  bool isInherited_ = false; // the owner before us used it
  bool wasSeen_ = false;     // it has told us what runs there
  bool isGone_ = false;      // its process has ended
  // Its process began while another owner may have taken over: it does not know
  // that owner's token yet, and so would take starts of this one.
  bool isUnfenced_ = false;
  Contact contact_ = Contact::Unseen;
  std::int64_t born_ = 0;

  // Its clock was at least clockMs_ at clockAt_.
  std::int64_t clockMs_ = 0;
  Instant clockAt_;
  std::int64_t leaseUntil_ = 0; // latest that it may have, on its clock

  std::vector<Run> runs_;
  Resources used_;

  bool isHolding_ = false; // a renewal is on its way
  Instant nextHold_;
  std::int64_t endsTaken_ = 0;  // ends up to here are applied
  std::int64_t endsStored_ = 0; // ... and in the store
  std::int64_t endsTold_ = 0;   // ... and told to the target
  std::int64_t endsInBatch_ = 0;

  Instant avoidUntil_;
  Instant idleSince_;
  Instant leavingUntil_;    // an order for its VM is on its way
  bool isDueSoon_ = false;  // an open wave has its VM
  bool isCordoned_ = false; // a wave wants it empty now
  Instant cordonedAt_;
  Instant slowUntil_;     // it was found slow; it comes last until then
  int failuresInRow_ = 0; // runs that failed there, with no success between

  bool IsUsable(Instant aNow) const
  {
    return isListed_ && isRecorded_ && !isGone_ && !isUnfenced_ &&
           contact_ == Contact::Good && !report_.isDraining_ && !isCordoned_ &&
           avoidUntil_ <= aNow && leavingUntil_ <= aNow;
  }
};

//-----------------------------------------------------------------------------
// [SECTION] VMs and waves
//-----------------------------------------------------------------------------

struct VmOrder
{
  bool isUpkeep_ = false;
  std::int64_t wave_ = 0;
  std::string pool_; // where it moves to
  Instant sentAt_;
  WallTime recordedAt_;
  bool isStored_ = false; // only then it is sent
  bool isInBatch_ = false;
  std::optional<Instant> doneAt_;
  bool isAnswered_ = false;
};

struct WaveState
{
  Wave wave_;
  Instant seenAt_;
  WallTime seen_;
  std::set<std::string> done_;          // upkeep has begun
  std::map<std::string, Instant> down_; // VM and since when
  bool isCompleted_ = false;
  bool isTold_ = false; // its status is written
};

// Work that arrives in a pool, as cores it would keep busy; older arrivals
// count less and less.
struct OfferedLoad
{
  double cores_ = 0; // at seen_
  Instant seen_;

  void Add(double aCoreMillis, Millis aMemory, Instant aNow);
  double At(Instant aNow, Millis aMemory) const;
  Millis memory_{ 1 }; // of its last arrival
};

//-----------------------------------------------------------------------------
// [SECTION] The fleet
//-----------------------------------------------------------------------------

struct FleetState
{
  FleetOptions options_;
  Instant began_;
  Instant now_;
  WallTime timeOfDay_;
  Instant timeOfDayAt_;
  bool mayOrderVms_ = false;
  bool hasJobs_ = false;    // JobsLoaded has come
  bool hasTargets_ = false; // TargetsSeen has come
  bool isLooking_ = true;   // some listed target has not been asked yet
  int term_ = 1;
  FormerOwner former_ = FormerOwner::Unknown;
  Instant inheritedUntil_; // from the record of the owner before

  FleetConfig config_;
  std::unordered_map<std::string, std::unique_ptr<JobEntry>> jobs_;
  std::set<std::string> active_; // jobs that have not ended
  std::map<std::string, Target> targets_;
  std::map<std::string, std::vector<Target*>> byPool_; // listed ones
  // Targets to look after at each tick; all others wait for the next sweep.
  std::set<std::string> attended_;
  std::map<std::string, Resources> running_;  // by account
  std::map<std::string, ShareBucket> shares_; // by account
  std::map<std::string, RunTimes> runTimes_;  // by queue
  std::map<std::string, PoolTurn> turns_;     // by pool
  bool mustStoreTurns_ = false;
  std::map<std::string, OfferedLoad> offered_; // by pool

  std::map<std::string, Vm> vms_;
  Instant vmsSeen_;
  std::map<std::string, VmOrder> vmOrders_;
  std::map<std::int64_t, WaveState> waves_;
  std::map<std::int64_t, WaveRecord> loadedWaves_;
  std::map<std::string, Instant> orderedBefore_; // VM: may be ordered from then
  std::deque<KnownOrder> recentOrders_;
  bool mustStoreOrders_ = false;
  Instant nextPlan_;

  std::set<std::string> dirtyJobs_;
  std::uint64_t batch_ = 0; // 0: none on its way
  std::uint64_t lastBatch_ = 0;
  std::vector<std::pair<std::string, JobState>> batchStates_;
  Instant nextStore_;
  bool isUrgent_ = false; // a job has ended: store at once
  bool mustStoreTargets_ = false;
  std::vector<std::string> batchTargets_;

  std::map<std::string, Instant> dispatched_; // by pool
  std::set<std::string>
    dirtyPools_; // something changed that may let work start
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
  WallTime TimeOfDay() const { return timeOfDay_ + (now_ - timeOfDayAt_); }
};

// What an item name stands for; all null if it is unknown.
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
