// Implements the callers of the soak test.

#include "callers.h"

#include <chrono>
#include <iterator>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace cuminbridge::soak {

namespace {

constexpr int kOk = 200;
constexpr int kGone = 410; // no such job
constexpr int kTimeout = 504;
constexpr int kAttempts = 4; // as many as the platform's callers make
constexpr Millis kCallLimit(3000);
constexpr Millis kPollInterval(200);

const char* const kBodies[] = {
  R"({"spec":"takes=150","steps":[{"count":3,"cpu":1000,"estimate_ms":150},)"
  R"({"count":2,"cpu":2000,"estimate_ms":150,"after":[0]}]})",
  R"({"spec":"takes=600","steps":[{"count":6,"cpu":3000,"estimate_ms":600}]})",
  R"({"spec":"takes=1200","steps":[{"count":2,"cpu":6000,"estimate_ms":900}]})",
};
const char* const kQueues[] = { "quotes", "rounds", "payouts" };

std::string
StateOf(const HttpReply& aReply)
{
  const auto body = nlohmann::json::parse(aReply.body_, nullptr, false);
  return body.is_object() ? body.value("state", "") : "";
}

bool
IsFinal(const std::string& aState)
{
  return aState == "completed" || aState == "failed" || aState == "cancelled";
}

} // namespace

Callers::Callers(boost::asio::io_context& aIo,
                 std::vector<std::string> aEntries,
                 unsigned aSeed)
  : io_(aIo)
  , http_(aIo, HttpClientOptions{})
  , entries_(std::move(aEntries))
  , random_(aSeed)
{
}

Awaitable<HttpReply>
Callers::Ask(const std::string& aMethod,
             const std::string& aPath,
             std::string aBody)
{
  HttpCall call;
  call.method_ = aMethod;
  call.path_ = aPath;
  call.body_ = std::move(aBody);
  call.limit_ = kCallLimit;
  call.headers_.emplace_back("Host", "demo.example");
  call.headers_.emplace_back("X-Api-Key", "demo-key");
  const auto entry = entries_[random_() % entries_.size()];
  co_return co_await http_.Call(entry, std::move(call));
}

Awaitable<void>
Callers::SubmitOne()
{
  constexpr int kIdSize = 16;
  const auto number = std::to_string(++submitted_);
  const auto id = std::string(kIdSize - number.size(), '0') + number;
  auto& job = jobs_[id];
  job.path_ =
    std::string("/") + kQueues[random_() % std::size(kQueues)] + '/' + id;
  const std::string body = kBodies[random_() % std::size(kBodies)];
  for (int attempt = 0; attempt < kAttempts && !job.isAccepted_; ++attempt) {
    const auto reply = co_await Ask("POST", job.path_, body);
    job.isAccepted_ = reply.IsAnswered() && reply.status_ == kOk;
    job.mayBeAccepted_ = job.mayBeAccepted_ || job.isAccepted_ ||
                         reply.outcome_ == CallOutcome::Lost ||
                         (reply.IsAnswered() && reply.status_ == kTimeout);
  }
}

TrackedJob*
Callers::ChooseAccepted()
{
  if (jobs_.empty()) {
    return nullptr;
  }
  auto job = std::next(jobs_.begin(),
                       static_cast<std::ptrdiff_t>(random_() % jobs_.size()));
  return job->second.isAccepted_ ? &job->second : nullptr;
}

Awaitable<void>
Callers::CancelOne()
{
  auto* job = ChooseAccepted();
  if (!job) {
    co_return;
  }
  job->isCancelTried_ = true;
  const auto reply = co_await Ask("DELETE", job->path_, "");
  job->isCancelAcked_ =
    job->isCancelAcked_ || (reply.IsAnswered() && reply.status_ == kOk);
}

Awaitable<void>
Callers::ReadOne()
{
  if (auto* job = ChooseAccepted()) {
    co_await Read(*job);
  }
}

Awaitable<void>
Callers::Read(TrackedJob& aJob)
{
  const auto reply = co_await Ask("GET", aJob.path_, "");
  if (!reply.IsAnswered()) {
    co_return;
  }
  if (reply.status_ == kGone) {
    violations_.push_back(
      aJob.path_ + " was accepted, but the entry answers 410 (no such job)");
  }
  const auto state = StateOf(reply);
  if (state.empty()) {
    co_return;
  }
  if (IsFinal(aJob.lastState_) && state != aJob.lastState_) {
    violations_.push_back(aJob.path_ + " changed from the final state " +
                          aJob.lastState_ + " to " + state);
  }
  aJob.lastState_ = state;
}

Awaitable<void>
Callers::PollUntilFinal(Millis aLimit)
{
  const auto until = std::chrono::steady_clock::now() + aLimit;
  bool areAllFinal = false;
  while (!areAllFinal && std::chrono::steady_clock::now() < until) {
    areAllFinal = true;
    for (auto& [id, job] : jobs_) {
      if (job.isAccepted_ && !IsFinal(job.lastState_)) {
        co_await Read(job);
        areAllFinal = areAllFinal && IsFinal(job.lastState_);
      }
    }
    boost::asio::steady_timer pause(io_, kPollInterval);
    co_await pause.async_wait(boost::asio::use_awaitable);
  }
}

std::vector<std::string>
Callers::Violations(const std::set<std::string>& aStarted) const
{
  auto violations = violations_;
  for (const auto& [id, job] : jobs_) {
    if (job.isAccepted_ && !IsFinal(job.lastState_)) {
      violations.push_back(job.path_ +
                           " was accepted, but is still in state '" +
                           job.lastState_ + "'");
    }
    if (job.lastState_ == "cancelled" && !job.isCancelTried_) {
      violations.push_back(job.path_ +
                           " is cancelled, but no caller cancelled it");
    }
    if (job.lastState_ == "failed") {
      violations.push_back(job.path_ + " is failed, but no run of it failed");
    }
    if (!job.mayBeAccepted_ && aStarted.count(id) != 0) {
      violations.push_back(job.path_ +
                           " was not accepted by any attempt, but ran");
    }
  }
  for (const auto& id : aStarted) {
    if (jobs_.count(id) == 0) {
      violations.push_back(id + " ran, but no caller submitted it");
    }
  }
  return violations;
}

std::string
Callers::Summary() const
{
  int accepted = 0;
  int cancelled = 0;
  int completed = 0;
  for (const auto& [id, job] : jobs_) {
    accepted += job.isAccepted_ ? 1 : 0;
    cancelled += job.lastState_ == "cancelled" ? 1 : 0;
    completed += job.lastState_ == "completed" ? 1 : 0;
  }
  return std::to_string(jobs_.size()) + " jobs, " + std::to_string(accepted) +
         " accepted, " + std::to_string(completed) + " completed, " +
         std::to_string(cancelled) + " cancelled";
}

} // namespace cuminbridge::soak
