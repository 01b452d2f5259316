// cuminbridge model: the data types that the other forwarder packages share.
//
//   auto ticket = ParseTicket(text);               // a LEAF result
//   Findings faults = CheckTicket(*ticket, *base); // empty: may be accepted
//   ConfigPtr next = ApplyTicket(*ticket, *base);  // a new configuration
//
// An entry is one forwarder process. A ticket is an operator's numbered change
// of the configuration. Everything here is plain data without I/O. Values are
// immutable once built and are shared as pointers to const.
//
// Index of this file:
//   [SECTION] Time
//   [SECTION] Values: pools, accounts, members, configuration
//   [SECTION] Tickets
//   [SECTION] Messages between entries

#ifndef cuminbridge_model_h
#define cuminbridge_model_h

#include <chrono>
#include <compare>
#include <concepts>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include <boost/leaf/result.hpp>
#include <nlohmann/json_fwd.hpp>

#include "cuminbridge/findings.h"

namespace cuminbridge::forwarder {

//-----------------------------------------------------------------------------
// [SECTION] Time
//-----------------------------------------------------------------------------

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// A monotonic clock. Programs use BootClock, tests a simulated one.
template<typename T>
concept ClockSource = requires(const T& aClock)
{
  {
    aClock.Now()
    } -> std::same_as<TimePoint>;
};

// Time since boot, including time in suspension (CLOCK_BOOTTIME). A VM that
// its host has paused therefore finds its evidence out of date when it resumes.
// std::chrono::steady_clock does not count the time of the pause.
struct BootClock
{
  TimePoint Now() const;
};

//-----------------------------------------------------------------------------
// [SECTION] Values: pools, accounts, members, configuration
//-----------------------------------------------------------------------------
// Values are immutable once built, shared as pointers to const, and compared
// with ==.

// Which scheduler places work on the VMs of a pool. Both schedulers are in use
// during the year of migration.
enum class Scheduler
{
  Cuminbridge, // this system
  Old,         // the old scheduler: requests are forwarded to it unchanged
};

// The complete configuration of one pool.
struct PoolConfig
{
  std::string name_;
  std::vector<std::string> vms_; // IP addresses, sorted; a VM is in one pool
  int minAvailable_ = 0;         // VMs that must stay up during maintenance
  bool open_ = false;            // true: callers need no API key
  Scheduler scheduler_ = Scheduler::Cuminbridge;
  std::int64_t round_ = 0;     // latest maintenance round; 0: none requested
  std::int64_t changedIn_ = 0; // number of the ticket that last changed it

  bool operator==(const PoolConfig&) const = default;
};

// The complete configuration of one account.
struct AccountConfig
{
  std::string name_;
  std::vector<std::string> keys_; // API keys as HashKey() forms, sorted
  int share_ = 1;              // weight in fair sharing while capacity is short
  int limit_ = 0;              // max. concurrent requests, fleet-wide; 0: none
  std::int64_t changedIn_ = 0; // number of the ticket that last changed it
  std::int64_t loweredIn_ = 0; // number of the ticket that last lowered limit_

  bool operator==(const AccountConfig&) const = default;
};

using PoolPtr = std::shared_ptr<const PoolConfig>;
using AccountPtr = std::shared_ptr<const AccountConfig>;

// The configuration that results from all tickets up to number_.
struct Config
{
  std::int64_t number_ = 0; // last accepted ticket; 0 before the first
  std::string digest_;      // SHA-256 of that ticket's text, in hex
  std::map<std::string, PoolPtr, std::less<>> pools_;       // by name
  std::map<std::string, AccountPtr, std::less<>> accounts_; // by name
  std::unordered_map<std::string, std::string>
    accountOfKey_; // HashKey() form to account name
  std::unordered_map<std::string, std::string>
    poolOfVm_; // VM address to pool name
};

using ConfigPtr = std::shared_ptr<const Config>;

// Builds a Config from a base and the changed pools and accounts. Unchanged
// pools and accounts are shared with the base, not copied.
class ConfigBuilder
{
public:
  ConfigBuilder() = default;
  explicit ConfigBuilder(const Config& aBase);

  ConfigBuilder& SetTicket(std::int64_t aNumber, std::string aDigest);
  ConfigBuilder& SetPool(PoolPtr aPool);
  ConfigBuilder& SetAccount(AccountPtr aAccount);
  ConfigPtr Build(); // fills the indexes; call once, last

private:
  Config config_;
};

// An entry that belongs to the fleet. The id belongs to the address: a process
// restarted at the same address keeps the id and takes a higher incarnation.
struct Member
{
  std::string id_;
  std::uint64_t incarnation_ = 0; // identifies one process of this member
  std::string peerAddress_;       // host:port where it listens for peers
  std::string dataCentre_;
  bool isVoter_ = false; // may vote on Idempotency-Keys; see ClaimRequest

