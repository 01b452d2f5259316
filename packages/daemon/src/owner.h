// Internal: one term of ownership. Feeds a Fleet and carries out its effects.

#ifndef cuminbridge_daemon_owner_h
#define cuminbridge_daemon_owner_h

#include <memory>

#include "chain_writer.h"

namespace cuminbridge {

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
  void Retune(); // the tuning has changed
  const Fleet& GetFleet() const { return fleet_; }

private:
  Awaitable<void> Load();
  Awaitable<PreviousOwner> AskFormer();
  Awaitable<void> Renew();
  Awaitable<void> WatchIntake(std::int64_t aRevision);
  Awaitable<void> PollTargets();
  Awaitable<void> PollVms();
  void NoteContact(const char* aService, bool& aHas, bool aIsAnswered);
  Awaitable<void> PollWaves();
  Awaitable<void> TellLoad();
  Awaitable<void> RunTicks();

  bool ReadIntake(const StoreItem& aItem); // false if it can't be read
  void Execute(Effect aEffect);
  void Store(const StoreProgress& aEffect);
  void Store(const StoreWave& aEffect);
  void Forget(const DeleteJobRecords& aEffect);
  template<typename Call>
  void Spawn(Call aCall);

  DaemonParts parts_;
  Ownership ownership_;
  Fleet fleet_;
  TargetClient targets_;
  VmClient vms_;
  AdviceClient advice_;
  ChainWriter writer_;
  bool hasEnded_ = false;
  bool hasVmService_ = false;
  bool hasAdvice_ = false;
  bool hasLoaded_ = false;     // it knows what lay in the store
  bool isHandingOver_ = false; // nothing new is started
};

} // namespace cuminbridge

#endif // cuminbridge_daemon_owner_h
