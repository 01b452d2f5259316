// Internal: the owner's writes to the store, fenced and one after the other.

#ifndef cuminbridge_daemon_fenced_writer_h
#define cuminbridge_daemon_fenced_writer_h

#include <deque>
#include <functional>
#include <set>

#include "daemon_context.h"
#include "records.h"

namespace cuminbridge {

// Each write is conditional on the owner's key and on the chain key, which it
// changes. So a previous owner can't write, and a write that the store carries
// out late has no effect. A write without an answer is sent again until its
// outcome is certain.
//
//   FencedWriter writer(context, token, [](const std::string& why) { ... });
//   writer.Queue({ puts, removes, [] { ... all of them are stored ... } });
//   co_await writer.Run();   // until Stop()
class FencedWriter
{
public:
  struct PendingWrite
  {
    std::vector<StoreWrite::Put> puts_;
    std::vector<std::string> removes_;
    std::function<void()> onStored_; // may be empty
    // If one of these keys exists, nothing is written and onRejected_ is called
    // instead.
    std::vector<std::string> mustBeAbsent_ = {};
    std::function<void()> onRejected_ = {};
  };

  // aOnLost is called once, when a write shows that another owner has taken
  // over.
  FencedWriter(DaemonContext aContext,
               CellKeys aKeys,
               std::int64_t aToken,
               std::function<void(const std::string&)> aOnLost);

  // aPending must have no more than kMaxPending puts, removes and keys that
  // must be absent together.
  void Queue(PendingWrite aPending);
  // Splits any number of puts into writes; the last one calls aOnStored.
  void QueueAll(std::vector<StoreWrite::Put> aPuts,
                const std::function<void()>& aOnStored);
  Awaitable<void> Run(); // until Stop()
  void Stop();           // drops the writes that have not been sent
  bool IsIdle() const { return !isWriting_ && pending_.empty(); }

  // Leaves space for the two conditions and for the put of the chain key.
  static constexpr std::size_t kMaxPending = kMaxOperationsPerWrite - 4;

private:
  enum class Outcome
  {
    Stored,
    Rejected, // a key exists that must be absent
    Stopped,  // this is the owner no longer
  };

  // aExisting receives the keys for which the write was rejected.
  Awaitable<Outcome> Write(StoreWrite aWrite, std::set<std::string>& aExisting);
  Awaitable<void> WriteBatch(std::vector<PendingWrite> aBatch);
  std::vector<PendingWrite> TakeBatch();

  DaemonContext context_;
  CellKeys keys_;
  std::int64_t token_; // fencing token: revision of the owner's key
  std::function<void(const std::string&)> onLost_;
  std::deque<PendingWrite> pending_;
  boost::asio::steady_timer wakeTimer_; // Queue() and Stop() cancel it
  std::int64_t revision_;               // of the chain key
  std::uint64_t lastNumber_ = 0;        // counts writes
  bool isWriting_ = false;
  bool isStopped_ = false;
};

} // namespace cuminbridge

#endif // cuminbridge_daemon_fenced_writer_h
