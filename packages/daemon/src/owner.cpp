// One term of ownership.

#include "owner.h"

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
constexpr Millis kHandOverLimit(800);

// The key was read, or does not exist.
bool
IsKnown(const StoreReply& aReply)
{
  return aReply.IsDone() || aReply.status_ == StoreStatus::Missing;
}

// Part of the rate of VM orders that moves take; waves need the rest.
constexpr double kMovePart = 0.7;

FleetOptions
MakeOptions(const PlatformSettings& aSettings, const Tuning& aTuning)
{
  FleetOptions options = aTuning.fleet_;
  options.targetLease_ =
    std::min(options.targetLease_, aSettings.longestLease_);
  options.longestLease_ = aSettings.longestLease_;
  options.moveTime_ = aSettings.moveTime_;
  options.vmOrderLease_ = aSettings.vmOrderLease_;
  options.keepEnded_ = aSettings.keepEnded_;
  options.remoteFactor_ = aSettings.remoteFactor_;
  const std::chrono::duration<double> interval = options.planInterval_;
  options.movesInPlan_ = std::max<std::size_t>(
    1,
    static_cast<std::size_t>(kMovePart *
                             static_cast<double>(aSettings.vmOrdersPerSecond_) *
                             interval.count()));
  return options;
}

} // namespace

Owner::Owner(DaemonParts aParts,
             Ownership aOwnership,
             const FleetConfig& aConfig)
  : parts_(aParts)
  , ownership_(aOwnership)
  , fleet_(MakeOptions(aParts.settings_, aParts.tuning_), aParts.clocks_.Now())
  , targets_(aParts.http_, aOwnership.token_, aParts.clocks_)
  , vms_(aParts.http_,
         aParts.settings_.vmServiceAddress_,
         aParts.settings_.name_,
         aOwnership.token_)
  , advice_(aParts.http_, aParts.settings_.adviceAddress_)
  , writer_(aParts, aOwnership.token_, [this](const std::string& aWhy) {
    End(aWhy);
  })
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
  Spawn([self] { return self->writer_.Run(); });
}

void
Owner::End(const std::string& aWhy)
{
  if (hasEnded_) {
    return;
  }
  hasEnded_ = true;
  writer_.Stop();
  WriteLine({ "owner_ended", "", "", "", aWhy }, parts_.clocks_.Now());
}

bool
Owner::IsSure() const
{
  return !hasEnded_ && parts_.clocks_.Now() < ownership_.validUntil_;
}

void
Owner::Retune()
{
  Handle(OptionsChanged{ MakeOptions(parts_.settings_, parts_.tuning_) });
}

