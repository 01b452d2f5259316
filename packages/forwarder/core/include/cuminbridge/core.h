// cuminbridge core: every decision of an entry, as one reducer over events.
// An entry is one process of the forwarder: it accepts callers' requests and
// forwards them to targets.
//
// How to use it:
//   1. Describe the entry with EntryOptions and call MakeEntry().
//   2. For each event (a request, a frame from a peer, an answer from the
//      store, a tick) call Reduce(entry, event, now, effects).
//   3. Carry out each effect, in order. Results come back as further events.
//   4. Read the state of the entry with the View functions.
//
// Reduce() does no I/O, starts no thread and reads no clock, so a test can
// replay races, message loss, pauses and outages as plain events. Event and
// effect types are plain structs. Nothing here is thread-safe: use one thread.
//
// Index of this file:
//   [SECTION] Options
//   [SECTION] Events: requests
//   [SECTION] Events: platform, peers, operators
//   [SECTION] Effects: requests
//   [SECTION] Effects: platform, peers, operators
//   [SECTION] The entry and its reducer
//   [SECTION] Views

#ifndef cuminbridge_core_h
#define cuminbridge_core_h

#include "cuminbridge/model.h"

namespace cuminbridge::forwarder {

//-----------------------------------------------------------------------------
// [SECTION] Options
//-----------------------------------------------------------------------------

// Options of an entry, fixed at its start. The defaults suit six entries in one
// region; the settings file overrides them.
struct EntryOptions
{
  Member self_;                    // id, incarnation, peer address, data centre
  std::vector<std::string> seeds_; // peer addresses to try first
  std::uint64_t randomSeed_ = 1;
  std::string oldScheduler_; // host:port, empty if there is none

  // How long evidence that the configuration is current stays valid. Nothing
  // starts on older evidence. Together with the time that a request may spend
  // between its decision and its first byte, this bounds how long a withdrawn
  // key still works.
  Duration evidenceLifetime_ = std::chrono::milliseconds(2500);
  Duration heartbeatInterval_ = std::chrono::milliseconds(500);
  // A member that sends no frame for this long is removed from the members.
  Duration memberTimeout_ = std::chrono::seconds(10);
  Duration runLimit_ = std::chrono::seconds(60);    // longest run of a request
  Duration queueTimeout_ = std::chrono::seconds(5); // longest time in a queue
  Duration filingLimit_ = std::chrono::seconds(8);  // to decide a filed ticket
  // A VM in maintenance for longer counts as stuck, and its pool's wave stops.
  Duration waveLimit_ = std::chrono::minutes(10);
  // Longest wait until a majority of the members acknowledges a Prepare.
  Duration prepareLimit_ = std::chrono::milliseconds(1500);
  // After a shutdown request: reports itself unready, but still accepts.
  Duration drainGrace_ = std::chrono::seconds(2);
  // How long a granted claim on an Idempotency-Key is remembered.
  Duration claimLifetime_ = std::chrono::minutes(10);

