// Internal: the callers' HTTP interface. Every entry answers it from the store.

#ifndef cuminbridge_daemon_caller_api_h
#define cuminbridge_daemon_caller_api_h

#include "admission/refusal.h"
#include "owner.h"

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

  Awaitable<HttpResponse> Answer(const HttpRequest& aRequest);

  const CallerApiCounts& Counts() const { return counts_; }
  const RefusalCounts& CountRefusals() const { return refusals_.Counts(); }

private:
  Awaitable<HttpResponse> Submit(const HttpRequest& aRequest,
                                 const Queue& aQueue,
                                 std::string aAccount,
                                 std::string aId);
  Awaitable<HttpResponse> Read(std::string aId);
  Awaitable<HttpResponse> Cancel(std::string aId);
  Awaitable<HttpResponse> AnswerWaiting(std::string aQueue);

  struct CellState
  {
    int number_ = 0;
    CellKeys keys_;
    std::shared_ptr<Owner> owner_; // in this process, or null
  };

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
};

} // namespace cuminbridge

#endif // cuminbridge_daemon_caller_api_h
