// The owner's writes, one after the other.

#include "chain_writer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "records.h"

namespace cuminbridge {

namespace asio = boost::asio;

namespace {

constexpr Millis kRetryPause(100);
constexpr std::chrono::hours kUntilSignal(1); // Queue() and Stop() end it

} // namespace

ChainWriter::ChainWriter(DaemonParts aParts,
                         std::int64_t aToken,
                         std::function<void(const std::string&)> aOnLost)
  : parts_(aParts)
  , token_(aToken)
  , onLost_(std::move(aOnLost))
  , signal_(aParts.io_)
  , revision_(aToken) // the owner's key and the chain were written together
{
}

void
ChainWriter::Queue(Pending aPending)
{
  pending_.push_back(std::move(aPending));
  signal_.cancel();
}

void
ChainWriter::QueueAll(std::vector<StoreWrite::Put> aPuts,
                      const std::function<void()>& aDone)
{
  for (std::size_t begin = 0; begin < aPuts.size(); begin += kMostPending) {
    Pending pending;
    const auto end = std::min(begin + kMostPending, aPuts.size());
    for (std::size_t row = begin; row < end; ++row) {
      pending.puts_.push_back(std::move(aPuts[row]));
    }
    if (end == aPuts.size()) {
      pending.done_ = aDone;
    }
    Queue(std::move(pending));
  }
}

void
ChainWriter::Stop()
{
  isStopped_ = true;
  pending_.clear();
  signal_.cancel();
}

Awaitable<bool>
ChainWriter::Write(StoreWrite aWrite)
{
  const auto number = std::to_string(++number_);
  aWrite.conditions_.push_back({ kOwnerKey, token_ });
  aWrite.conditions_.push_back({ kChainKey, revision_ });
  aWrite.puts_.push_back({ kChainKey, number, 0 });
  while (!isStopped_) {
    const auto reply = co_await parts_.store_.Write(aWrite);
    if (reply.IsDone()) {
      revision_ = reply.revision_;
      co_return true;
    }
    if (reply.status_ == StoreStatus::Conflict) {
      for (const auto& item : reply.items_) {
        // An earlier try without an answer was carried out after all.
        if (item.key_ == kChainKey && item.value_ == number &&
            item.revision_ != revision_) {
          revision_ = item.revision_;
          co_return true;
        }
      }
      onLost_("a write found another owner");
      co_return false;
    }
    co_await Sleep(parts_.io_, kRetryPause);
  }
  co_return false;
}

Awaitable<void>
ChainWriter::Run()
{
  while (!isStopped_) {
    if (pending_.empty()) {
      signal_.expires_after(kUntilSignal);
      co_await signal_.async_wait(asio::as_tuple(asio::use_awaitable));
      continue;
    }
    isWriting_ = true;
    StoreWrite write;
    std::vector<std::function<void()>> done;
    while (!pending_.empty() && write.puts_.size() + write.removes_.size() +
                                    pending_.front().puts_.size() +
                                    pending_.front().removes_.size() <=
                                  kMostPending) {
      auto& front = pending_.front();
      for (auto& put : front.puts_) {
        write.puts_.push_back(std::move(put));
      }
      for (auto& key : front.removes_) {
        write.removes_.push_back(std::move(key));
      }
      done.push_back(std::move(front.done_));
      pending_.pop_front();
    }
    const bool isDone = co_await Write(std::move(write));
    isWriting_ = false;
    for (const auto& tell : done) {
      if (isDone && !isStopped_ && tell) {
        tell();
      }
    }
  }
}

} // namespace cuminbridge