Awaitable<void>
Owner::HandOver()
{
  const auto self = shared_from_this();
  isHandingOver_ = true;
  const auto limit = parts_.clocks_.Now() + kHandOverLimit;
  while (!hasEnded_ && parts_.clocks_.Now() < limit &&
         (!writer_.IsIdle() || fleet_.HasUnstored())) {
    co_await Sleep(parts_.io_, kTickInterval);
  }
  if (!hasEnded_ && hasLoaded_ && writer_.IsIdle() && !fleet_.HasUnstored()) {
    const LastOwner last{ ownership_.term_,
                          PeerAddress(parts_.settings_),
                          fleet_.InheritedUntil(),
                          true };
    writer_.Queue({ { { kLastOwnerKey, WriteLastOwner(last), 0 } }, {}, {} });
    while (!hasEnded_ && !writer_.IsIdle() && parts_.clocks_.Now() < limit) {
      co_await Sleep(parts_.io_, kTickInterval);
    }
  }
  End("handed over");
  co_await parts_.store_.RevokeLease(ownership_.lease_);
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
    const auto reply = co_await parts_.store_.RenewLease(ownership_.lease_);
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
  auto& store = parts_.store_;
  StoredFleet stored;
  bool isRead = false;
  while (!hasEnded_ && !isRead) {
    stored.intake_ = co_await store.List(kIntakePrefix);
    stored.progress_ = co_await store.List(kProgressPrefix);
    stored.waves_ = co_await store.List(kUpkeepPrefix);
    stored.targets_ = co_await store.Get(kTargetsKey);
    stored.orders_ = co_await store.Get(kOrdersKey);
    stored.turns_ = co_await store.Get(kTurnsKey);
    isRead = stored.intake_.IsDone() && stored.progress_.IsDone() &&
             stored.waves_.IsDone() && IsKnown(stored.targets_) &&
             IsKnown(stored.orders_) && IsKnown(stored.turns_);
    if (!isRead) {
      co_await Sleep(parts_.io_, kRetryPause);
    }
  }
  const auto former = co_await AskFormer();
  if (hasEnded_) {
    co_return;
  }
  std::vector<std::string> unreadable;
  auto loaded = ReadStoredFleet(stored, unreadable);
  for (const auto& key : unreadable) {
    WriteLine({ "record_unreadable", "", "", "", key }, parts_.clocks_.Now());
  }
  loaded.term_ = ownership_.term_;
  loaded.former_ = former;
  loaded.inheritedUntil_ = ReadLastOwner(ownership_.former_).inheritedUntil_;
  WriteLine({ "former_owner",
              "",
              "",
              "",
              ownership_.former_ + " state " +
                std::to_string(static_cast<int>(former)) },
            parts_.clocks_.Now());
  Handle(Tick{ parts_.clocks_.TimeOfDay(), false });
  Handle(loaded);
  const LastOwner known{ ownership_.term_,
                         PeerAddress(parts_.settings_),
                         fleet_.InheritedUntil(),
                         false };
  writer_.Queue({ { { kLastOwnerKey, WriteLastOwner(known), 0 } }, {}, {} });
  hasLoaded_ = true;
  const auto revision = stored.intake_.revision_;
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

// Logs that a service was lost or is there again; aHas holds what was known.
void
Owner::NoteContact(const char* aService, bool& aHas, bool aIsAnswered)
{
  if (aHas != aIsAnswered) {
    aHas = aIsAnswered;
    WriteLine({ std::string(aService) + (aIsAnswered ? "_reached" : "_lost"),
                "",
                "",
                "",
                "" },
              parts_.clocks_.Now());
  }
}

Awaitable<void>
Owner::PollVms()
{
  const auto self = shared_from_this();
  while (!hasEnded_ && !parts_.settings_.vmServiceAddress_.empty()) {
    const auto asked = parts_.clocks_.Now();
    auto vms = co_await vms_.List();
    NoteContact("vm_service", hasVmService_, vms.has_value());
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
Owner::Store(const StoreProgress& aEffect)
{
  std::vector<StoreWrite::Put> puts;
  if (aEffect.hasTargets_) {
    puts.push_back({ kTargetsKey, WriteKnownTargets(aEffect.targets_), 0 });
  }
  if (aEffect.hasOrders_) {
    puts.push_back({ kOrdersKey, WriteKnownOrders(aEffect.orders_), 0 });
  }
  if (aEffect.hasTurns_) {
    puts.push_back({ kTurnsKey, WriteKnownTurns(aEffect.turns_), 0 });
  }
  for (const auto& [job, progress] : aEffect.jobs_) {
    puts.push_back({ kProgressPrefix + job, EncodeProgress(progress), 0 });
  }
  const auto batch = aEffect.batch_;
  writer_.QueueAll(std::move(puts),
                   [this, batch] { Handle(ProgressStored{ batch }); });
}

void
Owner::Store(const StoreWave& aEffect)
{
  writer_.QueueAll({ { kUpkeepPrefix + std::to_string(aEffect.wave_),
                       WriteWaveRecord(aEffect.record_),
                       0 },
                     { WaveStatusKey(aEffect.wave_),
                       FormatWaveStatus(aEffect.isCompleted_),
                       0 } },
                   {});
}

void
Owner::Forget(const ForgetJobs& aEffect)
{
  for (const auto& job : aEffect.jobs_) {
    writer_.Queue(
      { {},
        { kJobPrefix + job, kCancelPrefix + job, kProgressPrefix + job },
        {} });
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
      writer_.Queue({ { { kLoadKey, std::move(text), 0 } }, {}, {} });
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
    Overloaded{
      [&](StartRun& aStart) {
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
          self->Handle(co_await self->targets_.Renew(hold));
        });
      },
      [&](PaceRun& aPace) {
        Spawn([self, pace = std::move(aPace)]() -> Awaitable<void> {
          co_await self->targets_.Pace(pace);
        });
      },
      [&](AskAdvice& aAsk) {
        Spawn([self, ask = std::move(aAsk)]() -> Awaitable<void> {
          const auto answer = co_await self->advice_.Ask(ask);
          self->NoteContact("advice", self->hasAdvice_, answer.isAnswered_);
          self->Handle(answer);
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
        Spawn([self, upkeep = std::move(aUpkeep)]() -> Awaitable<void> {
          self->Handle(co_await self->vms_.StartMaintenance(upkeep));
        });
      },
      [&](StoreProgress& aStore) { Store(aStore); },
      [&](StoreWave& aWave) { Store(aWave); },
      [&](ForgetJobs& aForget) { Forget(aForget); },
      [&](LogLine& aLine) { WriteLine(aLine, parts_.clocks_.Now()); },
      [&](Abdicate&) { End("a target has seen a newer owner"); } },
    aEffect);
}

} // namespace cuminbridge
