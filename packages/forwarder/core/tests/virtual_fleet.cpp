#include "virtual_fleet.h"

#include <algorithm>

#include "records.h"

namespace cuminbridge::forwarder {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The specification demands that a change takes effect "within seconds". A
// configuration that was replaced no longer ago than this may still be used,
// and so may a VM that started to leave no longer ago than that.
constexpr Duration kConfigStaleness = seconds(5);
constexpr Duration kVmStaleness = seconds(3);

constexpr Duration kStoreTimeout = seconds(1);

} // namespace

struct VirtualFleet::EffectVisitor
{
  VirtualFleet& fleet_;
  std::size_t node_;

  void operator()(const ForwardRequest& aEffect)
  {
    fleet_.ForwardToTarget(node_, aEffect);
  }
  void operator()(const RefuseRequest& aEffect)
  {
    fleet_.RecordRefusal(aEffect);
  }
  void operator()(const StoreRead& aEffect)
  {
    fleet_.CallStore(
      node_,
      aEffect.call_,
      [fleet = &fleet_, aEffect] { return fleet->DoRead(aEffect); },
      false);
  }
  void operator()(const StoreSwap& aEffect)
  {
    fleet_.CallStore(
      node_,
      aEffect.call_,
      [fleet = &fleet_, aEffect] { return fleet->DoSwap(aEffect); },
      true);
  }
  void operator()(const SendPeer& aEffect) { fleet_.SendFrame(node_, aEffect); }
  void operator()(const AnswerFiling& aEffect)
  {
    fleet_.filings_[aEffect.filing_] = aEffect;
  }
  void operator()(const ExitProcess&)
  {
    fleet_.nodes_[node_].isExited_ = true;
    fleet_.Kill(node_);
  }
  void operator()(const LogDecision&) {}
  void operator()(const SetPeerLinks&) {}
  void operator()(const RebootVm& aEffect)
  {
    fleet_.Schedule(fleet_.RandomDelay(), [fleet = &fleet_, aEffect] {
      fleet->RebootIfNew(aEffect);
    });
  }
  void operator()(const LogMessage&) {}
  void operator()(const StopAccepting&) {}
};

VirtualFleet::VirtualFleet(std::size_t aNodes, std::uint64_t aSeed)
  : nodes_(aNodes)
  , now_(std::chrono::hours(1))
  , random_(aSeed)
{
  options_.runLimit_ = seconds(3);
  options_.drainGrace_ = milliseconds(500);
  for (std::size_t i = 0; i < aNodes; ++i) {
    nodes_[i].self_.id_ = "e" + std::to_string(i);
    nodes_[i].self_.peerAddress_ = nodes_[i].self_.id_;
    nodes_[i].self_.dataCentre_ = "dc" + std::to_string(i / 2);
  }
}

bool
VirtualFleet::Chance(int aThousandths)
{
  return static_cast<int>(random_(1000)) < aThousandths;
}

Duration
VirtualFleet::RandomDelay()
{
  return std::chrono::microseconds(500 + random_(3000));
}

void
VirtualFleet::ReportViolation(const std::string& aDescription)
{
  const auto at =
    std::chrono::duration_cast<milliseconds>(now_.time_since_epoch());
  violations_.push_back(std::to_string(at.count()) + " ms: " + aDescription);
}

//-----------------------------------------------------------------------------
// [SECTION] Time
//-----------------------------------------------------------------------------

void
VirtualFleet::Schedule(Duration aAfter, std::function<void()> aRun)
{
  queue_.push({ now_ + aAfter, order_++, std::move(aRun) });
}

void
VirtualFleet::ScheduleOnNode(std::size_t aNode,
                             Duration aAfter,
                             std::function<void()> aRun)
{
  const std::uint64_t generation = nodes_[aNode].generation_;
  Schedule(aAfter, [this, aNode, generation, run = std::move(aRun)] {
    const VirtualNode& node = nodes_[aNode];
    if (!node.isAlive_ || node.generation_ != generation) {
      return;
    }
    if (now_ < node.pausedUntil_) {
      ScheduleOnNode(aNode, node.pausedUntil_ - now_, run);
      return;
    }
    run();
  });
}

