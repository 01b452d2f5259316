// One term of ownership.

#include "owner.h"

#include <sstream>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "daemon_log.h"
#include "records.h"

namespace cuminbridge {

namespace asio = boost::asio;

namespace {

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

constexpr Millis kRenewInterval(300); // a fifth of the lease
constexpr Millis kTickInterval(10);
constexpr Millis kTargetsInterval(400); // a draining target gets no work 2 s on
constexpr Millis kVmsInterval(400);
constexpr Millis kWavesInterval(1000);
constexpr Millis kLoadInterval(1000); // what callers are told may be 2 s old
constexpr Millis kRetryPause(100);
constexpr Millis kWatchWait(1000); // a silent channel is noticed after it
// An order for a VM needs the lease to live at least this long.
constexpr Millis kOrderMargin(600);
constexpr std::size_t kPutsInWrite = kMostInWrite - 4; // beside the conditions
constexpr Millis kHandOverLimit(800);

std::string
KeyOf(const char* aPrefix, const std::string& aName)
{
  return aPrefix + aName;
}

// The key was read, or does not exist.
bool
IsKnown(const StoreReply& aReply)
{
  return aReply.IsDone() || aReply.status_ == StoreStatus::Missing;
}

std::string
WriteWaveRecord(const WaveRecord& aRecord)
{
  return nlohmann::json{
    { "seen", aRecord.seen_.time_since_epoch().count() },
    { "done", aRecord.upkeepDone_ }
  }.dump();
}

FleetOptions
MakeOptions(const PlatformSettings& aSettings)
{
  FleetOptions options;
  options.targetLease_ =
    std::min(options.targetLease_, aSettings.longestLease_);
  options.moveTime_ = aSettings.moveTime_;
  options.vmOrderLease_ = aSettings.vmOrderLease_;
  options.keepEnded_ = aSettings.keepEnded_;
  options.remoteFactor_ = aSettings.remoteFactor_;
  return options;
}

} // namespace

Awaitable<void>
Sleep(asio::io_context& aIo, Millis aTime)
{
  asio::steady_timer timer(aIo, aTime);
  co_await timer.async_wait(kAsTuple);
}

Owner::Owner(DaemonParts aParts,
             Ownership aOwnership,
             const FleetConfig& aConfig)
  : parts_(aParts)
  , ownership_(aOwnership)
  , fleet_(MakeOptions(aParts.settings_), aParts.clocks_.Now())
  , targets_(aParts.http_, aOwnership.token_, aParts.clocks_)
  , vms_(aParts.http_,
         aParts.settings_.vmsAddress_,
         aParts.settings_.name_,
         aOwnership.token_)
  , advice_(aParts.http_, aParts.settings_.adviceAddress_)
  , writeSignal_(aParts.io_)
  , chainRevision_(aOwnership.token_)
{
  Handle(ConfigSeen{ aConfig });
}

template<typename Call>
void
Owner::Spawn(Call aCall)
{
  asio::co_spawn(parts_.io_, std::move(aCall), asio::detached);
}

void
Owner::Begin()
{
  WriteLine({ "owner_began",
              "",
              "",
              "",
              "token " + std::to_string(ownership_.token_) + " term " +
                std::to_string(ownership_.term_) },
            parts_.clocks_.Now());
  const auto self = shared_from_this();
  Spawn([self] { return self->Renew(); });
  Spawn([self] { return self->Load(); });
  Spawn([self] { return self->PollTargets(); });
  Spawn([self] { return self->RunWriter(); });
}

void
Owner::End(const std::string& aWhy)
{
  if (hasEnded_) {
    return;
  }
  hasEnded_ = true;
  writeSignal_.cancel();
  WriteLine({ "owner_ended", "", "", "", aWhy }, parts_.clocks_.Now());
}

bool
Owner::IsSure() const
{
  return !hasEnded_ && parts_.clocks_.Now() < ownership_.validUntil_;
}

Awaitable<void>
Owner::HandOver()
{
  const auto self = shared_from_this();
  isHandingOver_ = true;
  const auto limit = parts_.clocks_.Now() + kHandOverLimit;
  while (!hasEnded_ && parts_.clocks_.Now() < limit &&
         (isWriting_ || !writes_.empty() || fleet_.HasUnstored())) {
    co_await Sleep(parts_.io_, kTickInterval);
  }
  if (!hasEnded_ && !isWriting_ && !fleet_.HasUnstored()) {
    bool isWritten = false;
    LastOwner last{ ownership_.term_, PeerAddress(parts_.settings_), true };
    Queue({ { { kLastOwnerKey, WriteLastOwner(last), 0 } }, {}, [&isWritten] {
             isWritten = true;
           } });
    while (!hasEnded_ && !isWritten && parts_.clocks_.Now() < limit) {
      co_await Sleep(parts_.io_, kTickInterval);
    }
    if (!isWritten) {
      writes_.clear(); // its end refers to this call
    }
  }
  End("handed over");
  co_await parts_.store_.EndLease(ownership_.lease_);
}

//-----------------------------------------------------------------------------
// [SECTION] The lease
//-----------------------------------------------------------------------------

Awaitable<void>
Owner::Renew()
{
  const auto self = shared_from_this();
  const FleetOptions options;
  while (!hasEnded_) {
    co_await Sleep(parts_.io_, kRenewInterval);
    const auto sent = parts_.clocks_.Now();
    if (sent > ownership_.validUntil_ + options.ownerAllowance_) {
      End("the lease was not renewed in time");
      co_return;
    }
    const auto reply = co_await parts_.store_.KeepLease(ownership_.lease_);
    if (reply.IsDone()) {
      ownership_.validUntil_ = sent + kOwnerLease;
    } else if (reply.status_ == StoreStatus::Missing) {
      End("the lease has run out");
    }
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Reading the store
//-----------------------------------------------------------------------------

bool
Owner::ReadIntake(const StoreItem& aItem)
{
  const std::string_view key = aItem.key_;
  const std::string_view cancel = kCancelPrefix;
  if (aItem.isRemoved_) {
    return true;
  }
  if (key.substr(0, cancel.size()) == cancel) {
    Handle(JobCancelled{ std::string(key.substr(cancel.size())) });
    return true;
  }
  auto job = DecodeJob(aItem.value_);
  if (!job) {
    return false;
  }
  Handle(JobArrived{ std::move(*job) });
  return true;
}

std::int64_t
NextWatchRevision(std::int64_t aAfter, const StoreReply& aReply, bool aIsList)
{
  auto next = aIsList ? std::max(aAfter, aReply.revision_) : aAfter;
  for (const auto& item : aReply.items_) {
    next = std::max(next, item.revision_);
  }
  return next;
}

std::string
PeerAddress(const PlatformSettings& aSettings)
{
  return aSettings.ip_ + ':' + std::to_string(aSettings.firstInternalPort_);
}

std::string
WriteLastOwner(const LastOwner& aOwner)
{
  return std::to_string(aOwner.term_) + ' ' + aOwner.address_ +
         (aOwner.hasHandedOver_ ? " handed-over" : "");
}

LastOwner
ReadLastOwner(const std::string& aText)
{
  LastOwner owner;
  std::string mark;
  std::istringstream text(aText);
  text >> owner.term_ >> owner.address_ >> mark;
  owner.hasHandedOver_ = mark == "handed-over";
  return owner;
}

Awaitable<FormerOwner>
Owner::AskFormer()
{
  const auto self = shared_from_this();
  const auto former = ReadLastOwner(ownership_.former_);
  if (former.hasHandedOver_ || former.address_.empty()) {
    co_return FormerOwner::HandedOver;
  }
  constexpr Millis kLimit(250); // a peer answers within a few milliseconds
  HttpCall call;
  call.path_ = kOwnerPath;
  call.limit_ = kLimit;
  const auto reply =
    co_await parts_.http_.Call(former.address_, std::move(call));
  const bool isStill =
    reply.IsAnswered() && reply.body_ == std::to_string(former.term_);
  const bool isEnded =
    reply.outcome_ == CallOutcome::Refused || (reply.IsAnswered() && !isStill);
  co_return isEnded ? FormerOwner::Ended : FormerOwner::Unknown;
}

Awaitable<void>
Owner::Load()
{
  const auto self = shared_from_this();
  StoreReply intake;
  StoreReply progress;
  StoreReply upkeep;
  StoreReply targets;
  StoreReply orders;
  while (!hasEnded_) {
    intake = co_await parts_.store_.List(kIntakePrefix);
    if (intake.IsDone()) {
      progress = co_await parts_.store_.List(kProgressPrefix);
    }
    if (intake.IsDone() && progress.IsDone()) {
      upkeep = co_await parts_.store_.List(kUpkeepPrefix);
    }
    if (intake.IsDone() && progress.IsDone() && upkeep.IsDone()) {
      targets = co_await parts_.store_.Get(kTargetsKey);
      orders = co_await parts_.store_.Get(kOrdersKey);
      if (IsKnown(targets) && IsKnown(orders)) {
        break;
      }
    }
    co_await Sleep(parts_.io_, kRetryPause);
  }
  if (hasEnded_) {
    co_return;
  }
  JobsLoaded loaded;
  loaded.term_ = ownership_.term_;
  const std::string_view cancel = kCancelPrefix;
  for (const auto& item : intake.items_) {
    if (std::string_view(item.key_).substr(0, cancel.size()) == cancel) {
      loaded.cancelled_.insert(item.key_.substr(cancel.size()));
    } else if (auto job = DecodeJob(item.value_)) {
      loaded.jobs_.push_back(std::move(*job));
    } else {
      WriteLine({ "record_unreadable", "", "", "", item.key_ },
                parts_.clocks_.Now());
    }
  }
  for (const auto& item : progress.items_) {
    const auto id = item.key_.substr(std::string_view(kProgressPrefix).size());
    if (auto record = DecodeProgress(item.value_)) {
      loaded.progress_[id] = std::move(*record);
    } else {
      WriteLine({ "record_unreadable", id, "", "", item.key_ },
                parts_.clocks_.Now());
    }
  }
  for (const auto& item : upkeep.items_) {
    const auto number =
      item.key_.substr(std::string_view(kUpkeepPrefix).size());
    const auto record = nlohmann::json::parse(item.value_, nullptr, false);
    if (record.is_object()) {
      loaded.waves_[std::atoll(number.c_str())] = {
        WallTime(Millis(record.at("seen").get<std::int64_t>())),
        record.at("done").get<std::vector<std::string>>()
      };
    }
  }
  if (orders.IsDone()) {
    const auto rows =
      nlohmann::json::parse(orders.items_.front().value_, nullptr, false);
    for (const auto& row : rows) {
      loaded.orders_.push_back(
        { row.at(0).get<std::string>(),
          WallTime(Millis(row.at(1).get<std::int64_t>())) });
    }
  }
  if (targets.IsDone()) {
    const auto rows =
      nlohmann::json::parse(targets.items_.front().value_, nullptr, false);
    for (const auto& row : rows) {
      loaded.targets_.emplace_back(row.at(0).get<std::string>(),
                                   row.at(1).get<std::string>(),
                                   row.at(2).get<std::string>());
    }
  }
  loaded.former_ = co_await AskFormer();
  if (hasEnded_) {
    co_return;
  }
  WriteLine({ "former_owner",
              "",
              "",
              "",
              ownership_.former_ + " state " +
                std::to_string(static_cast<int>(loaded.former_)) },
            parts_.clocks_.Now());
  Handle(Tick{ parts_.clocks_.TimeOfDay(), false });
  Handle(loaded);
  const auto revision = intake.revision_;
  Spawn([self, revision] { return self->WatchIntake(revision); });
  Spawn([self] { return self->PollVms(); });
  Spawn([self] { return self->PollWaves(); });
  Spawn([self] { return self->TellLoad(); });
  Spawn([self] { return self->RunTicks(); });
}

Awaitable<void>
Owner::WatchIntake(std::int64_t aRevision)
{
  const auto self = shared_from_this();
  auto after = aRevision;
  bool mustList = false;
  while (!hasEnded_) {
    StoreReply reply;
    if (mustList) {
      reply = co_await parts_.store_.List(kIntakePrefix);
    } else {
      reply = co_await parts_.store_.Watch(kIntakePrefix, after, kWatchWait);
    }
    if (hasEnded_) {
      co_return;
    }
    if (reply.IsDone()) {
      for (const auto& item : reply.items_) {
        if (!ReadIntake(item)) {
          WriteLine({ "record_unreadable", "", "", "", item.key_ },
                    parts_.clocks_.Now());
        }
      }
      after = NextWatchRevision(after, reply, mustList);
      mustList = false;
      continue;
    }
    mustList = mustList || reply.status_ == StoreStatus::Expired;
    co_await Sleep(parts_.io_, kRetryPause);
  }
}

Awaitable<void>
Owner::PollTargets()
{
  const auto self = shared_from_this();
  std::set<std::string> unreadable;
  while (!hasEnded_) {
    const auto reply = co_await parts_.store_.List(kTargetPrefix);
    if (reply.IsDone() && !hasEnded_) {
      TargetsSeen seen;
      for (const auto& item : reply.items_) {
        if (auto report = ReadTarget(item.key_, item.value_)) {
          seen.targets_.push_back(std::move(*report));
        } else if (unreadable.insert(item.key_).second) {
          WriteLine({ "target_unreadable", "", "", item.key_, "left out" },
                    parts_.clocks_.Now());
        }
      }
      Handle(seen);
    }
    co_await Sleep(parts_.io_, kTargetsInterval);
  }
}

Awaitable<void>
Owner::PollVms()
{
  const auto self = shared_from_this();
  while (!hasEnded_ && !parts_.settings_.vmsAddress_.empty()) {
    const auto asked = parts_.clocks_.Now();
    auto vms = co_await vms_.List();
    if (vms && !hasEnded_) {
      Handle(VmsSeen{ std::move(*vms), asked });
    }
    co_await Sleep(parts_.io_, kVmsInterval);
  }
}

Awaitable<void>
Owner::PollWaves()
{
  const auto self = shared_from_this();
  while (!hasEnded_) {
    const auto reply = co_await parts_.store_.List(kWavePrefix);
    if (reply.IsDone() && !hasEnded_) {
      WavesSeen seen;
      for (const auto& item : reply.items_) {
        if (auto wave = ReadWave(item.value_)) {
          seen.waves_.push_back(std::move(*wave));
        }
      }
      Handle(seen);
    }
    co_await Sleep(parts_.io_, kWavesInterval);
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Writing the store
//-----------------------------------------------------------------------------

void
Owner::Queue(Pending aPending)
{
  writes_.push_back(std::move(aPending));
  writeSignal_.cancel();
}

void
Owner::QueueProgress(const StoreProgress& aEffect)
{
  std::vector<StoreWrite::Put> puts;
  if (aEffect.hasTargets_) {
    nlohmann::json rows = nlohmann::json::array();
    for (const auto& target : aEffect.targets_) {
      rows.push_back({ target.id_, target.address_, target.pool_ });
    }
    puts.push_back({ kTargetsKey, rows.dump(), 0 });
  }
  if (aEffect.hasOrders_) {
    nlohmann::json rows = nlohmann::json::array();
    for (const auto& order : aEffect.orders_) {
      rows.push_back({ order.vm_, order.at_.time_since_epoch().count() });
    }
    puts.push_back({ kOrdersKey, rows.dump(), 0 });
  }
  for (const auto& [job, progress] : aEffect.jobs_) {
    puts.push_back(
      { KeyOf(kProgressPrefix, job), EncodeProgress(progress), 0 });
  }
  for (std::size_t begin = 0; begin < puts.size(); begin += kPutsInWrite) {
    Pending pending;
    const auto end = std::min(begin + kPutsInWrite, puts.size());
    for (std::size_t row = begin; row < end; ++row) {
      pending.puts_.push_back(std::move(puts[row]));
    }
    if (end == puts.size()) {
      const auto batch = aEffect.batch_;
      pending.done_ = [this, batch] { Handle(ProgressStored{ batch }); };
    }
    Queue(std::move(pending));
  }
}

Awaitable<bool>
Owner::WriteChained(StoreWrite aWrite)
{
  const auto number = std::to_string(++chainNumber_);
  aWrite.conditions_.push_back({ kOwnerKey, ownership_.token_ });
  aWrite.conditions_.push_back({ kChainKey, chainRevision_ });
  aWrite.puts_.push_back({ kChainKey, number, 0 });
  while (!hasEnded_) {
    const auto reply = co_await parts_.store_.Write(aWrite);
    if (reply.IsDone()) {
      chainRevision_ = reply.revision_;
      co_return true;
    }
    if (reply.status_ == StoreStatus::Conflict) {
      for (const auto& item : reply.items_) {
        // An earlier try without an answer was carried out after all.
        if (item.key_ == kChainKey && item.value_ == number &&
            item.revision_ != chainRevision_) {
          chainRevision_ = item.revision_;
          co_return true;
        }
      }
      End("a write found another owner");
      co_return false;
    }
    co_await Sleep(parts_.io_, kRetryPause);
  }
  co_return false;
}

Awaitable<void>
Owner::RunWriter()
{
  const auto self = shared_from_this();
  while (!hasEnded_) {
    if (writes_.empty()) {
      writeSignal_.expires_after(std::chrono::hours(1));
      co_await writeSignal_.async_wait(kAsTuple);
      continue;
    }
    isWriting_ = true;
    StoreWrite write;
    std::vector<std::function<void()>> done;
    while (!writes_.empty() && write.puts_.size() + write.removes_.size() +
                                   writes_.front().puts_.size() +
                                   writes_.front().removes_.size() <=
                                 kPutsInWrite) {
      auto& front = writes_.front();
      for (auto& put : front.puts_) {
        write.puts_.push_back(std::move(put));
      }
      for (auto& key : front.removes_) {
        write.removes_.push_back(std::move(key));
      }
      done.push_back(std::move(front.done_));
      writes_.pop_front();
    }
    const bool isDone = co_await WriteChained(std::move(write));
    isWriting_ = false;
    for (const auto& tell : done) {
      if (isDone && !hasEnded_ && tell) {
        tell();
      }
    }
  }
}

Awaitable<void>
Owner::TellLoad()
{
  const auto self = shared_from_this();
  std::string told;
  while (!hasEnded_) {
    nlohmann::json waiting = nlohmann::json::object();
    for (const auto& load : fleet_.Loads()) {
      waiting[load.queue_] = load.waiting_;
    }
    auto text = waiting.dump();
    if (text != told) {
      told = text;
      Queue({ { { kLoadKey, std::move(text), 0 } }, {}, nullptr });
    }
    co_await Sleep(parts_.io_, kLoadInterval);
  }
}

//-----------------------------------------------------------------------------
// [SECTION] The reducer
//-----------------------------------------------------------------------------

Awaitable<void>
Owner::RunTicks()
{
  const auto self = shared_from_this();
  while (!hasEnded_) {
    Handle(
      Tick{ parts_.clocks_.TimeOfDay(),
            parts_.clocks_.Now() + kOrderMargin < ownership_.validUntil_ });
    co_await Sleep(parts_.io_, kTickInterval);
  }
}

void
Owner::Handle(const Event& aEvent)
{
  if (hasEnded_) {
    return;
  }
  fleet_.Handle(aEvent, parts_.clocks_.Now());
  for (auto& effect : fleet_.TakeEffects()) {
    Execute(std::move(effect));
  }
}

namespace {

template<typename... Cases>
struct Overloaded : Cases...
{
  using Cases::operator()...;
};
template<typename... Cases>
Overloaded(Cases...) -> Overloaded<Cases...>;

} // namespace

void
Owner::Execute(Effect aEffect)
{
  // weak_from_this is empty while the constructor feeds the first event, which
  // has no effects that call out.
  const auto self = weak_from_this().lock();
  std::visit(
    Overloaded{ [&](StartRun& aStart) {
                 if (isHandingOver_) {
                   return;
                 }
                 Spawn([self, start = std::move(aStart)]() -> Awaitable<void> {
                   self->Handle(co_await self->targets_.Start(start));
                 });
               },
                [&](StopRun& aStop) {
                  Spawn([self, stop = std::move(aStop)]() -> Awaitable<void> {
                    self->Handle(co_await self->targets_.Stop(stop));
                  });
                },
                [&](HoldTarget& aHold) {
                  Spawn([self, hold = std::move(aHold)]() -> Awaitable<void> {
                    self->Handle(co_await self->targets_.Hold(hold));
                  });
                },
                [&](PaceRun& aPace) {
                  Spawn([self, pace = std::move(aPace)]() -> Awaitable<void> {
                    co_await self->targets_.Pace(pace);
                  });
                },
                [&](AskAdvice& aAsk) {
                  Spawn([self, ask = std::move(aAsk)]() -> Awaitable<void> {
                    self->Handle(co_await self->advice_.Ask(ask));
                  });
                },
                [&](MoveVm& aMove) {
                  if (isHandingOver_) {
                    return;
                  }
                  Spawn([self, move = std::move(aMove)]() -> Awaitable<void> {
                    self->Handle(co_await self->vms_.Move(move));
                  });
                },
                [&](UpkeepVm& aUpkeep) {
                  if (isHandingOver_) {
                    return;
                  }
                  Spawn(
                    [self, upkeep = std::move(aUpkeep)]() -> Awaitable<void> {
                      self->Handle(co_await self->vms_.Upkeep(upkeep));
                    });
                },
                [&](StoreProgress& aStore) { QueueProgress(aStore); },
                [&](StoreWave& aWave) {
                  Queue({ { { kUpkeepPrefix + std::to_string(aWave.wave_),
                              WriteWaveRecord(aWave.record_),
                              0 },
                            { WaveStatusKey(aWave.wave_),
                              FormatWaveStatus(aWave.isCompleted_),
                              0 } },
                          {},
                          nullptr });
                },
                [&](ForgetJobs& aForget) {
                  Pending pending;
                  for (const auto& job : aForget.jobs_) {
                    pending.removes_.push_back(KeyOf(kJobPrefix, job));
                    pending.removes_.push_back(KeyOf(kCancelPrefix, job));
                  }
                  Queue(std::move(pending));
                  Pending progress;
                  for (const auto& job : aForget.jobs_) {
                    progress.removes_.push_back(KeyOf(kProgressPrefix, job));
                  }
                  Queue(std::move(progress));
                },
                [&](LogLine& aLine) { WriteLine(aLine, parts_.clocks_.Now()); },
                [&](Abdicate&) { End("a target has seen a newer owner"); } },
    aEffect);
}

} // namespace cuminbridge
