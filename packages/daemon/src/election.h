// Internal: which entry owns the fleet.

#ifndef cuminbridge_daemon_election_h
#define cuminbridge_daemon_election_h

#include "intake.h"

namespace cuminbridge {

// Takes the fleet whenever nobody has it, and keeps an Owner while it has it.
// Entries with more of a core go first; one that has far less hands over to
// them.
class Election
{
public:
  Election(DaemonParts aParts, Intake& aIntake);

  Awaitable<void> Run();      // until Stop()
  Awaitable<void> Register(); // tells the other entries about this one
  Awaitable<void> Stop();     // hands over, and takes the fleet no more

  // Null in an entry that does not own the fleet.
  Owner* CurrentOwner() const;

private:
  Awaitable<bool> TakeOwnership(std::int64_t aLease, Instant aLeaseSent);
  Awaitable<Millis> PauseForStronger();
  Awaitable<void> YieldToStronger();
  Awaitable<bool> HasStrongerReady();

  DaemonParts parts_;
  Intake& intake_;
  std::shared_ptr<Owner> owner_;
  Instant nextYield_;
  Millis yieldInterval_;
  bool isStopping_ = false;
};

// How long an entry leaves a fleet that nobody has to those with more of a
// core; 0 for the strongest. Shares are of a core.
Millis ElectionPause(double aShare, double aStrongest);

// Whether an owner is so weak beside another entry that a change of owner is
// worth its pause.
bool IsTooWeak(double aShare, double aOther);

} // namespace cuminbridge

#endif // cuminbridge_daemon_election_h
