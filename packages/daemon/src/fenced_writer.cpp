// The owner's writes to the store, fenced and one after the other.

#include "fenced_writer.h"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cuminbridge {

namespace asio = boost::asio;

namespace {

constexpr Millis kRetryPause(100);
constexpr std::chrono::hours kIdleWait(1); // Queue() and Stop() cut it short

} // namespace

FencedWriter::FencedWriter(DaemonContext aContext,
                           CellKeys aKeys,
                           std::int64_t aToken,
                           std::function<void(const std::string&)> aOnLost)
  : context_(aContext)
  , keys_(std::move(aKeys))
  , token_(aToken)
  , onLost_(std::move(aOnLost))
  , wakeTimer_(aContext.io_)
  , revision_(aToken) // one write created the owner's key and the chain key
{
}

void
FencedWriter::Queue(PendingWrite aPending)
{
  pending_.push_back(std::move(aPending));
  wakeTimer_.cancel();
}

void
FencedWriter::QueueAll(std::vector<StoreWrite::Put> aPuts,
                       const std::function<void()>& aOnStored)
{
  for (std::size_t begin = 0; begin < aPuts.size(); begin += kMaxPending) {
    PendingWrite pending;
    const auto end = std::min(begin + kMaxPending, aPuts.size());
    for (std::size_t index = begin; index < end; ++index) {
      pending.puts_.push_back(std::move(aPuts[index]));
    }
    if (end == aPuts.size()) {
      pending.onStored_ = aOnStored;
    }
    Queue(std::move(pending));
  }
}

void
FencedWriter::Stop()
{
  isStopped_ = true;
  pending_.clear();
  wakeTimer_.cancel();
}

Awaitable<FencedWriter::Outcome>
FencedWriter::Write(StoreWrite aWrite, std::set<std::string>& aExisting)
{
  // The token makes the value unique among all owners: the chain of the next
  // owner counts from 1 again.
  const auto number =
    std::to_string(token_) + '.' + std::to_string(++lastNumber_);
  const auto chain = keys_.Of(kChainKey);
  aWrite.conditions_.push_back({ keys_.Owner(), token_ });
  aWrite.conditions_.push_back({ chain, revision_ });
  aWrite.puts_.push_back({ chain, number, 0 });
  while (!isStopped_) {
    const auto reply = co_await context_.store_.Write(aWrite);
    if (reply.IsDone()) {
      revision_ = reply.revision_;
      co_return Outcome::Stored;
    }
    if (reply.status_ == StoreStatus::Conflict) {
      bool isOwner = false;
      bool isChainUnchanged = false;
      for (const auto& item : reply.items_) {
        // The chain key holds this write's number: an earlier attempt that
        // got no answer was carried out.
        if (item.key_ == chain && item.value_ == number &&
            item.revision_ != revision_) {
          revision_ = item.revision_;
          co_return Outcome::Stored;
        }
        isOwner =
          isOwner || (item.key_ == keys_.Owner() && item.revision_ == token_);
        isChainUnchanged = isChainUnchanged ||
                           (item.key_ == chain && item.revision_ == revision_);
        if (item.revision_ != 0) {
          aExisting.insert(item.key_);
        }
      }
      aExisting.erase(keys_.Owner());
      aExisting.erase(chain);
      if (isOwner && isChainUnchanged && !aExisting.empty()) {
        co_return Outcome::Rejected;
      }
      onLost_(
        "a write to the store was rejected: another owner has taken over");
      co_return Outcome::Stopped;
    }
    co_await Sleep(context_.io_, kRetryPause);
  }
  co_return Outcome::Stopped;
}

// Takes the pending writes that fit into one.
std::vector<FencedWriter::PendingWrite>
FencedWriter::TakeBatch()
{
  std::vector<PendingWrite> batch;
  std::size_t size = 0;
  while (!pending_.empty()) {
    auto& front = pending_.front();
    size +=
      front.puts_.size() + front.removes_.size() + front.mustBeAbsent_.size();
    if (!batch.empty() && size > kMaxPending) {
      break;
    }
    batch.push_back(std::move(front));
    pending_.pop_front();
  }
  return batch;
}

// Writes all of them at once. Those that are rejected are left out, and the
// others are written without them.
Awaitable<void>
FencedWriter::WriteBatch(std::vector<PendingWrite> aBatch)
{
  while (!isStopped_ && !aBatch.empty()) {
    StoreWrite write;
    for (const auto& pending : aBatch) {
      write.puts_.insert(
        write.puts_.end(), pending.puts_.begin(), pending.puts_.end());
      write.removes_.insert(
        write.removes_.end(), pending.removes_.begin(), pending.removes_.end());
      for (const auto& key : pending.mustBeAbsent_) {
        write.conditions_.push_back({ key, 0 });
      }
    }
    std::set<std::string> existing;
    const auto outcome = co_await Write(std::move(write), existing);
    std::vector<PendingWrite> left;
    for (auto& pending : aBatch) {
      const bool isRejected = outcome == Outcome::Rejected &&
                              std::any_of(pending.mustBeAbsent_.begin(),
                                          pending.mustBeAbsent_.end(),
                                          [&](const std::string& aKey) {
                                            return existing.count(aKey) != 0;
                                          });
      const auto& callback =
        isRejected ? pending.onRejected_ : pending.onStored_;
      if (outcome == Outcome::Rejected && !isRejected) {
        left.push_back(std::move(pending));
      } else if (outcome != Outcome::Stopped && !isStopped_ && callback) {
        callback();
      }
    }
    aBatch = std::move(left);
  }
}

Awaitable<void>
FencedWriter::Run()
{
  while (!isStopped_) {
    if (pending_.empty()) {
      wakeTimer_.expires_after(kIdleWait);
      co_await wakeTimer_.async_wait(asio::as_tuple(asio::use_awaitable));
      continue;
    }
    isWriting_ = true;
    auto batch = TakeBatch();
    co_await WriteBatch(std::move(batch));
    isWriting_ = false;
  }
}

} // namespace cuminbridge
