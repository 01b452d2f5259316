// Internal: the project's own keys in the store.

#ifndef cuminbridge_daemon_records_h
#define cuminbridge_daemon_records_h

#include "cuminbridge/adapter.h"

namespace cuminbridge {

//-----------------------------------------------------------------------------
// [SECTION] Keys
//-----------------------------------------------------------------------------

// Who owns the fleet. Created under the owner's lease; the revision of its
// creation is the owner's fencing token.
inline constexpr const char* kOwnerKey = "owner";
// Counts the owners.
inline constexpr const char* kTermKey = "term";
// The last owner, for the next one: "TERM ADDRESS UNTIL" and, once it has
// handed over, " handed-over".
inline constexpr const char* kLastOwnerKey = "last-owner";
// Each entry, "entries/NAME": its share of a core, and its address for peers.
// The strongest are to own.
inline constexpr const char* kEntriesPrefix = "entries/";
// Changed by each write of the owner, which makes the writes a chain: one that
// is carried out late finds another revision and does nothing.
inline constexpr const char* kChainKey = "chain";
// Jobs and cancellations as callers handed them in: "in/job/ID",
// "in/cancel/ID".
inline constexpr const char* kIntakePrefix = "in/";
inline constexpr const char* kJobPrefix = "in/job/";
inline constexpr const char* kCancelPrefix = "in/cancel/";
// What the owner knows of a job: "progress/ID".
inline constexpr const char* kProgressPrefix = "progress/";
// VMs of a wave whose upkeep has begun: "upkeep/N".
inline constexpr const char* kUpkeepPrefix = "upkeep/";
// Targets that the owner uses.
inline constexpr const char* kTargetsKey = "targets";
// Recent orders for VMs.
inline constexpr const char* kOrdersKey = "orders";
// The last turn of demand on each pool.
inline constexpr const char* kTurnsKey = "turns";
// Waiting jobs by queue.
inline constexpr const char* kLoadKey = "load";

//-----------------------------------------------------------------------------
// [SECTION] Values
//-----------------------------------------------------------------------------
// Jobs and their progress are in jobs.h.

// What kLastOwnerKey holds.
struct LastOwner
{
  int term_ = 0;
  std::string address_; // of its process, for peers
  // Until then work that owners before it left may run unseen.
  WallTime inheritedUntil_;
  bool hasHandedOver_ = false;
};

LastOwner ReadLastOwner(const std::string& aText);
std::string WriteLastOwner(const LastOwner& aOwner);

// What lies under kEntriesPrefix, as "SHARE ADDRESS".
struct EntryRecord
{
  double cpuShare_ = 0; // of a core
  std::string address_; // for peers

  bool operator==(const EntryRecord&) const = default;
};

EntryRecord ReadEntry(const std::string& aText);
std::string WriteEntry(const EntryRecord& aEntry);

std::string WriteWaveRecord(const WaveRecord& aRecord);
std::string WriteKnownTargets(const std::vector<StoredTarget>& aTargets);
std::string WriteKnownOrders(const std::vector<StoredOrder>& aOrders);
std::string WriteKnownTurns(const std::vector<StoredDemandPeak>& aTurns);

// All that an owner finds in the store, as the lists came.
struct StoredFleet
{
  StoreReply intake_;
  StoreReply progress_;
  StoreReply waves_;
  StoreReply targets_; // one key, that may be missing
  StoreReply orders_;  // the same
  StoreReply turns_;   // the same
};

// Decodes it. Adds the keys of records that can't be read.
JobsLoaded ReadStoredFleet(const StoredFleet& aStored,
                           std::vector<std::string>& aUnreadable);

// The revision from which to watch on. Not the store's own after a watch: while
// watches hear nothing, the store goes on, and what it passed over would never
// be told.
std::int64_t NextWatchRevision(std::int64_t aAfter,
                               const StoreReply& aReply,
                               bool aIsList);

} // namespace cuminbridge

#endif // cuminbridge_daemon_records_h
