// Internal: drives the reducer of one entry. Submits events and carries out the
// effects that it returns.

#ifndef cuminbridge_entry_entry_loop_h
#define cuminbridge_entry_entry_loop_h

#include <optional>

#include "cuminbridge/entry.h"
#include "cuminbridge/link.h"
#include "cuminbridge/platform.h"
#include "metrics.h"

namespace cuminbridge::forwarder {

// The reducer's decision about a request.
using Decision = std::variant<ForwardRequest, RefuseRequest>;

// A request of a caller that waits for its next decision.
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

  // Reads the credentials, listens for peers and starts the periodic ticks.
  // Returns false, after logging the reason, if a credential can't be read or
  // the listener can't be opened.
  bool Start();

  // Stops ticks, VM list reads and peer links, so that the io_context runs out
  // of work. Events submitted later are ignored.
  void Stop();

  // Passes an event to the reducer and carries out its effects.
  void Submit(const Event& aEvent);

  RequestId NewRequestId() { return nextRequest_++; }

  // Submits an event about a request and waits for the decision that follows.
  // If the reducer does not decide at once, aOnWait is called before the wait.
  // CancelWait() is for a caller that has disconnected: it ends the wait with
  // an empty result.
  Awaitable<std::optional<Decision>> AwaitDecision(
    RequestId aId,
    Event aEvent,
    std::function<void()> aOnWait = {});
  void CancelWait(RequestId aId);

  // Files a ticket and waits for the answer; status 504 if none came in time.
  // aCheckOnly: reports what would happen and changes nothing.
  Awaitable<AnswerFiling> FileTicket(std::string aText, bool aCheckOnly);

  // Reads one key of the store, for operators.
  Awaitable<StoreAnswer> ReadStore(std::string aKey);

  // Set both before Start().
  std::function<void()> onStopAccepting_; // close the listener for callers
  std::function<void()> onExit_; // all requests are answered; end the process

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
