// Internal: one term of ownership of a cell. Passes events to a Fleet and
// carries out its effects.

#ifndef cuminbridge_daemon_owner_h
#define cuminbridge_daemon_owner_h

#include <memory>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include "account_grants.h"
#include "admission/backlogs.h"
#include "cells.h"
#include "fenced_writer.h"
#include "records.h"

namespace cuminbridge {

// Time for which the owner's key outlives the last renewal of its lease, unless
// the store allows only longer ones. The owner renews every 200 ms, and the
// slowest answer of the store takes 240 ms.
inline constexpr Millis kOwnerLease(1000);
Millis OwnerLease(const PlatformSettings& aSettings);

struct Ownership
{
  Cell cell_;
  std::shared_ptr<const CellMap> map_;
  std::int64_t token_ =
    0; // fencing token: creation revision of the owner's key
  std::int64_t lease_ = 0;    // its number in the store
  int term_ = 1;              // counts the owners, from 1
  std::string previousOwner_; // value of its kLastOwnerKey; empty for the first
  Instant validUntil_;        // the store does not end the lease before this
};

class Owner : public std::enable_shared_from_this<Owner>
{
public:
  Owner(DaemonContext aContext,
        Ownership aOwnership,
        const FleetConfig& aConfig);

  void Begin(); // spawns the coroutines
  void End(const std::string& aWhy);
  // Stores what is not stored yet, then ends the lease, so that another entry
  // can take over at once.
  Awaitable<void> HandOver();

  bool HasEnded() const { return hasEnded_; }
  // True while no other owner can have taken over.
  bool IsLeaseValid() const;
  int Term() const { return ownership_.term_; }
  Cell GetCell() const { return ownership_.cell_; }

  void Handle(const Event& aEvent);
  Instant SubmissionsReadUpTo() const { return submissionsReadUpTo_; }
  // A job or a cancellation that an entry has stored.
  void HandleSubmittedJob(Job aJob);
  void HandleCancel(const std::string& aJob);
  LoadRecord CountWaiting() const;
  // The pools that are short, counted at most kBacklogInterval ago.
  const BacklogReport& ShortBacklogs();
  std::string ShortBacklogsText(); // empty if no pool is short
  // Jobs that entries have refused in this term, by pool.
  void NoteRefusal(const std::string& aPool) { ++refusals_[aPool]; }
  const std::map<std::string, int>& CountRefusals() const { return refusals_; }
  void ApplyTuning(); // call it after the tuning has changed
  const Fleet& GetFleet() const { return fleet_; }
  const Traffic& TrafficToTargets() const { return targetHttp_.GetTraffic(); }

private:
  Awaitable<void> Load();
  void ReplaceOldTargetRecord(const StoredFleet& aStored,
                              const JobsLoaded& aLoaded);
  Awaitable<PreviousOwner> AskPreviousOwner();
  Awaitable<void> FollowPreviousOwner();
  void LogPreviousOwner(PreviousOwner aState);
  Awaitable<void> Renew();
  Awaitable<void> RenewOnce();
  Awaitable<StoredFleet> ReadStoredFleet(StoredFleet aStored);
  Awaitable<StoreReply> ReadList(std::string aPrefix, StoreReply aRead);
  // A list that is read page by page, over several tries if need be.
  struct PagedList
  {
    StoreReply read_; // so far
    Instant began_;   // when its first page was requested
  };
  // One try to read the pages that are missing.
  Awaitable<StoreReply> ContinueList(std::string aPrefix, PagedList& aList);
  Awaitable<StoreReply> ReadKey(std::string aKey, StoreReply aRead);
  Awaitable<void> WatchSubmissions(std::int64_t aRevision);
  void UpdateTarget(const StoreItem& aItem);
  Awaitable<void> WatchTargets();
  Awaitable<void> PollVms();
  void RequestVms(); // has PollVms() read the list soon
  void LogReachability(const char* aService,
                       bool& aIsReachable,
                       bool aIsAnswered);
  Awaitable<void> WatchEvacuations();
  Awaitable<void> PollWaves();
  void CompleteWaves(const std::vector<Wave>& aWaves,
                     const StoreReply& aRecords);
  Awaitable<void> ShareLimits();
  Awaitable<bool> WriteGrants(AccountGrants aGrants, std::int64_t aRevision);
  void UseGrants(const AccountGrants& aGrants);
  std::map<std::string, LimitUse> LimitUses() const;
  Awaitable<void> PublishLoad();
  Awaitable<void> RunTicks();
  Awaitable<void> LogTraffic();

  // Until then, a call that leaves arrives before another owner can take over.
  Instant SoleOwnerUntil() const;
  bool MayStart() const; // runs and operations on VMs
  void EndIfAllowanceOver();
  bool HandleSubmission(const StoreItem& aItem); // false if it can't be decoded
  void Execute(Effect aEffect);
  void Store(const StoreProgress& aEffect);
  void Store(const StoreWave& aEffect);
  void StoreOwnerRecord(bool aHasHandedOver);
  void RemoveJobs(const DeleteJobRecords& aEffect);
  void Transfer(const TransferJob& aEffect);
  void ForwardCancel(const std::string& aJob, int aCell);
  Awaitable<void> ReportCapacity();
  template<typename Call>
  void Spawn(Call aCall)
  {
    boost::asio::co_spawn(
      context_.io_, std::move(aCall), boost::asio::detached);
  }

  DaemonContext context_;
  Ownership ownership_;
  Fleet fleet_;
  HttpClient targetHttp_; // its connections end with the term
  TargetClient targets_;
  VmClient vms_;
  AdviceClient advice_;
  CellKeys keys_;
  FencedWriter writer_;
  std::set<std::int64_t> completedWaves_; // whose status this owner has stored
  std::map<std::string, TargetReport> reports_; // of the targets, by id
  std::set<std::string> unreadableTargets_;     // keys that were logged
  std::vector<Job> earlyJobs_;                  // notified before hasLoaded_
  std::map<std::string, int> movedJobs_;   // transferred ones, with their cell
  std::set<std::string> pendingTransfers_; // of movedJobs_: not stored yet
  int orderSlot_ = 0;                      // of kVmOrdersPrefix, written last
  Instant submissionsReadUpTo_;            // as SubmissionsRead
  BacklogReport backlogs_;
  Instant backlogsCountedAt_;
  std::map<std::string, int> refusals_; // by pool
  bool hasEnded_ = false;
  bool isVmServiceReachable_ = false;
  bool isVmListRequested_ = false;
  boost::asio::steady_timer vmPollTimer_; // until the next list of VMs
  bool isAdviceReachable_ = false;
  bool hasLoaded_ = false;     // the fleet has got all records of the store
  bool isHandingOver_ = false; // no run, VM move or VM maintenance is started
};

} // namespace cuminbridge

#endif // cuminbridge_daemon_owner_h
