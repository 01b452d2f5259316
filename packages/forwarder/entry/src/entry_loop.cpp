// Submits events to the reducer and carries out its effects.

#include "entry_loop.h"

#include <fstream>

#include <boost/leaf/handle_errors.hpp>

#include "cuminbridge/wire.h"
#include "log.h"

namespace cuminbridge::forwarder {

namespace leaf = boost::leaf;

namespace {

constexpr std::chrono::milliseconds kTickInterval(50);
constexpr int kTicksBetweenIdleCloses = 200; // 10 s

// The first line of a file; empty if the file is empty or can't be read.
std::string
ReadCredential(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::string line;
  std::getline(file, line);
  return line;
}

} // namespace

struct EntryLoop::EffectVisitor
{
  EntryLoop& loop_;

  void operator()(ForwardRequest& aEffect)
  {
    const RequestId id = aEffect.id_;
    loop_.Deliver(id, std::move(aEffect));
  }
  void operator()(RefuseRequest& aEffect)
  {
    const RequestId id = aEffect.id_;
    loop_.Deliver(id, std::move(aEffect));
  }
  void operator()(const LogDecision& aEffect) { WriteDecision(aEffect); }
  void operator()(const StoreRead& aEffect)
  {
    loop_.store_.Read(aEffect, [loop = &loop_](StoreAnswer aAnswer) {
      loop->Submit(std::move(aAnswer));
    });
  }
  void operator()(const StoreSwap& aEffect)
  {
    loop_.store_.Swap(aEffect, [loop = &loop_](StoreAnswer aAnswer) {
      loop->Submit(std::move(aAnswer));
    });
  }
  void operator()(const SendPeer& aEffect)
  {
    loop_.links_->Send(aEffect.address_,
                       EncodeFrame(ViewSelf(*loop_.entry_), aEffect.message_));
  }
  void operator()(const SetPeerLinks& aEffect)
  {
    loop_.links_->SetPeers(aEffect.addresses_);
  }
  void operator()(AnswerFiling& aEffect)
  {
    const auto slot = loop_.filings_.find(aEffect.filing_);
    if (slot != loop_.filings_.end()) {
      slot->second->answer_ = std::move(aEffect);
      slot->second->timer_.cancel();
    }
  }
  void operator()(const RebootVm& aEffect)
  {
    loop_.vmList_.Reboot(aEffect.address_, aEffect.operation_, [](bool) {});
  }
  void operator()(const LogMessage& aEffect)
  {
    LogInfo(aEffect.event_, aEffect.detail_);
  }
  void operator()(const StopAccepting&) { loop_.onStopAccepting_(); }
  void operator()(const ExitProcess&) { loop_.onExit_(); }
};

EntryLoop::EntryLoop(boost::asio::io_context& aIo, const Settings& aSettings)
  : io_(aIo)
  , settings_(aSettings)
  , entry_(MakeEntry(aSettings.options_, clock_.Now()))
  , store_(aIo, { aSettings.storeAddresses_, aSettings.storeTimeout_ })
  , vmList_(aIo, { aSettings.vmListAddress_, aSettings.storeTimeout_ })
  , targets_(aIo)
  , tickTimer_(aIo.get_executor())
  , vmListTimer_(aIo.get_executor())
{
}

bool
EntryLoop::Start()
{
  credential_ = ReadCredential(settings_.operatorsCredentialFile_);
  if (credential_.empty()) {
    LogError("no credential for operators", settings_.operatorsCredentialFile_);
    return false;
  }
  LinkOptions options;
  options.listenAddress_ = settings_.options_.self_.peerAddress_;
  options.maxFrameBytes_ = kMaxFrameBytes;
  if (!settings_.peersCredentialFile_.empty()) {
    options.credential_ = ReadCredential(settings_.peersCredentialFile_);
    if (options.credential_.empty()) {
      LogError("no credential for peers", settings_.peersCredentialFile_);
      return false;
    }
  }
  links_ = std::make_unique<PeerLinks>(
    io_, options, [this](const std::string& aBytes) { OnFrame(aBytes); });
  const std::string error = links_->Listen();
  if (!error.empty()) {
    LogError("can't listen for peers", error);
    return false;
  }
  boost::asio::co_spawn(
    io_.get_executor(), TickForEver(), [](std::exception_ptr) {});
  if (!settings_.vmListAddress_.empty()) {
    boost::asio::co_spawn(
      io_.get_executor(), ReadVmListForEver(), [](std::exception_ptr) {});
  }
  return true;
}

void
EntryLoop::Stop()
{
  isStopped_ = true;
  tickTimer_.cancel();
  vmListTimer_.cancel();
  links_->Close();
}

void
EntryLoop::Submit(const Event& aEvent)
{
  if (isStopped_) {
    return;
  }
  Effects effects;
  Reduce(*entry_, aEvent, Now(), effects);
  CarryOut(std::move(effects));
}

void
EntryLoop::CarryOut(Effects aEffects)
{
  for (Effect& effect : aEffects) {
    std::visit(EffectVisitor{ *this }, effect);
  }
}

void
EntryLoop::Deliver(RequestId aId, Decision aDecision)
{
  const auto slot = waiting_.find(aId);
  if (slot != waiting_.end()) {
    slot->second->decision_ = std::move(aDecision);
    slot->second->timer_.cancel();
  }
}

Awaitable<std::optional<Decision>>
EntryLoop::AwaitDecision(RequestId aId,
                         Event aEvent,
                         std::function<void()> aOnWait)
{
  DecisionSlot slot(io_);
  waiting_[aId] = &slot;
  Submit(aEvent);
  if (!slot.decision_) {
    if (aOnWait) {
      aOnWait();
    }
    slot.timer_.expires_at(std::chrono::steady_clock::time_point::max());
    co_await slot.timer_.async_wait(kAsTuple);
  }
  waiting_.erase(aId);
  co_return std::move(slot.decision_);
}

void
EntryLoop::CancelWait(RequestId aId)
{
  const auto slot = waiting_.find(aId);
  if (slot != waiting_.end() && !slot->second->decision_) {
    Submit(RequestCancelled{ aId });
    slot->second->timer_.cancel();
  }
}

Awaitable<AnswerFiling>
EntryLoop::FileTicket(std::string aText, bool aCheckOnly)
{
  const std::uint64_t id = nextFiling_++;
  FilingSlot slot{ {}, Timer(io_.get_executor()) };
  filings_[id] = &slot;
  Submit(TicketFiled{ id, std::move(aText), aCheckOnly });
  if (!slot.answer_) {
    // The reducer limits each filing to filing_limit_ms. This longer limit also
    // covers the time that a filing spends queued behind others.
    slot.timer_.expires_after(std::chrono::seconds(30));
    co_await slot.timer_.async_wait(kAsTuple);
  }
  filings_.erase(id);
  if (!slot.answer_) {
    AnswerFiling late;
    late.status_ = 504;
    late.message_ = "outcome unknown; read the ticket back";
    co_return late;
  }
  co_return std::move(*slot.answer_);
}

Awaitable<StoreAnswer>
EntryLoop::ReadStore(std::string aKey)
{
  struct Slot
  {
    StoreAnswer answer_;
    bool isDone_ = false;
    Timer timer_;
  };
  auto slot =
    std::make_shared<Slot>(Slot{ {}, false, Timer(io_.get_executor()) });
  slot->timer_.expires_at(std::chrono::steady_clock::time_point::max());
  store_.Read({ 0, std::move(aKey), false }, [slot](StoreAnswer aAnswer) {
    slot->answer_ = std::move(aAnswer);
    slot->isDone_ = true;
    slot->timer_.cancel();
  });
  if (!slot->isDone_) {
    co_await slot->timer_.async_wait(kAsTuple);
  }
  co_return std::move(slot->answer_);
}

Awaitable<void>
EntryLoop::TickForEver()
{
  int ticks = 0;
  while (!isStopped_) {
    Submit(Tick{});
    if (++ticks % kTicksBetweenIdleCloses == 0) {
      targets_.CloseIdle();
    }
    tickTimer_.expires_after(kTickInterval);
    co_await tickTimer_.async_wait(kAsTuple);
  }
}

Awaitable<void>
EntryLoop::ReadVmListForEver()
{
  while (!isStopped_) {
    vmList_.ReadChanges([this](bool aIsOk, VmListRead aList) {
      if (aIsOk && !aList.changed_.empty()) {
        Submit(std::move(aList));
      }
    });
    vmListTimer_.expires_after(settings_.vmListInterval_);
    co_await vmListTimer_.async_wait(kAsTuple);
  }
}

void
EntryLoop::OnFrame(const std::string& aBytes)
{
  leaf::try_handle_all(
    [&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(frame, DecodeFrame(aBytes));
      PeerFrame event;
      event.from_ = std::move(frame.sender_.id_);
      event.incarnation_ = frame.sender_.incarnation_;
      event.address_ = std::move(frame.sender_.peerAddress_);
      event.dataCentre_ = std::move(frame.sender_.dataCentre_);
      event.message_ = std::move(frame.message_);
      Submit(std::move(event));
      return {};
    },
    [](const std::string& aWhy) { LogError("frame refused", aWhy); },
    [] { LogError("frame refused", "a peer's frame can't be decoded"); });
}

std::string
EntryLoop::FormatAllMetrics() const
{
  return FormatMetrics(
    *entry_, metrics_, store_.Counts(), links_->Counts(), Now());
}

} // namespace cuminbridge::forwarder
