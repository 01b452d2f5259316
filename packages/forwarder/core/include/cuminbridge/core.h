// cuminbridge core: every decision of an entry, as one reducer over events.
//
// How to use it:
//   1. Describe the entry with EntryOptions and call MakeEntry().
//   2. For whatever happens (a request, a frame from a peer, an answer of the
//      store, a tick) call Reduce(entry, event, now, effects).
//   3. Carry out each effect, in order. Answers come back as further events.
//   4. Read what the entry knows with the View functions.
//
// Reduce() does no I/O, starts no thread and reads no clock, so a test can
// replay races, losses, pauses and outages as plain events. Event and effect
// types are plain structs; nothing here is thread-safe, use one thread.
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

// What an entry is told at its start. Every field has a default that suits six
// entries in one region; settings override them.
struct EntryOptions
{
  Member self_;                    // id, incarnation, peer address, data centre
  std::vector<std::string> seeds_; // peer addresses to try first
  std::uint64_t randomSeed_ = 1;
  std::string oldScheduler_; // host:port, empty if there is none

  // How long evidence about the configuration counts. Nothing starts on older
  // evidence. With the time a request may spend between decision and first
  // byte it bounds how long a withdrawn key works.
  Duration evidenceLifetime_ = std::chrono::milliseconds(2500);
  Duration heartbeatInterval_ = std::chrono::milliseconds(500);
  Duration memberLapse_ = std::chrono::seconds(10); // silence before removal
  Duration runLimit_ = std::chrono::seconds(60);    // longest run of a request
  Duration queueLimit_ = std::chrono::seconds(5);   // longest wait for a place
  Duration filingLimit_ = std::chrono::seconds(8);  // longest filing
  Duration waveLimit_ = std::chrono::minutes(10);   // then a VM counts as stuck
  Duration prepareLimit_ = std::chrono::milliseconds(1500);
  Duration drainGrace_ = std::chrono::seconds(2); // not ready, still accepting
  Duration claimLifetime_ = std::chrono::minutes(10);

  int waveSize_ = 4;                  // most VMs of a pool taken at once
  int slotsPerTarget_ = 8;            // requests running at once, fleet-wide
  int connectionsPerTarget_ = 64;     // upstream connections, fleet-wide
  std::size_t queueCapacity_ = 20000; // waiting requests at this entry
  int maxAttempts_ = 3;               // tries of one request
  double retryRatio_ = 0.1;           // retries allowed for each first try
  int ejectAfter_ = 5;                // failures in a row
  double ejectShare_ = 0.34;          // most of a pool that may be ejected
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
  bool idempotent_ = false;    // by its method
  bool replayable_ = false;    // no body, or the body is at hand to send again
  bool urgent_ = false;        // goes first within its account's share
};

// The caller went away before its request was sent to a target. Once sent, a
// request is read to its end whether the caller is there or not.
struct RequestCancelled
{
  RequestId id_ = 0;
};

// How an exchange with a target ended.
enum class ExchangeResult
{
  Answered, // whole answer read
  NotBegun, // no byte of the request can have reached the target
  Broken,   // bytes went out and no whole answer came: outcome unknown
};

struct ExchangeEnded
{
  RequestId id_ = 0;
  ExchangeResult result_ = ExchangeResult::Answered;
  bool serverError_ = false;   // a whole answer, with status 500 or above
  bool answerStarted_ = false; // part of an answer has gone to the caller
  bool isTooLate_ = false;     // not begun because startBy_ had passed
  bool isTimeout_ = false;     // broken because the run limit passed
};

//-----------------------------------------------------------------------------
// [SECTION] Events: platform, peers, operators
//-----------------------------------------------------------------------------

// Time went by. Send it every 50 ms or so; nothing is decided without it.
struct Tick
{};

// A frame from a peer. Frames of one sender's older incarnations are dropped.
struct PeerFrame
{
  std::string from_;              // member id
  std::uint64_t incarnation_ = 0; // of the sender's process
  std::string address_;           // where the sender listens for peers
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
  Unavailable, // it certainly changed nothing
  Lost,        // it may have changed something, now or later
};

// The answer to a StoreRead or StoreSwap.
struct StoreAnswer
{
  std::uint64_t call_ = 0;
  StoreStatus status_ = StoreStatus::Ok;
  std::int64_t revision_ = 0; // of the store when it answered
  std::vector<StoreValue> values_;
};

// An operator filed a ticket.
struct TicketFiled
{
  std::uint64_t filing_ = 0;
  std::string text_;
  bool checkOnly_ = false; // say what would happen, change nothing
};

enum class VmStatus
{
  Live,
  Leaving,
  Gone,
};

// What the platform's list says of one VM.
struct VmState
{
  std::string address_;
  VmStatus status_ = VmStatus::Live;
  std::string dataCentre_;
  std::string rack_;
  std::string lastOperation_; // id of the last reboot it finished

  bool operator==(const VmState&) const = default;
};

// The platform's list was read; only VMs that changed since the last reading.
struct VmListRead
{
  std::vector<VmState> changed_;
};

// SIGTERM came.
struct ShutdownAsked
{};

using Event = std::variant<Tick,
                           RequestArrived,
                           RequestCancelled,
                           ExchangeEnded,
                           PeerFrame,
                           StoreAnswer,
                           TicketFiled,
                           VmListRead,
                           ShutdownAsked>;

//-----------------------------------------------------------------------------
// [SECTION] Effects: requests
//-----------------------------------------------------------------------------

