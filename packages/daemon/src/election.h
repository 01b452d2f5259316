// Internal: which entry owns the fleet.

#ifndef cuminbridge_daemon_election_h
#define cuminbridge_daemon_election_h

#include "caller_api.h"

namespace cuminbridge {

// Takes ownership of the fleet whenever no entry holds it, and keeps an Owner
// for as long as this entry holds it. Entries with a larger share of a core are
// preferred: weaker ones wait longer before they take a free fleet, and an
// owner with a far smaller share hands over.
class Election
{
public:
  Election(DaemonContext aContext, CallerApi& aCallerApi);

  Awaitable<void> Run();      // until Stop()
  Awaitable<void> Register(); // stores this entry's share for other entries
  Awaitable<void> Stop();     // hands over, and never takes the fleet again

  // Null in an entry that does not own the fleet.
  Owner* CurrentOwner() const;

private:
  Awaitable<bool> TakeOwnership(std::int64_t aLease, Instant aLeaseSentAt);
  Awaitable<Millis> ComputeElectionDelay();
  Awaitable<void> YieldToStrongerEntry();
  Awaitable<bool> IsStrongerEntryReady();

  DaemonContext context_;
  CallerApi& callerApi_;
  std::shared_ptr<Owner> owner_;
  Instant nextYieldAt_; // earliest time of the next check for a stronger entry
  Millis yieldInterval_;
  bool isStopping_ = false;
};

// How long an entry leaves a fleet without an owner to stronger entries; 0 for
// the strongest. Shares are of a core.
Millis ElectionDelay(double aShare, double aStrongestShare);

// Whether an owner is so much weaker than another entry that a change of owner
// is worth the pause that it causes.
bool ShouldYield(double aShare, double aOtherShare);

} // namespace cuminbridge

#endif // cuminbridge_daemon_election_h
