// The owner's writes to the store, fenced and one after the other.

#include "fenced_writer.h"

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

Awaitable<bool>
FencedWriter::Write(StoreWrite aWrite)
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
      co_return true;
    }
    if (reply.status_ == StoreStatus::Conflict) {
      for (const auto& item : reply.items_) {
        // The chain key holds this write's number: an earlier attempt that
        // got no answer was carried out.
        if (item.key_ == chain && item.value_ == number &&
            item.revision_ != revision_) {
          revision_ = item.revision_;
          co_return true;
        }
      }
      onLost_(
        "a write to the store was rejected: another owner has taken over");
      co_return false;
    }
    co_await Sleep(context_.io_, kRetryPause);
  }
  co_return false;
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
    StoreWrite write;
    std::vector<std::function<void()>> callbacks;
    while (!pending_.empty() && write.puts_.size() + write.removes_.size() +
                                    pending_.front().puts_.size() +
                                    pending_.front().removes_.size() <=
                                  kMaxPending) {
      auto& front = pending_.front();
      for (auto& put : front.puts_) {
        write.puts_.push_back(std::move(put));
      }
      for (auto& key : front.removes_) {
        write.removes_.push_back(std::move(key));
      }
      callbacks.push_back(std::move(front.onStored_));
      pending_.pop_front();
    }
    const bool isStored = co_await Write(std::move(write));
    isWriting_ = false;
    for (const auto& callback : callbacks) {
      if (isStored && !isStopped_ && callback) {
        callback();
      }
    }
  }
}

} // namespace cuminbridge
