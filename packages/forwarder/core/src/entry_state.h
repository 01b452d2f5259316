// Internal: the state of one entry, as plain structs.
//
// Each part has its own module with the functions that change it:
//   Agreement  agreement.h  configuration in force, and evidence that it is
//                           current
//   Proposals  proposal.h   changes of the configuration or of the members
//   Permits    permits.h    account limits that hold across all entries
//              coordinator.h  the ledger of issued permits, and its audits
//   Routing    routing.h    requests, pools, targets
//   Claims     claims.h     at most one run per Idempotency-Key
//   Waves      waves.h      maintenance of VMs
//   Fleet      routing.h    the platform's list of VMs
//
// The head is the record in the store that names the ticket and the members in
// force. Its revision orders all configurations; see records.h.

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

// A prepared change that some entry may write to the store at any moment. While
// it is pending, only work that both this configuration and the one in force
// allow may start.
struct PendingChange
{
  Prepare prepare_;
  ConfigPtr config_;     // the configuration after the change
  std::string proposer_; // member id
  TimePoint since_;      // when this entry learned of it
};

struct PeerState
{
  std::string id_;
  std::uint64_t incarnation_ = 0;
  std::string address_;
  std::string dataCentre_;
  TimePoint lastHeardAt_;
  // Send time of the latest heartbeat whose answer showed that the peer knew
  // of nothing newer than this entry.
  TimePoint evidenceAt_;
  std::int64_t revision_ = 0; // in force there, as last reported
  std::int64_t number_ = 0;   // ticket in force there, as last reported
  bool isLeaving_ = false;    // it has sent a Goodbye
  std::map<std::string, AccountUse> accounts_; // by account, last reported
};

struct Agreement
{
  SnapshotPtr inForce_; // null until one is known
  std::vector<PendingChange> pending_;
  std::map<std::string, PeerState> peers_;             // by member id
  std::map<std::uint64_t, TimePoint> heartbeatSentAt_; // by sequence; latest
  std::uint64_t heartbeatSequence_ = 0;
  TimePoint nextHeartbeat_;
  TimePoint storeEvidenceAt_; // send time of the last read that found the head
                              // as it is here
  TimePoint freshUntil_;      // evidence expires; nothing starts from then on
  TimePoint firstConfigAt_;   // when this entry first had a configuration
  TimePoint nextHeadRead_;
  TimePoint headReadSentAt_;
  TimePoint nextConfigAsk_;
  std::uint64_t headCall_ = 0; // store call under way, 0 if none
  bool isWholeRead_ = false;   // that call reads all parts, not only the head
  std::set<std::string> linkedAddresses_; // peer addresses kept connected
};

//-----------------------------------------------------------------------------
// [SECTION] Proposal
//-----------------------------------------------------------------------------

enum class ProposalKind
{
  Ticket,  // an operator's ticket
  Members, // this entry joins, leaves or becomes a voter, or removes others
  Fence,   // rewrites the head unchanged: swaps that compare the old revision
           // can no longer succeed
};

enum class ProposalPhase
{
  Reading,    // reading the head that the change is based on
  Preparing,  // waiting for a majority to acknowledge the change
  Swapping,   // compare-and-swap sent
  Fencing,    // making sure that an earlier swap can no longer take effect
  LookingUp,  // reading an older ticket's record, for a repeated filing
  Confirming, // accepted; waiting until a majority has it in force
};

struct Proposal
{
  ProposalKind kind_ = ProposalKind::Fence;
  ProposalPhase phase_ = ProposalPhase::Reading;
  std::string operation_;
  std::uint64_t filing_ = 0; // 0: no operator waits for an answer
  bool checkOnly_ = false;   // dry run of a ticket
  Ticket ticket_;
  SnapshotPtr base_;           // what the change is based on; null: no head yet
  Prepare prepare_;            // as sent to the members
  ConfigPtr nextConfig_;       // the configuration after the change
  std::set<std::string> acks_; // ids of members that acknowledged it
  std::set<std::string> confirmed_;   // ids of members that have it in force
  std::int64_t acceptedRevision_ = 0; // of the head after the swap
  TimePoint startedAt_;
  TimePoint phaseAt_; // when the present phase began
  TimePoint resendAt_;
  std::uint64_t call_ = 0;   // last store call; 0: none, or it needs a retry
  bool isWholeRead_ = false; // reads all parts, not only the head
  bool isSwapUncertain_ = false; // the answer to an earlier swap was lost
  bool isJoin_ = false;
  bool isLeave_ = false;
  bool isPromotion_ = false;       // this entry becomes a voter
  std::set<std::string> removals_; // member ids
};

