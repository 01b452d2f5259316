// What an owner writes into the store.

#include "owner.h"

namespace cuminbridge {

namespace {

constexpr Millis kLoadPublishInterval(1000); // callers may read counts 2 s old

} // namespace

void
Owner::Store(const StoreProgress& aEffect)
{
  std::vector<StoreWrite::Put> puts;
  if (aEffect.hasOrders_) {
    orderSlot_ = (orderSlot_ + 1) % kOrderSlots;
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
Owner::StoreOwnerRecord(bool aHasHandedOver)
{
  const OwnerRecord record{ ownership_.term_,
                            PeerAddress(context_.settings_),
                            fleet_.InheritedUntil(),
                            aHasHandedOver };
  writer_.Queue(
    { { { keys_.Of(kLastOwnerKey), EncodeOwnerRecord(record), 0 } }, {}, {} });
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

const BacklogReport&
Owner::ShortBacklogs()
{
  const auto now = context_.clocks_.Now();
  if (now - backlogsCountedAt_ >= kBacklogInterval) {
    backlogsCountedAt_ = now;
    backlogs_.term_ = ownership_.term_;
    ++backlogs_.version_;
    backlogs_.pools_ = fleet_.ShortBacklogs();
  }
  return backlogs_;
}

std::string
Owner::ShortBacklogsText()
{
  const auto& report = ShortBacklogs();
  return report.pools_.empty() ? "" : EncodeBacklogReport(report);
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

} // namespace cuminbridge
