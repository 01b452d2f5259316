// cuminbridge model: the values that every other package speaks of.
//
// What a caller needs first: ParseTicket() reads a ticket, CheckTicket() lists
// all that is wrong with it, ApplyTicket() gives the configuration after it.
// Everything here is plain data without I/O; values are shared as pointers to
// const and never changed once built.
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

// Anything that tells the time. Programs pass BootClock, tests pass their own.
template<typename T>
concept ClockSource = requires(const T& aClock)
{
  {
    aClock.Now()
    } -> std::same_as<TimePoint>;
};

// Time since boot, counting suspension: a VM that was paused by its host sees
// on waking that its evidence is old. std::chrono::steady_clock would not.
struct BootClock
{
  TimePoint Now() const;
};

//-----------------------------------------------------------------------------
// [SECTION] Values: pools, accounts, members, configuration
//-----------------------------------------------------------------------------
// Values are never changed after they are built: they are shared as pointers
// to const and compared with ==.

// Which scheduler places work on the VMs of a pool during the year of overlap.
enum class Scheduler
{
  Cuminbridge, // this system
  Old,         // the old scheduler: requests are handed to it whole
};

// The whole state of one pool.
struct PoolConfig
{
  std::string name_;
  std::vector<std::string> vms_; // addresses, sorted, each in one pool only
  int minAvailable_ = 0;         // availability budget, in VMs
  bool open_ = false;            // open to callers without a key
  Scheduler scheduler_ = Scheduler::Cuminbridge;
  std::int64_t round_ = 0; // maintenance round that every VM has to have had
  std::int64_t changedIn_ = 0; // ticket that last changed it

  bool operator==(const PoolConfig&) const = default;
};

// The whole state of one account.
struct AccountConfig
{
  std::string name_;
  std::vector<std::string> keys_; // "sha256:" and 64 hex digits each, sorted
  int share_ = 1;                 // weight while capacity is short
  int limit_ = 0;                 // most requests running at once, fleet-wide
  std::int64_t changedIn_ = 0;    // ticket that last changed it
  std::int64_t loweredIn_ = 0;    // ticket that last lowered the limit

  bool operator==(const AccountConfig&) const = default;
};

using PoolPtr = std::shared_ptr<const PoolConfig>;
using AccountPtr = std::shared_ptr<const AccountConfig>;

// Everything that tickets have put in force, up to one number.
struct Config
{
  std::int64_t number_ = 0; // last accepted ticket; 0 before the first
  std::string digest_;      // SHA-256 of that ticket's text
  std::map<std::string, PoolPtr, std::less<>> pools_;
  std::map<std::string, AccountPtr, std::less<>> accounts_;
  std::unordered_map<std::string, std::string>
    accountOfKey_;                                        // key hash to account
  std::unordered_map<std::string, std::string> poolOfVm_; // address to pool
};

using ConfigPtr = std::shared_ptr<const Config>;

// Builds a Config from an older one and changed parts. Unchanged parts are
// shared with the older one, not copied.
class ConfigBuilder
{
public:
  ConfigBuilder() = default;
  explicit ConfigBuilder(const Config& aBase);

  ConfigBuilder& SetTicket(std::int64_t aNumber, std::string aDigest);
  ConfigBuilder& SetPool(PoolPtr aPool);
  ConfigBuilder& SetAccount(AccountPtr aAccount);
  ConfigPtr Build(); // makes the indexes

private:
  Config config_;
};

// One entry that has a vote. The id is tied to the address: a process started
// again at the same address keeps the id and takes a higher incarnation.
struct Member
{
  std::string id_;
  std::uint64_t incarnation_ = 0;
  std::string peerAddress_; // host:port where it listens for peers
  std::string dataCentre_;
  bool isVoter_ = false; // may vote on Idempotency-Keys; see ClaimAsk

  auto operator<=>(const Member&) const = default;
};

