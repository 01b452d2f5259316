// The callers' HTTP interface.

#include "caller_api.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "daemon_log.h"
#include "records.h"

namespace cuminbridge {

namespace {

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kNotAllowed = 405;
constexpr int kGone = 410;
constexpr int kTimeout = 504;

constexpr std::size_t kIdSize = 16;
// Callers wait 3 s for an answer. Calls to the store are not retried after
// this, so that the answer arrives before.
constexpr Millis kAnswerTimeout(2200);
constexpr Millis kRetryPause(60);
constexpr Millis kWaitingMaxAge(500); // older counts are read again
// Counts that are older than this are no answer: callers may rely on them.
constexpr Millis kWaitingLimit(3000);

HttpResponse
Problem(int aStatus, std::string_view aMessage)
{
  HttpResponse answer;
  answer.status_ = aStatus;
  answer.body_ = FormatError(aMessage);
  return answer;
}

std::string_view
LastPart(std::string_view aPath)
{
  const auto path = aPath.substr(0, aPath.find('?'));
  return path.substr(path.rfind('/') + 1);
}

bool
IsJobId(std::string_view aText)
{
  return aText.size() == kIdSize &&
         std::all_of(aText.begin(), aText.end(), [](char aChar) {
           return std::isxdigit(static_cast<unsigned char>(aChar)) != 0;
         });
}

std::string_view
WithoutPort(std::string_view aHost)
{
  return aHost.substr(0, aHost.find(':'));
}

// Whether a rejected write shows that the key exists.
bool
ShowsKey(const StoreReply& aReply, const std::string& aKey)
{
  return std::any_of(
    aReply.items_.begin(), aReply.items_.end(), [&](const StoreItem& aItem) {
      return aItem.key_ == aKey && aItem.revision_ != 0;
    });
}

// Whether a rejected write shows that the key holds the value.
bool
ShowsValue(const StoreReply& aReply,
           const std::string& aKey,
           const std::string& aValue)
{
  return std::any_of(
    aReply.items_.begin(), aReply.items_.end(), [&](const StoreItem& aItem) {
      return aItem.key_ == aKey && aItem.value_ == aValue;
    });
}

StoreWrite
WriteOfJob(const SubmissionAttempt& aAttempt,
           const std::string& aValue,
           const RefusalState& aRefusal)
{
  StoreWrite write;
  write.conditions_.push_back({ aAttempt.jobKey_, 0 });
  write.conditions_.push_back({ aAttempt.refusalKey_, aRefusal.revision_ });
  write.puts_.push_back({ aAttempt.jobKey_, aValue, 0 });
  if (aRefusal.revision_ != 0) {
    write.removes_.push_back(aAttempt.refusalKey_);
  }
  return write;
}

} // namespace

CallerApi::CallerApi(DaemonContext aContext)
  : context_(aContext)
  , startedAt_(aContext.clocks_.Now())
  , admission_(aContext, refusals_)
  , relay_(aContext)
{
}

void
CallerApi::SetConfig(FleetConfig aConfig)
{
  if (aConfig.version_ > config_.version_) {
    config_ = std::move(aConfig);
  }
}

void
CallerApi::SetCellCount(int aCount)
{
  for (int cell = 0; cell < aCount; ++cell) {
    cells_.push_back({ cell, CellKeys(cell), nullptr });
  }
}

void
CallerApi::SetOwner(int aCell, std::shared_ptr<Owner> aOwner)
{
  cells_[static_cast<std::size_t>(aCell)].owner_ = std::move(aOwner);
}

CallerApi::CellState&
CallerApi::CellOfJob(const std::string& aId)
{
  return cells_[static_cast<std::size_t>(
    CellOf(aId, static_cast<int>(cells_.size())))];
}

HttpResponse
CallerApi::RefuseForStore()
{
  const auto now = context_.clocks_.Now();
  const auto lostSince = std::max(startedAt_, context_.store_.AnsweredAt());
  return refusals_.Refuse(context_.store_.IsUnreachable()
                            ? RefusalCause::StoreLost
                            : RefusalCause::StoreCallFailed,
                          now - lostSince,
                          now);
}

Awaitable<HttpResponse>
CallerApi::Answer(const HttpRequest& aRequest)
{
  const auto startedAt = context_.clocks_.Now();
  Outcome outcome;
  if (!IsConfigOutdated()) {
    outcome = co_await AnswerFromStore(aRequest);
  }
  const std::string id(LastPart(aRequest.path_));
  if (!outcome) {
    RelayedRequest relayed{ aRequest, config_.version_ };
    const auto left = kAnswerTimeout - (context_.clocks_.Now() - startedAt);
    outcome =
      co_await relay_.Ask(std::move(relayed), CellOfJob(id).number_, left);
  }
  if (outcome) {
    co_return std::move(*outcome);
  }
  auto refusal = RefuseForStore();
  if (aRequest.method_ == "POST") {
    ++counts_.refused_;
    WriteLine({ "job_refused",
                id,
                "",
                "",
                "the store is unreachable or refused the write, and no peer "
                "helped; the job is not stored (answered 503, Retry-After " +
                  RetryAfterOf(refusal) + "): " + refusal.body_ },
              context_.clocks_.Now());
  }
  co_return refusal;
}

Awaitable<CallerApi::Outcome>
CallerApi::AnswerFromStore(const HttpRequest& aRequest)
{
  if (config_.version_ == 0 || cells_.empty()) {
    co_return refusals_.Refuse(RefusalCause::NoConfiguration,
                               context_.clocks_.Now() - startedAt_,
                               context_.clocks_.Now());
  }
  const auto path =
    std::string_view(aRequest.path_).substr(0, aRequest.path_.find('?'));
  const auto* queue = FindQueue(config_, WithoutPort(aRequest.host_), path);
  if (!queue) {
    co_return Problem(kNotFound, "no such queue");
  }
  const auto key = CallerApiKey(aRequest);
  const auto* account = key.empty() ? nullptr : FindAccountByKey(config_, key);
  if (!account && !queue->isPublic_) {
    ++counts_.unauthorized_;
    co_return Problem(kUnauthorized, "no client account has this key");
  }
  std::string id(path.substr(queue->prefix_.size()));
  if (id.empty() && aRequest.method_ == "GET") {
    co_return co_await AnswerWaiting(queue->name_);
  }
  if (!IsJobId(id)) {
    co_return Problem(kBadRequest, "an id has 16 hexadecimal digits");
  }
  if (aRequest.method_ == "POST") {
    // g++ 12 miscompiles ?: of class type among the arguments of co_await.
    std::string name;
    if (account) {
      name = account->name_;
    }
    const Queue copy = *queue; // config_ may change while Submit() is suspended
    co_return co_await Submit(aRequest, copy, std::move(name), std::move(id));
  }
  if (aRequest.method_ == "GET") {
    co_return co_await Read(std::move(id));
  }
  if (aRequest.method_ == "DELETE") {
    co_return co_await Cancel(std::move(id));
  }
  co_return Problem(kNotAllowed, "POST, GET or DELETE");
}

// Tells the owner of a job that was stored, and learns from its answer which
// pools are short.
void
CallerApi::NotifyOwner(const CellState& aCell, Job aJob, std::string aValue)
{
  if (aCell.owner_ && aCell.owner_->IsLeaseValid()) {
    aCell.owner_->HandleSubmittedJob(std::move(aJob));
    return;
  }
  context_.peers_.Notify(
    aCell.number_,
    kNotifyJobPath,
    std::move(aValue),
    [this, cell = aCell.number_, askedAt = context_.clocks_.Now()](
      const std::string& aBody) {
      admission_.NoteAnswer(cell, aBody, askedAt);
    });
}

Awaitable<CallerApi::Outcome>
CallerApi::Submit(const HttpRequest& aRequest,
                  const Queue& aQueue,
                  std::string aAccount,
                  std::string aId)
{
  const auto startedAt = context_.clocks_.Now();
  Findings findings;
  Job job = ReadSubmission(aRequest.body_, findings);
  if (!findings.empty()) {
    co_return Problem(kBadRequest, FormatFindings(findings));
  }
  job.id_ = std::move(aId);
  job.queue_ = aQueue.name_;
  job.pool_ = aQueue.pool_;
  job.account_ = std::move(aAccount);
  job.priority_ = aQueue.priority_;
  job.attempts_ = aQueue.attempts_;
  job.stretch_ = aQueue.stretch_;
  job.allowance_ = aQueue.allowance_;
  job.accepted_ = context_.clocks_.TimeOfDay();
  const auto& cell = CellOfJob(job.id_);
  const SubmissionAttempt attempt{ job,
                                   cell.number_,
                                   cell.owner_,
                                   cell.keys_.Of(kJobPrefix) + job.id_,
                                   cell.keys_.Of(kRefusalPrefix) + job.id_,
                                   job.accepted_ };
  RefusalState refusal; // as far as this attempt knows
  if (auto refused = co_await admission_.Refuse(attempt, refusal)) {
    ++counts_.refused_;
    co_return std::move(*refused);
  }
  const auto value = EncodeJob(job);
  bool mayBeStored = false;
  // While the store is lost, no first write is sent: the job is then surely not
  // stored, and the caller can submit it elsewhere at once.
  while (mayBeStored || !context_.store_.IsUnreachable()) {
    const auto reply =
      co_await context_.store_.Write(WriteOfJob(attempt, value, refusal));
    const auto shown = RefusalShownBy(reply, attempt.refusalKey_);
    const bool isConflict = reply.status_ == StoreStatus::Conflict;
    const bool isStoredBefore =
      isConflict && (!shown || ShowsKey(reply, attempt.jobKey_));
    if (reply.IsDone() || isStoredBefore) {
      ++counts_.accepted_;
      WriteLine(
        { "job_accepted",
          job.id_,
          "",
          "",
          "queue " + aQueue.name_ +
            (reply.IsDone()
               ? ", stored at revision " + std::to_string(reply.revision_)
               : ", already stored by an earlier submission") },
        context_.clocks_.Now());
      // The job of another attempt may differ.
      if (reply.IsDone() || ShowsValue(reply, attempt.jobKey_, value)) {
        NotifyOwner(cell, std::move(job), value);
      }
      co_return HttpResponse{};
    }
    if (isConflict && shown->revision_ != refusal.revision_) {
      mayBeStored = false; // what this attempt has written has no effect
      refusal = *shown;
      auto refused = co_await admission_.RefuseAgain(attempt, refusal);
      if (refused) {
        ++counts_.refused_;
        co_return std::move(*refused);
      }
      continue;
    }
    mayBeStored = mayBeStored || reply.status_ == StoreStatus::Unknown;
    const bool isLate = context_.clocks_.Now() - startedAt > kAnswerTimeout;
    // A write that was surely refused is not retried: the job never runs here,
    // and the caller may submit it elsewhere.
    if (!mayBeStored || isLate || context_.store_.IsUnreachable()) {
      break;
    }
    co_await Sleep(context_.io_, kRetryPause);
  }
  if (mayBeStored) {
    ++counts_.unknown_;
    WriteLine({ "job_unknown",
                job.id_,
                "",
                "",
                "a write to the store got no answer; the job may be stored "
                "(answered 504)" },
              context_.clocks_.Now());
    co_return Problem(kTimeout, "it may have been accepted: ask again");
  }
  co_return std::nullopt;
}

CallerApi::CellState*
CallerApi::MovedTo(const StoreItem& aJobRecord)
{
  const auto cell = DecodeMovedJob(aJobRecord.value_);
  if (!cell || *cell < 0 || static_cast<std::size_t>(*cell) >= cells_.size()) {
    return nullptr;
  }
  return &cells_[static_cast<std::size_t>(*cell)];
}

Awaitable<CallerApi::Outcome>
CallerApi::Read(std::string aId)
{
  ++counts_.reads_;
  const auto* cell = &CellOfJob(aId);
  while (cell) {
    if (cell->owner_ && !cell->owner_->HasEnded()) {
      if (const auto state = cell->owner_->GetFleet().StoredState(aId)) {
        HttpResponse answer;
        answer.body_ = FormatJobState(*state);
        co_return answer;
      }
    }
    if (context_.store_.IsUnreachable()) {
      break;
    }
    const auto progress =
      co_await context_.store_.Get(cell->keys_.Of(kProgressPrefix) + aId);
    if (progress.IsDone()) {
      const auto record = DecodeProgress(progress.items_.front().value_);
      HttpResponse answer;
      answer.body_ =
        FormatJobState(record ? record->state_ : JobState::Serving);
      co_return answer;
    }
    if (progress.status_ != StoreStatus::Missing) {
      break;
    }
    const auto job =
      co_await context_.store_.Get(cell->keys_.Of(kJobPrefix) + aId);
    if (job.status_ == StoreStatus::Missing) {
      co_return Problem(kGone, "no such job");
    }
    if (!job.IsDone()) {
      break;
    }
    cell = MovedTo(job.items_.front());
    if (!cell) {
      HttpResponse answer;
      answer.body_ = FormatJobState(JobState::Queued);
      co_return answer;
    }
  }
  co_return std::nullopt;
}

Awaitable<CallerApi::Outcome>
CallerApi::Cancel(std::string aId)
{
  const auto startedAt = context_.clocks_.Now();
  ++counts_.cancels_;
  const auto* cell = &CellOfJob(aId);
  bool mayBeStored = false;
  while (mayBeStored || !context_.store_.IsUnreachable()) {
    const auto jobKey = cell->keys_.Of(kJobPrefix) + aId;
    const auto job = co_await context_.store_.Get(jobKey);
    if (job.status_ == StoreStatus::Missing) {
      co_return Problem(kGone, "no such job");
    }
    if (job.IsDone()) {
      if (const auto* moved = MovedTo(job.items_.front())) {
        cell = moved;
        continue;
      }
      StoreWrite write;
      const auto key = cell->keys_.Of(kCancelPrefix) + aId;
      write.conditions_.push_back({ key, 0 });
      // The job may be transferred to another cell in the meantime.
      write.conditions_.push_back({ jobKey, job.items_.front().revision_ });
      write.puts_.push_back({ key, "{}", 0 });
      const auto reply = co_await context_.store_.Write(write);
      const bool isStoredBefore =
        reply.status_ == StoreStatus::Conflict && ShowsKey(reply, key);
      if (reply.IsDone() || isStoredBefore) {
        WriteLine({ "job_cancelled", aId, "", "", "cancelled by its caller" },
                  context_.clocks_.Now());
        if (cell->owner_) {
          cell->owner_->HandleCancel(aId);
        }
        if (!cell->owner_ || !cell->owner_->IsLeaseValid()) {
          context_.peers_.Notify(cell->number_, kNotifyCancelPath, aId);
        }
        co_return HttpResponse{};
      }
      mayBeStored = mayBeStored || reply.status_ == StoreStatus::Unknown;
    }
    if (context_.clocks_.Now() - startedAt > kAnswerTimeout ||
        context_.store_.IsUnreachable()) {
      break;
    }
    co_await Sleep(context_.io_, kRetryPause);
  }
  if (!mayBeStored) {
    co_return std::nullopt;
  }
  co_return Problem(kTimeout, "it may have been cancelled: ask again");
}

// Reads the counts of all cells. False if the store does not answer.
Awaitable<bool>
CallerApi::ReadWaitingCounts()
{
  const auto readAt = context_.clocks_.Now();
  const auto reply = co_await context_.store_.List(kLoadPrefix);
  if (!reply.IsDone()) {
    co_return false;
  }
  const auto now = context_.clocks_.TimeOfDay();
  waiting_.clear();
  waitingCountedAt_ = now;
  waitingReadAt_ = readAt;
  for (const auto& item : reply.items_) {
    const auto load = DecodeLoad(item.value_);
    for (const auto& [queue, count] : load.waiting_) {
      waiting_[queue] += count;
    }
    if (load.countedAt_ != WallTime()) { // earlier versions store no time
      waitingCountedAt_ = std::min(waitingCountedAt_, load.countedAt_);
    }
  }
  if (reply.items_.size() < cells_.size()) {
    waitingCountedAt_ = WallTime(); // some cell has had no owner yet
  }
  co_return true;
}

Awaitable<CallerApi::Outcome>
CallerApi::AnswerWaiting(std::string aQueue)
{
  if (cells_.size() == 1 && cells_.front().owner_ &&
      cells_.front().owner_->IsLeaseValid() &&
      context_.clocks_.Now() - cells_.front().owner_->SubmissionsReadUpTo() <
        kWaitingLimit) {
    HttpResponse answer;
    answer.body_ = FormatWaitingCount(
      cells_.front().owner_->CountWaiting().waiting_[aQueue]);
    co_return answer;
  }
  if (context_.clocks_.Now() - waitingReadAt_ > kWaitingMaxAge &&
      !co_await ReadWaitingCounts()) {
    co_return std::nullopt;
  }
  if (context_.clocks_.TimeOfDay() - waitingCountedAt_ > kWaitingLimit) {
    co_return refusals_.Refuse(
      RefusalCause::CountTooOld,
      std::chrono::duration_cast<Millis>(context_.clocks_.TimeOfDay() -
                                         waitingCountedAt_),
      context_.clocks_.Now());
  }
  HttpResponse answer;
  answer.body_ = FormatWaitingCount(waiting_[aQueue]);
  co_return answer;
}

} // namespace cuminbridge
