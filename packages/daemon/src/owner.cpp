// One term of ownership: the lease, the store, and the effects of a Fleet.

#include "owner.h"

#include <algorithm>
#include <cmath>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "daemon_log.h"
#include "records.h"

namespace cuminbridge {

namespace asio = boost::asio;

namespace {

constexpr Millis kRenewInterval(200); // a fifth of kOwnerLease
constexpr Millis kTickInterval(10);
constexpr Millis kTrafficLogInterval(5000);
// Starts and orders for VMs are sent only while the owner's lease is valid for
// at least this much longer, so that they arrive before another owner can take
// over.
constexpr Millis kLeaseMargin(400);
constexpr Millis kHandOverTimeout(800);

// Part of the limit for cancellations that is kept free for the difference of
// clocks.
constexpr Millis kStartSlack(200);

// Part of the limit for evacuations that is kept free, likewise.
constexpr Millis kEvacuationSlack(300);

// The former owner's last stop may arrive this much after the first call of the
// next one was sent.
constexpr Millis kStopSlack(200);

// Share of the rate limit of VM orders that moves take; maintenance waves need
// the rest.
constexpr double kMoveShare = 0.7;

FleetOptions
MakeOptions(const PlatformSettings& aSettings,
            const Tuning& aTuning,
            Cell aCell)
{
  FleetOptions options = aTuning.fleet_;
  options.targetLease_ =
    std::min(options.targetLease_, aSettings.longestLease_);
  options.longestLease_ = aSettings.longestLease_;
  options.moveTime_ = aSettings.moveTime_;
  options.vmOrderLease_ = aSettings.vmOrderLease_;
  options.keepEnded_ = aSettings.keepEnded_;
  options.remoteFactor_ = aSettings.remoteFactor_;
  options.cells_ = aCell.count_;
  options.maxSubmissionAge_ = aSettings.cancelLimit_ / 2;
  options.startTimeout_ =
    std::min(options.startTimeout_,
             aSettings.cancelLimit_ - options.maxSubmissionAge_ - kStartSlack);
  options.maxTargetsAge_ = aSettings.drainLimit_;
  options.maxEvacuationsAge_ =
    std::max(Millis(0), aSettings.evacuationLimit_ - kEvacuationSlack);
  options.stopTime_ = aSettings.stopTime_ + kStopSlack;
  options.maxReportAge_ = aSettings.contactLimit_ + aSettings.heartbeat_;
  const std::chrono::duration<double> interval = options.planInterval_;
  options.maxMovesPerPlan_ = static_cast<std::size_t>(std::max<long>(
    1,
    std::lround(kMoveShare * static_cast<double>(aSettings.vmOrdersPerSecond_) *
                interval.count() / aCell.count_)));
  return options;
}

// Few connections to each target: one carries the renewal that waits, and calls
// that come together queue for the others rather than open new ones.
HttpClientOptions
MakeTargetHttpOptions()
{
  constexpr std::size_t kConnections = 4;
  HttpClientOptions options;
  options.maxConnections_ = kConnections;
  return options;
}

} // namespace

Millis
OwnerLease(const PlatformSettings& aSettings)
{
  return std::max(kOwnerLease, aSettings.shortestStoreLease_);
}

Owner::Owner(DaemonContext aContext,
             Ownership aOwnership,
             const FleetConfig& aConfig)
  : context_(aContext)
  , ownership_(aOwnership)
  , fleet_(MakeOptions(aContext.settings_, aContext.tuning_, aOwnership.cell_),
           aContext.clocks_.Now())
  , targetHttp_(aContext.io_, MakeTargetHttpOptions())
  , targets_(targetHttp_,
             aOwnership.token_,
             aContext.clocks_,
             [this] { return MayStart(); })
  , vms_(aContext.http_,
         aContext.settings_.vmServiceAddress_,
         aContext.settings_.name_,
         aOwnership.token_,
         [this] { return MayStart(); })
  , advice_(aContext.http_, aContext.settings_.adviceAddress_)
  , keys_(aOwnership.cell_.number_)
  , writer_(aContext,
            keys_,
            aOwnership.token_,
            [this](const std::string& aWhy) { End(aWhy); })
  , vmPollTimer_(aContext.io_)
{
  Handle(ConfigSeen{ aConfig });
}

void
Owner::Begin()
{
  WriteLine({ "owner_began",
              "",
              "",
              "",
              "cell " + std::to_string(ownership_.cell_.number_) + " of " +
                std::to_string(ownership_.cell_.count_) + ", fencing token " +
                std::to_string(ownership_.token_) + ", term " +
                std::to_string(ownership_.term_) },
            context_.clocks_.Now());
  const auto self = shared_from_this();
  Spawn([self] { return self->Renew(); });
  Spawn([self] { return self->Load(); });
  Spawn([self] { return self->WatchTargets(); });
  if (context_.settings_.evacuationLimit_.count() > 0) {
    Spawn([self] { return self->WatchEvacuations(); });
  }
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
  WriteLine(
    { "owner_ended",
      "",
      "",
      "",
      "cell " + std::to_string(ownership_.cell_.number_) + ": " + aWhy },
    context_.clocks_.Now());
}

bool
Owner::IsLeaseValid() const
{
  return !hasEnded_ && context_.clocks_.Now() < ownership_.validUntil_;
}

Instant
Owner::SoleOwnerUntil() const
{
  return ownership_.validUntil_ - kLeaseMargin;
}

bool
Owner::MayStart() const
{
  return !hasEnded_ && !isHandingOver_ &&
         context_.clocks_.Now() < SoleOwnerUntil();
}

void
Owner::EndIfAllowanceOver()
{
  const FleetOptions options;
  if (context_.clocks_.Now() >
      ownership_.validUntil_ + options.ownerAllowance_) {
    End("the lease on the cell could not be renewed in time");
  }
}

void
Owner::ApplyTuning()
{
  Handle(OptionsChanged{
    MakeOptions(context_.settings_, context_.tuning_, ownership_.cell_) });
}

Awaitable<void>
Owner::HandOver()
{
  const auto self = shared_from_this();
  isHandingOver_ = true;
  const auto deadline = context_.clocks_.Now() + kHandOverTimeout;
  while (!hasEnded_ && context_.clocks_.Now() < deadline &&
         (!writer_.IsIdle() || fleet_.HasUnstoredChanges())) {
    co_await Sleep(context_.io_, kTickInterval);
  }
  if (!hasEnded_ && hasLoaded_ && writer_.IsIdle() &&
      !fleet_.HasUnstoredChanges()) {
    StoreOwnerRecord(true);
    while (!hasEnded_ && !writer_.IsIdle() &&
           context_.clocks_.Now() < deadline) {
      co_await Sleep(context_.io_, kTickInterval);
    }
  }
  End("this entry has handed the fleet over");
  co_await context_.store_.RevokeLease(ownership_.lease_);
}

//-----------------------------------------------------------------------------
// [SECTION] The lease
//-----------------------------------------------------------------------------

Awaitable<void>
Owner::RenewOnce()
{
  const auto self = shared_from_this();
  const auto sentAt = context_.clocks_.Now();
  const auto reply = co_await context_.store_.RenewLease(ownership_.lease_);
  if (reply.IsDone()) {
    ownership_.validUntil_ =
      std::max(ownership_.validUntil_, sentAt + OwnerLease(context_.settings_));
  } else if (reply.status_ == StoreStatus::Missing) {
    End("the lease on the cell has run out");
  }
}

// Renewals overlap: a lost answer must not hold up the next one.
Awaitable<void>
Owner::Renew()
{
  const auto self = shared_from_this();
  while (!hasEnded_) {
    co_await Sleep(context_.io_, kRenewInterval);
    EndIfAllowanceOver();
    if (!hasEnded_) {
      Spawn([self] { return self->RenewOnce(); });
    }
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Events and effects of the fleet
//-----------------------------------------------------------------------------

Awaitable<void>
Owner::RunTicks()
{
  const auto self = shared_from_this();
  while (!hasEnded_) {
    Handle(Tick{ context_.clocks_.TimeOfDay(),
                 SoleOwnerUntil(),
                 !context_.store_.IsUnreachable() });
    co_await Sleep(context_.io_, kTickInterval);
  }
}

// Logs what the calls of each kind have cost since the line before.
Awaitable<void>
Owner::LogTraffic()
{
  const auto self = shared_from_this();
  const auto sum = [this] {
    auto traffic = context_.http_.GetTraffic();
    AddUp(traffic, targetHttp_.GetTraffic());
    return traffic;
  };
  auto before = sum();
  while (!hasEnded_) {
    co_await Sleep(context_.io_, kTrafficLogInterval);
    const auto traffic = sum();
    for (const auto& [kind, count] : traffic) {
      const auto& last = before[kind];
      if (count == last) {
        continue;
      }
      WriteLine({ "traffic",
                  "",
                  "",
                  "",
                  kind + ": " + std::to_string(count.calls_ - last.calls_) +
                    " calls, " +
                    std::to_string(count.connections_ - last.connections_) +
                    " new connections, " +
                    std::to_string(count.bytesSent_ - last.bytesSent_) +
                    " bytes sent, " +
                    std::to_string(count.bytesReceived_ - last.bytesReceived_) +
                    " received in " +
                    std::to_string(kTrafficLogInterval.count()) + " ms" },
                context_.clocks_.Now());
    }
    before = traffic;
  }
}

void
Owner::Handle(const Event& aEvent)
{
  // The process may have been held up since the last renewal was due.
  EndIfAllowanceOver();
  if (hasEnded_) {
    return;
  }
  fleet_.Handle(aEvent, context_.clocks_.Now());
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
  // weak_from_this() is empty while the constructor handles the first event,
  // whose effects make no calls to other processes.
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
      [&](RenewTarget& aHold) {
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
          self->LogReachability(
            "advice", self->isAdviceReachable_, answer.isAnswered_);
          self->Handle(answer);
        });
      },
      [&](RequestVmList&) { RequestVms(); },
      [&](MoveVm& aMove) {
        if (isHandingOver_) {
          return;
        }
        Spawn([self, move = std::move(aMove)]() -> Awaitable<void> {
          self->Handle(co_await self->vms_.Move(move));
        });
      },
      [&](MaintainVm& aMaintenance) {
        if (isHandingOver_) {
          return;
        }
        Spawn(
          [self, maintenance = std::move(aMaintenance)]() -> Awaitable<void> {
            self->Handle(co_await self->vms_.StartMaintenance(maintenance));
          });
      },
      [&](StoreProgress& aStore) { Store(aStore); },
      [&](StoreWave& aWave) { Store(aWave); },
      [&](TransferJob& aTransfer) { Transfer(aTransfer); },
      [&](DeleteJobRecords& aForget) { RemoveJobs(aForget); },
      [&](LogLine& aLine) { WriteLine(aLine, context_.clocks_.Now()); },
      [&](StepDown&) {
        End("a target has seen the fencing token of a newer owner");
      } },
    aEffect);
}

} // namespace cuminbridge