// The head record of the store at one revision: the configuration in force and
// the members whose majority must know of the next change before it is swapped.
struct Snapshot
{
  std::int64_t revision_ = 0;   // the store's modification revision of the head
  std::vector<Member> members_; // sorted by id
  ConfigPtr config_;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

// One number for a set of members with their incarnations. Permits move only
// between entries that agree on it.
std::uint64_t HashMembers(const std::vector<Member>& aMembers);

//-----------------------------------------------------------------------------
// [SECTION] Tickets
//-----------------------------------------------------------------------------

// A ticket as filed: the whole new state of the pools and accounts it names.
struct Ticket
{
  std::int64_t number_ = 0;
  std::string digest_; // SHA-256 of the text, hex
  std::string text_;
  std::vector<PoolConfig> pools_;
  std::vector<AccountConfig> accounts_;
  std::map<std::string, Place> places_; // key to where it stands, for findings
};

// Most pools and accounts that one ticket may name: the whole ticket goes to
// the store in one transaction, and the store bounds its operations.
inline constexpr std::size_t kMaxTicketParts = 100;

// Longest ticket text, in bytes.
inline constexpr std::size_t kMaxTicketBytes = 512 * 1024;

// Reads a ticket. On failure the LEAF error carries Findings, all of them.
boost::leaf::result<Ticket> ParseTicket(std::string_view aText);

// Checks a ticket against the configuration it would change. Empty if it may
// be accepted. The number is not looked at.
Findings CheckTicket(const Ticket& aTicket, const Config& aBase);

// The configuration after the ticket.
ConfigPtr ApplyTicket(const Ticket& aTicket, const Config& aBase);

// SHA-256 of a text as 64 hex digits.
std::string Sha256Hex(std::string_view aText);

// The form in which a key is kept and compared: "sha256:" and hex digits. Only
// hashes are ever looked up, so the time of a lookup says nothing of the key.
std::string HashKey(std::string_view aClearKey);

// JSON of the values, for the store and for peer frames.
void to_json(nlohmann::json& aJson, const PoolConfig& aPool);
void from_json(const nlohmann::json& aJson, PoolConfig& aPool);
void to_json(nlohmann::json& aJson, const AccountConfig& aAccount);
void from_json(const nlohmann::json& aJson, AccountConfig& aAccount);
void to_json(nlohmann::json& aJson, const Member& aMember);
void from_json(const nlohmann::json& aJson, Member& aMember);

//-----------------------------------------------------------------------------
// [SECTION] Messages between entries
//-----------------------------------------------------------------------------

// What one entry uses and wants of one account's limit.
struct AccountUse
{
  int idle_ = 0;    // permits held and not in use
  int running_ = 0; // requests running
  int waiting_ = 0; // requests waiting

