// Internal: one entry's reducer at work: events in, effects out.

#ifndef cuminbridge_entry_entry_loop_h
#define cuminbridge_entry_entry_loop_h

#include <optional>

#include "cuminbridge/entry.h"
#include "cuminbridge/link.h"
#include "cuminbridge/platform.h"
#include "metrics.h"

namespace cuminbridge::forwarder {

// What the reducer decided about a request.
using Decision = std::variant<ForwardRequest, RefuseRequest>;

// A caller's request that waits for its next decision.
struct DecisionSlot
{
  explicit DecisionSlot(boost::asio::io_context& aIo)
    : timer_(aIo.get_executor())
  {
  }

  std::optional<Decision> decision_;
  Timer timer_; // cancelled when the decision comes
};

class EntryLoop
{
public:
  EntryLoop(boost::asio::io_context& aIo, const Settings& aSettings);

  // Reads credentials, listens for peers, starts the ticks. False, after a
  // line in the log, if something needed is missing.
  bool Start();

  // Ends everything the loop keeps going, so that the io_context can run out.
  void Stop();

  // Reduces an event and carries out what follows.
  void Submit(const Event& aEvent);

  // Submits an event about a request and waits for what to do next. If that is
  // not known at once, aOnWait is called before the wait. CancelWait() ends the
  // wait with nothing: the caller went away.
  RequestId NewRequestId() { return nextRequest_++; }
  Awaitable<std::optional<Decision>> Ask(RequestId aId,
                                         Event aEvent,
                                         std::function<void()> aOnWait = {});
  void CancelWait(RequestId aId);

  // Files a ticket and waits for the answer.
  Awaitable<AnswerFiling> File(std::string aText, bool aCheckOnly);

  // Reads one key of the store, for operators.
  Awaitable<StoreAnswer> ReadStore(std::string aKey);

  // Called once callers are no longer accepted, and once the process may end.
  std::function<void()> onStopAccepting_;
  std::function<void()> onExit_;

  boost::asio::io_context& Io() { return io_; }
  const Settings& GetSettings() const { return settings_; }
  const Entry& GetEntry() const { return *entry_; }
  TargetConnectionPool& Targets() { return targets_; }
  Metrics& GetMetrics() { return metrics_; }
  const std::string& OperatorCredential() const { return credential_; }
  TimePoint Now() const { return clock_.Now(); }
  std::string FormatAllMetrics() const;

private:
  struct FilingSlot
  {
    std::optional<AnswerFiling> answer_;
    Timer timer_;
  };

  struct EffectVisitor;

  void CarryOut(Effects aEffects);
  void Deliver(RequestId aId, Decision aDecision);
  Awaitable<void> TickForEver();
  Awaitable<void> ReadVmListForEver();
  void OnFrame(const std::string& aBytes);

  boost::asio::io_context& io_;
  Settings settings_;
  BootClock clock_;
  EntryPtr entry_;
  StoreClient store_;
  VmListClient vmList_;
  TargetConnectionPool targets_;
  std::unique_ptr<PeerLinks> links_;
  Metrics metrics_;
  std::string credential_;
  std::unordered_map<RequestId, DecisionSlot*> waiting_;
  std::unordered_map<std::uint64_t, FilingSlot*> filings_;
  RequestId nextRequest_ = 1;
  std::uint64_t nextFiling_ = 1;
  Timer tickTimer_;
  Timer vmListTimer_;
  bool isStopped_ = false;
};

} // namespace cuminbridge::forwarder

#endif // cuminbridge_entry_entry_loop_h