struct Proposals
{
  std::optional<Proposal> current_; // the one under way
  std::deque<TicketFiled> waiting_;
  TimePoint nextMembersTry_; // no members change or fence starts earlier
  std::uint64_t nextOperation_ = 1;
  bool hasLeft_ = false; // this entry has removed itself from the members
};

//-----------------------------------------------------------------------------
// [SECTION] Permits
//-----------------------------------------------------------------------------

// Permits or slots on their way to a peer. This entry has given them up, but
// audits count permits as held here until the receipt comes.
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
  int held_ = 0;    // permits here, in use or idle
  int running_ = 0; // requests running here; each uses one permit
  int waiting_ = 0; // requests waiting here
  // Permits of interrupted requests that may still run, each with the time at
  // which it becomes free.
  std::deque<TimePoint> quarantine_;
  int runningElsewhere_ = 0;           // sum of the peers' last reports
  int waitingElsewhere_ = 0;           // sum of the peers' last reports
  std::set<std::string> waitingPools_; // pools in which requests wait
  AccountUse reported_;                // use as last sent in a heartbeat
  TimePoint nextAsk_;                  // earliest time to ask peers again
  PeerRequests asks_;                  // peers that ask for permits
};

struct Permits
{
  std::map<std::string, AccountState, std::less<>> accounts_;
  std::uint64_t epoch_ = 0; // HashMembers() of the members in force
  std::map<std::uint64_t, Transfer> transfers_; // by id, without a receipt yet
  std::uint64_t nextTransfer_ = 1;
  std::string lastReported_; // account; the next heartbeat goes on after it
  // Transfers received, by sender as "id#incarnation": the latest ids, and a
  // high-water mark up to which every id counts as received.
  std::map<std::string, std::set<std::uint64_t>> received_;
  std::map<std::string, std::uint64_t> receivedUpTo_;
  LedgerUpdate ledger_; // as last read or heard
  bool isLedgerKnown_ = false;
  std::vector<std::string> ledgerMembers_; // "id#incarnation", from the store
  std::int64_t ledgerRevision_ = 0;        // of the store's record; 0: none
  TimePoint nextRebalance_;
  TimePoint frozenUntil_; // an audit runs: no permit moves before this time

  // Used by the coordinator.
  std::uint64_t call_ = 0;       // store call under way, 0 if none
  bool isSwapCall_ = false;      // that call is a swap, not a read
  bool isSwapResendDue_ = false; // the answer was lost: send swap_ again as is
  bool isSwapOutcomeUnknown_ = false; // an answer to swap_ was lost
  bool isLedgerCurrent_ = false;      // the ledger here is the store's record
  StoreSwap swap_;                    // the last swap
  std::string swapOperation_;         // id of the last swap, part of its record
  std::uint64_t swapIncarnation_ = 0; // of this entry when it sent the swap
  std::map<std::string, int> creditOnSwap_;  // permits gained if it succeeds
  std::map<std::string, int> retiredOnSwap_; // permits given up for it; they
                                             // come back if it fails
  LedgerUpdate ledgerAfterSwap_;
  std::vector<std::string> membersAfterSwap_;
  TimePoint nextCoordinatorTick_;
  std::uint64_t audit_ = 0;        // number of the audit under way, 0 if none
  TimePoint auditUntil_;           // replies after this time don't count
  bool isAuditNeeded_ = false;     // permits may be lost, or counted twice
  TimePoint nextAudit_;            // earliest start of another audit
  std::size_t auditTransfers_ = 0; // transfers on their way, from all replies
  // Permits by member id and account.
  std::map<std::string, std::map<std::string, int>> auditReplies_;
  // Processes in the ledger that are no longer members.
  std::map<std::string, TimePoint> departedSince_;
};

//-----------------------------------------------------------------------------
// [SECTION] Routing
//-----------------------------------------------------------------------------

enum class RequestPhase
{
  Claiming, // waiting for a majority to grant its Idempotency-Key
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
  std::vector<std::string> tried_; // targets of earlier attempts
  int attempts_ = 0;
  bool isClaimed_ = false;  // it holds a claim on its Idempotency-Key
  bool mayHaveRun_ = false; // an attempt broke off after its first byte
};

struct TargetState
{
  std::string address_;
  int running_ = 0;         // requests from this entry
  int possiblyRunning_ = 0; // interrupted requests that may still run there
  int slots_ = 0;           // this entry's share of the target's slots
  VmStatus status_ = VmStatus::Live;
  bool isOldScheduler_ = false;
  bool isInWave_ = false; // taken for maintenance
  int failuresInRow_ = 0;
  int ejections_ = 0;      // consecutive, for the back-off
  bool isEjected_ = false; // left out after consecutive failures
  bool isProbing_ = false; // a request tests whether it works again
  TimePoint ejectedUntil_; // from then on one request may probe it
};

