// Internal: the project's own keys in the store, and their values.

#ifndef cuminbridge_daemon_records_h
#define cuminbridge_daemon_records_h

#include "cuminbridge/adapter.h"

namespace cuminbridge {

//-----------------------------------------------------------------------------
// [SECTION] Keys
//-----------------------------------------------------------------------------

// Keys of one cell have the names below, behind the prefix of CellKeys. The
// keys of cell 0 have no prefix: a fleet of one cell has the keys that it had
// before there were cells.

// The map of cells (cells.h), stored once when the fleet first starts.
inline constexpr const char* kCellsKey = "cells";
// Prefix of the owners' keys: "owner" of cell 0, "owner/K" of cell K. Each
// holds the owner's address for peers and is created under the owner's lease;
// the revision of its creation is the owner's fencing token.
inline constexpr const char* kOwnerKey = "owner";
// Term of the latest owner: counts the owners, from 1.
inline constexpr const char* kTermKey = "term";
// OwnerRecord of the latest owner, for the next one: "TERM ADDRESS UNTIL" and,
// once it has handed over, " handed-over".
inline constexpr const char* kLastOwnerKey = "last-owner";
// Each entry, "entries/NAME": its share of a core, and its address for peers.
// The entries with the largest share are preferred as owner.
inline constexpr const char* kEntriesPrefix = "entries/";
// Changed by each write of the owner, so that its writes take effect in order:
// one that the store carries out late finds another revision and does nothing.
inline constexpr const char* kChainKey = "chain";
// Jobs and cancellations as callers submitted them: "in/job/ID",
// "in/cancel/ID".
inline constexpr const char* kSubmissionPrefix = "in/";
inline constexpr const char* kJobPrefix = "in/job/";
inline constexpr const char* kCancelPrefix = "in/cancel/";
// Jobs that entries refused because their pool was full: "refused/ID". They are
// removed with the lease of the entry (admission/refusal_record.h).
inline constexpr const char* kRefusalPrefix = "refused/";
// Progress of a job, as the owner recorded it: "progress/ID".
inline constexpr const char* kProgressPrefix = "progress/";
// VMs of wave N whose maintenance has begun: "upkeep/N" of cell 0, "upkeep/N/K"
// of cell K.
inline constexpr const char* kMaintenancePrefix = "upkeep/";
// Each target that the owner uses: "targets/ID".
inline constexpr const char* kTargetsPrefix = "targets/";
// All of them in one record, as earlier versions stored them. It is read, then
// removed.
inline constexpr const char* kOldTargetsKey = "targets";
// Recent orders for VMs: "orders/SLOT". The slots are used in turn, and an
// owner goes on where the previous one ended. Earlier versions stored all of
// them under "orders".
inline constexpr const char* kVmOrdersPrefix = "orders";
// An order matters to the next owner for a few seconds; a slot is used again
// after 25 s or more.
inline constexpr int kOrderSlots = 128;
// The latest demand peak of each pool.
inline constexpr const char* kDemandPeaksKey = "turns";
// Number of waiting jobs by queue: "load" of cell 0, "load/K" of cell K.
inline constexpr const char* kLoadPrefix = "load";
// Parts of the accounts' limits that the cells may use (account_grants.h).
inline constexpr const char* kGrantsKey = "grants";

// The keys of one cell.
class CellKeys
{
public:
  explicit CellKeys(int aCell);

  std::string Of(std::string_view aName) const
  {
    return prefix_ + std::string(aName);
  }
  std::string Owner() const;
  std::string Load() const;
  std::string Maintenance(std::int64_t aWave) const;

private:
  std::string WithNumber(std::string aKey) const;