  int waveSize_ = 4;                  // most VMs of a pool in maintenance
  int slotsPerTarget_ = 8;            // requests running at once, fleet-wide
  int connectionsPerTarget_ = 64;     // upstream connections, fleet-wide
  std::size_t queueCapacity_ = 20000; // waiting requests at this entry
  int maxAttempts_ = 3;               // attempts per request
  double retryRatio_ = 0.1;           // retries allowed per new request
  int ejectAfter_ = 5;                // consecutive failures of a target
  double ejectShare_ = 0.34; // largest share of a pool's targets ejected
};

//-----------------------------------------------------------------------------
// [SECTION] Events: requests
//-----------------------------------------------------------------------------

using RequestId = std::uint64_t;

// A caller's request head has been read and is well-formed.
struct RequestArrived
{
  RequestId id_ = 0;
  std::string pool_;
  std::string keyHash_;        // HashKey() of the bearer key, empty if none
  std::string idempotencyKey_; // empty if none
  bool idempotent_ = false;    // its HTTP method is idempotent
  bool replayable_ = false;    // has no body, or the body is kept for a retry
  bool urgent_ = false;        // goes before other requests of its account
};

// The caller disconnected before its request was sent to a target. Once a
// request is sent, its answer is read to the end even if the caller has gone.
struct RequestCancelled
{
  RequestId id_ = 0;
};

// How an exchange with a target ended.
enum class ExchangeResult
{
  Answered, // the whole answer was read
  NotBegun, // no byte of the request can have reached the target
  Broken,   // bytes were sent, no whole answer came: outcome unknown
};

struct ExchangeEnded
{
  RequestId id_ = 0;
  ExchangeResult result_ = ExchangeResult::Answered;
  bool serverError_ = false;   // whole answer, with status 500 or above
  bool answerStarted_ = false; // part of the answer was sent to the caller
  bool isTooLate_ = false;     // NotBegun because startBy_ had passed
  bool isTimeout_ = false;     // Broken because the run limit passed
};

//-----------------------------------------------------------------------------
// [SECTION] Events: platform, peers, operators
//-----------------------------------------------------------------------------

// Drives everything that depends on time: time-outs, resends, heartbeats. Send
// one about every 50 ms.
struct Tick
{};

// A frame from a peer. Frames from an older incarnation of the sender are
// dropped.
struct PeerFrame
{
  std::string from_;              // member id
  std::uint64_t incarnation_ = 0; // of the sender's process
  std::string address_;           // the sender's peer address, host:port
  std::string dataCentre_;
  PeerMessage message_;
};

// One key of the store with the revision that last changed it.
struct StoreValue
{
  std::string key_;
  std::string value_;
  std::int64_t revision_ = 0;
};

enum class StoreStatus
{
  Ok,          // done
  Conflict,    // a comparison failed, nothing changed
  Unavailable, // the call failed and certainly changed nothing
  Lost,        // the answer was lost: it may take effect, now or later
};

// The answer to a StoreRead or StoreSwap.
struct StoreAnswer
{
  std::uint64_t call_ = 0; // as in the StoreRead or StoreSwap
  StoreStatus status_ = StoreStatus::Ok;
  std::int64_t revision_ = 0; // of the store when it answered
  std::vector<StoreValue> values_;
};

// An operator filed a ticket: a numbered change of the configuration.
struct TicketFiled
{
  std::uint64_t filing_ = 0; // id, repeated in the AnswerFiling
  std::string text_;
  bool checkOnly_ = false; // dry run: report the result, change nothing
};

enum class VmStatus
{
  Live,
  Leaving,
  Gone,
};

// One VM in the platform's list.
struct VmState
{
  std::string address_;
  VmStatus status_ = VmStatus::Live;
  std::string dataCentre_;
  std::string rack_;
  std::string lastOperation_; // id of the last finished reboot, or empty

