// What an owner reads: the records of its cell, then submissions, targets and
// VMs.

#include <algorithm>
#include <cstring>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "daemon_log.h"
#include "owner.h"

namespace cuminbridge {

namespace asio = boost::asio;

using namespace asio::experimental::awaitable_operators;

namespace {

// A target that reports that it drains must get no new work 2 s later.
constexpr Millis kTargetWatchPause(300);
constexpr Millis kTargetWatchWait(500);
// The reports of more targets come faster than a watch with pauses reads them:
// it falls behind until its history is gone. Their whole list is read instead.
constexpr std::size_t kMaxWatched = 800;
constexpr Millis kTargetListPause(400);
// A watch that falls behind catches up with the next one. If it does not, as
// changes are large or come as fast as they are read, the whole is listed:
// pages of a list tell whether more follow.
constexpr int kMaxIncomplete = 2; // watches in a row that may lack changes
constexpr Millis kVmPollInterval(400);
// While no VM has an order and no wave is open, only the platform changes VMs.
constexpr Millis kIdleVmPollInterval(900);
// While targets that do not answer hold runs, whose items wait for the proof
// that the process has ended.
constexpr Millis kRequestedVmPollInterval(100);
constexpr Millis kRetryPause(100);
// Between questions to a previous owner that does not answer.
constexpr Millis kPreviousOwnerInterval(300);
// Longest watch of submissions: a watch whose connection is dead is replaced
// after it.
constexpr Millis kWatchWait(500);

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

//-----------------------------------------------------------------------------
// [SECTION] The records of the cell
//-----------------------------------------------------------------------------

bool
Owner::HandleSubmission(const StoreItem& aItem)
{
  if (aItem.isRemoved_) {
    movedJobs_.erase(aItem.key_.substr(aItem.key_.rfind('/') + 1));
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
    co_return ReadPreviousOwner(previous, {});
  }
  constexpr Millis kTimeout(120); // a peer answers within a few milliseconds
  HttpCall call;
  call.kind_ = "peer_ask";
  call.path_ = OwnerPath(ownership_.cell_.number_);
  call.limit_ = kTimeout;
  call.maxReplyBytes_ = kMaxPeerReply;
  co_return ReadPreviousOwner(
    previous, co_await context_.http_.Call(previous.address_, std::move(call)));
}

// Asks an owner that did not answer until it can't act any more. Its process is
// restarted after a crash, and then answers that it owns nothing.
Awaitable<void>
Owner::FollowPreviousOwner()
{
  const auto self = shared_from_this();
  const FleetOptions options;
  const auto until = context_.clocks_.Now() + options.ownerAllowance_;
  while (!hasEnded_ && context_.clocks_.Now() < until) {
    co_await Sleep(context_.io_, kPreviousOwnerInterval);
    if (co_await AskPreviousOwner() == PreviousOwner::Unknown) {
      continue;
    }
    Handle(PreviousOwnerEnded{});
    LogPreviousOwner(PreviousOwner::Ended);
    StoreOwnerRecord(false);
    co_return;
  }
}

void
Owner::LogPreviousOwner(PreviousOwner aState)
{
  WriteLine({ "former_owner",
              "",
              "",
              "",
              "the owner of record '" + ownership_.previousOwner_ + "' " +
                DescribePrevious(aState) },
            context_.clocks_.Now());
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

// Goes on with a list of which some pages may have been read.
Awaitable<StoreReply>
Owner::ReadList(std::string aPrefix, StoreReply aRead)
{
  if (aRead.IsDone()) {
    co_return aRead;
  }
  co_return co_await context_.store_.ContinueList(std::move(aPrefix),
                                                  std::move(aRead));
}

Awaitable<StoreReply>
Owner::ContinueList(std::string aPrefix, PagedList& aList)
{
  const auto self = shared_from_this();
  if (aList.read_.items_.empty()) {
    aList.began_ = context_.clocks_.Now();
  }
  auto reply = co_await context_.store_.ContinueList(std::move(aPrefix),
                                                     std::move(aList.read_));
  aList.read_ = {};
  if (!reply.IsDone()) {
    aList.read_ = reply;
  }
  co_return reply;
}

Awaitable<StoreReply>
Owner::ReadKey(std::string aKey, StoreReply aRead)
{
  if (IsReadOrMissing(aRead)) {
    co_return aRead;
  }
  co_return co_await context_.store_.Get(std::move(aKey));
}

// Reads the records of the cell that aStored lacks, in parallel. Some may be
// missing in the result.
Awaitable<StoredFleet>
Owner::ReadStoredFleet(StoredFleet aStored)
{
  const auto self = shared_from_this();
  StoredFleet stored;
  std::tie(stored.submissions_,
           stored.progress_,
           stored.waves_,
           stored.targets_,
           stored.oldTargets_,
           stored.vmOrders_,
           stored.demandPeaks_,
           stored.grants_) =
    co_await (
      ReadList(keys_.Of(kSubmissionPrefix), std::move(aStored.submissions_)) &&
      ReadList(keys_.Of(kProgressPrefix), std::move(aStored.progress_)) &&
      ReadList(kMaintenancePrefix, std::move(aStored.waves_)) &&
      ReadList(keys_.Of(kTargetsPrefix), std::move(aStored.targets_)) &&
      ReadKey(keys_.Of(kOldTargetsKey), std::move(aStored.oldTargets_)) &&
      ReadList(keys_.Of(kVmOrdersPrefix), std::move(aStored.vmOrders_)) &&
      ReadKey(keys_.Of(kDemandPeaksKey), std::move(aStored.demandPeaks_)) &&
      ReadKey(kGrantsKey, std::move(aStored.grants_)));
  co_return stored;
}

Awaitable<void>
Owner::Load()
{
  const auto self = shared_from_this();
  StoredFleet stored;
  PreviousOwner previousState = PreviousOwner::Unknown;
  const auto readAt = context_.clocks_.Now();
  std::tie(stored, previousState) =
    co_await (ReadStoredFleet({}) && AskPreviousOwner());
  while (!hasEnded_ && !IsWhole(stored)) {
    co_await Sleep(context_.io_, kRetryPause);
    stored = co_await ReadStoredFleet(std::move(stored));
  }
  if (hasEnded_) {
    co_return;
  }
  std::vector<std::string> unreadable;
  auto loaded = DecodeStoredFleet(stored, ownership_.cell_.number_, unreadable);
  for (const auto& key : unreadable) {
    WriteLine({ "record_unreadable", "", "", "", key }, context_.clocks_.Now());
  }
  loaded.readAt_ = readAt;
  loaded.term_ = ownership_.term_;
  loaded.previousOwner_ = previousState;
  loaded.inheritedUntil_ =
    DecodeOwnerRecord(ownership_.previousOwner_).inheritedUntil_;
  LogPreviousOwner(previousState);
  Handle(Tick{ context_.clocks_.TimeOfDay(), Instant() });
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
  orderSlot_ = NewestOrderSlot(stored.vmOrders_);
  if (ownership_.cell_.count_ > 1) {
    UseGrants(stored.grants_.IsDone()
                ? DecodeGrants(stored.grants_.items_.front().value_,
                               ownership_.cell_.count_)
                : AccountGrants{});
  }
  Handle(loaded);
  StoreOwnerRecord(false);
  submissionsReadUpTo_ = readAt;
  hasLoaded_ = true;
  for (auto& job : std::exchange(earlyJobs_, {})) {
    HandleSubmittedJob(std::move(job));
  }
  const auto revision = stored.submissions_.revision_;
  Spawn([self, revision] { return self->WatchSubmissions(revision); });
  if (previousState == PreviousOwner::Unknown) {
    Spawn([self] { return self->FollowPreviousOwner(); });
  }
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
  int incomplete = 0; // watches in a row that may lack changes
  bool mustList = false;
  PagedList list;
  // Reading the records may have taken long: what came since is read at once.
  Millis wait(1);
  while (!hasEnded_) {
    StoreReply reply;
    auto sentAt = context_.clocks_.Now();
    if (mustList) {
      reply = co_await ContinueList(prefix, list);
      sentAt = list.began_;
    } else {
      reply = co_await context_.store_.Watch(prefix, after, wait);
      wait = kWatchWait;
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
      const bool isComplete = mustList || ReportsAllChanges(reply);
      incomplete = isComplete ? 0 : incomplete + 1;
      if (isComplete) {
        submissionsReadUpTo_ = sentAt;
        Handle(SubmissionsRead{ sentAt });
      }
      mustList = incomplete >= kMaxIncomplete;
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
  int incomplete = 0;     // watches in a row that may lack changes
  bool mustList = true;
  PagedList list;
  Instant readUpTo;
  while (!hasEnded_) {
    StoreReply reply;
    auto sentAt = context_.clocks_.Now();
    if (mustList) {
      reply = co_await ContinueList(kTargetPrefix, list);
      sentAt = list.began_;
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
      const bool isComplete = mustList || ReportsAllChanges(reply);
      incomplete = isComplete ? 0 : incomplete + 1;
      if (isComplete) {
        readUpTo = sentAt;
      }
      TargetsSeen seen;
      seen.askedAt_ = readUpTo;
      for (const auto& [id, report] : reports_) {
        seen.targets_.push_back(report);
      }
      Handle(seen);
    }
    if (mustList && reply.IsDone()) {
      listed = reply.items_.size();
    }
    mustList = reply.status_ == StoreStatus::Expired ||
               (mustList && !reply.IsDone()) || listed > kMaxWatched ||
               incomplete >= kMaxIncomplete;
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
    isVmListRequested_ = false;
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
    const auto soonest = std::max(kRequestedVmPollInterval, least);
    co_await Sleep(context_.io_, soonest);
    if (!isVmListRequested_) {
      vmPollTimer_.expires_after(
        std::max(isChanging ? kVmPollInterval : kIdleVmPollInterval, least) -
        soonest);
      co_await vmPollTimer_.async_wait(asio::as_tuple(asio::use_awaitable));
    }
  }
}

void
Owner::RequestVms()
{
  isVmListRequested_ = true;
  vmPollTimer_.cancel();
}

} // namespace cuminbridge
