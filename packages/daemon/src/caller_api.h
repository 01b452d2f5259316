// Internal: the callers' HTTP interface. Every entry answers it from the store.

#ifndef cuminbridge_daemon_caller_api_h
#define cuminbridge_daemon_caller_api_h

#include "admission/admission_control.h"
#include "admission/relay.h"

namespace cuminbridge {

struct CallerApiCounts
{
  std::uint64_t accepted_ = 0;     // submissions that are stored
  std::uint64_t refused_ = 0;      // submissions answered 503, never stored
  std::uint64_t unknown_ = 0;      // submissions answered 504, may be stored
  std::uint64_t unauthorized_ = 0; // requests answered 401
  std::uint64_t reads_ = 0;        // of a job's state
  std::uint64_t cancels_ = 0;
};

class CallerApi
{
public:
  explicit CallerApi(DaemonContext aContext);

  // Keeps the newest configuration. Until the first one, all requests are
  // answered 503.
  void SetConfig(FleetConfig aConfig);
  const FleetConfig& Config() const { return config_; }

  // Until the number of cells is known, jobs are answered 503.
  void SetCellCount(int aCount);
  // The owner of a cell in this process, or null.
  void SetOwner(int aCell, std::shared_ptr<Owner> aOwner);

  // Answers a caller, if need be with the help of a peer that reaches the
  // store.
  Awaitable<HttpResponse> Answer(const HttpRequest& aRequest);
  // Nothing if the store did not carry the request out; then nothing is done.
  using Outcome = std::optional<HttpResponse>;
  Awaitable<Outcome> AnswerFromStore(const HttpRequest& aRequest);
  // Answers a peer that has relayed a request, as EncodeRelayed() writes it.
  Awaitable<HttpResponse> AnswerRelayed(std::string aText);

  const CallerApiCounts& Counts() const { return counts_; }
  const RefusalCounts& CountRefusals() const { return refusals_.Counts(); }
  std::uint64_t CountRelayed() const { return relay_.Answered(); }

private:
  // Whether a peer has answered callers of this entry by a newer version. Until
  // that is read, only peers answer.
  bool IsConfigOutdated() const;
  Awaitable<Outcome> Submit(const HttpRequest& aRequest,
                            const Queue& aQueue,
                            std::string aAccount,
                            std::string aId);
  Awaitable<Outcome> Read(std::string aId);
  Awaitable<Outcome> Cancel(std::string aId);
  Awaitable<Outcome> AnswerWaiting(std::string aQueue);

  struct CellState
  {
    int number_ = 0;
    CellKeys keys_;
    std::shared_ptr<Owner> owner_; // in this process, or null
  };

  void NotifyOwner(const CellState& aCell, Job aJob, std::string aValue);
  CellState& CellOfJob(const std::string& aId);
  // The cell to which a job was transferred, by the record in its own; null if
  // it was not.
  CellState* MovedTo(const StoreItem& aJobRecord);
  Awaitable<bool> ReadWaitingCounts();
  HttpResponse RefuseForStore(); // the store did not carry a call out

  DaemonContext context_;
  Instant startedAt_;
  FleetConfig config_;
  std::vector<CellState> cells_;       // empty until their number is known
  std::map<std::string, int> waiting_; // jobs by queue, in all cells
  WallTime waitingCountedAt_;          // the oldest of the counts
  Instant waitingReadAt_;
  CallerApiCounts counts_;
  Refusals refusals_;
  AdmissionControl admission_;
  Relay relay_;
};

} // namespace cuminbridge

#endif // cuminbridge_daemon_caller_api_h
