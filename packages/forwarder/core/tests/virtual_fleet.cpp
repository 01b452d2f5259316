#include "virtual_fleet.h"

#include <algorithm>

#include "records.h"

namespace cuminbridge::forwarder {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The brief's "within seconds": what was in force so lately may still be used.
constexpr Duration kInForceBound = seconds(5);
constexpr Duration kLeavingBound = seconds(3);
constexpr Duration kStoreTimeout = seconds(1);

} // namespace

struct VirtualFleet::EffectVisitor
{
  VirtualFleet& fleet_;
  std::size_t node_;

  void operator()(const ForwardRequest& aEffect)
  {
    fleet_.Forward(node_, aEffect);
  }
  void operator()(const RefuseRequest& aEffect) { fleet_.Refuse(aEffect); }
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
    fleet_.At(fleet_.Delay(),
              [fleet = &fleet_, aEffect] { fleet->Reboot(aEffect); });
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
VirtualFleet::Delay()
{
  return std::chrono::microseconds(500 + random_(3000));
}

void
VirtualFleet::Break(const std::string& aWhat)
{
  const auto at =
    std::chrono::duration_cast<milliseconds>(now_.time_since_epoch());
  broken_.push_back(std::to_string(at.count()) + " ms: " + aWhat);
}

//-----------------------------------------------------------------------------
// [SECTION] Time
//-----------------------------------------------------------------------------

void
VirtualFleet::At(Duration aAfter, std::function<void()> aRun)
{
  queue_.push({ now_ + aAfter, order_++, std::move(aRun) });
}

void
VirtualFleet::AtNode(std::size_t aNode,
                     Duration aAfter,
                     std::function<void()> aRun)
{
  const std::uint64_t life = nodes_[aNode].life_;
  At(aAfter, [this, aNode, life, run = std::move(aRun)] {
    const VirtualNode& node = nodes_[aNode];
    if (!node.isAlive_ || node.life_ != life) {
      return;
    }
    if (now_ < node.pausedUntil_) {
      AtNode(aNode, node.pausedUntil_ - now_, run);
      return;
    }
    run();
  });
}

void
VirtualFleet::Run(Duration aTime)
{
  const TimePoint end = now_ + aTime;
  while (!queue_.empty() && queue_.top().at_ <= end) {
    const Item item = queue_.top();
    queue_.pop();
    now_ = std::max(now_, item.at_);
    item.run_();
  }
  now_ = end;
}

void
VirtualFleet::TickNode(std::size_t aNode)
{
  Submit(aNode, Tick{});
  AtNode(aNode, milliseconds(50), [this, aNode] { TickNode(aNode); });
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
  AtNode(aNode, Delay(), [this, aNode] { TickNode(aNode); });
  for (const auto& [address, vm] : vms_) {
    TellVm(address, aNode);
  }
}

void
VirtualFleet::Kill(std::size_t aNode)
{
  nodes_[aNode].isAlive_ = false;
  ++nodes_[aNode].life_;
  now_ += std::chrono::nanoseconds(1); // so that incarnations differ
}

void
VirtualFleet::Pause(std::size_t aNode, Duration aTime)
{
  nodes_[aNode].pausedUntil_ = now_ + aTime;
}

void
VirtualFleet::Stop(std::size_t aNode)
{
  AtNode(
    aNode, Duration(0), [this, aNode] { Submit(aNode, ShutdownRequested{}); });
}

void
VirtualFleet::Submit(std::size_t aNode, const Event& aEvent)
{
  VirtualNode& node = nodes_[aNode];
  Effects effects;
  Reduce(*node.entry_, aEvent, now_, effects);
  const std::int64_t revision = ViewInForce(*node.entry_, now_).revision_;
  if (revision < node.lastRevision_) {
    Break(node.self_.id_ + " went back to an older configuration");
  }
  node.lastRevision_ = revision;
  CarryOut(aNode, effects);
}

void
VirtualFleet::CarryOut(std::size_t aNode, const Effects& aEffects)
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
    Chance(trouble_.lossOfFrames_) ? 0 : 1 + Chance(trouble_.repeatsOfFrames_);
  for (int i = 0; i < copies; ++i) {
    const Duration slow =
      milliseconds(random_(1 + static_cast<unsigned>(trouble_.slowestFrame_)));
    AtNode(to, Delay() + slow, [this, to, frame] { Submit(to, frame); });
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
                        std::function<StoreAnswer()> aDo,
                        bool aIsSwap)
{
  const auto answer = [this, aNode, aCall](StoreAnswer aAnswer,
                                           Duration aAfter) {
    aAnswer.call_ = aCall;
    AtNode(aNode, aAfter, [this, aNode, aAnswer] { Submit(aNode, aAnswer); });
  };
  StoreAnswer failed;
  failed.status_ = StoreStatus::Unavailable;
  if (isStoreDown_ || nodes_[aNode].isCutFromStore_) {
    answer(failed, Delay());
    return;
  }
  const bool isLost = Chance(trouble_.lostStoreAnswers_);
  if (!isLost) {
    At(Delay(), [this, aDo, answer] { answer(aDo(), Delay()); });
    return;
  }
  // The call takes effect now, much later, or never; nobody hears of it.
  if (!Chance(333)) {
    const Duration late = Chance(500) ? Delay() : 3 * kStoreTimeout;
    At(late, [aDo] { aDo(); });
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
VirtualFleet::Ask(std::size_t aNode,
                  const std::string& aKey,
                  const std::string& aJob,
                  bool aIsIdempotent)
{
  const RequestId id = nextRequest_++;
  requests_[id] = { aNode, aKey, aJob, aIsIdempotent };
  RequestArrived arrived;
  arrived.id_ = id;
  arrived.pool_ = "a";
  arrived.keyHash_ = HashKey(aKey);
  arrived.idempotencyKey_ = aJob;
  arrived.idempotent_ = aIsIdempotent;
  arrived.replayable_ = true;
  AtNode(
    aNode, Duration(0), [this, aNode, arrived] { Submit(aNode, arrived); });
  return id;
}

void
VirtualFleet::Cancel(RequestId aId)
{
  const std::size_t node = requests_.at(aId).node_;
  AtNode(node, Duration(0), [this, node, aId] {
    Submit(node, RequestCancelled{ aId });
  });
}

std::uint64_t
VirtualFleet::File(std::size_t aNode, const std::string& aText)
{
  const std::uint64_t id = nextFiling_++;
  AtNode(aNode, Duration(0), [this, aNode, id, aText] {
    Submit(aNode, TicketFiled{ id, aText, false });
  });
  return id;
}

const AnswerFiling*
VirtualFleet::Filing(std::uint64_t aFiling) const
{
  const auto found = filings_.find(aFiling);
  return found == filings_.end() ? nullptr : &found->second;
}

void
VirtualFleet::SetVm(const std::string& aAddress, VmStatus aStatus)
{
  if (aStatus != VmStatus::Live) {
    leftAt_.emplace(aAddress, now_);
  } else {
    leftAt_.erase(aAddress);
  }
  vms_[aAddress].status_ = aStatus;
  TellVm(aAddress);
}

void
VirtualFleet::AddVm(const std::string& aAddress, const std::string& aRack)
{
  vms_[aAddress].rack_ = aRack;
  TellVm(aAddress);
}

void
VirtualFleet::TellVm(const std::string& aAddress, std::size_t aOnly)
{
  const VirtualVm& real = vms_[aAddress];
  const VmState vm{
    aAddress, real.status_, "dc", real.rack_, real.lastOperation_
  };
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (aOnly == kAllNodes || aOnly == i) {
      AtNode(i, seconds(1), [this, i, vm] { Submit(i, VmListRead{ { vm } }); });
    }
  }
}

// The platform reboots a VM, once for each operation id.
void
VirtualFleet::Reboot(const RebootVm& aReboot)
{
  VirtualVm& vm = vms_[aReboot.address_];
  if (vm.lastOperation_ == aReboot.operation_) {
    return;
  }
  vm.lastOperation_ = aReboot.operation_;
  ++vm.reboots_;
  if (vm.running_ > 0) {
    Break(aReboot.address_ + " was rebooted under a request");
  }
  vm.status_ = VmStatus::Leaving;
  const Config& config = *history_.back().second->config_;
  const auto& pool = *config.pools_.at(config.poolOfVm_.at(aReboot.address_));
  const auto up = std::count_if(
    pool.vms_.begin(), pool.vms_.end(), [&](const std::string& aVm) {
      return vms_[aVm].status_ == VmStatus::Live;
    });
  if (up < pool.minAvailable_) {
    Break("a reboot left " + std::to_string(up) + " VMs up");
  }
  TellVm(aReboot.address_);
  At(seconds(3), [this, address = aReboot.address_] {
    vms_[address].status_ = VmStatus::Live;
    TellVm(address);
  });
}

void
VirtualFleet::Forward(std::size_t aNode, const ForwardRequest& aForward)
{
  // The process may be paused between its decision and the first byte.
  AtNode(aNode, std::chrono::microseconds(100), [this, aNode, aForward] {
    ExchangeEnded ended;
    ended.id_ = aForward.id_;
    ended.result_ = ExchangeResult::NotBegun;
    ended.isTooLate_ = now_ >= aForward.startBy_;
    if (ended.isTooLate_ || Chance(trouble_.unbegunExchanges_)) {
      Submit(aNode, ended);
      return;
    }
    Begin(aNode, aForward);
  });
}

void
VirtualFleet::Begin(std::size_t aNode, const ForwardRequest& aForward)
{
  VirtualRequest& request = requests_.at(aForward.id_);
  const std::string account = FindAccount(request.key_);
  ++request.begun_;
  ++running_[account];
  VirtualVm& vm = vms_[aForward.target_];
  ++vm.running_;
  ++vm.begun_;
  if (vm.status_ != VmStatus::Live && !leftAt_.contains(aForward.target_)) {
    Break("began on a VM that reboots");
  }
  mostRunning_[account] = std::max(mostRunning_[account], running_[account]);
  CheckStart(request, aForward.target_, account);
  At(runTime_, [this, account, target = aForward.target_] {
    --running_[account];
    --vms_[target].running_;
  });
  ExchangeEnded ended;
  ended.id_ = aForward.id_;
  ended.serverError_ = vm.isFailing_;
  const bool isBroken = Chance(trouble_.brokenExchanges_);
  ended.result_ = isBroken ? ExchangeResult::Broken : ExchangeResult::Answered;
  const Duration after = isBroken ? runTime_ / 2 : runTime_ + Delay();
  AtNode(aNode, after, [this, aNode, ended] {
    VirtualRequest& done = requests_.at(ended.id_);
    done.isAnswered_ |= ended.result_ == ExchangeResult::Answered;
    Submit(aNode, ended);
  });
}

void
VirtualFleet::Refuse(const RefuseRequest& aRefusal)
{
  VirtualRequest& request = requests_.at(aRefusal.id_);
  if (aRefusal.outcome_ == Outcome::Unknown) {
    request.isUnknown_ = true;
    return;
  }
  request.isNotRun_ = true;
  if (request.begun_ > 0) {
    Break("refused as not run, but it had begun");
  }
}

// The account that has, or had lately, this key. By name if it is known
// nowhere.
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

// A request begins at a target: is that allowed by what was in force lately?
void
VirtualFleet::CheckStart(const VirtualRequest& aRequest,
                         const std::string& aTarget,
                         const std::string& aAccount)
{
  const std::string hash = HashKey(aRequest.key_);
  bool isKeyGood = false;
  bool isVmGood = false;
  int limit = 0;
  for (std::size_t i = 0; i < history_.size(); ++i) {
    const bool isLast = i + 1 == history_.size();
    const bool isLate = !isLast && now_ - history_[i + 1].first > kInForceBound;
    if (isLate) {
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
    Break("began with a withdrawn key");
  }
  if (!isVmGood) {
    Break("began on a VM that is in no pool");
  }
  if (running_.at(aAccount) > limit) {
    Break("account " + aAccount + " runs " +
          std::to_string(running_.at(aAccount)) + ", limit " +
          std::to_string(limit));
  }
  const auto left = leftAt_.find(aTarget);
  if (left != leftAt_.end() && now_ - left->second > kLeavingBound) {
    Break("began on a VM that leaves");
  }
  if (!aRequest.isIdempotent_ && aRequest.begun_ > 1) {
    Break("a request that is not idempotent began twice");
  }
  if (aRequest.isNotRun_) {
    Break("began after it was refused as not run");
  }
  if (!aRequest.job_.empty() && !aRequest.isIdempotent_ &&
      ++jobsBegun_[aRequest.job_] > 1) {
    Break("job " + aRequest.job_ + " began twice");
  }
}

int
VirtualFleet::RunningOf(const std::string& aAccount) const
{
  const auto found = running_.find(aAccount);
  return found == running_.end() ? 0 : found->second;
}

int
VirtualFleet::MostRunningOf(const std::string& aAccount) const
{
  const auto found = mostRunning_.find(aAccount);
  return found == mostRunning_.end() ? 0 : found->second;
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