  auto operator<=>(const Member&) const = default;
};

// The head record of the store at one revision: the configuration in force and
// its members. A majority of these members must have acknowledged the next
// change before it is written to the store.
struct Snapshot
{
  std::int64_t revision_ = 0;   // modification revision of the head record
  std::vector<Member> members_; // sorted by id
  ConfigPtr config_;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

// The epoch of a member set: a hash of the ids, incarnations and voter flags.
// Permits move only between entries that compute the same epoch.
std::uint64_t HashMembers(const std::vector<Member>& aMembers);

//-----------------------------------------------------------------------------
// [SECTION] Tickets
//-----------------------------------------------------------------------------

// A ticket as filed. It states the complete new configuration of every pool
// and account that it names.
struct Ticket
{
  std::int64_t number_ = 0;
  std::string digest_; // SHA-256 of the text, in hex
  std::string text_;   // as filed
  std::vector<PoolConfig> pools_;
  std::vector<AccountConfig> accounts_;
  std::map<std::string, Place> places_; // key path to line, for findings
};

// Maximum number of pools and accounts in one ticket. A ticket is written to
// the store in one transaction, and the store limits a transaction's size.
inline constexpr std::size_t kMaxTicketParts = 100;

// Maximum length of a ticket text, in bytes.
inline constexpr std::size_t kMaxTicketBytes = 512 * 1024;

// Parses a ticket. On failure the LEAF error carries Findings, which list all
// faults of the text and not only the first.
boost::leaf::result<Ticket> ParseTicket(std::string_view aText);

// Checks that no VM and no key would belong to two pools or accounts after the
// ticket. Empty if the ticket may be accepted. Ignores the ticket's number.
Findings CheckTicket(const Ticket& aTicket, const Config& aBase);

// The configuration that results from applying the ticket to aBase.
ConfigPtr ApplyTicket(const Ticket& aTicket, const Config& aBase);

// SHA-256 of a text as 64 lower-case hex digits.
std::string Sha256Hex(std::string_view aText);

// The form in which an API key is stored and compared: "sha256:" and 64 hex
// digits. Lookups use only this hash, so that their timing reveals nothing
// about the clear key.
std::string HashKey(std::string_view aClearKey);

// JSON form of the values, used in the store and in frames between entries.
void to_json(nlohmann::json& aJson, const PoolConfig& aPool);
void from_json(const nlohmann::json& aJson, PoolConfig& aPool);
void to_json(nlohmann::json& aJson, const AccountConfig& aAccount);
void from_json(const nlohmann::json& aJson, AccountConfig& aAccount);
void to_json(nlohmann::json& aJson, const Member& aMember);
void from_json(const nlohmann::json& aJson, Member& aMember);

//-----------------------------------------------------------------------------
// [SECTION] Messages between entries
//-----------------------------------------------------------------------------

// The member names of these structs are the field names on the wire (see
// wire.cpp): renaming one changes the protocol.
//
// A permit is the right to run one request of an account. A slot is the right
// to run one request on a VM. Permits and slots are divided among the entries
// and move between them by PermitTransfer.

// How one entry uses its part of one account's limit.
struct AccountUse
{
  int idle_ = 0;    // permits held and not in use
  int running_ = 0; // requests running
  int waiting_ = 0; // requests waiting

