// Internal: everything one entry knows, as plain structs.
//
// Each part has its own module with the functions that change it:
//   Agreement  agreement.h  which configuration is in force, and freshness
//   Proposal   proposal.h   a change of the head on its way
//   Permits    permits.h    who may run how much of an account's limit
//   Routing    routing.h    requests, pools, targets
//   Claims     claims.h     Idempotency-Keys
//   Waves      waves.h      maintenance of VMs
//   Fleet      fleet.h      what the platform's list says of VMs

#ifndef cuminbridge_core_entry_state_h
#define cuminbridge_core_entry_state_h

#include <deque>
#include <random>
#include <set>

#include <pcg_random.hpp>

#include "cuminbridge/core.h"
#include "peer_asks.h"
#include "records.h"

namespace cuminbridge::forwarder {

//-----------------------------------------------------------------------------
// [SECTION] Agreement
//-----------------------------------------------------------------------------

// A change that some entry may swap in at any moment. While it is here, only
// what both the configuration in force and this one allow may start.
struct PendingChange
{
  Prepare prepare_;
  ConfigPtr config_; // the configuration after it
  std::string proposer_;
  TimePoint since_;
};

struct PeerState
{
  std::string id_;
  std::uint64_t incarnation_ = 0;
  std::string address_;
  std::string dataCentre_;
  TimePoint heardAt_;
  TimePoint evidenceAt_;      // when the heartbeat was sent whose answer counts
  std::int64_t revision_ = 0; // last said to be in force there
  std::int64_t number_ = 0;   // the ticket of it
  bool isLeaving_ = false;
  std::map<std::string, AccountUse> accounts_; // as last heard
};

struct Agreement
{
  SnapshotPtr inForce_; // null until one is known
  std::vector<PendingChange> pending_;
  std::map<std::string, PeerState> peers_;             // by member id
  std::map<std::uint64_t, TimePoint> heartbeatSentAt_; // by sequence, last few
  std::uint64_t heartbeatSequence_ = 0;
  TimePoint nextHeartbeat_;
  TimePoint storeEvidenceAt_; // when the last good read of the head was sent
  TimePoint freshUntil_;      // nothing starts at or after this
  TimePoint knownSince_;      // when this entry first had a configuration
  TimePoint nextHeadRead_;
  TimePoint headReadSentAt_;
  TimePoint nextConfigAsk_;
  std::uint64_t headCall_ = 0; // store call under way, 0 if none
  bool isWholeRead_ = false;   // it reads all parts, not the head alone
  std::set<std::string> linked_;
};

//-----------------------------------------------------------------------------
// [SECTION] Proposal
//-----------------------------------------------------------------------------

enum class ProposalKind
{
  Ticket,  // an operator's ticket
  Members, // entries join or go
  Fence,   // no change of content: makes swaps on the old revision impossible
};

enum class ProposalPhase
{
  Reading,    // reading the head to build on
  Preparing,  // telling a majority
  Swapping,   // compare-and-swap sent
  Fencing,    // its answer was lost; making sure it can no longer come
  LookingUp,  // reading an older ticket's record, for a repeated filing
  Confirming, // accepted; waiting until a majority has it in force
};

struct Proposal
{
  ProposalKind kind_ = ProposalKind::Fence;
  ProposalPhase phase_ = ProposalPhase::Reading;
  std::string operation_;
  std::uint64_t filing_ = 0; // 0: nobody waits for an answer
  bool checkOnly_ = false;
  Ticket ticket_;
  SnapshotPtr base_; // null if the store has no head yet
  Prepare prepare_;
  ConfigPtr nextConfig_;
  std::set<std::string> acks_; // member ids
  std::set<std::string> confirmed_;
  std::int64_t acceptedRevision_ = 0;
  TimePoint startedAt_;
  TimePoint phaseAt_;
  TimePoint resendAt_;
  std::uint64_t call_ = 0;
  bool isWholeRead_ = false;     // reading all parts, not the head alone
  bool isSwapUncertain_ = false; // an earlier swap's answer was lost
  bool isJoin_ = false;
  bool isLeave_ = false;
  bool isPromotion_ = false;       // this entry becomes a voter
  std::set<std::string> removals_; // member ids
};

struct Proposals
{
  std::optional<Proposal> current_;
  std::deque<TicketFiled> waiting_;
  TimePoint nextMembersTry_;
  std::uint64_t nextOperation_ = 1;
  bool isLeft_ = false; // this entry has taken itself out of the members
};

//-----------------------------------------------------------------------------
// [SECTION] Permits
//-----------------------------------------------------------------------------

// Permits on their way to a peer. They are no longer ours, but until the
// receipt comes they are counted as ours in an audit.
struct Transfer
{
  PermitTransfer give_;
  std::string peer_;
  std::uint64_t incarnation_ = 0;
  TimePoint resendAt_;
};

struct AccountState
{
  std::string name_;
  int held_ = 0;    // permits here, in use or not
  int running_ = 0; // requests running, each uses one
  int waiting_ = 0;
  std::deque<TimePoint> quarantine_; // permits of requests that may still run
  int runningElsewhere_ = 0;
  int waitingElsewhere_ = 0;
  std::set<std::string> waitingPools_;
  AccountUse reported_; // in a heartbeat, last
  TimePoint nextAsk_;
  PeerAsks asks_;
};

struct Permits
{
  std::map<std::string, AccountState, std::less<>> accounts_;
  std::uint64_t epoch_ = 0; // HashMembers() of the members in force
  std::map<std::uint64_t, Transfer> transfers_;
  std::uint64_t nextTransfer_ = 1;
  std::string lastReported_; // account; the next heartbeat goes on after it
  std::map<std::string, std::set<std::uint64_t>> received_; // peer#incarnation
  std::map<std::string, std::uint64_t> receivedFloor_; // all up to it count
  LedgerUpdate ledger_;                                // as last heard
  bool isLedgerKnown_ = false;
  std::vector<std::string> ledgerMembers_; // "id#incarnation", from the store
  std::int64_t ledgerRevision_ = 0;
  TimePoint nextSpread_;
  TimePoint frozenUntil_; // an audit is counting: permits stay where they are
  // The steward's part.
  std::uint64_t call_ = 0;
  bool isSwapCall_ = false;
  bool isSwapLost_ = false;   // its answer was lost: it is sent again as it was
  bool wasSwapLost_ = false;  // some sending of it has an unknown outcome
  bool isLedgerRead_ = false; // the record at hand is the store's
  StoreSwap swap_;
  std::string swapOperation_;
  std::uint64_t swapIncarnation_ = 0;
  std::map<std::string, int> creditOnSwap_; // ours once the swap is known done
  std::map<std::string, int> burntOnSwap_;  // given up if it is done
  LedgerUpdate swapNote_;
  std::vector<std::string> swapMembers_;
  TimePoint nextStewardTurn_;
  std::uint64_t audit_ = 0; // number of the audit under way, 0 if none
  TimePoint auditUntil_;
  bool isAuditWanted_ = false; // permits may have been lost, or counted twice
  TimePoint nextAudit_;
  std::size_t auditTransfers_ = 0; // said by all to be on their way
  std::map<std::string, std::map<std::string, int>> auditReplies_;
  std::map<std::string, TimePoint> goneSince_; // ledger members not in force
};

//-----------------------------------------------------------------------------
// [SECTION] Routing
//-----------------------------------------------------------------------------

enum class RequestPhase
{
  Claiming, // waiting for the majority to grant its Idempotency-Key
  Waiting,  // in its pool's queue
  Running,  // sent, or being sent, to a target
};

struct Request
{
  RequestArrived arrived_;
  std::string account_; // empty for a caller without a key
  RequestPhase phase_ = RequestPhase::Waiting;
  TimePoint arrivedAt_;
  TimePoint startedAt_;
  std::string target_;
  std::vector<std::string> tried_; // targets that did not begin it
  int attempts_ = 0;
  bool isClaimed_ = false;
  bool mayHaveRun_ = false; // a try of it was broken off after its first byte
};

struct TargetState
{
  std::string address_;
  int running_ = 0;
  int mayRun_ = 0; // requests broken off there that may still run
  int slots_ = 0;  // this entry's part of the target's slots
  VmStatus status_ = VmStatus::Live;
  bool isOldScheduler_ = false;
  bool isInWave_ = false; // taken for maintenance
  int failuresInRow_ = 0;
  int ejections_ = 0;
  bool isEjected_ = false;
  bool isProbing_ = false;
  TimePoint ejectedUntil_;
};

// The requests of one account that wait for one pool, in order of arrival. Ids
// of requests that went away stay until they come to the front.
struct AccountQueue
{
  std::deque<RequestId> urgent_;
  std::deque<RequestId> normal_;
  int count_ = 0; // without those that went away
  int urgentInRow_ = 0;
};

struct PoolState
{
  PoolPtr config_;
  std::vector<TargetState*> targets_;
  std::map<std::string, AccountQueue>
    queues_; // by account, only those with work
  int ejected_ = 0;
  TimePoint nextSlotAsk_;
  PeerAsks slotAsks_;
};

struct Routing
{
  std::unordered_map<RequestId, Request> requests_;
  std::map<std::string, PoolState, std::less<>> pools_;
  std::unordered_map<std::string, TargetState> targets_; // by address
  // Requests broken off that may still run, and until when, by target.
  std::deque<std::pair<TimePoint, std::string>> brokenOff_;
  std::size_t waiting_ = 0;
  std::size_t running_ = 0;
  double retryCredit_ = 10; // so that the first failures can be retried
  pcg32 random_;
};

//-----------------------------------------------------------------------------
// [SECTION] Claims
//-----------------------------------------------------------------------------

// What this entry, as one vote, has granted.
struct ClaimRecord
{
  std::string holder_; // "member#incarnation#request"
  TimePoint since_;
};

// What this entry, as the claimant, has collected.
struct ClaimVotes
{
  RequestId request_ = 0;
  std::set<std::string> granted_;
  std::set<std::string> refused_;
  TimePoint since_;
  TimePoint resendAt_;
};

struct Claims
{
  std::unordered_map<std::string, ClaimRecord> records_;
  std::deque<std::pair<TimePoint, std::string>> byAge_;
  std::unordered_map<std::string, ClaimVotes> votes_; // by key
  bool isSynced_ = false; // knows what the voters in force have granted
  std::set<std::string> syncedFrom_;
  TimePoint nextSync_;
};

//-----------------------------------------------------------------------------
// [SECTION] Waves
//-----------------------------------------------------------------------------

// What the planner of a pool knows of the VMs taken there.
struct WaveState
{
  bool isRead_ = false; // the record at hand is the store's
  std::vector<WaveVm> taken_;
  std::int64_t revision_ = 0;
  std::vector<WaveVm> swapped_; // by the call under way
  std::uint64_t call_ = 0;
  bool isSwapCall_ = false;
  TimePoint nextAsk_;
  std::map<std::string, std::map<std::string, int>> replies_; // by member
  std::map<std::string, TimePoint> rebootedAt_; // VMs, last told to reboot
  std::map<std::string, TimePoint> takenAt_;
  std::string why_; // why nothing more is taken, for operators
};

// What this entry has been told about a pool's VMs by whoever plans it.
struct WaveNote
{
  std::int64_t revision_ = -1;
  std::set<std::string> vms_;
};

struct Waves
{
  std::map<std::string, WaveState> planned_; // pools this entry plans
  std::map<std::string, WaveNote> notes_;    // by pool
  TimePoint nextTurn_;
  // Until then a process that has gone may have work on any VM.
  TimePoint goneMayRunUntil_;
};

//-----------------------------------------------------------------------------
// [SECTION] Fleet, and the entry
//-----------------------------------------------------------------------------

struct Fleet
{
  std::unordered_map<std::string, VmState> vms_;
};

struct Shutdown
{
  bool isAsked_ = false;
  bool isAccepting_ = true;
  bool isExited_ = false;
  bool isIdle_ = false;
  TimePoint askedAt_;
  TimePoint idleAt_;
};

struct Entry
{
  EntryOptions options_;
  Agreement agreement_;
  Proposals proposals_;
  Permits permits_;
  Routing routing_;
  Claims claims_;
  Waves waves_;
  Fleet fleet_;
  Shutdown shutdown_;
  TimePoint startedAt_;
  std::uint64_t nextCall_ = 1;
  std::map<std::string, std::uint64_t> counts_;
};

// One event being reduced: the entry, the time, and where effects go.
struct Turn
{
  Entry& entry_;
  TimePoint now_;
  Effects& effects_;

  template<typename EffectType>
  void Emit(EffectType aEffect)
  {
    effects_.emplace_back(std::move(aEffect));
  }

  void Note(std::string aWhat, std::string aDetail)
  {
    Emit(LogNote{ std::move(aWhat), std::move(aDetail) });
  }
};

} // namespace cuminbridge::forwarder

#endif // cuminbridge_core_entry_state_h
