// What an owner does because there are other cells: its part of maintenance
// waves and of the accounts' limits.

#include <algorithm>

#include "daemon_log.h"
#include "owner.h"

namespace cuminbridge {

namespace {

constexpr Millis kWavePollInterval(1000);
// An account that has room in other cells waits about this long for it.
constexpr Millis kGrantsInterval(300);
constexpr Millis kCapacityInterval(100); // jobs wait this long at most for it
constexpr Millis kRetryPause(100);

// The cells that have completed their part of a wave.
std::set<int>
CompletedCells(const StoreReply& aRecords, std::int64_t aWave, int aCount)
{
  std::set<int> cells;
  std::vector<std::string> ignored; // Load() has logged unreadable records
  for (int cell = 0; cell < aCount; ++cell) {
    const auto waves = DecodeWaveRecords(aRecords, cell, ignored);
    const auto found = waves.find(aWave);
    if (found != waves.end() && found->second.isCompleted_) {
      cells.insert(cell);
    }
  }
  return cells;
}

// The largest of the parts of aLimit that the amounts are, in thousandths.
int
PartOfLimit(const Resources& aAmount, const Resources& aLimit)
{
  const auto part = [](std::int64_t aUsed, std::int64_t aMost) {
    return aMost == 0 ? 0 : (aUsed * kWholeLimit + aMost - 1) / aMost;
  };
  return static_cast<int>(
    std::min<std::int64_t>(std::max({ part(aAmount.cpu_, aLimit.cpu_),
                                      part(aAmount.memMb_, aLimit.memMb_),
                                      part(aAmount.gpu_, aLimit.gpu_) }),
                           kWholeLimit));
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Maintenance waves
//-----------------------------------------------------------------------------

Awaitable<void>
Owner::PollWaves()
{
  const auto self = shared_from_this();
  const auto cell = ownership_.cell_;
  std::vector<std::string> ignored; // Load() has logged them
  while (!hasEnded_) {
    const auto reply = co_await context_.store_.List(kWavePrefix);
    StoreReply records;
    if (cell.count_ > 1 && !reply.items_.empty()) {
      records = co_await context_.store_.List(kMaintenancePrefix);
    }
    if (reply.IsDone() && !hasEnded_) {
      std::vector<Wave> waves;
      for (const auto& item : reply.items_) {
        if (auto wave = ReadWave(item.value_)) {
          waves.push_back(std::move(*wave));
        }
      }
      WavesSeen seen;
      for (const auto& wave : waves) {
        auto part =
          PartOfWave(wave,
                     *ownership_.map_,
                     cell.number_,
                     CompletedCells(records, wave.number_, cell.count_));
        if (!part.vms_.empty()) {
          seen.waves_.push_back(std::move(part));
        }
      }
      Handle(seen);
      CompleteWaves(waves, records);
    }
    co_await Sleep(context_.io_, kWavePollInterval);
  }
}

// Stores the status of each wave that all cells have completed.
void
Owner::CompleteWaves(const std::vector<Wave>& aWaves,
                     const StoreReply& aRecords)
{
  const int count = ownership_.cell_.count_;
  if (count == 1 || !aRecords.IsDone()) {
    return; // Store() does it
  }
  for (const auto& wave : aWaves) {
    const auto completed = CompletedCells(aRecords, wave.number_, count);
    const auto cells = CellsOfWave(wave, *ownership_.map_);
    const bool isCompleted =
      std::includes(
        completed.begin(), completed.end(), cells.begin(), cells.end()) &&
      cells.count(ownership_.cell_.number_) != 0;
    if (isCompleted && completedWaves_.insert(wave.number_).second) {
      writer_.Queue(
        { { { WaveStatusKey(wave.number_), FormatWaveStatus(true), 0 } },
          {},
          {} });
    }
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Transferred jobs
//-----------------------------------------------------------------------------

void
Owner::HandleSubmittedJob(Job aJob)
{
  if (!hasLoaded_) {
    earlyJobs_.push_back(std::move(aJob)); // the records may know its end
    return;
  }
  if (movedJobs_.count(aJob.id_) != 0) {
    return; // a late notification
  }
  const bool isGuest =
    ownership_.map_->CellOfJob(aJob.id_) != ownership_.cell_.number_;
  Handle(JobArrived{ std::move(aJob), isGuest });
}

void
Owner::HandleCancel(const std::string& aJob)
{
  if (pendingTransfers_.count(aJob) != 0) {
    return; // Transfer() finds the cancellation in the store
  }
  if (const auto moved = movedJobs_.find(aJob); moved != movedJobs_.end()) {
    ForwardCancel(aJob, moved->second);
  } else {
    Handle(JobCancelled{ aJob });
  }
}

// Moves the record of a job to another cell, in one write. Until that is
// stored, the job waits in this one; nobody starts it. A job that its caller
// has cancelled stays: the owner of the other cell would not know of it.
void
Owner::Transfer(const TransferJob& aEffect)
{
  const auto& id = aEffect.job_.id_;
  const int cell = aEffect.cell_;
  movedJobs_[id] = cell;
  pendingTransfers_.insert(id);
  auto record = EncodeJob(aEffect.job_);
  FencedWriter::PendingWrite write;
  write.puts_.push_back({ CellKeys(cell).Of(kJobPrefix) + id, record, 0 });
  write.puts_.push_back({ keys_.Of(kJobPrefix) + id, EncodeMovedJob(cell), 0 });
  write.mustBeAbsent_.push_back(keys_.Of(kCancelPrefix) + id);
  write.onStored_ = [this, id, cell, record = std::move(record)] {
    pendingTransfers_.erase(id);
    context_.peers_.Notify(cell, kNotifyJobPath, record);
  };
  write.onRejected_ = [this, job = aEffect.job_] {
    WriteLine({ "job_transfer_dropped", job.id_, "", "", "it was cancelled" },
              context_.clocks_.Now());
    pendingTransfers_.erase(job.id_);
    movedJobs_.erase(job.id_);
    // In this order, nothing of the job starts in between.
    Handle(JobCancelled{ job.id_ });
    Handle(JobArrived{ job, false });
  };
  writer_.Queue(std::move(write));
}

// Passes on a cancellation that an earlier version, which transfers cancelled
// jobs, has left in this cell.
void
Owner::ForwardCancel(const std::string& aJob, int aCell)
{
  FencedWriter::PendingWrite write;
  write.puts_.push_back({ CellKeys(aCell).Of(kCancelPrefix) + aJob, "{}", 0 });
  write.onStored_ = [this, aCell, aJob] {
    context_.peers_.Notify(aCell, kNotifyCancelPath, aJob);
  };
  writer_.Queue(std::move(write));
}

// Tells the other cells what this one has free.
Awaitable<void>
Owner::ReportCapacity()
{
  const auto self = shared_from_this();
  while (!hasEnded_) {
    co_await Sleep(context_.io_, kCapacityInterval);
    const auto report = EncodeCapacity(
      { ownership_.cell_.number_, fleet_.FreeCpu(), fleet_.OfferedCpu() });
    for (int cell = 0; cell < ownership_.cell_.count_ && !hasEnded_; ++cell) {
      if (cell != ownership_.cell_.number_) {
        context_.peers_.Notify(cell, kCapacityPath, report);
      }
    }
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Limits of client accounts
//-----------------------------------------------------------------------------

std::map<std::string, LimitUse>
Owner::LimitUses() const
{
  std::map<std::string, LimitUse> uses;
  for (const auto& account : fleet_.Accounts()) {
    auto wanted = account.running_;
    wanted += account.waiting_;
    uses[account.account_] = { PartOfLimit(account.running_, account.limit_),
                               PartOfLimit(wanted, account.limit_) };
  }
  return uses;
}

void
Owner::UseGrants(const AccountGrants& aGrants)
{
  LimitsGranted granted;
  for (const auto& [account, parts] : aGrants.parts_) {
    granted.parts_[account] = PartOf(aGrants, account, ownership_.cell_);
  }
  Handle(granted);
}

// Writes the record over the one at aRevision. Returns once the outcome is
// certain, or the term has ended; true if it was written.
Awaitable<bool>
Owner::WriteGrants(AccountGrants aGrants, std::int64_t aRevision)
{
  const auto self = shared_from_this();
  StoreWrite write;
  write.conditions_.push_back({ kGrantsKey, aRevision });
  write.conditions_.push_back({ keys_.Owner(), ownership_.token_ });
  write.puts_.push_back({ kGrantsKey, EncodeGrants(aGrants), 0 });
  while (!hasEnded_) {
    const auto reply = co_await context_.store_.Write(write);
    if (reply.IsDone()) {
      co_return true;
    }
    if (reply.status_ == StoreStatus::Conflict ||
        reply.status_ == StoreStatus::Missing) {
      co_return false;
    }
    co_await Sleep(context_.io_, kRetryPause);
  }
  co_return false;
}

// Keeps this cell's parts of the limits at what it needs.
Awaitable<void>
Owner::ShareLimits()
{
  const auto self = shared_from_this();
  const auto cell = ownership_.cell_;
  while (!hasEnded_) {
    const auto reply = co_await context_.store_.Get(kGrantsKey);
    if (reply.IsDone() || reply.status_ == StoreStatus::Missing) {
      AccountGrants grants;
      std::int64_t revision = 0;
      if (reply.IsDone()) {
        const auto& item = reply.items_.front();
        grants = DecodeGrants(item.value_, cell.count_);
        revision = item.revision_;
      }
      UseGrants(grants);
      const auto planned = PlanGrants(grants, cell, LimitUses());
      if (planned != grants) {
        // What is given back may be taken as soon as it is written, so it is no
        // longer used from now on, whatever becomes of the write.
        auto lower = planned;
        for (auto& [account, parts] : lower.parts_) {
          auto& own = parts[static_cast<std::size_t>(cell.number_)];
          own = std::min(own, PartOf(grants, account, cell));
        }
        UseGrants(lower);
        if (co_await WriteGrants(planned, revision)) {
          UseGrants(planned);
        }
      }
    }
    co_await Sleep(context_.io_, kGrantsInterval);
  }
}

} // namespace cuminbridge