void
VirtualFleet::RunFor(Duration aTime)
{
  const TimePoint end = now_ + aTime;
  while (!queue_.empty() && queue_.top().at_ <= end) {
    const ScheduledAction action = queue_.top();
    queue_.pop();
    now_ = std::max(now_, action.at_);
    action.run_();
  }
  now_ = end;
}

void
VirtualFleet::TickNode(std::size_t aNode)
{
  DeliverEvent(aNode, Tick{});
  ScheduleOnNode(aNode, milliseconds(50), [this, aNode] { TickNode(aNode); });
}

//-----------------------------------------------------------------------------
// [SECTION] Processes
//-----------------------------------------------------------------------------

void
VirtualFleet::Start(std::size_t aNode)
{
  Kill(aNode);
  VirtualNode& node = nodes_[aNode];
  node.isAlive_ = true;
  node.isExited_ = false;
  node.pausedUntil_ = now_;
  node.lastRevision_ = 0;
  node.self_.incarnation_ =
    static_cast<std::uint64_t>(now_.time_since_epoch().count());
  EntryOptions options = options_;
  options.self_ = node.self_;
  options.randomSeed_ = random_();
  for (std::size_t i = 0; i < nodes_.size(); i += 2) {
    options.seeds_.push_back(nodes_[i].self_.peerAddress_);
  }
  node.entry_ = MakeEntry(options, now_);
  ScheduleOnNode(aNode, RandomDelay(), [this, aNode] { TickNode(aNode); });
  for (const auto& [address, vm] : vms_) {
    PublishVmState(address, aNode);
  }
}

void
VirtualFleet::Kill(std::size_t aNode)
{
  nodes_[aNode].isAlive_ = false;
  ++nodes_[aNode].generation_;
  // Start() derives the incarnation from the time, so it must differ each time.
  now_ += std::chrono::nanoseconds(1);
}

void
VirtualFleet::Pause(std::size_t aNode, Duration aTime)
{
  nodes_[aNode].pausedUntil_ = now_ + aTime;
}

void
VirtualFleet::Stop(std::size_t aNode)
{
  ScheduleOnNode(aNode, Duration(0), [this, aNode] {
    DeliverEvent(aNode, ShutdownRequested{});
  });
}

void
VirtualFleet::DeliverEvent(std::size_t aNode, const Event& aEvent)
{
  VirtualNode& node = nodes_[aNode];
  Effects effects;
  Reduce(*node.entry_, aEvent, now_, effects);
  const std::int64_t revision = ViewInForce(*node.entry_, now_).revision_;
  if (revision < node.lastRevision_) {
    ReportViolation(node.self_.id_ + " returned to an older configuration");
  }
  node.lastRevision_ = revision;
  ApplyEffects(aNode, effects);
}

void
VirtualFleet::ApplyEffects(std::size_t aNode, const Effects& aEffects)
{
  for (const Effect& effect : aEffects) {
    std::visit(EffectVisitor{ *this, aNode }, effect);
  }
}

void
VirtualFleet::SendFrame(std::size_t aNode, const SendPeer& aSend)
{
  const VirtualNode& from = nodes_[aNode];
  std::size_t to = 0;
  while (to < nodes_.size() &&
         nodes_[to].self_.peerAddress_ != aSend.address_) {
    ++to;
  }
  if (to == nodes_.size() || from.isCutFromPeers_ ||
      nodes_[to].isCutFromPeers_ || from.group_ != nodes_[to].group_) {
    return;
  }
  const Member& self = ViewSelf(*from.entry_);
  const PeerFrame frame{ self.id_,
                         self.incarnation_,
                         self.peerAddress_,
                         self.dataCentre_,
                         aSend.message_ };
  const int copies =
    Chance(faults_.frameLoss_) ? 0 : 1 + Chance(faults_.frameDuplication_);
  for (int i = 0; i < copies; ++i) {
    const Duration slow = milliseconds(
      random_(1 + static_cast<unsigned>(faults_.maxFrameDelayMs_)));
    ScheduleOnNode(
      to, RandomDelay() + slow, [this, to, frame] { DeliverEvent(to, frame); });
  }
}

//-----------------------------------------------------------------------------
// [SECTION] The store
//-----------------------------------------------------------------------------

