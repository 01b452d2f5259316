// Internal: which entry owns which cell.

#ifndef cuminbridge_daemon_election_h
#define cuminbridge_daemon_election_h

#include "caller_api.h"

namespace cuminbridge {

// Takes ownership of cells that no entry owns, and keeps an Owner for each cell
// that this entry owns. Entries with more processor time and fewer cells are
// preferred: others wait longer before they take a free cell, and an owner with
// far less processor time for each of its cells hands one over.
class Election
{
public:
  Election(DaemonContext aContext, CallerApi& aCallerApi);

  Awaitable<void> Run();      // until Stop()
  Awaitable<void> Register(); // stores this entry's capacity for other entries
  Awaitable<void> Stop();     // hands over, and never takes a cell again

  // The owners in this process that have not ended.
  std::vector<Owner*> CurrentOwners() const;
  // Null if this process does not own the cell.
  Owner* CurrentOwner(int aCell) const;

private:
  struct CellState
  {
    std::shared_ptr<Owner> owner_; // in this process
    bool isContested_ = false;     // this process tries to take it
  };

  Awaitable<void> ReadCells();
  Awaitable<std::optional<CellMap>> DecideCells();
  Awaitable<void> WatchOwners();
  void ContestFreeCells();
  void EndFormerOwnerships();
  bool IsOwnedByFormerProcess(int aCell) const;
  Awaitable<void> EndFormerOwnership(int aCell);
  Awaitable<void> Contest(int aCell);
  Awaitable<void> FollowOwner(int aCell);
  Awaitable<bool> TakeOwnership(int aCell,
                                std::int64_t aLease,
                                Instant aLeaseSentAt);
  std::size_t PlaceOf(const StoreReply& aEntries, int aCell) const;
  Awaitable<Millis> ComputeElectionDelay(int aCell);
  Awaitable<void> YieldToStrongerEntry(int aCell);
  Awaitable<bool> IsStrongerEntryReady();

  DaemonContext context_;
  CallerApi& callerApi_;
  std::shared_ptr<const CellMap> map_; // null until it is read
  std::vector<CellState> cells_;
  int decisionsWaited_ = 0; // times that the cells were not decided yet
  Instant nextYieldAt_; // earliest time of the next check for a stronger entry
  Millis yieldInterval_;
  bool isStopping_ = false;
};

} // namespace cuminbridge

#endif // cuminbridge_daemon_election_h