// The requests of one account that wait for one pool, in order of arrival. The
// ids of cancelled requests stay until they reach the front, so that a
// cancellation takes constant time.
struct AccountQueue
{
  std::deque<RequestId> urgent_;
  std::deque<RequestId> normal_;
  int count_ = 0;       // without cancelled requests
  int urgentInRow_ = 0; // urgent requests started since the last normal one
};

struct PoolState
{
  PoolPtr config_;
  std::vector<TargetState*> targets_;
  std::map<std::string, AccountQueue> queues_; // by account; none is empty
  int ejected_ = 0;                            // of targets_
  TimePoint nextSlotAsk_; // earliest time to ask peers again
  PeerRequests slotAsks_; // peers that ask for slots
};

struct Routing
{
  std::unordered_map<RequestId, Request> requests_;
  std::map<std::string, PoolState, std::less<>> pools_;
  std::unordered_map<std::string, TargetState> targets_; // by address
  // Interrupted requests that may still run: until when, and on which target.
  std::deque<std::pair<TimePoint, std::string>> brokenOff_;
  std::size_t waiting_ = 0;
  std::size_t running_ = 0;
  // Retries allowed now. Starts above 0, so that the first failures can be
  // retried.
  double retryCredit_ = 10;
  pcg32 random_;
};

//-----------------------------------------------------------------------------
// [SECTION] Claims
//-----------------------------------------------------------------------------

// A vote that this entry has granted.
struct ClaimRecord
{
  std::string holder_; // "member#incarnation#request"
  TimePoint since_;
};

// The votes on a claim of this entry.
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
  std::unordered_map<std::string, ClaimRecord> records_; // by key
  std::deque<std::pair<TimePoint, std::string>> byAge_;  // keys, oldest first
  std::unordered_map<std::string, ClaimVotes> votes_;    // by key
  bool isSynced_ = false; // knows what the voters in force have granted
  std::set<std::string> syncedFrom_; // member ids whose claims were received
  TimePoint nextSync_;
};

//-----------------------------------------------------------------------------
// [SECTION] Waves
//-----------------------------------------------------------------------------

// The state that the planner of a pool keeps on its maintenance.
struct WaveState
{
  bool isRecordCurrent_ = false;     // taken_ is the store's record
  std::vector<WaveVm> taken_;        // VMs taken for maintenance
  std::int64_t revision_ = 0;        // of the store's record; 0: none
  std::vector<WaveVm> vmsAfterSwap_; // taken_ if the swap under way succeeds
  std::uint64_t call_ = 0;           // store call under way, 0 if none
  bool isSwapCall_ = false;          // that call is a swap, not a read
  TimePoint nextAsk_;
  // Requests still running, by member id and VM, for the present revision_.
  std::map<std::string, std::map<std::string, int>> replies_;
  std::map<std::string, TimePoint> rebootedAt_; // last reboot call, by VM
  std::map<std::string, TimePoint> takenAt_;    // by VM
  std::string reason_; // why no further VM is taken, for operators
};

// The VMs taken in a pool, as last announced by the pool's planner.
struct AnnouncedWave
{
  std::int64_t revision_ = -1; // of the wave's record; -1: none announced yet
  std::set<std::string> vms_;
};

struct Waves
{
  std::map<std::string, WaveState> planned_;       // pools this entry plans
  std::map<std::string, AnnouncedWave> announced_; // by pool
  TimePoint nextPlanning_;
  // A removed member may still have requests running on any VM until this time.
  TimePoint departedMayRunUntil_;
};

//-----------------------------------------------------------------------------
// [SECTION] Fleet, and the entry
//-----------------------------------------------------------------------------

struct Fleet
{
  std::unordered_map<std::string, VmState> vms_; // by address
};

struct Shutdown
{
  bool isRequested_ = false;
  bool isAccepting_ = true; // callers may still connect
  bool isExited_ = false;   // ExitProcess was emitted
  bool isIdle_ = false;     // no longer accepting, and all requests answered
  TimePoint requestedAt_;
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
  std::uint64_t nextCall_ = 1; // id of the next store call or audit
  std::map<std::string, std::uint64_t> counts_; // counters for /metrics
};

// Context in which one event is reduced: the entry, the time of the event, and
// the list to which effects are appended.
struct EventContext
{
  Entry& entry_;
  TimePoint now_;
  Effects& effects_;

  template<typename EffectType>
  void Emit(EffectType aEffect)
  {
    effects_.emplace_back(std::move(aEffect));
  }

  // Logs an event for operators.
  void Note(std::string aEvent, std::string aDetail)
  {
    Emit(LogMessage{ std::move(aEvent), std::move(aDetail) });
  }
};

} // namespace cuminbridge::forwarder

#endif // cuminbridge_core_entry_state_h