StoreAnswer
VirtualFleet::DoRead(const StoreRead& aRead)
{
  StoreAnswer answer;
  for (auto it = store_.lower_bound(aRead.key_); it != store_.end(); ++it) {
    const bool isIn = aRead.isPrefix_ ? it->first.starts_with(aRead.key_)
                                      : it->first == aRead.key_;
    if (!isIn) {
      break;
    }
    answer.values_.push_back(
      { it->first, it->second.value_, it->second.revision_ });
  }
  answer.revision_ = storeRevision_;
  return answer;
}

StoreAnswer
VirtualFleet::DoSwap(const StoreSwap& aSwap)
{
  StoreAnswer answer;
  for (const StoreCompare& compare : aSwap.compares_) {
    const auto found = store_.find(compare.key_);
    const std::int64_t have =
      found == store_.end() ? 0 : found->second.revision_;
    if (have != compare.revision_) {
      answer.status_ = StoreStatus::Conflict;
      return answer;
    }
  }
  answer.revision_ = ++storeRevision_;
  bool isHeadChanged = false;
  for (const StorePut& put : aSwap.puts_) {
    store_[put.key_] = { put.value_, storeRevision_ };
    isHeadChanged |= put.key_ == kHeadKey;
  }
  if (isHeadChanged) {
    const StoreAnswer all = DoRead({ 0, std::string(kConfigPrefix), true });
    history_.emplace_back(now_, DecodeSnapshot(all.values_).value());
  }
  return answer;
}

void
VirtualFleet::CallStore(std::size_t aNode,
                        std::uint64_t aCall,
                        std::function<StoreAnswer()> aExecute,
                        bool aIsSwap)
{
  const auto answer = [this, aNode, aCall](StoreAnswer aAnswer,
                                           Duration aAfter) {
    aAnswer.call_ = aCall;
    ScheduleOnNode(
      aNode, aAfter, [this, aNode, aAnswer] { DeliverEvent(aNode, aAnswer); });
  };
  StoreAnswer failed;
  failed.status_ = StoreStatus::Unavailable;
  if (isStoreDown_ || nodes_[aNode].isCutFromStore_) {
    answer(failed, RandomDelay());
    return;
  }
  const bool isLost = Chance(faults_.storeAnswerLoss_);
  if (!isLost) {
    Schedule(RandomDelay(),
             [this, aExecute, answer] { answer(aExecute(), RandomDelay()); });
    return;
  }
  // The answer is lost. The call takes effect soon, long after the time-out, or
  // never.
  if (!Chance(333)) {
    const Duration late = Chance(500) ? RandomDelay() : 3 * kStoreTimeout;
    Schedule(late, [aExecute] { aExecute(); });
  }
  failed.status_ = aIsSwap ? StoreStatus::Lost : StoreStatus::Unavailable;
  answer(failed, kStoreTimeout);
}

std::int64_t
VirtualFleet::StoreNumber() const
{
  return history_.empty() ? 0 : history_.back().second->config_->number_;
}

//-----------------------------------------------------------------------------
// [SECTION] Callers, operators and targets
//-----------------------------------------------------------------------------

RequestId
VirtualFleet::SubmitRequest(std::size_t aNode,
                            const std::string& aKey,
                            const std::string& aIdempotencyKey,
                            bool aIsIdempotent)
{
  const RequestId id = nextRequest_++;
  requests_[id] = { aNode, aKey, aIdempotencyKey, aIsIdempotent };
  RequestArrived arrived;
  arrived.id_ = id;
  arrived.pool_ = "a";
  arrived.keyHash_ = HashKey(aKey);
  arrived.idempotencyKey_ = aIdempotencyKey;
  arrived.idempotent_ = aIsIdempotent;
  arrived.replayable_ = true;
  ScheduleOnNode(aNode, Duration(0), [this, aNode, arrived] {
    DeliverEvent(aNode, arrived);
  });
  return id;
}

void
VirtualFleet::Cancel(RequestId aId)
{
  const std::size_t node = requests_.at(aId).node_;
  ScheduleOnNode(node, Duration(0), [this, node, aId] {
    DeliverEvent(node, RequestCancelled{ aId });
  });
}

std::uint64_t
VirtualFleet::FileTicket(std::size_t aNode, const std::string& aText)
{
  const std::uint64_t id = nextFiling_++;
  ScheduleOnNode(aNode, Duration(0), [this, aNode, id, aText] {
    DeliverEvent(aNode, TicketFiled{ id, aText, false });
  });
  return id;
}

