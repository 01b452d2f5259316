// What callers ask for.

#include "intake.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
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
constexpr int kUnavailable = 503;
constexpr int kTimeout = 504;

constexpr std::size_t kIdSize = 16;
// Callers wait 3 s; an answer must reach them before.
constexpr Millis kAnswerLimit(2200);
constexpr Millis kRetryPause(60);
constexpr Millis kWaitingFresh(500); // counts are read again after this

HttpResponse
Problem(int aStatus, std::string_view aMessage)
{
  HttpResponse answer;
  answer.status_ = aStatus;
  answer.body_ = FormatProblem(aMessage);
  if (aStatus == kUnavailable) {
    answer.headers_.emplace_back("Retry-After", "1");
  }
  return answer;
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

} // namespace

Intake::Intake(DaemonParts aParts)
  : parts_(aParts)
{
}

void
Intake::SetConfig(FleetConfig aConfig)
{
  if (aConfig.version_ > config_.version_) {
    config_ = std::move(aConfig);
  }
}

Awaitable<HttpResponse>
Intake::Answer(const HttpRequest& aRequest)
{
  if (config_.version_ == 0) {
    co_return Problem(kUnavailable, "no configuration yet");
  }
  const auto path =
    std::string_view(aRequest.path_).substr(0, aRequest.path_.find('?'));
  const auto* queue = FindQueue(config_, WithoutPort(aRequest.host_), path);
  if (!queue) {
    co_return Problem(kNotFound, "no such queue");
  }
  const auto key = CallerKey(aRequest);
  const auto* account = key.empty() ? nullptr : FindAccountByKey(config_, key);
  if (!account && !queue->isOpen_) {
    ++counts_.unauthorized_;
    co_return Problem(kUnauthorized, "no client account has this key");
  }
  std::string id(path.substr(queue->prefix_.size()));
  if (id.empty() && aRequest.method_ == "GET") {
    co_return co_await TellWaiting(queue->name_);
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
    const Queue copy = *queue; // the configuration may change meanwhile
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

// Without waiting, and without a second try: the owner also watches the store.
void
Intake::TellOwner(const char* aPath, std::string aBody)
{
  if (ownerAddress_.empty()) {
    return;
  }
  constexpr Millis kLimit(300); // later the owner has seen it in the store
  HttpCall call;
  call.method_ = "POST";
  call.path_ = aPath;
  call.body_ = std::move(aBody);
  call.limit_ = kLimit;
  boost::asio::co_spawn(parts_.io_,
                        parts_.http_.Call(ownerAddress_, std::move(call)),
                        boost::asio::detached);
}

Awaitable<HttpResponse>
Intake::Submit(const HttpRequest& aRequest,
               const Queue& aQueue,
               std::string aAccount,
               std::string aId)
{
  const auto began = parts_.clocks_.Now();
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
  job.accepted_ = parts_.clocks_.TimeOfDay();
  StoreWrite write;
  const std::string key = kJobPrefix + job.id_;
  write.conditions_.push_back({ key, 0 });
  write.puts_.push_back({ key, EncodeJob(job), 0 });
  bool mayBeStored = false;
  // Nothing is written while the store is lost, so that the refusal is true and
  // the caller can go elsewhere at once.
  while (mayBeStored || !parts_.store_.IsLost()) {
    const auto reply = co_await parts_.store_.Write(write);
    if (reply.IsDone() || reply.status_ == StoreStatus::Conflict) {
      ++counts_.accepted_;
      WriteLine(
        { "job_accepted",
          job.id_,
          "",
          "",
          aQueue.name_ + (reply.IsDone()
                            ? ", stored at " + std::to_string(reply.revision_)
                            : ", it was stored before") },
        parts_.clocks_.Now());
      if (reply.IsDone() && owner_ && owner_->IsSure()) {
        owner_->Handle(JobArrived{ std::move(job) });
      } else if (reply.IsDone()) {
        TellOwner(kTellJobPath, std::move(write.puts_.front().value_));
      }
      co_return HttpResponse{};
    }
    mayBeStored = mayBeStored || reply.status_ == StoreStatus::Unknown;
    const bool isLate = parts_.clocks_.Now() - began > kAnswerLimit;
    // What was refused without doubt never runs; the caller may go elsewhere.
    if (!mayBeStored || isLate || parts_.store_.IsLost()) {
      break;
    }
    co_await Sleep(parts_.io_, kRetryPause);
  }
  WriteLine({ mayBeStored ? "job_unknown" : "job_refused",
              job.id_,
              "",
              "",
              "the store did not take it" },
            parts_.clocks_.Now());
  if (mayBeStored) {
    ++counts_.unknown_;
    co_return Problem(kTimeout, "it may have been accepted: ask again");
  }
  ++counts_.refused_;
  co_return Problem(kUnavailable, "the store can't be reached from here");
}

Awaitable<HttpResponse>
Intake::Read(std::string aId)
{
  ++counts_.reads_;
  if (owner_ && !owner_->HasEnded()) {
    if (const auto state = owner_->GetFleet().StoredState(aId)) {
      HttpResponse answer;
      answer.body_ = FormatJobState(*state);
      co_return answer;
    }
  }
  if (parts_.store_.IsLost()) {
    co_return Problem(kUnavailable, "the store can't be reached from here");
  }
  const auto progress = co_await parts_.store_.Get(kProgressPrefix + aId);
  if (progress.IsDone()) {
    const auto record = DecodeProgress(progress.items_.front().value_);
    HttpResponse answer;
    answer.body_ = FormatJobState(record ? record->state_ : JobState::Serving);
    co_return answer;
  }
  if (progress.status_ == StoreStatus::Missing) {
    const auto job = co_await parts_.store_.Get(kJobPrefix + aId);
    if (job.IsDone()) {
      HttpResponse answer;
      answer.body_ = FormatJobState(JobState::Queued);
      co_return answer;
    }
    if (job.status_ == StoreStatus::Missing) {
      co_return Problem(kGone, "no such job");
    }
  }
  co_return Problem(kUnavailable, "the store can't be reached from here");
}

Awaitable<HttpResponse>
Intake::Cancel(std::string aId)
{
  const auto began = parts_.clocks_.Now();
  ++counts_.cancels_;
  bool mayBeStored = false;
  while (mayBeStored || !parts_.store_.IsLost()) {
    const auto job = co_await parts_.store_.Get(kJobPrefix + aId);
    if (job.status_ == StoreStatus::Missing) {
      co_return Problem(kGone, "no such job");
    }
    if (job.IsDone()) {
      StoreWrite write;
      const std::string key = kCancelPrefix + aId;
      write.conditions_.push_back({ key, 0 });
      write.puts_.push_back({ key, "{}", 0 });
      const auto reply = co_await parts_.store_.Write(write);
      if (reply.IsDone() || reply.status_ == StoreStatus::Conflict) {
        WriteLine({ "job_cancelled", aId, "", "", "by its caller" },
                  parts_.clocks_.Now());
        if (owner_) {
          owner_->Handle(JobCancelled{ aId });
        } else {
          TellOwner(kTellCancelPath, aId);
        }
        co_return HttpResponse{};
      }
      mayBeStored = mayBeStored || reply.status_ == StoreStatus::Unknown;
    }
    if (parts_.clocks_.Now() - began > kAnswerLimit || parts_.store_.IsLost()) {
      break;
    }
    co_await Sleep(parts_.io_, kRetryPause);
  }
  if (!mayBeStored) {
    co_return Problem(kUnavailable, "the store can't be reached from here");
  }
  co_return Problem(kTimeout, "it may have been cancelled: ask again");
}

Awaitable<HttpResponse>
Intake::TellWaiting(std::string aQueue)
{
  if (owner_ && owner_->IsSure()) {
    int waiting = 0;
    for (const auto& load : owner_->GetFleet().Loads()) {
      waiting += load.queue_ == aQueue ? load.waiting_ : 0;
    }
    HttpResponse answer;
    answer.body_ = FormatWaiting(waiting);
    co_return answer;
  }
  const auto now = parts_.clocks_.Now();
  if (now - waitingAt_ > kWaitingFresh) {
    const auto reply = co_await parts_.store_.Get(kLoadKey);
    if (!reply.IsDone() && reply.status_ != StoreStatus::Missing) {
      co_return Problem(kUnavailable, "the store can't be reached from here");
    }
    waiting_.clear();
    waitingAt_ = now;
    if (reply.IsDone()) {
      const auto loads =
        nlohmann::json::parse(reply.items_.front().value_, nullptr, false);
      if (loads.is_object()) {
        waiting_ = loads.get<std::map<std::string, int>>();
      }
    }
  }
  HttpResponse answer;
  answer.body_ = FormatWaiting(waiting_[aQueue]);
  co_return answer;
}

} // namespace cuminbridge
