// One term of ownership: the lease, the store, and the effects of a Fleet.

#include "owner.h"

#include <algorithm>
#include <cmath>
#include <cstring>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "daemon_log.h"
#include "records.h"

namespace cuminbridge {

namespace asio = boost::asio;
using namespace asio::experimental::awaitable_operators;

namespace {

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

constexpr Millis kRenewInterval(200); // a fifth of kOwnerLease
constexpr Millis kTickInterval(10);
// A target that reports that it drains must get no new work 2 s later.
constexpr Millis kTargetWatchPause(300);
constexpr Millis kTargetWatchWait(500);
// The reports of more targets come faster than a watch with pauses reads them:
// it falls behind until its history is gone. Their whole list is read instead.
constexpr std::size_t kMaxWatched = 800;
constexpr Millis kTargetListPause(400);
constexpr Millis kVmPollInterval(400);
// While no VM has an order and no wave is open, only the platform changes VMs.
constexpr Millis kIdleVmPollInterval(900);
constexpr Millis kLoadPublishInterval(1000); // callers may read counts 2 s old
constexpr Millis kTrafficLogInterval(5000);
constexpr Millis kRetryPause(100);
// Longest watch of submissions: a watch whose connection is dead is replaced
// after it.
constexpr Millis kWatchWait(500);
// Orders for VMs are sent only while the owner's lease is valid for at least
// this much longer, so that they arrive before another owner can take over.
constexpr Millis kOrderMargin(400);
constexpr Millis kHandOverTimeout(800);

// True if the store answered that the key exists, or that it does not.
bool
IsReadOrMissing(const StoreReply& aReply)
{
  return aReply.IsDone() || aReply.status_ == StoreStatus::Missing;
}

// Whether all records of a cell have been read.
bool
IsWhole(const StoredFleet& aStored)
{
  return aStored.submissions_.IsDone() && aStored.progress_.IsDone() &&
         aStored.waves_.IsDone() && aStored.targets_.IsDone() &&
         IsReadOrMissing(aStored.oldTargets_) && aStored.vmOrders_.IsDone() &&
         IsReadOrMissing(aStored.demandPeaks_) &&
         IsReadOrMissing(aStored.grants_);
}

// Part of the limit for cancellations that is kept free for the difference of
// clocks.
constexpr Millis kStartSlack(200);

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

const char*
DescribePrevious(PreviousOwner aState)
{
  switch (aState) {
    case PreviousOwner::Unknown:
      return "may still renew leases on targets";
    case PreviousOwner::Ended:
      return "has ended";
    case PreviousOwner::HandedOver:
      return "has handed over, or does not exist";
  }
  return "";
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
  , targets_(targetHttp_, aOwnership.token_, aContext.clocks_)
  , vms_(aContext.http_,
         aContext.settings_.vmServiceAddress_,
         aContext.settings_.name_,
         aOwnership.token_)
  , advice_(aContext.http_, aContext.settings_.adviceAddress_)
  , keys_(aOwnership.cell_.number_)
  , writer_(aContext,
            keys_,
            aOwnership.token_,
            [this](const std::string& aWhy) { End(aWhy); })
{
  Handle(ConfigSeen{ aConfig });
}

template<typename Call>
void
Owner::Spawn(Call aCall)
{
  asio::co_spawn(context_.io_, std::move(aCall), asio::detached);
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
    const OwnerRecord record{ ownership_.term_,
                              PeerAddress(context_.settings_),
                              fleet_.InheritedUntil(),
                              true };
    writer_.Queue(
      { { { keys_.Of(kLastOwnerKey), EncodeOwnerRecord(record), 0 } },
        {},
        {} });
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
  const FleetOptions options;
  while (!hasEnded_) {
    co_await Sleep(context_.io_, kRenewInterval);
    if (context_.clocks_.Now() >
        ownership_.validUntil_ + options.ownerAllowance_) {
      End("the lease on the cell could not be renewed in time");
    } else if (!hasEnded_) {
      Spawn([self] { return self->RenewOnce(); });
    }
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Reading the store
//-----------------------------------------------------------------------------

bool
Owner::HandleSubmission(const StoreItem& aItem)
{
  if (aItem.isRemoved_) {
    return true;
  }
  const auto cancel = keys_.Of(kCancelPrefix);
  if (aItem.key_.rfind(cancel, 0) == 0) {
    HandleCancel(aItem.key_.substr(cancel.size()));
    return true;
  }
  if (DecodeMovedJob(aItem.value_) || aItem.value_ == kEndedJob) {
    return true; // written by an owner
  }
  auto job = DecodeJob(aItem.value_);
  if (!job) {
    return false;
  }
  HandleSubmittedJob(std::move(*job));
  return true;
}

Awaitable<PreviousOwner>
Owner::AskPreviousOwner()
{
  const auto self = shared_from_this();
  const auto previous = DecodeOwnerRecord(ownership_.previousOwner_);
  if (previous.hasHandedOver_ || previous.address_.empty()) {
    co_return PreviousOwner::HandedOver;
  }
  constexpr Millis kTimeout(120); // a peer answers within a few milliseconds
  HttpCall call;
  call.kind_ = "peer_ask";
  call.path_ = OwnerPath(ownership_.cell_.number_);
  call.limit_ = kTimeout;
  const auto reply =
    co_await context_.http_.Call(previous.address_, std::move(call));
  const bool isStillOwner =
    reply.IsAnswered() && reply.body_ == std::to_string(previous.term_);
  const bool isEnded = reply.outcome_ == CallOutcome::Refused ||
                       (reply.IsAnswered() && !isStillOwner);
  co_return isEnded ? PreviousOwner::Ended : PreviousOwner::Unknown;
}

// The targets of the record of earlier versions get keys of their own. The
// record is removed last, so that the next owner finds them at any time.
void
Owner::ReplaceOldTargetRecord(const StoredFleet& aStored,
                              const JobsLoaded& aLoaded)
{
  if (!aStored.oldTargets_.IsDone()) {
    return;
  }
  std::vector<StoreWrite::Put> puts;
  for (const auto& target : aLoaded.targets_) {
    puts.push_back(
      { keys_.Of(kTargetsPrefix) + target.id_, EncodeTarget(target), 0 });
  }
  writer_.QueueAll(std::move(puts), {});
  writer_.Queue({ {}, { keys_.Of(kOldTargetsKey) }, {} });
}

// Reads all records of the cell, in parallel. Some may be missing in the reply.
Awaitable<StoredFleet>
Owner::ReadStoredFleet()
{
  const auto self = shared_from_this();
  auto& store = context_.store_;
  StoredFleet stored;
  std::tie(stored.submissions_,
           stored.progress_,
           stored.waves_,
           stored.targets_,
           stored.oldTargets_,
           stored.vmOrders_,
           stored.demandPeaks_,
           stored.grants_) =
    co_await (store.List(keys_.Of(kSubmissionPrefix)) &&
              store.List(keys_.Of(kProgressPrefix)) &&
              store.List(kMaintenancePrefix) &&
              store.List(keys_.Of(kTargetsPrefix)) &&
              store.Get(keys_.Of(kOldTargetsKey)) &&
              store.List(keys_.Of(kVmOrdersPrefix)) &&
              store.Get(keys_.Of(kDemandPeaksKey)) && store.Get(kGrantsKey));
  co_return stored;
}

Awaitable<void>
Owner::Load()
{
  const auto self = shared_from_this();
  StoredFleet stored;
  PreviousOwner previousState = PreviousOwner::Unknown;
  std::tie(stored, previousState) =
    co_await (ReadStoredFleet() && AskPreviousOwner());
  while (!hasEnded_ && !IsWhole(stored)) {
    co_await Sleep(context_.io_, kRetryPause);
    stored = co_await ReadStoredFleet();
  }
  if (hasEnded_) {
    co_return;
  }
  std::vector<std::string> unreadable;
  auto loaded = DecodeStoredFleet(stored, ownership_.cell_.number_, unreadable);
  for (const auto& key : unreadable) {
    WriteLine({ "record_unreadable", "", "", "", key }, context_.clocks_.Now());
  }
  loaded.term_ = ownership_.term_;
  loaded.previousOwner_ = previousState;
  loaded.inheritedUntil_ =
    DecodeOwnerRecord(ownership_.previousOwner_).inheritedUntil_;
  WriteLine({ "former_owner",
              "",
              "",
              "",
              "the owner of record '" + ownership_.previousOwner_ + "' " +
                DescribePrevious(previousState) },
            context_.clocks_.Now());
  Handle(Tick{ context_.clocks_.TimeOfDay(), false });
  for (const auto& job : loaded.jobs_) {
    if (ownership_.map_->CellOfJob(job.id_) != ownership_.cell_.number_) {
      loaded.guests_.insert(job.id_);
    }
  }
  movedJobs_ = DecodeMovedJobs(stored.submissions_);
  for (const auto& job : loaded.cancelled_) {
    if (const auto moved = movedJobs_.find(job); moved != movedJobs_.end()) {
      ForwardCancel(job, moved->second);
    }
  }
  ReplaceOldTargetRecord(stored, loaded);
  if (ownership_.cell_.count_ > 1) {
    UseGrants(stored.grants_.IsDone()
                ? DecodeGrants(stored.grants_.items_.front().value_,
                               ownership_.cell_.count_)
                : AccountGrants{});
  }
  Handle(loaded);
  const OwnerRecord record{ ownership_.term_,
                            PeerAddress(context_.settings_),
                            fleet_.InheritedUntil(),
                            false };
  writer_.Queue(
    { { { keys_.Of(kLastOwnerKey), EncodeOwnerRecord(record), 0 } }, {}, {} });
  submissionsReadUpTo_ = context_.clocks_.Now();
  hasLoaded_ = true;
  const auto revision = stored.submissions_.revision_;
  Spawn([self, revision] { return self->WatchSubmissions(revision); });
  Spawn([self] { return self->PollVms(); });
  Spawn([self] { return self->PollWaves(); });
  Spawn([self] { return self->PublishLoad(); });
  Spawn([self] { return self->RunTicks(); });
  Spawn([self] { return self->LogTraffic(); });
  if (ownership_.cell_.count_ > 1) {
    Spawn([self] { return self->ShareLimits(); });
    Spawn([self] { return self->ReportCapacity(); });
  }
}

Awaitable<void>
Owner::WatchSubmissions(std::int64_t aRevision)
{
  const auto self = shared_from_this();
  const auto prefix = keys_.Of(kSubmissionPrefix);
  auto after = aRevision;
  bool mustList = false;
  while (!hasEnded_) {
    StoreReply reply;
    const auto sentAt = context_.clocks_.Now();
    if (mustList) {
      reply = co_await context_.store_.List(prefix);
    } else {
      reply = co_await context_.store_.Watch(prefix, after, kWatchWait);
    }
    if (hasEnded_) {
      co_return;
    }
    if (reply.IsDone()) {
      for (const auto& item : reply.items_) {
        if (!HandleSubmission(item)) {
          WriteLine({ "record_unreadable", "", "", "", item.key_ },
                    context_.clocks_.Now());
        }
      }
      after = NextWatchRevision(after, reply, mustList);
      mustList = false;
      submissionsReadUpTo_ = sentAt;
      Handle(SubmissionsRead{ sentAt });
      continue;
    }
    mustList = mustList || reply.status_ == StoreStatus::Expired;
    co_await Sleep(context_.io_, kRetryPause);
  }
}

// Applies one item of a list or a watch of the targets.
void
Owner::UpdateTarget(const StoreItem& aItem)
{
  const auto id = aItem.key_.substr(std::strlen(kTargetPrefix));
  if (aItem.isRemoved_) {
    reports_.erase(id);
    return;
  }
  if (auto report = ReadTarget(aItem.key_, aItem.value_)) {
    if (ownership_.map_->CellOfVm(report->vm_) == ownership_.cell_.number_) {
      reports_[id] = std::move(*report);
    }
    return;
  }
  reports_.erase(id);
  if (unreadableTargets_.insert(aItem.key_).second) {
    WriteLine({ "target_unreadable",
                "",
                "",
                aItem.key_,
                "can't be decoded; the target is not used" },
              context_.clocks_.Now());
  }
}

// Lists the targets once, then watches them. Reports come many times a second,
// so the pause between two watches gathers them.
Awaitable<void>
Owner::WatchTargets()
{
  const auto self = shared_from_this();
  std::int64_t after = 0;
  std::size_t listed = 0; // targets of the whole fleet
  bool mustList = true;
  while (!hasEnded_) {
    StoreReply reply;
    if (mustList) {
      reply = co_await context_.store_.List(kTargetPrefix);
    } else {
      reply =
        co_await context_.store_.Watch(kTargetPrefix, after, kTargetWatchWait);
    }
    if (reply.IsDone() && !hasEnded_) {
      if (mustList) {
        reports_.clear();
      }
      for (const auto& item : reply.items_) {
        UpdateTarget(item);
      }
      after = NextWatchRevision(after, reply, mustList);
      TargetsSeen seen;
      for (const auto& [id, report] : reports_) {
        seen.targets_.push_back(report);
      }
      Handle(seen);
    }
    if (mustList && reply.IsDone()) {
      listed = reply.items_.size();
    }
    mustList = reply.status_ == StoreStatus::Expired ||
               (mustList && !reply.IsDone()) || listed > kMaxWatched;
    co_await Sleep(context_.io_,
                   mustList ? kTargetListPause : kTargetWatchPause);
  }
}

// Logs a change of whether a service answers. aIsReachable holds the state so
// far, and is updated.
void
Owner::LogReachability(const char* aService,
                       bool& aIsReachable,
                       bool aIsAnswered)
{
  if (aIsReachable != aIsAnswered) {
    aIsReachable = aIsAnswered;
    WriteLine({ std::string(aService) + (aIsAnswered ? "_reached" : "_lost"),
                "",
                "",
                "",
                "" },
              context_.clocks_.Now());
  }
}

Awaitable<void>
Owner::PollVms()
{
  const auto self = shared_from_this();
  while (!hasEnded_ && !context_.settings_.vmServiceAddress_.empty()) {
    const auto requestedAt = context_.clocks_.Now();
    auto vms = co_await vms_.List();
    LogReachability("vm_service", isVmServiceReachable_, vms.has_value());
    if (vms && !hasEnded_) {
      std::erase_if(*vms, [this](const Vm& aVm) {
        return ownership_.map_->CellOfVm(aVm.name_) != ownership_.cell_.number_;
      });
      Handle(VmsSeen{ std::move(*vms), requestedAt });
    }
    const auto waves = fleet_.Waves();
    const bool isChanging =
      fleet_.HasVmOrders() ||
      std::any_of(waves.begin(), waves.end(), [](const WaveSummary& aWave) {
        return !aWave.isCompleted_;
      });
    const auto least = VmListInterval(vms_.Pages(),
                                      ownership_.cell_.count_,
                                      context_.settings_.vmReadsPerSecond_);
    co_await Sleep(
      context_.io_,
      std::max(isChanging ? kVmPollInterval : kIdleVmPollInterval, least));
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Writing the store
//-----------------------------------------------------------------------------

void
Owner::Store(const StoreProgress& aEffect)
{
  std::vector<StoreWrite::Put> puts;
  if (aEffect.hasOrders_) {
    // An order matters to the next owner for a few seconds; a slot is used
    // again after 25 s or more.
    constexpr int kSlots = 128;
    orderSlot_ = (orderSlot_ + 1) % kSlots;
    puts.push_back(
      { keys_.Of(kVmOrdersPrefix) + '/' + std::to_string(orderSlot_),
        EncodeVmOrders(aEffect.orders_),
        0 });
  }
  if (aEffect.hasDemandPeaks_) {
    puts.push_back({ keys_.Of(kDemandPeaksKey),
                     EncodeDemandPeaks(aEffect.demandPeaks_),
                     0 });
  }
  for (const auto& [job, progress] : aEffect.jobs_) {
    puts.push_back(
      { keys_.Of(kProgressPrefix) + job, EncodeProgress(progress), 0 });
    if (IsEnd(progress.state_)) {
      // The next owner need not read the whole job. The key stays, as its id
      // can't be used again.
      puts.push_back({ keys_.Of(kJobPrefix) + job, kEndedJob, 0 });
    }
  }
  // After the progress: a target stored as silent has all its runs stored.
  for (const auto& target : aEffect.newTargets_) {
    puts.push_back(
      { keys_.Of(kTargetsPrefix) + target.id_, EncodeTarget(target), 0 });
  }
  for (const auto& target : aEffect.removedTargets_) {
    writer_.Queue({ {}, { keys_.Of(kTargetsPrefix) + target }, {} });
  }
  writer_.QueueAll(std::move(puts), {});
  // Writes are stored in order, so this follows all of the above.
  const auto batch = aEffect.batch_;
  writer_.Queue({ {}, {}, [this, batch] { Handle(ProgressStored{ batch }); } });
}

void
Owner::Store(const StoreWave& aEffect)
{
  // With several cells, a wave is completed once all of them have completed
  // their part: see CompleteWaves().
  const bool isCompleted = aEffect.isCompleted_ && ownership_.cell_.count_ == 1;
  std::vector<StoreWrite::Put> puts;
  puts.push_back({ keys_.Maintenance(aEffect.wave_),
                   EncodeWaveRecord({ aEffect.record_, aEffect.isCompleted_ }),
                   0 });
  if (completedWaves_.count(aEffect.wave_) == 0) {
    puts.push_back(
      { WaveStatusKey(aEffect.wave_), FormatWaveStatus(isCompleted), 0 });
  }
  writer_.QueueAll(std::move(puts), {});
}

void
Owner::RemoveJobs(const DeleteJobRecords& aEffect)
{
  for (const auto& job : aEffect.jobs_) {
    FencedWriter::PendingWrite write;
    write.removes_ = { keys_.Of(kJobPrefix) + job,
                       keys_.Of(kCancelPrefix) + job,
                       keys_.Of(kProgressPrefix) + job };
    const int home = ownership_.map_->CellOfJob(job);
    if (home != ownership_.cell_.number_) {
      const CellKeys keys(home);
      write.removes_.push_back(keys.Of(kJobPrefix) + job);
      write.removes_.push_back(keys.Of(kCancelPrefix) + job);
    }
    writer_.Queue(std::move(write));
  }
}

Awaitable<void>
Owner::PublishLoad()
{
  const auto self = shared_from_this();
  while (!hasEnded_) {
    writer_.Queue(
      { { { keys_.Load(), EncodeLoad(CountWaiting()), 0 } }, {}, {} });
    co_await Sleep(context_.io_, kLoadPublishInterval);
  }
}

LoadRecord
Owner::CountWaiting() const
{
  LoadRecord record;
  for (const auto& load : fleet_.Loads()) {
    record.waiting_[load.queue_] = load.waiting_;
  }
  record.countedAt_ = context_.clocks_.TimeOfDay() -
                      (context_.clocks_.Now() - submissionsReadUpTo_);
  return record;
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
                 context_.clocks_.Now() + kOrderMargin < ownership_.validUntil_,
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