  bool operator==(const VmState&) const = default;
};

// The platform's list was read. Holds only the VMs that changed since the last
// reading.
struct VmListRead
{
  std::vector<VmState> changed_;
};

// SIGTERM was received.
struct ShutdownRequested
{};

using Event = std::variant<Tick,
                           RequestArrived,
                           RequestCancelled,
                           ExchangeEnded,
                           PeerFrame,
                           StoreAnswer,
                           TicketFiled,
                           VmListRead,
                           ShutdownRequested>;

//-----------------------------------------------------------------------------
// [SECTION] Effects: requests
//-----------------------------------------------------------------------------

// Send the request to a target, but not after startBy_: report NotBegun then,
// because the evidence behind the decision expires at that time.
struct ForwardRequest
{
  RequestId id_ = 0;
  std::string target_; // VM address, or host:port of the old scheduler
  bool isOldScheduler_ = false;
  TimePoint startBy_;
};

// What is known about a request without an answer from a target.
enum class Outcome
{
  NotRun,  // no target has started it or ever will
  Unknown, // it may have run
};

struct RefuseRequest
{
  RequestId id_ = 0;
  int status_ = 0;
  Outcome outcome_ = Outcome::NotRun;
  std::string detail_;
  int retryAfterSeconds_ = 0; // 0: no Retry-After header
};

// One routing or placement decision, for the log.
struct LogDecision
{
  RequestId request_ = 0;
  std::string account_;
  std::string pool_;
  std::string target_; // empty if refused
  std::string reason_;
  int weighed_ = 0;            // candidate targets considered
  int waitedMilliseconds_ = 0; // time in the queue
};

//-----------------------------------------------------------------------------
// [SECTION] Effects: platform, peers, operators
//-----------------------------------------------------------------------------

// Read one key, or all keys with that prefix.
struct StoreRead
{
  std::uint64_t call_ = 0;
  std::string key_;
  bool isPrefix_ = false;
};

struct StoreCompare
{
  std::string key_;
  std::int64_t revision_ = 0; // expected last change; 0: key must not exist
};

struct StorePut
{
  std::string key_;
  std::string value_;
};

// Compare-and-swap: apply all puts and deletes if every comparison holds, else
// change nothing.
struct StoreSwap
{
  std::uint64_t call_ = 0;
  std::vector<StoreCompare> compares_;
  std::vector<StorePut> puts_;
  std::vector<std::string> deletes_;
};

struct SendPeer
{
  std::string address_;
  PeerMessage message_;
};

// Keep connections to exactly these peer addresses.
struct SetPeerLinks
{
  std::vector<std::string> addresses_;
};

// The answer to a TicketFiled.
struct AnswerFiling
{
  std::uint64_t filing_ = 0;
  int status_ = 0;          // HTTP status
  std::int64_t number_ = 0; // of the ticket
  std::string digest_;
  std::string message_;
  Findings findings_;
};

// Reboot a VM. The operation id makes the call idempotent.
struct RebootVm
{
  std::string address_;
  std::string operation_;
};

// Write one event to the operators' log.
struct LogMessage
{
  std::string event_; // name of the event
  std::string detail_;
};

// Accept no more callers. ExitProcess follows once all requests are answered,
// or after a time limit.
struct StopAccepting
{};

struct ExitProcess
{};

using Effect = std::variant<ForwardRequest,
                            RefuseRequest,
                            LogDecision,
                            StoreRead,
                            StoreSwap,
                            SendPeer,
                            SetPeerLinks,
                            AnswerFiling,
                            RebootVm,
                            LogMessage,
                            StopAccepting,
                            ExitProcess>;

using Effects = std::vector<Effect>;

//-----------------------------------------------------------------------------
// [SECTION] The entry and its reducer
//-----------------------------------------------------------------------------

struct Entry; // the state of one entry; see src/entry_state.h

struct EntryDeleter
{
  void operator()(Entry* aEntry) const;
};

using EntryPtr = std::unique_ptr<Entry, EntryDeleter>;

EntryPtr MakeEntry(const EntryOptions& aOptions, TimePoint aNow);

// Applies one event to the state and appends the effects to carry out.
void Reduce(Entry& aEntry,
            const Event& aEvent,
            TimePoint aNow,
            Effects& aEffects);

//-----------------------------------------------------------------------------
// [SECTION] Views
//-----------------------------------------------------------------------------

// Key in the store of an accepted ticket's record, which is a JSON object with
// the fields "digest" and "text".
std::string TicketKey(std::int64_t aNumber);

// This entry with its present incarnation. Every frame that it sends carries
// this id, incarnation, address and data centre.
const Member& ViewSelf(const Entry& aEntry);

// Reasons why the entry is not ready to serve; empty if it is ready.
std::vector<std::string> ViewUnreadyReasons(const Entry& aEntry,
                                            TimePoint aNow);

struct MemberView
{
  Member member_;
  std::int64_t revision_ = 0;     // in force there, as last reported
  std::int64_t number_ = 0;       // ticket in force there, as last reported
  int heardMillisecondsAgo_ = -1; // since its last frame; -1: none yet
};

struct InForceView
{
  std::int64_t number_ = 0;   // last ticket; 0: none
  std::int64_t revision_ = 0; // of the head record in the store
  std::string digest_;
  std::vector<std::string> pending_; // operations prepared, not yet decided
  int evidenceAgeMilliseconds_ = -1;
  std::vector<MemberView> members_;
};

InForceView ViewInForce(const Entry& aEntry, TimePoint aNow);

struct TargetView
{
  std::string address_;
  std::string state_; // "live", "leaving", "gone", "maintenance", "ejected"
  int running_ = 0;   // requests from this entry
  int slots_ = 0;     // this entry's share of the target's slots
};

struct PoolView
{
  PoolPtr pool_;
  int waiting_ = 0; // requests at this entry
  std::vector<TargetView> targets_;
};

std::vector<PoolView> ViewPools(const Entry& aEntry, TimePoint aNow);

struct AccountView
{
  AccountPtr account_;
  int held_ = 0;             // permits at this entry, in use or idle
  int running_ = 0;          // requests at this entry
  int waiting_ = 0;          // requests at this entry
  int runningElsewhere_ = 0; // as last reported by the other entries
  int issued_ = 0;           // most permits that can exist, fleet-wide
};

std::vector<AccountView> ViewAccounts(const Entry& aEntry, TimePoint aNow);

struct WaveView
{
  std::string pool_;
  std::int64_t round_ = 0;         // maintenance round of the pool's ticket
  std::vector<std::string> taken_; // VMs being drained or rebooted now
  std::vector<std::string> todo_;  // VMs not yet rebooted in this round
  std::string reason_;             // why no further VM is taken now
  bool isPlannedHere_ = false;     // reason_ is known only to the planner
};

std::vector<WaveView> ViewWaves(const Entry& aEntry, TimePoint aNow);

// Counters since the start and current totals, by name, for /metrics.
std::map<std::string, std::uint64_t> ViewCounts(const Entry& aEntry);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_core_h