// Send the request to a target. Do not send it later than startBy_: report
// NotBegun instead, because the decision rests on evidence that ends then.
struct ForwardRequest
{
  RequestId id_ = 0;
  std::string target_; // VM address, or host:port of the old scheduler
  bool isOldScheduler_ = false;
  TimePoint startBy_;
};

// What is certain about a request that has no target's answer.
enum class Outcome
{
  NotRun,  // no target can have begun it, now or later
  Unknown, // it may have run
};

struct RefuseRequest
{
  RequestId id_ = 0;
  int status_ = 0;
  Outcome outcome_ = Outcome::NotRun;
  std::string detail_;
  int retryAfterSeconds_ = 0; // 0: say nothing of it
};

// One routing or placement decision, for the log.
struct LogDecision
{
  RequestId request_ = 0;
  std::string account_;
  std::string pool_;
  std::string target_; // empty if refused
  std::string why_;
  int weighed_ = 0; // targets looked at
  int waited_ = 0;  // milliseconds in the queue
};

//-----------------------------------------------------------------------------
// [SECTION] Effects: platform, peers, operators
//-----------------------------------------------------------------------------

// Read one key, or all keys that start with it.
struct StoreRead
{
  std::uint64_t call_ = 0;
  std::string key_;
  bool isPrefix_ = false;
};

struct StoreCompare
{
  std::string key_;
  std::int64_t revision_ = 0; // expected last change; 0: the key is not there
};

struct StorePut
{
  std::string key_;
  std::string value_;
};

// Change all, if every comparison holds; else nothing.
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

// Keep links to just these peer addresses.
struct KeepLinks
{
  std::vector<std::string> addresses_;
};

// The answer to a TicketFiled, as HTTP status and text.
struct AnswerFiling
{
  std::uint64_t filing_ = 0;
  int status_ = 0;
  std::int64_t number_ = 0;
  std::string digest_;
  std::string message_;
  Findings findings_;
};

// Reboot a VM. The operation id makes a repeat harmless.
struct RebootVm
{
  std::string address_;
  std::string operation_;
};

// Something operators should find in the log.
struct LogNote
{
  std::string what_;
  std::string detail_;
};

// Accept no more callers; then, when all is answered, leave.
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
                            KeepLinks,
                            AnswerFiling,
                            RebootVm,
                            LogNote,
                            StopAccepting,
                            ExitProcess>;

using Effects = std::vector<Effect>;

//-----------------------------------------------------------------------------
// [SECTION] The entry and its reducer
//-----------------------------------------------------------------------------

struct Entry; // everything one entry knows; see src/entry_state.h

struct EntryDeleter
{
  void operator()(Entry* aEntry) const;
};

using EntryPtr = std::unique_ptr<Entry, EntryDeleter>;

EntryPtr MakeEntry(const EntryOptions& aOptions, TimePoint aNow);

// Takes one event into account and appends what is to be done about it.
void Reduce(Entry& aEntry,
            const Event& aEvent,
            TimePoint aNow,
            Effects& aEffects);

//-----------------------------------------------------------------------------
// [SECTION] Views
//-----------------------------------------------------------------------------

// The store's key of an accepted ticket's record: {"digest", "text"}, in JSON.
std::string TicketKey(std::int64_t aNumber);

// This entry with its present incarnation: whatever it sends bears these.
const Member& ViewSelf(const Entry& aEntry);

// Why the entry may not serve; empty if it may.
std::vector<std::string> ViewUnreadyReasons(const Entry& aEntry,
                                            TimePoint aNow);

struct MemberView
{
  Member member_;
  std::int64_t revision_ = 0; // what it said it has in force
  std::int64_t number_ = 0;
  int heardMillisecondsAgo_ = -1; // -1: not heard
};

struct InForceView
{
  std::int64_t number_ = 0;
  std::int64_t revision_ = 0;
  std::string digest_;
  std::vector<std::string> pending_; // operations announced, not yet resolved
  int evidenceAgeMilliseconds_ = -1;
  std::vector<MemberView> members_;
};

InForceView ViewInForce(const Entry& aEntry, TimePoint aNow);

struct TargetView
{
  std::string address_;
  std::string state_; // "live", "leaving", "gone", "ejected"
  int running_ = 0;   // from this entry
  int slots_ = 0;     // this entry's part of its slots
};

struct PoolView
{
  PoolPtr pool_;
  int waiting_ = 0;
  std::vector<TargetView> targets_;
};

std::vector<PoolView> ViewPools(const Entry& aEntry, TimePoint aNow);

struct AccountView
{
  AccountPtr account_;
  int held_ = 0; // permits at this entry
  int running_ = 0;
  int waiting_ = 0;
  int runningElsewhere_ = 0;
  int issued_ = 0; // permits that exist at most, fleet-wide
};

std::vector<AccountView> ViewAccounts(const Entry& aEntry, TimePoint aNow);

struct WaveView
{
  std::string pool_;
  std::int64_t round_ = 0;
  std::vector<std::string> taken_; // being drained or rebooted now
  std::vector<std::string> todo_;  // still to be taken in this round
  std::string why_;                // why nothing more is taken right now
  bool isPlannedHere_ = false;     // only the planner knows why_
};

std::vector<WaveView> ViewWaves(const Entry& aEntry, TimePoint aNow);

// Counts since the start, by name, for /metrics.
std::map<std::string, std::uint64_t> ViewCounts(const Entry& aEntry);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_core_h
