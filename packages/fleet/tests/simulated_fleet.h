// A simulated fleet in virtual time: owners, their store, and targets that run
// work. Calls between them may be lost, lose their answer, or be carried out
// late. At every start of a run, and at every write that ends a job, the
// simulation checks the rules that must always hold and records violations.
//
//   SimulatedFleet fleet(seed);
//   fleet.AddTargets("pool", 4);
//   fleet.StartOwner();
//   fleet.Submit(MakeJob("0000000000000001", "pool", { 3, 2 }));
//   fleet.RunFor(Millis(20000));
//   CHECK(fleet.Violations().empty());

#ifndef cuminbridge_fleet_tests_simulated_fleet_h
#define cuminbridge_fleet_tests_simulated_fleet_h

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "cuminbridge/fleet.h"

namespace cuminbridge {

// For Tick::soleOwnerUntil_.
inline constexpr Instant kAlways = Instant::max();
inline constexpr Instant kNever;
// Nothing starts in a data centre later than this after its evacuation was
// asked for.
inline constexpr Millis kEvacuationLimit(5000);

// How often each fault happens, each a share from 0 to 1.
struct SimulatedFaults
{
  double lostRequest_ = 0; // of calls to targets: never arrive
  double lostAnswer_ = 0;  // of calls to targets: carried out, answer lost
  double lateRequest_ = 0; // of calls to targets: carried out 2 to 12 s later
  double failedRun_ = 0;   // of runs: end failed
  // Of starts, and of renewals: carried out 2 to 12 s later, by whatever
  // process the target has then.
  double heldUpStart_ = 0;
  double heldUpRenewal_ = 0;
};

class SimulatedFleet
{
public:
  explicit SimulatedFleet(unsigned aSeed, SimulatedFaults aFaults = {});
  ~SimulatedFleet();

  // Targets of a pool that does not reject overload start whatever they are
  // told to, and report themselves only once in each heartbeat interval.
  void AddTargets(const std::string& aPool,
                  int aCount,
                  bool aRejectsOverload = true);
  // Adds a pool of VMs without targets. Orders to move VMs are carried out from
  // the next owner on.
  void AddStandbyVms(int aCount);
  void SetAccount(Account aAccount);
  void Submit(Job aJob);
  void Cancel(const std::string& aJob);

  // A new owner takes over. With Unknown, the previous owner goes on without
  // the store until a target fences it or its allowance is over; otherwise it
  // ends at once.
  void StartOwner(PreviousOwner aFormer = PreviousOwner::HandedOver);
  // Owners that start from now on read the list of targets first, and their
  // records this much later.
  void DelayRecords(Millis aTime) { recordsDelay_ = aTime; }
  void KillOwner(); // as when its process is killed

  // Partitioned: the target is unreachable for the time and goes on running.
  // Rejecting: likewise, and connections to it are refused.
  // Restarted: a new incarnation with no runs. Delisted: missing from the list
  // of targets for the time, but reachable. Draining: reports that it drains.
  void PartitionTarget(const std::string& aTarget, Millis aTime);
  void RejectConnections(const std::string& aTarget, Millis aTime);
  void RestartTarget(const std::string& aTarget);
  // The target's process ends now; a new incarnation follows seconds later.
  void CrashTarget(const std::string& aTarget);
  // Every run of the item ends its target's process soon after it started.
  void MakeDeadly(const ItemName& aItem) { deadly_.insert(aItem); }
  // The next start gets no answer and is carried out this much later, by
  // whatever process its target has then.
  void HoldUpNextStart(Millis aTime) { nextStartHeldUp_ = aTime; }
  // Target of the last start that was held up so; empty if there was none.
  const std::string& HeldUpAt() const { return heldUpAt_; }
  void DelistTarget(const std::string& aTarget, Millis aTime);
  void DrainTarget(const std::string& aTarget);
  // Runs started from now on work at this part of the usual speed; 0 makes no
  // progress.
  void SlowTarget(const std::string& aTarget, double aSpeed);
  // What runs there goes on, even above the new capacity.
  void SetCapacity(const std::string& aTarget, Resources aCapacity);
  // The owner, or the target, can't reach the store for the time.
  void CutOwnerFromStore(Millis aTime);
  void CutTargetFromStore(const std::string& aTarget, Millis aTime);

