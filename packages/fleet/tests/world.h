// A fleet in virtual time: owners, their store, and targets that run work,
// joined by calls that get lost, are answered late, or are carried out late. It
// checks what must always hold after every event.
//
//   World world(seed);
//   world.AddTargets("pool", 4);
//   world.BeginOwner();
//   world.Submit(MakeJob("0000000000000001", "pool", { 3, 2 }));
//   world.RunFor(Millis(20000));
//   CHECK(world.Broken().empty());

#ifndef cuminbridge_fleet_tests_world_h
#define cuminbridge_fleet_tests_world_h

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "cuminbridge/fleet.h"

namespace cuminbridge {

struct WorldFaults
{
  double lostRequest_ = 0; // share of calls to targets that never arrive
  double lostAnswer_ = 0;  // ... that are carried out and not answered
  double late_ = 0;        // ... that are carried out 2 to 12 s later
  double failing_ = 0;     // share of runs that end failed
};

class World
{
public:
  explicit World(unsigned aSeed, WorldFaults aFaults = {});
  ~World();

  void AddTargets(const std::string& aPool, int aCount);
  void SetAccount(Account aAccount);
  void Submit(Job aJob);
  void Cancel(const std::string& aJob);

  // A new owner takes over. The one before goes on without the store until it
  // is told by a target, or for its allowance; or it ends at once.
  void BeginOwner(PreviousOwner aFormer = PreviousOwner::HandedOver);
  void EndOwner(); // as when its process is killed

  // A target is out of reach and runs on; or it starts again, empty.
  void CutTarget(const std::string& aTarget, Millis aTime);
  void RestartTarget(const std::string& aTarget);
  void DelistTarget(const std::string& aTarget, Millis aTime);
  void DrainTarget(const std::string& aTarget);
  // What is started there from now on works at this part of the usual speed.
  void SlowTarget(const std::string& aTarget, double aSpeed);

  void RunFor(Millis aTime);

  const std::vector<std::string>& Broken() const { return broken_; }
  std::optional<JobState> StoredState(const std::string& aJob) const;
  std::vector<std::string> TargetIds() const;
  int Starts(const std::string& aJob) const;
  int RunningOn(const std::string& aTarget) const;
  std::size_t LearnedQueues() const;   // by the present owner
  int Alone() const { return alone_; } // members that waited in vain

private:
  struct VirtualRun;
  struct VirtualTarget;
  struct VirtualOwner;
  using Action = std::function<void()>;

  void At(Millis aDelay, Action aAction);
  void Feed(VirtualOwner& aOwner, const Event& aEvent);
  void Execute(VirtualOwner& aOwner, Effect& aEffect);
  void TickOwner(const std::shared_ptr<VirtualOwner>& aOwner);
  void ListTargets(const std::shared_ptr<VirtualOwner>& aOwner);
  template<typename Answer, typename Carry, typename Reply>
  void Call(VirtualOwner& aOwner,
            const std::string& aTarget,
            Answer aNoAnswer,
            Carry aCarry,
            Reply aReply);
  void Store(VirtualOwner& aOwner, StoreProgress aStore);

  StartAnswered CarryStart(std::int64_t aToken, const StartRun& aStart);
  StopAnswered CarryStop(std::int64_t aToken, const StopRun& aStop);
  RenewalAnswered CarryHold(std::int64_t aToken,
                            const RenewTarget& aHold,
                            Instant aSent);
  void EndRun(VirtualTarget& aTarget, std::size_t aIndex, EndKind aKind);
  void Advance(VirtualTarget& aTarget);
  void NoteEnds(VirtualTarget& aTarget, std::int64_t aSeen);
  void CheckStart(const VirtualTarget& aTarget, const StartRun& aStart);
  void CheckFailed(const std::string& aJob);
  void CheckDone(const Job& aJob, int aOccurrence);
  std::vector<std::pair<VirtualTarget*, std::size_t>> FindGang(
    const ItemName& aMember,
    std::int64_t aRun);
  void BeginGang(const ItemName& aMember, std::int64_t aRun);
  void BreakGang(const ItemName& aMember, std::int64_t aRun);
  void Break(const std::string& aWhat);
  std::int64_t ClockOf(const VirtualTarget& aTarget) const;
  std::int64_t Shorten(std::int64_t aLease, const VirtualTarget& aTarget) const;
  double Draw();
  Millis Duration(const ItemName& aItem) const;

  std::mt19937 random_;
  WorldFaults faults_;
  Instant now_;
  std::multimap<Instant, Action> actions_;
  std::map<std::string, std::unique_ptr<VirtualTarget>> targets_;
  std::shared_ptr<VirtualOwner> owner_;
  std::int64_t token_ = 0;
  int term_ = 0;
  FleetConfig config_;

  // The store.
  std::map<std::string, Job> jobs_;
  std::set<std::string> cancelled_;
  std::map<std::string, Progress> progress_;
  std::vector<StoredTarget> known_;
  WallTime inheritedUntil_; // as the last owner recorded it

  // What really happened, for the checks.
  std::map<ItemName, int> runningNow_;
  std::set<ItemName> done_;      // some run ended done
  std::set<ItemName> notedDone_; // and the end was noted
  std::map<ItemName, int> notedFailures_;
  std::map<ItemName, int> failures_; // noted or not
  std::map<std::string, int> starts_;
  int alone_ = 0;
  std::map<std::string, Instant> cancelledAt_;
  std::vector<std::string> broken_;
};

// The id of a numbered job.
std::string IdOf(int aNumber);

// A job with one step for each count, each after the one before.
Job MakeJob(const std::string& aId,
            const std::string& aPool,
            const std::vector<int>& aCounts);

} // namespace cuminbridge

#endif // cuminbridge_fleet_tests_world_h
