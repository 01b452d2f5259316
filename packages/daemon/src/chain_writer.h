// Internal: the owner's writes, one after the other.

#ifndef cuminbridge_daemon_chain_writer_h
#define cuminbridge_daemon_chain_writer_h

#include <deque>
#include <functional>

#include "parts.h"

namespace cuminbridge {

// Each write is conditional on the owner's key and on the chain key, which it
// changes. So a former owner can't write, and a write that is carried out late
// does nothing. A write without an answer is sent again until its outcome is
// certain.
//
//   ChainWriter writer(parts, token, [](const std::string& why) { ... });
//   writer.Queue({ puts, removes, [] { ... all of it is stored ... } });
//   co_await writer.Run();   // until Stop()
class ChainWriter
{
public:
  struct Pending
  {
    std::vector<StoreWrite::Put> puts_;
    std::vector<std::string> removes_;
    std::function<void()> done_; // may be empty
  };

  // aOnLost is called once, if another owner has taken over.
  ChainWriter(DaemonParts aParts,
              std::int64_t aToken,
              std::function<void(const std::string&)> aOnLost);

  // aPending has no more than kMostPending puts and removes.
  void Queue(Pending aPending);
  void QueueAll(std::vector<StoreWrite::Put> aPuts,
                const std::function<void()>& aDone);
  Awaitable<void> Run();
  void Stop();
  bool IsIdle() const { return !isWriting_ && pending_.empty(); }

  static constexpr std::size_t kMostPending = kMaxOperationsPerWrite - 4;

private:
  Awaitable<bool> Write(StoreWrite aWrite);

  DaemonParts parts_;
  std::int64_t token_;
  std::function<void(const std::string&)> onLost_;
  std::deque<Pending> pending_;
  boost::asio::steady_timer signal_;
  std::int64_t revision_; // of the chain key
  std::uint64_t number_ = 0;
  bool isWriting_ = false;
  bool isStopped_ = false;
};

} // namespace cuminbridge

#endif // cuminbridge_daemon_chain_writer_h