const AnswerFiling*
VirtualFleet::FilingAnswer(std::uint64_t aFiling) const
{
  const auto found = filings_.find(aFiling);
  return found == filings_.end() ? nullptr : &found->second;
}

void
VirtualFleet::SetVm(const std::string& aAddress, VmStatus aStatus)
{
  if (aStatus != VmStatus::Live) {
    unavailableSince_.emplace(aAddress, now_);
  } else {
    unavailableSince_.erase(aAddress);
  }
  vms_[aAddress].status_ = aStatus;
  PublishVmState(aAddress);
}

void
VirtualFleet::AddVm(const std::string& aAddress, const std::string& aRack)
{
  vms_[aAddress].rack_ = aRack;
  PublishVmState(aAddress);
}

void
VirtualFleet::PublishVmState(const std::string& aAddress, std::size_t aOnlyNode)
{
  const VirtualVm& real = vms_[aAddress];
  const VmState vm{
    aAddress, real.status_, "dc", real.rack_, real.lastOperation_
  };
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (aOnlyNode == kAllNodes || aOnlyNode == i) {
      ScheduleOnNode(i, seconds(1), [this, i, vm] {
        DeliverEvent(i, VmListRead{ { vm } });
      });
    }
  }
}

// Reboots a VM, unless its last reboot had the same operation id.
void
VirtualFleet::RebootIfNew(const RebootVm& aReboot)
{
  VirtualVm& vm = vms_[aReboot.address_];
  if (vm.lastOperation_ == aReboot.operation_) {
    return;
  }
  vm.lastOperation_ = aReboot.operation_;
  ++vm.reboots_;
  if (vm.running_ > 0) {
    ReportViolation(aReboot.address_ + " was rebooted while it ran a request");
  }
  vm.status_ = VmStatus::Leaving;
  const Config& config = *history_.back().second->config_;
  const auto& pool = *config.pools_.at(config.poolOfVm_.at(aReboot.address_));
  const auto up = std::count_if(
    pool.vms_.begin(), pool.vms_.end(), [&](const std::string& aVm) {
      return vms_[aVm].status_ == VmStatus::Live;
    });
  if (up < pool.minAvailable_) {
    ReportViolation("a reboot left " + std::to_string(up) +
                    " VMs up, fewer than min_available");
  }
  PublishVmState(aReboot.address_);
  Schedule(seconds(3), [this, address = aReboot.address_] {
    vms_[address].status_ = VmStatus::Live;
    PublishVmState(address);
  });
}

void
VirtualFleet::ForwardToTarget(std::size_t aNode, const ForwardRequest& aForward)
{
  // The delay lets a pause fall between the decision and the first byte.
  ScheduleOnNode(
    aNode, std::chrono::microseconds(100), [this, aNode, aForward] {
      ExchangeEnded ended;
      ended.id_ = aForward.id_;
      ended.result_ = ExchangeResult::NotBegun;
      ended.isTooLate_ = now_ >= aForward.startBy_;
      if (ended.isTooLate_ || Chance(faults_.unstartedExchanges_)) {
        DeliverEvent(aNode, ended);
        return;
      }
      StartExchange(aNode, aForward);
    });
}

void
VirtualFleet::StartExchange(std::size_t aNode, const ForwardRequest& aForward)
{
  VirtualRequest& request = requests_.at(aForward.id_);
  const std::string account = FindAccount(request.key_);
  ++request.startCount_;
  ++running_[account];
  VirtualVm& vm = vms_[aForward.target_];
  ++vm.running_;
  ++vm.startCount_;
  if (vm.status_ != VmStatus::Live &&
      !unavailableSince_.contains(aForward.target_)) {
    ReportViolation("a request started on a VM that reboots");
  }
  peakRunning_[account] = std::max(peakRunning_[account], running_[account]);
  CheckRequestStart(request, aForward.target_, account);
  Schedule(runTime_, [this, account, target = aForward.target_] {
    --running_[account];
    --vms_[target].running_;
  });
  ExchangeEnded ended;
  ended.id_ = aForward.id_;
  ended.serverError_ = vm.isFailing_;
  const bool isBroken = Chance(faults_.brokenExchanges_);
  ended.result_ = isBroken ? ExchangeResult::Broken : ExchangeResult::Answered;
  const Duration after = isBroken ? runTime_ / 2 : runTime_ + RandomDelay();
  ScheduleOnNode(aNode, after, [this, aNode, ended] {
    VirtualRequest& done = requests_.at(ended.id_);
    done.isAnswered_ |= ended.result_ == ExchangeResult::Answered;
    DeliverEvent(aNode, ended);
  });
}