  // The deployment asks for evacuations, from the next owner on. Targets lie in
  // data centres "0" and "1" by turns.
  void ServeEvacuations() { areEvacuationsServed_ = true; }
  void RequestEvacuation(const std::string& aDataCentre);
  void EndEvacuation(const std::string& aDataCentre);
  bool IsEvacuationAsked(const std::string& aDataCentre) const
  {
    return evacuations_.count(aDataCentre) != 0;
  }
  // The owner can't read the requests for the time, but all else in the store.
  void HideEvacuations(Millis aTime) { evacuationsHiddenUntil_ = now_ + aTime; }

  // The VM service answers no call for the time, but carries out orders.
  void CutVmService(Millis aTime) { vmServiceAwayUntil_ = now_ + aTime; }

  void RunFor(Millis aTime);

  // Each violation with its virtual time in ms; empty if every rule held.
  const std::vector<std::string>& Violations() const { return violations_; }
  std::optional<JobState> StoredState(const std::string& aJob) const;
  std::optional<Progress> StoredProgress(const std::string& aJob) const;
  std::vector<std::string> TargetIds() const;
  int Starts(const std::string& aJob) const; // starts that a target accepted
  int StartsOf(const ItemName& aItem) const; // likewise
  int CrashesUnder(const ItemName& aItem) const; // processes that ended
  int RunningOn(const std::string& aTarget) const;
  bool IsRunning(const ItemName& aItem) const;
  // Queues for which the current owner has learned run times.
  std::size_t LearnedQueues() const;
  std::vector<PoolBacklog> ShortBacklogs() const; // of the current owner
  // Gang members that ended because the others did not arrive in time.
  int GangTimeouts() const { return gangTimeouts_; }
  int RenewalsReceived() const { return renewals_; } // by all targets

private:
  struct SimulatedRun;
  struct SimulatedTarget;
  struct SimulatedOwner;
  struct SimulatedVm;
  using Action = std::function<void()>;

  void At(Millis aDelay, Action aAction);
  void Deliver(SimulatedOwner& aOwner, const Event& aEvent);
  void ReadRecords(const std::shared_ptr<SimulatedOwner>& aOwner,
                   PreviousOwner aFormer);
  void Execute(SimulatedOwner& aOwner, Effect& aEffect);
  void TickOwner(const std::shared_ptr<SimulatedOwner>& aOwner);
  void ListTargets(const std::shared_ptr<SimulatedOwner>& aOwner);
  void ListVms(const std::shared_ptr<SimulatedOwner>& aOwner);
  void PollVms(const std::shared_ptr<SimulatedOwner>& aOwner);
  void ListEvacuations(const std::shared_ptr<SimulatedOwner>& aOwner);
  std::vector<Vm> ListedVms() const;
  void CarryOutMove(const std::shared_ptr<SimulatedOwner>& aOwner,
                    const MoveVm& aMove);
  // An empty aVm adds a VM for the target.
  void AddTarget(const std::string& aPool,
                 const std::string& aVm,
                 Instant aStartedAt,
                 bool aRejectsOverload);
  TargetReport MakeReport(SimulatedTarget& aTarget);
  void SendHeartbeats(const std::string& aTarget);
  template<typename Answer, typename Execution, typename Reply>
  void Call(SimulatedOwner& aOwner,
            const std::string& aTarget,
            Answer aNoAnswer,
            Execution aExecute,
            Reply aReply,
            double aHeldUp = 0,
            std::optional<Millis> aHeldUpFor = std::nullopt);
  void Store(SimulatedOwner& aOwner, StoreProgress aStore);