  bool operator==(const AccountUse&) const = default;
};

// Sent to each peer once per heartbeat interval; the peer answers with
// HeartbeatAck. accounts_ is only a hint: it holds some of the accounts whose
// use has changed, not all.
struct Heartbeat
{
  std::uint64_t sequence_ = 0;
  std::map<std::string, AccountUse> accounts_; // by account name
};

// What the peer had in force, and which changes it knew to be pending, when it
// answered. The sender of the heartbeat must date this evidence by the time at
// which it sent the heartbeat, not by the arrival of the answer.
struct HeartbeatAck
{
  std::uint64_t sequence_ = 0;       // of the heartbeat
  std::int64_t revision_ = 0;        // of the configuration in force
  std::int64_t number_ = 0;          // of the ticket in force
  std::vector<std::string> pending_; // operations prepared and not resolved
};

// A configuration and its members, as the difference from an older one.
struct ConfigDelta
{
  std::int64_t revision_ = 0;    // 0 while the change is only proposed
  std::int64_t number_ = 0;      // ticket that it results from
  std::int64_t sinceNumber_ = 0; // holds what changed after this ticket
  std::string digest_;           // of the ticket's text
  std::vector<Member> members_;  // all of them, not a difference
  std::vector<PoolConfig> pools_;
  std::vector<AccountConfig> accounts_;
};

// Announces a change that may be committed to the store at any time from now.
// The receiver must do nothing that the change would forbid.
struct Prepare
{
  std::string operation_; // id of the change
  std::int64_t baseRevision_ = 0;
  ConfigDelta change_;
};

struct PrepareAck
{
  std::string operation_;
  bool accepted_ = false;
  std::int64_t revision_ = 0; // what the answering entry has in force
};

// Withdraws a prepared change. Sent only when it is certain that the change
// can never be committed.
struct Abort
{
  std::string operation_;
};

// Requests the configuration changes that the sender lacks.
struct ConfigRequest
{
  std::int64_t haveRevision_ = 0;
  std::int64_t haveNumber_ = -1; // -1: the sender has no configuration
};

// The configuration in force at the sender, and the changes prepared there.
struct ConfigReply
{
  ConfigDelta inForce_;
  std::vector<Prepare> pending_;
};

struct ConfigAck
{
  std::int64_t revision_ = 0; // that the sender now has in force
};

// Requests idle permits, because requests of this account wait at the sender.
struct PermitRequest
{
  std::string account_;
  int count_ = 0;
};

// Requests idle slots, because requests for this pool wait at the sender.
struct SlotRequest
{
  std::string pool_;
  int count_ = 0;
};

// Transfers permits or slots to the receiver. The sender gives them up before
// it sends, and repeats the message until a receipt arrives. The receiver
// counts each transfer once, so that repeats are harmless.
struct PermitTransfer
{
  std::uint64_t transfer_ = 0;       // id, unique at the sending process
  std::uint64_t epoch_ = 0;          // HashMembers() at the sender
  std::string account_;              // of the permits; empty: slots
  int count_ = 0;                    // permits
  std::map<std::string, int> slots_; // slots by VM address
};

struct PermitReceipt
{
  std::uint64_t transfer_ = 0;
  bool accepted_ = false;
};

// Requests a count of all permits that the receiver holds, and freezes their
// movement while the audit counts. The coordinator sends it after an entry has
// left the fleet.
struct AuditRequest
{
  std::uint64_t epoch_ = 0;
  std::uint64_t audit_ = 0; // id of the audit
};

struct AuditReply
{
  std::uint64_t audit_ = 0;
  std::map<std::string, int> held_; // by account, with transfers in flight
  int transfers_ = 0; // in flight; their permits may be counted twice
};

// Upper bound of the permits that exist, by account, as of a ticket number.
struct LedgerUpdate
{
  std::int64_t revision_ = 0; // of the ledger record in the store
  std::int64_t number_ = 0;
  std::map<std::string, int> issued_;
};

// Asks for a vote that the request may run under its Idempotency-Key. It runs
// only with the votes of a majority of the voters, which are the members that
// have learned the claims granted before they joined.
struct ClaimRequest
{
  std::uint64_t epoch_ = 0;   // votes count only within one member set
  std::string key_;           // account and Idempotency-Key
  std::uint64_t request_ = 0; // id of the request at the sender
};

struct ClaimReply
{
  std::uint64_t epoch_ = 0;
  std::string key_;
  std::uint64_t request_ = 0;
  bool granted_ = false;
  bool held_ = false; // the voter has voted for another request
};

// Releases a claim whose request did not run and never will.
struct ClaimRelease
{
  std::string key_;
  std::uint64_t request_ = 0;
};

// Requests the claims that a voter holds. After each change of the member set
// an entry must collect them before it votes again, and a new member becomes a
// voter only after that.
struct ClaimSyncRequest
{
  std::uint64_t epoch_ = 0;
};

struct ClaimSyncReply
{
  std::uint64_t epoch_ = 0;
  std::vector<std::pair<std::string, std::string>> claims_; // key, holder
};

// Names the VMs of a pool that are taken for maintenance. The receiver starts
// no request there and answers how many it still runs on them. The planner of
// the pool repeats it for as long as the wave lasts. With no VMs it says that
// none is taken; that is repeated too, for entries that missed the wave's end.
struct WaveRequest
{
  std::string pool_;
  std::uint64_t epoch_ = 0;
  std::int64_t revision_ = 0; // of the wave's record in the store
  std::vector<std::string> vms_;
};

struct WaveReply
{
  std::string pool_;
  std::uint64_t epoch_ = 0;
  std::int64_t revision_ = 0;
  std::map<std::string, int> running_; // by VM; those with none are left out
};

// The sender is shutting down and must be sent nothing more.
struct Goodbye
{};

// The index of a type in this list is its number on the wire: append only.
using PeerMessage = std::variant<Heartbeat,
                                 HeartbeatAck,
                                 Prepare,
                                 PrepareAck,
                                 Abort,
                                 ConfigRequest,
                                 ConfigReply,
                                 ConfigAck,
                                 PermitRequest,
                                 SlotRequest,
                                 PermitTransfer,
                                 PermitReceipt,
                                 AuditRequest,
                                 AuditReply,
                                 LedgerUpdate,
                                 ClaimRequest,
                                 ClaimReply,
                                 ClaimRelease,
                                 ClaimSyncRequest,
                                 ClaimSyncReply,
                                 WaveRequest,
                                 WaveReply,
                                 Goodbye>;

} // namespace cuminbridge::forwarder

#endif // cuminbridge_model_h