void
VirtualFleet::RecordRefusal(const RefuseRequest& aRefusal)
{
  VirtualRequest& request = requests_.at(aRefusal.id_);
  if (aRefusal.outcome_ == Outcome::Unknown) {
    request.isUnknown_ = true;
    return;
  }
  request.isNotRun_ = true;
  if (request.startCount_ > 0) {
    ReportViolation("a request was refused as not run after it had started");
  }
}

// The account of the key in the latest configuration that has the key; "none"
// if no configuration ever had it.
std::string
VirtualFleet::FindAccount(const std::string& aKey) const
{
  const std::string hash = HashKey(aKey);
  for (auto it = history_.rbegin(); it != history_.rend(); ++it) {
    const auto& accounts = it->second->config_->accountOfKey_;
    const auto found = accounts.find(hash);
    if (found != accounts.end()) {
      return found->second;
    }
  }
  return "none";
}

// Checks a request that starts at a target: its key, VM and account limit must
// be permitted by a configuration that was in force within kConfigStaleness.
void
VirtualFleet::CheckRequestStart(const VirtualRequest& aRequest,
                                const std::string& aTarget,
                                const std::string& aAccount)
{
  const std::string hash = HashKey(aRequest.key_);
  bool isKeyGood = false;
  bool isVmGood = false;
  int limit = 0;
  for (std::size_t i = 0; i < history_.size(); ++i) {
    const bool isLast = i + 1 == history_.size();
    const bool isStale =
      !isLast && now_ - history_[i + 1].first > kConfigStaleness;
    if (isStale) {
      continue;
    }
    const Config& config = *history_[i].second->config_;
    isKeyGood |= config.accountOfKey_.contains(hash);
    isVmGood |= config.poolOfVm_.contains(aTarget);
    const auto account = config.accounts_.find(aAccount);
    if (account != config.accounts_.end()) {
      limit = std::max(limit, account->second->limit_);
    }
  }
  if (!isKeyGood) {
    ReportViolation("a request started with a withdrawn key");
  }
  if (!isVmGood) {
    ReportViolation("a request started on a VM that is in no pool");
  }
  if (running_.at(aAccount) > limit) {
    ReportViolation("account " + aAccount + " runs " +
                    std::to_string(running_.at(aAccount)) + ", limit " +
                    std::to_string(limit));
  }
  const auto since = unavailableSince_.find(aTarget);
  if (since != unavailableSince_.end() && now_ - since->second > kVmStaleness) {
    ReportViolation("a request started on a VM that leaves");
  }
  if (!aRequest.isIdempotent_ && aRequest.startCount_ > 1) {
    ReportViolation("a request that is not idempotent started twice");
  }
  if (aRequest.isNotRun_) {
    ReportViolation("a request started after it was refused as not run");
  }
  if (!aRequest.idempotencyKey_.empty() && !aRequest.isIdempotent_ &&
      ++startsByIdempotencyKey_[aRequest.idempotencyKey_] > 1) {
    ReportViolation("Idempotency-Key " + aRequest.idempotencyKey_ +
                    " started twice");
  }
}

int
VirtualFleet::RunningOf(const std::string& aAccount) const
{
  const auto found = running_.find(aAccount);
  return found == running_.end() ? 0 : found->second;
}

int
VirtualFleet::PeakRunningOf(const std::string& aAccount) const
{
  const auto found = peakRunning_.find(aAccount);
  return found == peakRunning_.end() ? 0 : found->second;
}

std::size_t
VirtualFleet::ReadyNodes() const
{
  return static_cast<std::size_t>(
    std::count_if(nodes_.begin(), nodes_.end(), [&](const auto& aNode) {
      return aNode.isAlive_ && now_ >= aNode.pausedUntil_ &&
             ViewUnreadyReasons(*aNode.entry_, now_).empty();
    }));
}

} // namespace cuminbridge::forwarder
