// Which entry owns the fleet.

#include "election.h"

#include <algorithm>

#include "daemon_log.h"
#include "records.h"

namespace cuminbridge {

namespace {

// Longest watch of the owner's key: a watch whose connection is dead is
// replaced after it.
constexpr Millis kOwnerWatchWait(1500);
constexpr Millis kRetryPause(150);
// How often an owner checks whether a stronger entry is ready. Owning 350
// targets takes 0.1 of a core; an entry with 0.12 of a core falls behind with
// that within seconds.
constexpr Millis kYieldInterval(1000);
// The interval doubles up to this after each hand-over. Otherwise, a stronger
// entry that does not take the fleet would make ownership change without end.
constexpr Millis kMaxYieldInterval(60000);
constexpr Millis kStandbyTimeout(200); // a ready entry answers within a few ms

} // namespace

Election::Election(DaemonContext aContext, CallerApi& aCallerApi)
  : context_(aContext)
  , callerApi_(aCallerApi)
  , yieldInterval_(kYieldInterval)
{
}

Owner*
Election::CurrentOwner() const
{
  return owner_ && !owner_->HasEnded() ? owner_.get() : nullptr;
}

Awaitable<bool>
Election::TakeOwnership(std::int64_t aLease, Instant aLeaseSentAt)
{
  const auto term = co_await context_.store_.Get(kTermKey);
  if (!term.IsDone() && term.status_ != StoreStatus::Missing) {
    co_return false;
  }
  const auto previous = co_await context_.store_.Get(kLastOwnerKey);
  if (!previous.IsDone() && previous.status_ != StoreStatus::Missing) {
    co_return false;
  }
  const int newTerm =
    term.IsDone() ? std::atoi(term.items_.front().value_.c_str()) + 1 : 1;
  StoreWrite write;
  write.conditions_.push_back({ kOwnerKey, 0 });
  write.conditions_.push_back(
    { kTermKey, term.IsDone() ? term.items_.front().revision_ : 0 });
  write.puts_.push_back({ kOwnerKey, PeerAddress(context_.settings_), aLease });
  write.puts_.push_back({ kTermKey, std::to_string(newTerm), 0 });
  write.puts_.push_back({ kChainKey, "0", 0 });
  // It is not known yet whether the previous owner still runs, so this is the
  // longest time for which work that it left can run. Owner::Load() replaces
  // the record.
  const FleetOptions options;
  const OwnerRecord record{ newTerm,
                            PeerAddress(context_.settings_),
                            context_.clocks_.TimeOfDay() +
                              options.ownerAllowance_ +
                              2 * options.targetLease_,
                            false };
  write.puts_.push_back({ kLastOwnerKey, EncodeOwnerRecord(record), 0 });
  const auto reply = co_await context_.store_.Write(write);
  if (!reply.IsDone() || isStopping_) {
    co_return false;
  }
  Ownership ownership;
  ownership.token_ = reply.revision_;
  ownership.lease_ = aLease;
  ownership.term_ = newTerm;
  if (previous.IsDone()) {
    ownership.previousOwner_ = previous.items_.front().value_;
  }
  ownership.validUntil_ = aLeaseSentAt + kOwnerLease;
  owner_ = std::make_shared<Owner>(context_, ownership, callerApi_.Config());
  callerApi_.SetOwner(owner_);
  owner_->Begin();
  co_return true;
}

// Stores this entry's share of a core and its address for the other entries.
Awaitable<void>
Election::Register()
{
  StoreWrite write;
  write.puts_.push_back({ kEntriesPrefix + context_.settings_.name_,
                          EncodeEntry({ context_.settings_.cpuShare_,
                                        PeerAddress(context_.settings_) }),
                          0 });
  while (!isStopping_) {
    const auto reply = co_await context_.store_.Write(write);
    if (reply.IsDone()) {
      co_return;
    }
    co_await Sleep(context_.io_, kRetryPause);
  }
}

Awaitable<Millis>
Election::ComputeElectionDelay()
{
  const auto reply = co_await context_.store_.List(kEntriesPrefix);
  double strongest = context_.settings_.cpuShare_;
  for (const auto& item : reply.items_) {
    strongest = std::max(strongest, DecodeEntry(item.value_).cpuShare_);
  }
  co_return ElectionDelay(context_.settings_.cpuShare_, strongest);
}

Awaitable<bool>
Election::IsStrongerEntryReady()
{
  const auto reply = co_await context_.store_.List(kEntriesPrefix);
  for (const auto& item : reply.items_) {
    const auto entry = DecodeEntry(item.value_);
    if (!ShouldYield(context_.settings_.cpuShare_, entry.cpuShare_)) {
      continue;
    }
    HttpCall call;
    call.kind_ = "peer_ask";
    call.method_ = "GET";
    call.path_ = kStandbyPath;
    call.limit_ = kStandbyTimeout;
    const auto answer =
      co_await context_.http_.Call(entry.address_, std::move(call));
    if (answer.IsAnswered() && answer.body_ == kStandbyReady) {
      co_return true;
    }
  }
  co_return false;
}

Awaitable<void>
Election::YieldToStrongerEntry()
{
  if (context_.clocks_.Now() < nextYieldAt_ || !CurrentOwner()) {
    co_return;
  }
  nextYieldAt_ = context_.clocks_.Now() + yieldInterval_;
  if (!co_await IsStrongerEntryReady() || !CurrentOwner() || isStopping_) {
    co_return;
  }
  const auto owner = owner_;
  WriteLine({ "owner_yields",
              "",
              "",
              "",
              "hands the fleet over to a stronger entry, as this one has " +
                std::to_string(context_.settings_.cpuShare_) + " of a core" },
            context_.clocks_.Now());
  yieldInterval_ = std::min(2 * yieldInterval_, kMaxYieldInterval);
  nextYieldAt_ = context_.clocks_.Now() + yieldInterval_;
  co_await owner->HandOver();
}

Awaitable<void>
Election::Run()
{
  while (!isStopping_) {
    if (owner_ && !owner_->HasEnded()) {
      co_await Sleep(context_.io_, kRetryPause);
      co_await YieldToStrongerEntry();
      continue;
    }
    if (owner_) {
      callerApi_.SetOwner(nullptr);
      owner_.reset();
    }
    const auto current = co_await context_.store_.Get(kOwnerKey);
    if (current.IsDone()) {
      callerApi_.SetOwnerAddress(current.items_.front().value_);
      co_await context_.store_.Watch(
        kOwnerKey, current.revision_, kOwnerWatchWait);
      continue;
    }
    if (current.status_ != StoreStatus::Missing ||
        callerApi_.Config().version_ == 0) {
      co_await Sleep(context_.io_, kRetryPause);
      continue;
    }
    if (const auto delay = co_await ComputeElectionDelay(); delay.count() > 0) {
      co_await Sleep(context_.io_, delay);
      const auto again = co_await context_.store_.Get(kOwnerKey);
      if (again.status_ != StoreStatus::Missing) {
        continue;
      }
    }
    const auto sentAt = context_.clocks_.Now();
    const auto lease = co_await context_.store_.CreateLease(kOwnerLease);
    if (!lease.IsDone()) {
      co_await Sleep(context_.io_, kRetryPause);
      continue;
    }
    if (!co_await TakeOwnership(lease.revision_, sentAt)) {
      // Also removes the owner's key, which a write without an answer may have
      // created.
      co_await context_.store_.RevokeLease(lease.revision_);
    }
  }
}

Awaitable<void>
Election::Stop()
{
  isStopping_ = true;
  if (const auto owner = owner_; CurrentOwner()) {
    co_await owner->HandOver();
  }
  callerApi_.SetOwner(nullptr);
}

Millis
ElectionDelay(double aShare, double aStrongestShare)
{
  constexpr double kMaxDelayMs = 300; // a stronger entry begins within 50 ms
  constexpr double kMinShare = 0.01;
  const double ratio = aShare / std::max(aStrongestShare, kMinShare);
  return Millis(
    static_cast<std::int64_t>(kMaxDelayMs * (1 - std::min(1.0, ratio))));
}

bool
ShouldYield(double aShare, double aOtherShare)
{
  // A change of owner pauses all decisions for 0.1 s, which only a far larger
  // share is worth.
  constexpr double kYieldRatio = 0.6;
  return aShare < kYieldRatio * aOtherShare;
}

} // namespace cuminbridge