  StartAnswered HandleStart(std::int64_t aToken, const StartRun& aStart);
  StopAnswered HandleStop(std::int64_t aToken, const StopRun& aStop);
  RenewalAnswered HandleRenewal(std::int64_t aToken,
                                const RenewTarget& aRenewal,
                                Instant aSent);
  void EndRun(SimulatedTarget& aTarget, std::size_t aIndex, EndKind aKind);
  void Advance(SimulatedTarget& aTarget);
  void EndProcess(SimulatedTarget& aTarget);
  void AcknowledgeEnds(SimulatedTarget& aTarget, std::int64_t aLastStored);
  void CheckStart(const SimulatedTarget& aTarget, const StartRun& aStart);
  Resources ReservedBy(const ItemName& aItem) const;
  void CheckCapacity(const SimulatedTarget& aTarget, const StartRun& aStart);
  void CheckEvacuation(const SimulatedTarget& aTarget, const StartRun& aStart);
  void CheckFailed(const std::string& aJob);
  void CheckDone(const Job& aJob, int aOccurrence);
  std::vector<std::pair<SimulatedTarget*, std::size_t>> FindGang(
    const ItemName& aMember,
    std::int64_t aRun);
  void BeginGang(const ItemName& aMember, std::int64_t aRun);
  void BreakGang(const ItemName& aMember, std::int64_t aRun);
  void ReportViolation(const std::string& aWhat);
  bool RejectsConnections(const SimulatedTarget& aTarget) const;
  std::int64_t ClockOf(const SimulatedTarget& aTarget) const;
  std::int64_t ClampLease(std::int64_t aLease,
                          const SimulatedTarget& aTarget) const;
  double Draw();
  Millis Duration(const ItemName& aItem) const;

  std::mt19937 random_;
  SimulatedFaults faults_;
  Instant now_;
  std::multimap<Instant, Action> actions_;
  std::map<std::string, std::unique_ptr<SimulatedTarget>> targets_;
  std::map<std::string, SimulatedVm> vms_; // by name
  bool areVmsMoved_ = false;
  bool areEvacuationsServed_ = false;
  std::map<std::string, Instant> evacuations_; // and when each was asked for
  Instant evacuationsHiddenUntil_;
  Instant vmServiceAwayUntil_;
  std::shared_ptr<SimulatedOwner> owner_;
  std::int64_t token_ = 0;
  int term_ = 0;
  Millis recordsDelay_{ 0 };
  std::optional<Millis> nextStartHeldUp_;
  std::string heldUpAt_;
  FleetConfig config_;
  Instant ownerCutAt_; // from the store, last time
  Instant ownerCutUntil_;

  // The contents of the store.
  std::map<std::string, Job> jobs_;
  std::set<std::string> cancelled_;
  std::map<std::string, Progress> progress_;
  std::map<std::string, StoredTarget> storedTargets_; // by id
  WallTime inheritedUntil_; // as the latest owner recorded it

  // What happened on the targets, whatever the owners know of it.
  std::map<ItemName, int> runningNow_;
  std::set<ItemName> done_;             // some run ended done
  std::set<ItemName> acknowledgedDone_; // and an owner acknowledged that end
  // Starts of the item by the time that this run of it ended done.
  std::map<std::pair<ItemName, std::int64_t>, int> startsWhenDone_;
  std::map<ItemName, int> failures_; // failed runs, acknowledged or not
  std::map<ItemName, int> acknowledgedFailures_;
  std::map<std::string, int> starts_;
  std::set<ItemName> deadly_;
  std::map<ItemName, int> itemStarts_;
  std::map<ItemName, int> crashes_; // processes that ended under the item
  std::map<ItemName, int> startsAfterCrashes_; // once it has had kCrashesToStop
  int gangTimeouts_ = 0;
  int renewals_ = 0;
  std::map<std::string, Instant> cancelledAt_;
  std::vector<std::string> violations_;
};

// The id of a numbered job: its number, filled with zeros to 16 digits.
std::string MakeJobId(int aNumber);

// A job with one step for each count of items; each step depends on the one
// before it. Each item needs one core.
Job MakeJob(const std::string& aId,
            const std::string& aPool,
            const std::vector<int>& aCounts);

} // namespace cuminbridge

#endif // cuminbridge_fleet_tests_simulated_fleet_h
