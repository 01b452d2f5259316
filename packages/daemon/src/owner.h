// Internal: one term of ownership. Feeds a Fleet and carries out its effects.

#ifndef cuminbridge_daemon_owner_h
#define cuminbridge_daemon_owner_h

#include <deque>
#include <functional>
#include <memory>

#include "cuminbridge/adapter.h"

namespace cuminbridge {

// What both sides of a daemon work with.
struct DaemonParts
{
  boost::asio::io_context& io_;
  Clocks& clocks_;
  const PlatformSettings& settings_;
  HttpClient& http_;
  StoreClient& store_;
};

// Ends a coroutine's pause; false if the io_context is ending.
Awaitable<void> Sleep(boost::asio::io_context& aIo, Millis aTime);

// Time that the owner's key outlives its last renewal. Renewals come every 300
// ms, and the slowest answer of the store takes 240.
inline constexpr Millis kOwnerLease(1500);

struct Ownership
{
  std::int64_t token_ = 0; // revision at which the owner's key was created
  std::int64_t lease_ = 0;
  int term_ = 1;
  std::string former_; // what lay under kLastOwnerKey
  Instant validUntil_; // the lease in the store surely lives until then
};

class Owner : public std::enable_shared_from_this<Owner>
{
public:
  Owner(DaemonParts aParts, Ownership aOwnership, const FleetConfig& aConfig);

  void Begin(); // spawns its coroutines
  void End(const std::string& aWhy);
  // Gives the fleet away: writes what is due, then ends its lease.
  Awaitable<void> HandOver();

  bool HasEnded() const { return hasEnded_; }
  // True while no other owner can have taken over.
  bool IsSure() const;
  int Term() const { return ownership_.term_; }

  void Handle(const Event& aEvent);
  const Fleet& GetFleet() const { return fleet_; }

private:
  struct Pending
  {
    std::vector<StoreWrite::Put> puts_;
    std::vector<std::string> removes_;
    std::function<void()> done_;
  };

  Awaitable<void> Load();
  Awaitable<FormerOwner> AskFormer();
  Awaitable<void> Renew();
  Awaitable<void> WatchIntake(std::int64_t aRevision);
  Awaitable<void> PollTargets();
  Awaitable<void> PollVms();
  Awaitable<void> PollWaves();
  Awaitable<void> TellLoad();
  Awaitable<void> RunTicks();
  Awaitable<void> RunWriter();
  Awaitable<bool> WriteChained(StoreWrite aWrite);

  bool ReadIntake(const StoreItem& aItem); // false if it can't be read
  void Execute(Effect aEffect);
  void Queue(Pending aPending);
  void QueueProgress(const StoreProgress& aEffect);
  template<typename Call>
  void Spawn(Call aCall);

  DaemonParts parts_;
  Ownership ownership_;
  Fleet fleet_;
  TargetClient targets_;
  VmClient vms_;
  AdviceClient advice_;
  std::deque<Pending> writes_;
  boost::asio::steady_timer writeSignal_;
  std::int64_t chainRevision_;
  std::uint64_t chainNumber_ = 0;
  bool isWriting_ = false;
  bool hasEnded_ = false;
  bool isHandingOver_ = false; // nothing new is started
};

// What a last-owner record says.
struct LastOwner
{
  int term_ = 0;
  std::string address_;
  bool hasHandedOver_ = false;
};

LastOwner ReadLastOwner(const std::string& aText);
std::string WriteLastOwner(const LastOwner& aOwner);

// The revision from which to watch on. Not the store's own after a watch: while
// watches hear nothing, the store goes on, and what it passed over would never
// be told.
std::int64_t NextWatchRevision(std::int64_t aAfter,
                               const StoreReply& aReply,
                               bool aIsList);

// Where a daemon answers its peers.
std::string PeerAddress(const PlatformSettings& aSettings);
inline constexpr const char* kOwnerPath = "/owner";
// An entry tells the owner at once what it has stored; the owner's watch is the
// fallback. The body is a stored job, or the id of a cancelled one.
inline constexpr const char* kTellJobPath = "/job";
inline constexpr const char* kTellCancelPath = "/cancel";

} // namespace cuminbridge

#endif // cuminbridge_daemon_owner_h