  int cell_;
  std::string prefix_;
};

// The cell of an owner's key; nothing if the key is none.
std::optional<int> CellOfOwnerKey(std::string_view aKey);

//-----------------------------------------------------------------------------
// [SECTION] Values
//-----------------------------------------------------------------------------
// Jobs and their progress are in jobs.h.

// Value of kLastOwnerKey.
struct OwnerRecord
{
  int term_ = 0;
  std::string
    address_; // of its process, for peers; empty if there is no record
  // Up to this time, work that earlier owners left may run on targets that
  // nobody can ask.
  WallTime inheritedUntil_;
  bool hasHandedOver_ = false; // it stored all that it did before it ended
};

OwnerRecord DecodeOwnerRecord(const std::string& aText);
std::string EncodeOwnerRecord(const OwnerRecord& aOwner);
// What is known of an owner after the reply of its address to OwnerPath(). A
// process that answers with another term has ended that ownership. A refused
// connection says nothing: the network may reject connections to it.
PreviousOwner ReadPreviousOwner(const OwnerRecord& aOwner,
                                const HttpReply& aReply);

// Value under kEntriesPrefix, as "SHARE ADDRESS LINK".
struct EntryRecord
{
  double cpuShare_ = 0;    // of a core
  std::string address_;    // for peers
  double linkMbps_ = 1000; // Mbit/s each way

  bool operator==(const EntryRecord&) const = default;
};

EntryRecord DecodeEntry(const std::string& aText);
std::string EncodeEntry(const EntryRecord& aEntry);

// The part of a cell in a maintenance wave.
struct CellWaveRecord
{
  WaveRecord record_;
  bool isCompleted_ = false; // maintenance of all VMs of the part has begun

  bool operator==(const CellWaveRecord&) const = default;
};

std::string EncodeWaveRecord(const CellWaveRecord& aRecord);
// The records of one cell in a list of kMaintenancePrefix, by wave.
std::map<std::int64_t, CellWaveRecord> DecodeWaveRecords(
  const StoreReply& aReply,
  int aCell,
  std::vector<std::string>& aUnreadable);

// Value of a job's key once the job has ended.
inline constexpr const char* kEndedJob = "ended";

// Value of a job's key in its own cell once it was transferred: the other cell.
std::string EncodeMovedJob(int aCell);
std::optional<int> DecodeMovedJob(std::string_view aText);
// The transferred jobs in a list of submissions, with their cells.
std::map<std::string, int> DecodeMovedJobs(const StoreReply& aSubmissions);

// Body of a capacity report.
std::string EncodeCapacity(const PeerCapacitySeen& aReport);
std::optional<PeerCapacitySeen> DecodeCapacity(const std::string& aText);

// Value of a load key: the waiting jobs by queue, and when they were counted. 0
// in records of earlier versions.
struct LoadRecord
{
  std::map<std::string, int> waiting_;
  WallTime countedAt_;

  bool operator==(const LoadRecord&) const = default;
};

std::string EncodeLoad(const LoadRecord& aLoad);
LoadRecord DecodeLoad(const std::string& aText);

std::string EncodeTarget(const StoredTarget& aTarget);
std::string EncodeVmOrders(const std::vector<StoredOrder>& aOrders);
std::string EncodeDemandPeaks(const std::vector<StoredDemandPeak>& aPeaks);

// The slot of kVmOrdersPrefix that was written last; 0 if there is none.
int NewestOrderSlot(const StoreReply& aOrders);

// The store's replies for everything that a new owner reads.
struct StoredFleet
{
  StoreReply submissions_;
  StoreReply progress_;
  StoreReply waves_;
  StoreReply targets_;
  StoreReply oldTargets_; // one key, which is usually missing
  StoreReply vmOrders_;
  StoreReply demandPeaks_; // one key, which may be missing
  StoreReply grants_;      // one key, which may be missing
};

// Adds the key of each record that can't be decoded to aUnreadable, and leaves
// that record out.
JobsLoaded DecodeStoredFleet(const StoredFleet& aStored,
                             int aCell,
                             std::vector<std::string>& aUnreadable);

// The revision after which to watch next, once a list or a watch from aAfter
// has given aReply. A list has read all changes up to the store's revision at
// its first page. Its pages are not a snapshot: an item of a later page can be
// newer than a change behind an earlier one. A watch has only read the changes
// that it reported: the store's revision can be past others, which would be
// skipped for good.
std::int64_t NextWatchRevision(std::int64_t aAfter,
                               const StoreReply& aReply,
                               bool aIsList);
// Whether the answer to a watch certainly reports all changes before the watch
// was sent. The store may cut an answer off, which nothing in it shows.
bool ReportsAllChanges(const StoreReply& aReply);

} // namespace cuminbridge

#endif // cuminbridge_daemon_records_h
