// Requests from their arrival to their completion or refusal. Targets are
// chosen in placement.cpp; permits are in permits.cpp.

#include "routing.h"

#include <algorithm>

#include "admission.h"
#include "agreement.h"
#include "claims.h"
#include "permits.h"
#include "placement.h"
#include "queues.h"
#include "slots.h"

namespace cuminbridge::forwarder {

namespace {

constexpr int kRetryAfterSeconds = 1;   // Retry-After header of refusals
constexpr double kMaxRetryCredit = 100; // one retry costs 1

int
ToMilliseconds(Duration aDuration)
{
  return static_cast<int>(
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count());
}

//-----------------------------------------------------------------------------
// [SECTION] Refusing
//-----------------------------------------------------------------------------

void
RefuseNew(EventContext& aContext,
          const RequestArrived& aArrived,
          int aStatus,
          const std::string& aDetail,
          int aRetryAfter = 0)
{
  ++aContext.entry_.counts_["requests_refused"];
  aContext.Emit(
    LogDecision{ aArrived.id_, "", aArrived.pool_, "", aDetail, 0, 0 });
  aContext.Emit(RefuseRequest{
    aArrived.id_, aStatus, Outcome::NotRun, aDetail, aRetryAfter });
}

// Refuses a request that is recorded in requests_ and is in no queue, and
// removes it from there.
void
RefuseTracked(EventContext& aContext,
              Request& aRequest,
              int aStatus,
              Outcome aOutcome,
              const std::string& aDetail,
              int aRetryAfter = 0)
{
  const RequestId id = aRequest.arrived_.id_;
  if (aRequest.mayHaveRun_ && aOutcome == Outcome::NotRun) {
    // An earlier attempt may have run on its target, so the outcome stays
    // unknown whatever the reason for this refusal.
    constexpr int kGatewayTimeout = 504;
    aStatus = kGatewayTimeout;
    aOutcome = Outcome::Unknown;
  }
  ++aContext.entry_.counts_[aOutcome == Outcome::NotRun ? "requests_refused"
                                                        : "requests_unknown"];
  LogDecision log;
  log.request_ = id;
  log.account_ = aRequest.account_;
  log.pool_ = aRequest.arrived_.pool_;
  log.reason_ = aDetail;
  log.waitedMilliseconds_ = ToMilliseconds(aContext.now_ - aRequest.arrivedAt_);
  aContext.Emit(std::move(log));
  aContext.Emit(RefuseRequest{ id, aStatus, aOutcome, aDetail, aRetryAfter });
  if (aRequest.isClaimed_ && aOutcome == Outcome::NotRun) {
    ReleaseClaim(aContext, aRequest);
  }
  aContext.entry_.routing_.requests_.erase(id);
}

//-----------------------------------------------------------------------------
// [SECTION] Dispatch
//-----------------------------------------------------------------------------

bool
HasPermit(EventContext& aContext, const std::string& aAccount)
{
  if (aAccount.empty()) {
    return true; // a caller of an open pool has no account and no limit
  }
  AccountState& account = FindOrCreateAccount(aContext.entry_, aAccount);
  if (IdlePermits(account) == 0) {
    RequestPermits(aContext, account);
    return false;
  }
  return !IsAccountBlocked(aContext.entry_, aAccount);
}

// Requests that an account runs on all entries, divided by its share. The
// account with the smallest value is next in order; callers without an account
// count as 0.
double
NormalizedUse(Entry& aEntry, const std::string& aAccount)
{
  if (aAccount.empty()) {
    return 0;
  }
  const auto& accounts = aEntry.agreement_.inForce_->config_->accounts_;
  const auto config = accounts.find(aAccount);
  const int share = config == accounts.end() ? 1 : config->second->share_;
  const AccountState& account = FindOrCreateAccount(aEntry, aAccount);
  return static_cast<double>(account.running_ + account.runningElsewhere_) /
         share;
}

// The waiting account with the smallest NormalizedUse() among those that have a
// permit and are not in aSkip; end() if there is none.
auto
NextAccount(EventContext& aContext,
            PoolState& aPool,
            const std::set<std::string>& aSkip)
{
  auto best = aPool.queues_.end();
  double bestUse = 0;
  for (auto it = aPool.queues_.begin(); it != aPool.queues_.end(); ++it) {
    if (aSkip.contains(it->first) || !HasPermit(aContext, it->first)) {
      continue;
    }
    const double use = NormalizedUse(aContext.entry_, it->first);
    if (best == aPool.queues_.end() || use < bestUse) {
      best = it;
      bestUse = use;
    }
  }
  return best;
}

void
StartRequest(EventContext& aContext,
             Request& aRequest,
             const TargetChoice& aChoice)
{
  Entry& entry = aContext.entry_;
  RecordDequeued(aContext, aRequest);
  TargetState& target = *aChoice.target_;
  aRequest.phase_ = RequestPhase::Running;
  aRequest.target_ = target.address_;
  aRequest.startedAt_ = aContext.now_;
  ++aRequest.attempts_;
  ++target.running_;
  target.isProbing_ |= aChoice.isProbe_;
  ++entry.routing_.running_;
  if (!aRequest.account_.empty()) {
    ++FindOrCreateAccount(entry, aRequest.account_).running_;
  }
  LogDecision log;
  log.request_ = aRequest.arrived_.id_;
  log.account_ = aRequest.account_;
  log.pool_ = aRequest.arrived_.pool_;
  log.target_ = target.address_;
  log.reason_ = aChoice.isProbe_ ? "probe" : "least loaded";
  log.weighed_ = aChoice.candidates_;
  log.waitedMilliseconds_ = ToMilliseconds(aContext.now_ - aRequest.arrivedAt_);
  aContext.Emit(std::move(log));
  aContext.Emit(ForwardRequest{ aRequest.arrived_.id_,
                                target.address_,
                                target.isOldScheduler_,
                                entry.agreement_.freshUntil_ });
}

// False if the key was withdrawn, or the pool closed to callers without a key,
// while the request waited.
bool
IsStillAllowed(EventContext& aContext, const Request& aRequest)
{
  if (aRequest.account_.empty()) {
    return IsPoolOpen(aContext.entry_, aRequest.arrived_.pool_);
  }
  return AccountOfKey(aContext.entry_, aRequest.arrived_.keyHash_) ==
         aRequest.account_;
}

// Starts the next request of an account, or refuses it if its key was
// withdrawn. False if none waits or no target can take it.
bool
StartNextRequest(EventContext& aContext, PoolState& aPool, AccountQueue& aQueue)
{
  auto* ids = FindNextIdQueue(aContext.entry_, aQueue);
  if (ids == nullptr) {
    return false;
  }
  Request& request = *FindWaiting(aContext.entry_, ids->front());
  if (!IsStillAllowed(aContext, request)) {
    ids->pop_front();
    RecordDequeued(aContext, request);
    RefuseTracked(
      aContext, request, 401, Outcome::NotRun, "the key was withdrawn");
    return true;
  }
  const TargetChoice choice = ChooseTarget(aContext, aPool, request);
  if (choice.target_ == nullptr) {
    AskForSlots(aContext, aPool);
    return false;
  }
  const bool isUrgent = ids == &aQueue.urgent_;
  aQueue.urgentInRow_ = isUrgent ? aQueue.urgentInRow_ + 1 : 0;
  ids->pop_front();
  StartRequest(aContext, request, choice);
  return true;
}

//-----------------------------------------------------------------------------
// [SECTION] Completion and retries
//-----------------------------------------------------------------------------

// Removes a request that has ended from the counts of running ones. If it was
// broken off and may still run on the target, it uses its permit and counts on
// the target for another runLimit_.
void
RecordRunEnded(EventContext& aContext,
               const Request& aRequest,
               bool aMayStillRun)
{
  Entry& entry = aContext.entry_;
  --entry.routing_.running_;
  const auto target = entry.routing_.targets_.find(aRequest.target_);
  if (target != entry.routing_.targets_.end()) {
    --target->second.running_;
    if (aMayStillRun) {
      ++target->second.possiblyRunning_;
      entry.routing_.brokenOff_.emplace_back(
        aContext.now_ + entry.options_.runLimit_, aRequest.target_);
    }
  }
  if (aRequest.account_.empty()) {
    return;
  }
  AccountState& account = FindOrCreateAccount(entry, aRequest.account_);
  --account.running_;
  if (aMayStillRun) {
    // The target's lease on the request expires with the run limit at the
    // latest. The permit stays in use for that long.
    account.quarantine_.push_back(aContext.now_ + entry.options_.runLimit_);
  } else {
    OnPermitFreed(aContext, account);
  }
}

// True if the request may be sent again; this spends one retry credit.
bool
MayRetry(EventContext& aContext,
         const Request& aRequest,
         const ExchangeEnded& aEnded)
{
  Entry& entry = aContext.entry_;
  const RequestArrived& arrived = aRequest.arrived_;
  const bool isSafe = aEnded.result_ == ExchangeResult::NotBegun ||
                      (aEnded.result_ == ExchangeResult::Broken &&
                       arrived.idempotent_ && !aEnded.answerStarted_);
  // A request that has not begun can be sent again even if it has a body: the
  // body is read only after a target was reached.
  const bool canResend =
    arrived.replayable_ || aEnded.result_ == ExchangeResult::NotBegun;
  if (!isSafe || !canResend ||
      aRequest.attempts_ >= entry.options_.maxAttempts_ ||
      aContext.now_ - aRequest.arrivedAt_ >= entry.options_.queueTimeout_ ||
      entry.routing_.retryCredit_ < 1 ||
      FindPool(entry, arrived.pool_) == nullptr) {
    return false;
  }
  entry.routing_.retryCredit_ -= 1;
  ++entry.counts_["retries"];
  return true;
}

void
RecordTargetOutcome(EventContext& aContext,
                    const Request& aRequest,
                    const ExchangeEnded& aEnded)
{
  auto& targets = aContext.entry_.routing_.targets_;
  const auto target = targets.find(aRequest.target_);
  if (target == targets.end()) {
    return;
  }
  if (aEnded.isTooLate_) {
    target->second.isProbing_ = false;
    return; // this entry was too slow to send it; the target did not fail
  }
  const bool isGood =
    aEnded.result_ == ExchangeResult::Answered && !aEnded.serverError_;
  if (isGood) {
    OnTargetSucceeded(aContext, target->second);
  } else if (aRequest.attempts_ <= 1 || target->second.isProbing_) {
    // A failed retry does not count against its target, unless it was a probe:
    // a request that fails on every target says nothing about the later ones.
    OnTargetFailed(aContext, target->second);
  }
}

void
RefuseAfterRun(EventContext& aContext,
               Request& aRequest,
               const ExchangeEnded& aEnded)
{
  if (aEnded.result_ == ExchangeResult::NotBegun) {
    RefuseTracked(aContext,
                  aRequest,
                  503,
                  Outcome::NotRun,
                  "no target could be reached",
                  kRetryAfterSeconds);
  } else if (aEnded.isTimeout_) {
    RefuseTracked(aContext,
                  aRequest,
                  504,
                  Outcome::Unknown,
                  "the target gave no whole answer within the run limit");
  } else {
    RefuseTracked(aContext,
                  aRequest,
                  502,
                  Outcome::Unknown,
                  "the target gave no whole answer");
  }
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Events
//-----------------------------------------------------------------------------

void
OnRequestArrived(EventContext& aContext, const RequestArrived& aArrived)
{
  Entry& entry = aContext.entry_;
  ++entry.counts_["requests_arrived"];
  if (entry.shutdown_.isIdle_) {
    RefuseNew(aContext, aArrived, 503, "shutting down", kRetryAfterSeconds);
    return;
  }
  if (!IsFresh(entry, aContext.now_)) {
    RefuseNew(aContext,
              aArrived,
              503,
              "this entry can't tell what is in force",
              kRetryAfterSeconds);
    return;
  }
  if (FindPool(entry, aArrived.pool_) == nullptr) {
    RefuseNew(aContext, aArrived, 404, "no such pool");
    return;
  }
  const std::string account = AccountOfKey(entry, aArrived.keyHash_);
  if (account.empty() && !IsPoolOpen(entry, aArrived.pool_)) {
    RefuseNew(aContext, aArrived, 401, "no account has this key");
    return;
  }
  if (entry.routing_.waiting_ >= entry.options_.queueCapacity_) {
    RefuseNew(aContext, aArrived, 429, "the queue is full", kRetryAfterSeconds);
    return;
  }
  Request& request = entry.routing_.requests_[aArrived.id_];
  request.arrived_ = aArrived;
  request.account_ = account;
  request.arrivedAt_ = aContext.now_;
  entry.routing_.retryCredit_ = std::min(
    kMaxRetryCredit, entry.routing_.retryCredit_ + entry.options_.retryRatio_);
  if (!aArrived.idempotencyKey_.empty()) {
    request.phase_ = RequestPhase::Claiming;
    StartClaim(aContext, request);
    return;
  }
  Enqueue(aContext, request, false);
  DispatchPool(aContext, *FindPool(entry, aArrived.pool_));
}

void
OnClaimGranted(EventContext& aContext, RequestId aRequest)
{
  auto& requests = aContext.entry_.routing_.requests_;
  const auto found = requests.find(aRequest);
  if (found == requests.end()) {
    return;
  }
  Request& request = found->second;
  request.isClaimed_ = true;
  PoolState* pool = FindPool(aContext.entry_, request.arrived_.pool_);
  if (pool == nullptr) {
    RefuseTracked(aContext, request, 404, Outcome::NotRun, "no such pool");
    return;
  }
  Enqueue(aContext, request, false);
  DispatchPool(aContext, *pool);
}

void
OnClaimRefused(EventContext& aContext, RequestId aRequest, bool aIsHeld)
{
  auto& requests = aContext.entry_.routing_.requests_;
  const auto found = requests.find(aRequest);
  if (found == requests.end()) {
    return;
  }
  if (aIsHeld) {
    RefuseTracked(aContext,
                  found->second,
                  409,
                  Outcome::Unknown,
                  "another request has this Idempotency-Key and may have run");
  } else {
    RefuseTracked(aContext,
                  found->second,
                  503,
                  Outcome::NotRun,
                  "no majority of the entries can vouch for this "
                  "Idempotency-Key",
                  kRetryAfterSeconds);
  }
}

void
OnRequestCancelled(EventContext& aContext, const RequestCancelled& aCancelled)
{
  auto& requests = aContext.entry_.routing_.requests_;
  const auto found = requests.find(aCancelled.id_);
  if (found == requests.end() ||
      found->second.phase_ == RequestPhase::Running) {
    return;
  }
  ++aContext.entry_.counts_["requests_cancelled"];
  if (found->second.phase_ == RequestPhase::Waiting) {
    RecordDequeued(aContext, found->second);
  }
  if (!found->second.arrived_.idempotencyKey_.empty()) {
    ReleaseClaim(aContext, found->second);
  }
  requests.erase(found);
}

void
OnExchangeEnded(EventContext& aContext, const ExchangeEnded& aEnded)
{
  Entry& entry = aContext.entry_;
  const auto found = entry.routing_.requests_.find(aEnded.id_);
  if (found == entry.routing_.requests_.end() ||
      found->second.phase_ != RequestPhase::Running) {
    return; // a late or duplicate event: the request has ended already
  }
  Request& request = found->second;
  const std::string pool = request.arrived_.pool_;
  const std::string account = request.account_;
  const std::string target = request.target_;
  request.mayHaveRun_ |= aEnded.result_ == ExchangeResult::Broken;
  RecordTargetOutcome(aContext, request, aEnded);
  RecordRunEnded(aContext, request, aEnded.result_ == ExchangeResult::Broken);
  if (aEnded.result_ == ExchangeResult::Answered) {
    ++entry.counts_["requests_answered"];
    entry.routing_.requests_.erase(found);
  } else if (MayRetry(aContext, request, aEnded)) {
    request.tried_.push_back(request.target_);
    Enqueue(aContext, request, true);
  } else {
    RefuseAfterRun(aContext, request, aEnded);
  }
  PoolState* poolState = FindPool(entry, pool);
  if (poolState != nullptr) {
    const auto freed = entry.routing_.targets_.find(target);
    if (freed != entry.routing_.targets_.end()) {
      OnSlotFreed(aContext, *poolState, freed->second);
    }
    DispatchPool(aContext, *poolState);
  }
  if (!account.empty()) {
    DispatchAccount(aContext, account);
  }
}

void
DispatchPool(EventContext& aContext, PoolState& aPool)
{
  if (aPool.queues_.empty() || !IsFresh(aContext.entry_, aContext.now_)) {
    return;
  }
  std::set<std::string> skip;
  for (auto next = NextAccount(aContext, aPool, skip);
       next != aPool.queues_.end();
       next = NextAccount(aContext, aPool, skip)) {
    const std::string account = next->first;
    if (!StartNextRequest(aContext, aPool, next->second)) {
      skip.insert(account);
    }
  }
}

void
DispatchAccount(EventContext& aContext, const std::string& aAccount)
{
  const std::set<std::string> pools =
    FindOrCreateAccount(aContext.entry_, aAccount).waitingPools_;
  for (const std::string& name : pools) {
    PoolState* pool = FindPool(aContext.entry_, name);
    if (pool != nullptr) {
      DispatchPool(aContext, *pool);
    }
  }
}

void
DispatchAll(EventContext& aContext)
{
  for (auto& [name, pool] : aContext.entry_.routing_.pools_) {
    DispatchPool(aContext, pool);
  }
}

void
TickRouting(EventContext& aContext)
{
  Entry& entry = aContext.entry_;
  auto& brokenOff = entry.routing_.brokenOff_;
  while (!brokenOff.empty() && brokenOff.front().first <= aContext.now_) {
    --entry.routing_.targets_.at(brokenOff.front().second).possiblyRunning_;
    brokenOff.pop_front();
  }
  std::vector<RequestId> timedOut;
  for (auto& [name, pool] : entry.routing_.pools_) {
    for (auto& [account, queue] : pool.queues_) {
      for (const auto* ids : { &queue.urgent_, &queue.normal_ }) {
        for (const RequestId id : *ids) {
          const Request* request = FindWaiting(entry, id);
          if (request == nullptr) {
            continue;
          }
          if (aContext.now_ - request->arrivedAt_ <
              entry.options_.queueTimeout_) {
            break; // the requests behind it arrived later
          }
          timedOut.push_back(id);
        }
      }
    }
  }
  for (const RequestId id : timedOut) {
    Request& request = *FindWaiting(entry, id);
    const bool isLimited =
      !request.account_.empty() &&
      IdlePermits(FindOrCreateAccount(entry, request.account_)) == 0;
    RecordDequeued(aContext, request);
    RefuseTracked(aContext,
                  request,
                  isLimited ? 429 : 503,
                  Outcome::NotRun,
                  isLimited ? "the account is at its limit"
                            : "no target is free",
                  kRetryAfterSeconds);
  }
}

} // namespace cuminbridge::forwarder
