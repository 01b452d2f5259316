// Which entry owns the fleet.

#include "election.h"

#include <algorithm>

#include "daemon_log.h"
#include "records.h"

namespace cuminbridge {

namespace {

constexpr Millis kElectionWait(1500); // a silent watch is noticed after it
constexpr Millis kRetryPause(150);
// An owner looks for a stronger entry this often. Owning 350 targets takes 0.1
// of a core, which an entry with 0.12 falls behind with within seconds.
constexpr Millis kYieldInterval(1000);
// Each time doubled up to this, as a stronger entry that does not take the
// fleet would have it change hands without end.
constexpr Millis kLongestYieldInterval(60000);
constexpr Millis kAskLimit(200); // a ready entry answers within milliseconds

} // namespace

Election::Election(DaemonParts aParts, Intake& aIntake)
  : parts_(aParts)
  , intake_(aIntake)
  , yieldInterval_(kYieldInterval)
{
}

Owner*
Election::CurrentOwner() const
{
  return owner_ && !owner_->HasEnded() ? owner_.get() : nullptr;
}

Awaitable<bool>
Election::TakeOwnership(std::int64_t aLease, Instant aLeaseSent)
{
  const auto term = co_await parts_.store_.Get(kTermKey);
  if (!term.IsDone() && term.status_ != StoreStatus::Missing) {
    co_return false;
  }
  const auto last = co_await parts_.store_.Get(kLastOwnerKey);
  if (!last.IsDone() && last.status_ != StoreStatus::Missing) {
    co_return false;
  }
  const int number =
    term.IsDone() ? std::atoi(term.items_.front().value_.c_str()) + 1 : 1;
  StoreWrite write;
  write.conditions_.push_back({ kOwnerKey, 0 });
  write.conditions_.push_back(
    { kTermKey, term.IsDone() ? term.items_.front().revision_ : 0 });
  write.puts_.push_back({ kOwnerKey, PeerAddress(parts_.settings_), aLease });
  write.puts_.push_back({ kTermKey, std::to_string(number), 0 });
  write.puts_.push_back({ kChainKey, "0", 0 });
  // Before it knows what became of the last owner: the longest possible.
  const FleetOptions options;
  const LastOwner self{ number,
                        PeerAddress(parts_.settings_),
                        parts_.clocks_.TimeOfDay() + options.ownerAllowance_ +
                          2 * options.targetLease_,
                        false };
  write.puts_.push_back({ kLastOwnerKey, WriteLastOwner(self), 0 });
  const auto reply = co_await parts_.store_.Write(write);
  if (!reply.IsDone() || isStopping_) {
    co_return false;
  }
  Ownership ownership;
  ownership.token_ = reply.revision_;
  ownership.lease_ = aLease;
  ownership.term_ = number;
  if (last.IsDone()) {
    ownership.former_ = last.items_.front().value_;
  }
  ownership.validUntil_ = aLeaseSent + kOwnerLease;
  owner_ = std::make_shared<Owner>(parts_, ownership, intake_.Config());
  intake_.SetOwner(owner_);
  owner_->Begin();
  co_return true;
}

// Tells the other entries how strong this one is.
Awaitable<void>
Election::Register()
{
  StoreWrite write;
  write.puts_.push_back(
    { kEntriesPrefix + parts_.settings_.name_,
      WriteEntry({ parts_.settings_.cpuShare_, PeerAddress(parts_.settings_) }),
      0 });
  while (!isStopping_) {
    const auto reply = co_await parts_.store_.Write(write);
    if (reply.IsDone()) {
      co_return;
    }
    co_await Sleep(parts_.io_, kRetryPause);
  }
}

Awaitable<Millis>
Election::PauseForStronger()
{
  const auto reply = co_await parts_.store_.List(kEntriesPrefix);
  double strongest = parts_.settings_.cpuShare_;
  for (const auto& item : reply.items_) {
    strongest = std::max(strongest, ReadEntry(item.value_).cpuShare_);
  }
  co_return ElectionPause(parts_.settings_.cpuShare_, strongest);
}

Awaitable<bool>
Election::HasStrongerReady()
{
  const auto reply = co_await parts_.store_.List(kEntriesPrefix);
  for (const auto& item : reply.items_) {
    const auto entry = ReadEntry(item.value_);
    if (!IsTooWeak(parts_.settings_.cpuShare_, entry.cpuShare_)) {
      continue;
    }
    HttpCall call;
    call.method_ = "GET";
    call.path_ = kStandbyPath;
    call.limit_ = kAskLimit;
    const auto answer =
      co_await parts_.http_.Call(entry.address_, std::move(call));
    if (answer.IsAnswered() && answer.body_ == kStandbyReady) {
      co_return true;
    }
  }
  co_return false;
}

Awaitable<void>
Election::YieldToStronger()
{
  if (parts_.clocks_.Now() < nextYield_ || !CurrentOwner()) {
    co_return;
  }
  nextYield_ = parts_.clocks_.Now() + yieldInterval_;
  if (!co_await HasStrongerReady() || !CurrentOwner() || isStopping_) {
    co_return;
  }
  const auto owner = owner_;
  WriteLine({ "owner_yields",
              "",
              "",
              "",
              "with " + std::to_string(parts_.settings_.cpuShare_) +
                " of a core to a stronger entry" },
            parts_.clocks_.Now());
  yieldInterval_ = std::min(2 * yieldInterval_, kLongestYieldInterval);
  nextYield_ = parts_.clocks_.Now() + yieldInterval_;
  co_await owner->HandOver();
}

Awaitable<void>
Election::Run()
{
  while (!isStopping_) {
    if (owner_ && !owner_->HasEnded()) {
      co_await Sleep(parts_.io_, kRetryPause);
      co_await YieldToStronger();
      continue;
    }
    if (owner_) {
      intake_.SetOwner(nullptr);
      owner_.reset();
    }
    const auto current = co_await parts_.store_.Get(kOwnerKey);
    if (current.IsDone()) {
      intake_.SetOwnerAddress(current.items_.front().value_);
      co_await parts_.store_.Watch(kOwnerKey, current.revision_, kElectionWait);
      continue;
    }
    if (current.status_ != StoreStatus::Missing ||
        intake_.Config().version_ == 0) {
      co_await Sleep(parts_.io_, kRetryPause);
      continue;
    }
    if (const auto pause = co_await PauseForStronger(); pause.count() > 0) {
      co_await Sleep(parts_.io_, pause);
      const auto again = co_await parts_.store_.Get(kOwnerKey);
      if (again.status_ != StoreStatus::Missing) {
        continue;
      }
    }
    const auto sent = parts_.clocks_.Now();
    const auto lease = co_await parts_.store_.CreateLease(kOwnerLease);
    if (!lease.IsDone()) {
      co_await Sleep(parts_.io_, kRetryPause);
      continue;
    }
    if (!co_await TakeOwnership(lease.revision_, sent)) {
      // Also ends a key that an unanswered write may have created.
      co_await parts_.store_.RevokeLease(lease.revision_);
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
  intake_.SetOwner(nullptr);
}

Millis
ElectionPause(double aShare, double aStrongest)
{
  constexpr double kLongest = 300; // ms; a stronger one begins within 50
  constexpr double kLeastShare = 0.01;
  const double part = aShare / std::max(aStrongest, kLeastShare);
  return Millis(
    static_cast<std::int64_t>(kLongest * (1 - std::min(1.0, part))));
}

bool
IsTooWeak(double aShare, double aOther)
{
  constexpr double kFarLess = 0.6; // a change of owner pauses all for 0.1 s
  return aShare < kFarLess * aOther;
}

} // namespace cuminbridge
