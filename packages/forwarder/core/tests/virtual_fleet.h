// Several reducers in virtual time, joined by an in-memory network and store
// that lose, delay, repeat and reorder. Not a simulator of a cluster: it holds
// just enough to check the promises after every event.

#ifndef cuminbridge_core_tests_virtual_fleet_h
#define cuminbridge_core_tests_virtual_fleet_h

#include <functional>
#include <queue>
#include <set>

#include <pcg_random.hpp>

#include "cuminbridge/core.h"

namespace cuminbridge::forwarder {

// How bad the network and the store are. Chances are in thousandths.
struct Trouble
{
  int lossOfFrames_ = 0;
  int repeatsOfFrames_ = 0;
  int slowestFrame_ = 0; // milliseconds; frames take up to that long
  int lostStoreAnswers_ = 0;
  int brokenExchanges_ = 0;
  int unbegunExchanges_ = 0;
};

struct VirtualNode
{
  EntryPtr entry_;
  Member self_;
  bool isAlive_ = false;
  bool isExited_ = false;
  bool isCutFromPeers_ = false;
  int group_ = 0; // frames pass within a group only
  bool isCutFromStore_ = false;
  TimePoint pausedUntil_;
  std::int64_t lastRevision_ = 0;
  std::uint64_t life_ = 0; // events of an earlier life are dropped
};

// A VM as it really is; what the list says of it lags by a second.
struct VirtualVm
{
  VmStatus status_ = VmStatus::Live;
  std::string rack_;
  std::string lastOperation_;
  bool isFailing_ = false; // answers all it starts with an error
  int running_ = 0;
  int begun_ = 0;
  int reboots_ = 0;
};

// What became of one caller's request.
struct VirtualRequest
{
  std::size_t node_ = 0;
  std::string key_; // clear key
  std::string job_; // Idempotency-Key, or empty
  bool isIdempotent_ = false;
  int begun_ = 0;
  bool isNotRun_ = false;
  bool isUnknown_ = false;
  bool isAnswered_ = false;
};

class VirtualFleet
{
public:
  VirtualFleet(std::size_t aNodes, std::uint64_t aSeed);

  // Lets time pass. Every promise is checked as events happen; what was broken
  // is in Broken().
  void Run(Duration aTime);
  const std::vector<std::string>& Broken() const { return broken_; }

  void Start(std::size_t aNode); // a fresh, empty process
  void Kill(std::size_t aNode);  // no goodbye
  void Pause(std::size_t aNode, Duration aTime);
  void Stop(std::size_t aNode); // SIGTERM
  RequestId Ask(std::size_t aNode,
                const std::string& aKey,
                const std::string& aJob = "",
                bool aIsIdempotent = false);
  void Cancel(RequestId aId);
  std::uint64_t File(std::size_t aNode, const std::string& aText);
  void SetVm(const std::string& aAddress, VmStatus aStatus);
  void AddVm(const std::string& aAddress, const std::string& aRack);
  VirtualVm& Vm(const std::string& aAddress) { return vms_[aAddress]; }

  const AnswerFiling* Filing(std::uint64_t aFiling) const;
  const VirtualRequest& Request(RequestId aId) const
  {
    return requests_.at(aId);
  }
  std::int64_t StoreNumber() const; // last ticket accepted by the store
  int RunningOf(const std::string& aAccount) const;
  int MostRunningOf(const std::string& aAccount) const;
  void ForgetMostRunning() { mostRunning_.clear(); }
  std::size_t ReadyNodes() const;
  TimePoint Now() const { return now_; }

  std::vector<VirtualNode> nodes_;
  Trouble trouble_;
  bool isStoreDown_ = false;
  Duration runTime_ = std::chrono::milliseconds(200); // of each request
  EntryOptions options_; // for processes started from now on

private:
  struct Item
  {
    TimePoint at_;
    std::uint64_t order_ = 0;
    std::function<void()> run_;

    bool operator<(const Item& aOther) const
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
  Duration Delay();
  void At(Duration aAfter, std::function<void()> aRun);
  // Runs once the node is neither paused nor in another life.
  void AtNode(std::size_t aNode, Duration aAfter, std::function<void()> aRun);
  void TickNode(std::size_t aNode);
  void Submit(std::size_t aNode, const Event& aEvent);
  void CarryOut(std::size_t aNode, const Effects& aEffects);
  void SendFrame(std::size_t aNode, const SendPeer& aSend);
  void CallStore(std::size_t aNode,
                 std::uint64_t aCall,
                 std::function<StoreAnswer()> aDo,
                 bool aIsSwap);
  StoreAnswer DoRead(const StoreRead& aRead);
  StoreAnswer DoSwap(const StoreSwap& aSwap);
  void Forward(std::size_t aNode, const ForwardRequest& aForward);
  void Begin(std::size_t aNode, const ForwardRequest& aForward);
  void Refuse(const RefuseRequest& aRefusal);
  void Reboot(const RebootVm& aReboot);
  static constexpr std::size_t kAllNodes = ~std::size_t{ 0 };
  void TellVm(const std::string& aAddress, std::size_t aOnly = kAllNodes);
  void CheckStart(const VirtualRequest& aRequest,
                  const std::string& aTarget,
                  const std::string& aAccount);
  std::string FindAccount(const std::string& aKey) const;
  void Break(const std::string& aWhat);

  TimePoint now_;
  std::uint64_t order_ = 0;
  std::priority_queue<Item> queue_;
  pcg32 random_;
  std::map<std::string, StoredValue> store_;
  std::int64_t storeRevision_ = 1;
  std::vector<std::pair<TimePoint, SnapshotPtr>> history_; // heads, with times
  std::map<RequestId, VirtualRequest> requests_;
  std::map<std::uint64_t, AnswerFiling> filings_;
  std::map<std::string, int> running_; // at the targets, by account
  std::map<std::string, int> mostRunning_;
  std::map<std::string, int> jobsBegun_;
  std::map<std::string, VirtualVm> vms_;
  std::map<std::string, TimePoint> leftAt_; // VMs that leave, since when
  std::vector<std::string> broken_;
  RequestId nextRequest_ = 1;
  std::uint64_t nextFiling_ = 1;
};

} // namespace cuminbridge::forwarder

#endif // cuminbridge_core_tests_virtual_fleet_h
