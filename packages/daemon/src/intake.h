// Internal: what callers ask for, answered by any entry from the store.

#ifndef cuminbridge_daemon_intake_h
#define cuminbridge_daemon_intake_h

#include "owner.h"

namespace cuminbridge {

struct IntakeCounts
{
  std::uint64_t accepted_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t unknown_ = 0; // answered 504
  std::uint64_t unauthorized_ = 0;
  std::uint64_t reads_ = 0;
  std::uint64_t cancels_ = 0;
};

class Intake
{
public:
  explicit Intake(DaemonParts aParts);

  // The newest configuration; nothing is taken before the first.
  void SetConfig(FleetConfig aConfig);
  const FleetConfig& Config() const { return config_; }

  // The owner in this process, or null.
  void SetOwner(std::shared_ptr<Owner> aOwner) { owner_ = std::move(aOwner); }
  // Where the owner answers its peers, if it is another process.
  void SetOwnerAddress(std::string aAddress)
  {
    ownerAddress_ = std::move(aAddress);
  }

  const std::string& OwnerAddress() const { return ownerAddress_; }

  Awaitable<HttpResponse> Answer(const HttpRequest& aRequest);

  const IntakeCounts& Counts() const { return counts_; }

private:
  Awaitable<HttpResponse> Submit(const HttpRequest& aRequest,
                                 const Queue& aQueue,
                                 std::string aAccount,
                                 std::string aId);
  Awaitable<HttpResponse> Read(std::string aId);
  Awaitable<HttpResponse> Cancel(std::string aId);
  Awaitable<HttpResponse> TellWaiting(std::string aQueue);

  void TellOwner(const char* aPath, std::string aBody);

  DaemonParts parts_;
  std::string ownerAddress_;
  FleetConfig config_;
  std::shared_ptr<Owner> owner_;
  std::map<std::string, int> waiting_; // by queue, as the owner told last
  Instant waitingAt_;
  IntakeCounts counts_;
};

} // namespace cuminbridge

#endif // cuminbridge_daemon_intake_h