  bool operator==(const AccountUse&) const = default;
};

// "I am here; answer me." Sent to each peer every heartbeat interval. What it
// tells of accounts are hints: some of the accounts whose use has changed.
struct Heartbeat
{
  std::uint64_t sequence_ = 0;
  std::map<std::string, AccountUse> accounts_;
};

// The answer: what the peer had in force, and what it knew to be coming, when
// it answered. It is evidence about the moment the heartbeat was *sent*.
struct HeartbeatAck
{
  std::uint64_t sequence_ = 0;
  std::int64_t revision_ = 0;
  std::int64_t number_ = 0;          // ticket in force
  std::vector<std::string> pending_; // operations prepared and not resolved
};

// A change of configuration or members, as the difference from an older one.
struct ConfigDelta
{
  std::int64_t revision_ = 0; // 0 while the change is only proposed
  std::int64_t number_ = 0;
  std::int64_t sinceNumber_ = 0; // parts changed after this ticket are here
  std::string digest_;
  std::vector<Member> members_;
  std::vector<PoolConfig> pools_;
  std::vector<AccountConfig> accounts_;
};

// "This change may be swapped in at any moment now; do not act against it."
struct Prepare
{
  std::string operation_;
  std::int64_t baseRevision_ = 0;
  ConfigDelta change_;
};

struct PrepareAck
{
  std::string operation_;
  bool accepted_ = false;
  std::int64_t revision_ = 0; // what the answering entry has in force
};

// "The change I announced can never come." Only said when that is certain.
struct Abort
{
  std::string operation_;
};

// "Send me what I lack."
struct ConfigAsk
{
  std::int64_t haveRevision_ = 0;
  std::int64_t haveNumber_ = -1;
};

// Configuration in force at the sender, and changes prepared there.
struct ConfigReply
{
  ConfigDelta inForce_;
  std::vector<Prepare> pending_;
};

struct ConfigAck
{
  std::int64_t revision_ = 0;
};

// "I have work of this account waiting; give me permits that lie idle."
struct PermitAsk
{
  std::string account_;
  int count_ = 0;
};

// "I have work waiting for this pool; give me slots that lie idle."
struct SlotAsk
{
  std::string pool_;
  int count_ = 0;
};

// Permits or slots handed over. The sender has given them up before sending;
// it sends again until a receipt comes, and the receiver counts each transfer
// once.
struct PermitGive
{
  std::uint64_t transfer_ = 0;
  std::uint64_t epoch_ = 0;          // HashMembers() at the sender
  std::string account_;              // of permits; empty if these are slots
  int count_ = 0;                    // permits
  std::map<std::string, int> slots_; // slots by VM
};

struct PermitReceipt
{
  std::uint64_t transfer_ = 0;
  bool accepted_ = false;
};

// "Count your permits and move none for a while": asked by the coordinator
// after an entry has gone.
struct AuditAsk
{
  std::uint64_t epoch_ = 0;
  std::uint64_t audit_ = 0;
};

struct AuditReply
{
  std::uint64_t audit_ = 0;
  std::map<std::string, int> held_; // with transfers on their way
  int transfers_ = 0; // how many are on their way: they may count twice
};

// How many permits exist at most, by account, as of a configuration number.
struct LedgerNote
{
  std::int64_t revision_ = 0;
  std::int64_t number_ = 0;
  std::map<std::string, int> issued_;
};

// "May this request run under its Idempotency-Key?" Needs a majority of the
// voters: the members that have learned what was granted before they came.
struct ClaimAsk
{
  std::uint64_t epoch_ = 0; // votes count only within one set of members
  std::string key_;         // account and Idempotency-Key
  std::uint64_t request_ = 0;
};

struct ClaimReply
{
  std::uint64_t epoch_ = 0;
  std::string key_;
  std::uint64_t request_ = 0;
  bool granted_ = false;
  bool held_ = false; // another request holds the claim, for good
};

// Gives a claim back: its request did not run and never will.
struct ClaimRelease
{
  std::string key_;
  std::uint64_t request_ = 0;
};

// After any change of members an entry asks for the claims the voters hold
// before it votes on another. A new member becomes a voter only after that.
struct ClaimSyncAsk
{
  std::uint64_t epoch_ = 0;
};

struct ClaimSyncReply
{
  std::uint64_t epoch_ = 0;
  std::vector<std::pair<std::string, std::string>> claims_; // key, holder
};

// "These VMs of the pool are taken for maintenance; start nothing there. What
// do you still run on them?" The planner of the pool repeats it all the while.
struct WaveAsk
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
  std::map<std::string, int> running_; // by VM, only non-zero
};

// "I am shutting down: send me nothing more."
struct Goodbye
{};

using PeerMessage = std::variant<Heartbeat,
                                 HeartbeatAck,
                                 Prepare,
                                 PrepareAck,
                                 Abort,
                                 ConfigAsk,
                                 ConfigReply,
                                 ConfigAck,
                                 PermitAsk,
                                 SlotAsk,
                                 PermitGive,
                                 PermitReceipt,
                                 AuditAsk,
                                 AuditReply,
                                 LedgerNote,
                                 ClaimAsk,
                                 ClaimReply,
                                 ClaimRelease,
                                 ClaimSyncAsk,
                                 ClaimSyncReply,
                                 WaveAsk,
                                 WaveReply,
                                 Goodbye>;

} // namespace cuminbridge::forwarder

#endif // cuminbridge_model_h
