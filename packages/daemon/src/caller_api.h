// Internal: the callers' HTTP interface. Every entry answers it from the store.

#ifndef cuminbridge_daemon_caller_api_h
#define cuminbridge_daemon_caller_api_h

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

  // The owner in this process, or null.
  void SetOwner(std::shared_ptr<Owner> aOwner) { owner_ = std::move(aOwner); }
  // Address for peers of the owner, if it is another process.
  void SetOwnerAddress(std::string aAddress)
  {
    ownerAddress_ = std::move(aAddress);
  }

  const std::string& OwnerAddress() const { return ownerAddress_; }

  Awaitable<HttpResponse> Answer(const HttpRequest& aRequest);

  const CallerApiCounts& Counts() const { return counts_; }

private:
  Awaitable<HttpResponse> Submit(const HttpRequest& aRequest,
                                 const Queue& aQueue,
                                 std::string aAccount,
                                 std::string aId);
  Awaitable<HttpResponse> Read(std::string aId);
  Awaitable<HttpResponse> Cancel(std::string aId);
  Awaitable<HttpResponse> AnswerWaiting(std::string aQueue);

  void NotifyOwner(const char* aPath, std::string aBody);

  DaemonContext context_;
  std::string ownerAddress_; // empty: not known
  FleetConfig config_;
  std::shared_ptr<Owner> owner_;
  std::map<std::string, int> waiting_; // jobs by queue, as the owner stored it
  Instant waitingReadAt_;
  CallerApiCounts counts_;
};

} // namespace cuminbridge

#endif // cuminbridge_daemon_caller_api_h
