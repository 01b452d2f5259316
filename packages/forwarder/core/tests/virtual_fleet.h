// A fleet of entries in virtual time. The reducers are joined by an in-memory
// network and store, which can lose, delay, duplicate and reorder messages.
// The fleet checks the invariants of the system after every event. It models
// only what these checks need.

#ifndef cuminbridge_core_tests_virtual_fleet_h
#define cuminbridge_core_tests_virtual_fleet_h

#include <functional>
#include <queue>
#include <set>

#include <pcg_random.hpp>

#include "cuminbridge/core.h"

namespace cuminbridge::forwarder {

// Faults of the network, the store and the targets. Rates are in thousandths.
struct FaultRates
{
  int frameLoss_ = 0;        // frames that never arrive
  int frameDuplication_ = 0; // frames that arrive twice
  int maxFrameDelayMs_ = 0; // not a rate: longest extra delay of a frame, in ms
  int storeAnswerLoss_ = 0; // calls without answer; see CallStore()
  int brokenExchanges_ = 0; // exchanges that break after they started
  int unstartedExchanges_ = 0; // exchanges that fail before the first byte
};

struct VirtualNode
{
  EntryPtr entry_;
  Member self_;
  bool isAlive_ = false;
  bool isExited_ = false; // it stopped by itself
  bool isCutFromPeers_ = false;
  int group_ = 0; // network partition; frames pass only within one
  bool isCutFromStore_ = false;
  TimePoint pausedUntil_;
  std::int64_t lastRevision_ = 0; // of its configuration; must not decrease
  std::uint64_t generation_ = 0;  // incremented when the process is killed
};

// The real state of a VM. The platform's VM list shows it one second later.
struct VirtualVm
{
  VmStatus status_ = VmStatus::Live;
  std::string rack_;
  std::string lastOperation_;
  bool isFailing_ = false; // answers every request with a server error
  int running_ = 0;        // requests running
  int startCount_ = 0;     // requests started since the beginning
  int reboots_ = 0;
};

// One caller's request and its outcome.
struct VirtualRequest
{
  std::size_t node_ = 0;
  std::string key_;            // API key, in clear
  std::string idempotencyKey_; // empty: none
  bool isIdempotent_ = false;  // by its method
  int startCount_ = 0;         // times that it started at a target
  bool isNotRun_ = false;      // refused with the outcome "not run"
  bool isUnknown_ = false;     // refused with the outcome "unknown"
  bool isAnswered_ = false;
};

class VirtualFleet
{
public:
  VirtualFleet(std::size_t aNodes, std::uint64_t aSeed);

  // Advances the virtual time and processes the events that fall due. The
  // invariants are checked at each event; failed checks go to Violations().
  void RunFor(Duration aTime);
  const std::vector<std::string>& Violations() const { return violations_; }

  void Start(std::size_t aNode); // starts a new process without state
  void Kill(std::size_t aNode);  // ends the process without a shutdown
  void Pause(std::size_t aNode, Duration aTime);
  void Stop(std::size_t aNode); // graceful shutdown, as by SIGTERM
  RequestId SubmitRequest(std::size_t aNode,
                          const std::string& aKey,
                          const std::string& aIdempotencyKey = "",
                          bool aIsIdempotent = false);
  void Cancel(RequestId aId);
  std::uint64_t FileTicket(std::size_t aNode, const std::string& aText);
  void SetVm(const std::string& aAddress, VmStatus aStatus);
  void AddVm(const std::string& aAddress, const std::string& aRack);
  VirtualVm& Vm(const std::string& aAddress) { return vms_[aAddress]; }

  const AnswerFiling* FilingAnswer(std::uint64_t aFiling) const;
  const VirtualRequest& Request(RequestId aId) const
  {
    return requests_.at(aId);
  }
  std::int64_t StoreNumber() const; // last ticket in the store; 0: none
  int RunningOf(const std::string& aAccount) const;
  int PeakRunningOf(const std::string& aAccount) const;
  void ResetPeakRunning() { peakRunning_.clear(); }
  std::size_t ReadyNodes() const;
  TimePoint Now() const { return now_; }

  std::vector<VirtualNode> nodes_;
  FaultRates faults_;
  bool isStoreDown_ = false;
  Duration runTime_ = std::chrono::milliseconds(200); // of requests from now on
  EntryOptions options_; // for processes started from now on

private:
  struct ScheduledAction
  {
    TimePoint at_;
    std::uint64_t order_ = 0;
    std::function<void()> run_;

    bool operator<(const ScheduledAction& aOther) const
    {
      return std::tie(aOther.at_, aOther.order_) < std::tie(at_, order_);
    }
  };
  struct StoredValue
  {
    std::string value_;
    std::int64_t revision_ = 0;
  };
  struct EffectVisitor;

  bool Chance(int aThousandths);
  Duration RandomDelay();
  void Schedule(Duration aAfter, std::function<void()> aRun);
  // Runs an action at a node. A paused node runs it when the pause ends. It is
  // dropped if the process has been killed or replaced.
  void ScheduleOnNode(std::size_t aNode,
                      Duration aAfter,
                      std::function<void()> aRun);
  void TickNode(std::size_t aNode);
  void DeliverEvent(std::size_t aNode, const Event& aEvent);
  void ApplyEffects(std::size_t aNode, const Effects& aEffects);
  void SendFrame(std::size_t aNode, const SendPeer& aSend);
  void CallStore(std::size_t aNode,
                 std::uint64_t aCall,
                 std::function<StoreAnswer()> aExecute,
                 bool aIsSwap);
  StoreAnswer DoRead(const StoreRead& aRead);
  StoreAnswer DoSwap(const StoreSwap& aSwap);
  void ForwardToTarget(std::size_t aNode, const ForwardRequest& aForward);
  void StartExchange(std::size_t aNode, const ForwardRequest& aForward);
  void RecordRefusal(const RefuseRequest& aRefusal);
  void RebootIfNew(const RebootVm& aReboot);
  static constexpr std::size_t kAllNodes = ~std::size_t{ 0 };
  void PublishVmState(const std::string& aAddress,
                      std::size_t aOnlyNode = kAllNodes);
  void CheckRequestStart(const VirtualRequest& aRequest,
                         const std::string& aTarget,
                         const std::string& aAccount);
  std::string FindAccount(const std::string& aKey) const;
  void ReportViolation(const std::string& aDescription);

  TimePoint now_;
  std::uint64_t order_ = 0;
  std::priority_queue<ScheduledAction> queue_;
  pcg32 random_;
  std::map<std::string, StoredValue> store_;
  std::int64_t storeRevision_ = 1;
  std::vector<std::pair<TimePoint, SnapshotPtr>>
    history_; // every head record, with the time at which it was written
  std::map<RequestId, VirtualRequest> requests_;
  std::map<std::uint64_t, AnswerFiling> filings_;
  std::map<std::string, int> running_;     // at the targets, by account
  std::map<std::string, int> peakRunning_; // highest value of running_
  std::map<std::string, int> startsByIdempotencyKey_;
  std::map<std::string, VirtualVm> vms_;
  std::map<std::string, TimePoint>
    unavailableSince_; // VMs that SetVm() made leaving or gone
  std::vector<std::string> violations_;
  RequestId nextRequest_ = 1;
  std::uint64_t nextFiling_ = 1;
};

} // namespace cuminbridge::forwarder

#endif // cuminbridge_core_tests_virtual_fleet_h
