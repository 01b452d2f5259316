// Internal: the records that entries keep in the store, and their keys.
//
//   cuminbridge/config/head         number, digest, members
//   cuminbridge/config/pool/NAME    one pool
//   cuminbridge/config/account/NAME one account
//   cuminbridge/ticket/NUMBER       digest and text of an accepted ticket
//   cuminbridge/ledger              number of permits issued, by account
//   cuminbridge/wave/POOL           VMs taken for maintenance
//
// The head, the pools and the accounts are changed in one transaction that
// compares the revision of the head, and read in one range request. So they are
// never seen partly changed.

#ifndef cuminbridge_core_records_h
#define cuminbridge_core_records_h

#include "cuminbridge/core.h"

namespace cuminbridge::forwarder {

inline constexpr std::string_view kConfigPrefix = "cuminbridge/config/";
inline constexpr std::string_view kHeadKey = "cuminbridge/config/head";
inline constexpr std::string_view kLedgerKey = "cuminbridge/ledger";

// Number of accepted tickets kept in the store, to recognise repeated filings
// and for operators to read. Older ones are deleted.
inline constexpr std::int64_t kTicketsKept = 10'000;

std::string EncodeHead(const Config& aConfig,
                       const std::vector<Member>& aMembers);

// Puts for everything that a delta changes, including the head.
std::vector<StorePut> EncodeChange(const ConfigDelta& aChange,
                                   const Config& aNext);

std::string EncodeTicketRecord(const Ticket& aTicket);

// The digest in a ticket's record; nullopt if it can't be decoded.
std::optional<std::string> DecodeTicketDigest(const std::string& aValue);

// The snapshot in the answer to a read of kConfigPrefix. Null if the store has
// no head. An error, as text, if a record can't be decoded.
boost::leaf::result<SnapshotPtr> DecodeSnapshot(
  const std::vector<StoreValue>& aValues);

struct LedgerRecord
{
  std::vector<std::string> members_;  // that may hold permits: "id#incarnation"
  std::int64_t number_ = 0;           // ticket in force when it was written
  std::map<std::string, int> issued_; // most permits in existence, by account
  std::string operation_;             // id of the swap that wrote it
};

// A VM taken for maintenance.
struct WaveVm
{
  std::string vm_;
  std::string operation_; // id of its reboot

  bool operator==(const WaveVm&) const = default;
};

using WaveRecord = std::vector<WaveVm>;

std::string WaveKey(const std::string& aPool);
std::string EncodeWave(const WaveRecord& aWave);
std::optional<WaveRecord> DecodeWave(const std::string& aValue);
std::string EncodeLedger(const LedgerRecord& aLedger);
std::optional<LedgerRecord> DecodeLedger(const std::string& aValue);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_core_records_h
