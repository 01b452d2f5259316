// The workers of the harness.

#include "harness.h"

#include <algorithm>
#include <cstdio>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace review {

using cuminbridge::standin::Answer;

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kOtherInstance = 421;
constexpr int kUnavailable = 503;
constexpr Millis kStep(3); // between checks of a call that waits

constexpr int kCpu = 64000;
constexpr int kMemMb = 131072;

Awaitable<void>
Pause(boost::asio::io_context& aIo)
{
  boost::asio::steady_timer timer(aIo, kStep);
  co_await timer.async_wait(boost::asio::use_awaitable);
}

// The number that follows aName in the spec of a job, as "takes=8000".
std::int64_t
Parameter(const std::string& aSpec, const std::string& aName)
{
  const auto found = aSpec.find(aName + "=");
  return found == std::string::npos
           ? 0
           : std::atoll(aSpec.c_str() + found + aName.size() + 1);
}

// ID.K.STEP of ID.K.STEP.INDEX.
std::string
StepOf(const std::string& aItem)
{
  return aItem.substr(0, aItem.rfind('.'));
}

// A checkpoint, as the pages show one: the work that it holds in milliseconds,
// then a part of the job's id. All members of a gang produce the same values.
std::string
Encode(std::int64_t aWorkMs, const std::string& aItem)
{
  constexpr std::size_t kBegin = 4;
  constexpr std::size_t kSize = 8;
  char text[kSize + 1];
  std::snprintf(text, sizeof text, "%08x", static_cast<unsigned>(aWorkMs));
  return text + aItem.substr(kBegin, kSize);
}

std::int64_t
Decode(const std::string& aCheckpoint)
{
  constexpr std::size_t kSize = 8;
  constexpr int kHex = 16;
  return aCheckpoint.size() < kSize
           ? 0
           : std::stoll(aCheckpoint.substr(0, kSize), nullptr, kHex);
}

} // namespace

Worker::Worker(boost::asio::io_context& aIo,
               cuminbridge::standin::Store& aStore,
               Record& aRecord,
               std::string aMachine,
               std::string aAddress,
               int aGpus)
  : io_(aIo)
  , store_(aStore)
  , record_(aRecord)
  , machine_(std::move(aMachine))
  , address_(std::move(aAddress))
  , gpus_(aGpus)
{
  BeginLife();
}

std::int64_t
Worker::NowMs()
{
  return cuminbridge::SystemClocks().Now().time_since_epoch().count();
}

std::string
Worker::Open()
{
  server_ = std::make_unique<HttpServer>(
    io_, cuminbridge::HttpServerOptions{}, [this](const HttpRequest& aRequest) {
      return Serve(aRequest);
    });
  return server_->Open(address_);
}

void
Worker::BeginLife()
{
  id_ = "i-" + machine_ + "-" + std::to_string(++life_);
  bornUnixMs_ =
    cuminbridge::SystemClocks().TimeOfDay().time_since_epoch().count();
  bornAtMs_ = NowMs();
  token_ = leaseUntil_ = sequence_ = lastEnd_ = 0;
  runs_.clear();
  endedRun_.clear();
  ended_ = json::array();
}

json
Worker::Capacity() const
{
  return { { "cpu", kCpu }, { "mem_mb", kMemMb }, { "gpu", gpus_ } };
}

void
Worker::SendHeartbeat()
{
  store_.Put("servers/" + id_,
             { { "service", "planning" },
               { "address", address_ },
               { "machine", machine_ },
               { "zone", "khomas-a" },
               { "version", "v1" },
               { "slots", 8 },
               { "state", "ready" },
               { "capacity", Capacity() },
               { "labels", { "a", "r1-" + machine_ } },
               { "born", bornUnixMs_ },
               { "clock_ms", ClockMs() },
               { "sequence", ++sequence_ } });
}

void
Worker::Crash(std::int64_t aDownMs)
{
  std::string lost;
  for (const auto& [item, run] : runs_) {
    lost += ' ' + item + " run " + std::to_string(run.run_);
  }
  record_.Write(id_ + " crashes, is back in " + std::to_string(aDownMs) +
                " ms; it ran" + (lost.empty() ? " nothing" : lost));
  BeginLife();
  upAtMs_ = bornAtMs_ + aDownMs;
}

void
Worker::Restart(std::int64_t aDownMs, std::int64_t aFirstReportMs)
{
  record_.Write(id_ + " crashes, is back in " + std::to_string(aDownMs) +
                " ms under the same id");
  --life_;
  BeginLife();
  bornAtMs_ += aDownMs;
  bornUnixMs_ += aDownMs;
  upAtMs_ = bornAtMs_;
  firstReportAtMs_ = upAtMs_ + aFirstReportMs;
}

void
Worker::CutOff(std::int64_t aForMs)
{
  record_.Write(id_ + " is cut off for " + std::to_string(aForMs) +
                " ms and runs on");
  cutUntilMs_ = NowMs() + aForMs;
}

void
Worker::RejectStarts(std::int64_t aForMs)
{
  record_.Write(id_ + " is unhealthy for " + std::to_string(aForMs) +
                " ms: it answers starts 503");
  rejectUntilMs_ = NowMs() + aForMs;
}

std::int64_t
Worker::WorkOf(const Run& aRun) const
{
  return aRun.beganAtMs_
           ? aRun.restoredMs_ +
               std::max<std::int64_t>(0, NowMs() - *aRun.beganAtMs_)
           : aRun.restoredMs_;
}

std::string
Worker::SavedOf(const Run& aRun) const
{
  if (!aRun.isCheckpointing_) {
    return {};
  }
  const auto interval = Workers::Get().bounds_.checkpointIntervalMs_;
  const auto whole = WorkOf(aRun) / interval * interval;
  return whole <= aRun.restoredMs_ ? aRun.given_ : Encode(whole, aRun.item_);
}

void
Worker::End(const std::string& aItem, const char* aHow)
{
  const Run run = runs_.at(aItem);
  const auto saved = SavedOf(run);
  runs_.erase(aItem);
  endedRun_[aItem] = std::max(endedRun_[aItem], run.run_);
  ended_.push_back({ ++lastEnd_, aItem, run.run_, aHow, saved });
  record_.Write(id_ + " ends " + aItem + " run " + std::to_string(run.run_) +
                " " + aHow + ", saved '" + saved + "'");
  if (std::string(aHow) == "failed") {
    ++Workers::Get().endsFailed_[aItem];
  }
  if (run.gang_ > 0) {
    EndGang(
      StepOf(aItem), run.run_, std::string(aHow) == "done" ? "done" : "broken");
  }
}

// The end of one member ends the others.
void
Worker::EndGang(const std::string& aStep, std::int64_t aRun, const char* aHow)
{
  for (auto& worker : Workers::Get().all_) {
    for (const auto& [item, run] : worker->runs_) {
      if (StepOf(item) == aStep && run.run_ == aRun) {
        worker->End(std::string(item), aHow);
        return; // which ends the next one
      }
    }
  }
}

void
Worker::Advance()
{
  if (!IsUp()) {
    return;
  }
  const bool hasLapsed = ClockMs() > leaseUntil_;
  std::vector<std::pair<std::string, const char*>> due;
  for (const auto& [item, run] : runs_) {
    if (run.beganAtMs_ && run.takesMs_ > 0 && WorkOf(run) >= run.takesMs_) {
      due.emplace_back(item, "done");
    } else if (hasLapsed) {
      due.emplace_back(item, "lapsed");
    }
  }
  for (const auto& [item, how] : due) {
    if (runs_.count(item) != 0) {
      End(item, how);
    }
  }
}

Awaitable<HttpResponse>
Worker::Serve(const HttpRequest& aRequest)
{
  const std::string path = aRequest.path_;
  const std::string instance(aRequest.Header("Expect-Instance"));
  const std::string text = aRequest.body_;
  if (IsCutOff()) {
    // The caller gives up before the cut ends, and closes the connection.
    while (IsCutOff()) {
      co_await Pause(io_);
    }
    co_return Answer(kUnavailable);
  }
  auto& workers = Workers::Get();
  ++workers.orders_;
  const bool isHeld = path == "/run-start" && !workers.heldJob_.empty() &&
                      text.find(workers.heldJob_ + '.') != std::string::npos;
  if (isHeld) {
    record_.Write(id_ + " leaves this start unanswered: " + text);
    workers.heldJob_.clear();
    workers.heldAt_ = id_;
    while (workers.carryOutAtMs_ == 0 || NowMs() < workers.carryOutAtMs_) {
      co_await Pause(io_);
    }
    record_.Write(id_ + " carries it out now");
  }
  while (!IsUp()) {
    co_await Pause(io_);
  }
  Advance();
  if (instance != id_) {
    co_return Answer(kOtherInstance,
                     { { "clock_ms", ClockMs() }, { "born", bornUnixMs_ } });
  }
  const auto body = json::parse(text);
  const auto token = body.value("fencing_token", std::int64_t(0));
  if (token < token_) {
    co_return Answer(kConflict,
                     { { "clock_ms", ClockMs() }, { "reason", "fence" } });
  }
  token_ = token;
  if (path == "/run-start") {
    co_return Start(body);
  }
  if (path == "/run-stop") {
    co_return Stop(body);
  }
  if (path == "/hold") {
    co_return co_await Hold(body);
  }
  co_return Answer(kOk, { { "clock_ms", ClockMs() } });
}

HttpResponse
Worker::Start(const json& aBody)
{
  Run run;
  run.item_ = aBody.at("task").get<std::string>();
  run.run_ = aBody.at("run").get<std::int64_t>();
  run.given_ = aBody.value("last_checkpoint", std::string());
  const auto spec = aBody.at("spec").get<std::string>();
  run.takesMs_ = Parameter(spec, "takes");
  run.gang_ = static_cast<int>(Parameter(spec, "gang"));
  run.isCheckpointing_ = Parameter(spec, "saves") != 0;
  run.restoredMs_ = Decode(run.given_);
  run.arrivedMs_ = NowMs();
  const auto deadline = aBody.at("deadline_ms").get<std::int64_t>();
  const auto found = runs_.find(run.item_);
  int status = kOk;
  const char* reason = "";
  if (NowMs() < rejectUntilMs_) {
    status = kUnavailable;
  } else if (found != runs_.end() && found->second.run_ == run.run_) {
    status = kOk;
  } else if (deadline <= ClockMs()) {
    status = kConflict;
    reason = "late";
  } else if (found != runs_.end() || endedRun_[run.item_] >= run.run_) {
    status = kConflict;
    reason = "old";
  }
  auto& workers = Workers::Get();
  workers.starts_.push_back({ run.item_, run.run_, run.given_, id_, status });
  record_.Write(id_ + " is told to start " + run.item_ + " run " +
                std::to_string(run.run_) + ", last_checkpoint '" + run.given_ +
                "': " + std::to_string(status) + ' ' + reason);
  if (status == kUnavailable) {
    return Answer(status);
  }
  if (status != kOk) {
    return Answer(status, { { "clock_ms", ClockMs() }, { "reason", reason } });
  }
  leaseUntil_ =
    std::max(leaseUntil_,
             std::min(deadline, ClockMs() + workers.bounds_.longestLeaseMs_));
  if (found == runs_.end()) {
    workers.begun_.insert(run.item_.substr(0, run.item_.find('.')));
    for (auto& other : workers.all_) {
      other->Advance();
      const auto twin = other->runs_.find(run.item_);
      if (other->IsUp() && twin != other->runs_.end()) {
        workers.doubleRuns_.push_back(run.item_);
        record_.Write("BROKEN: " + run.item_ + " runs on " + other->id_ +
                      " as run " + std::to_string(twin->second.run_) +
                      " and starts on " + id_ + " as run " +
                      std::to_string(run.run_));
      }
    }
    if (run.gang_ == 0) {
      run.beganAtMs_ =
        NowMs() + (run.given_.empty() ? 0 : workers.bounds_.restoreMs_);
    }
    runs_[run.item_] = run;
    workers.Advance();
  }
  return Answer(kOk, { { "clock_ms", ClockMs() } });
}

HttpResponse
Worker::Stop(const json& aBody)
{
  const auto item = aBody.at("task").get<std::string>();
  const auto number = aBody.at("run").get<std::int64_t>();
  const auto found = runs_.find(item);
  if (found != runs_.end() && found->second.run_ == number) {
    End(item, "stopped");
  } else {
    endedRun_[item] = std::max(endedRun_[item], number);
  }
  return Answer(kOk, { { "clock_ms", ClockMs() } });
}

json
Worker::Lists() const
{
  json running = json::array();
  for (const auto& [item, run] : runs_) {
    constexpr std::int64_t kWhole = 100;
    const auto percent =
      run.takesMs_ > 0 ? std::min(kWhole, kWhole * WorkOf(run) / run.takesMs_)
                       : kWhole;
    running.push_back({ item, run.run_, SavedOf(run), percent, 0 });
  }
  return { { "clock_ms", ClockMs() },
           { "born", bornUnixMs_ },
           { "running", std::move(running) },
           { "ended", ended_ } };
}

Awaitable<HttpResponse>
Worker::Hold(json aBody)
{
  const auto life = life_;
  const auto deadline = aBody.value("deadline_ms", std::int64_t(0));
  const auto longest = Workers::Get().bounds_.longestLeaseMs_;
  leaseUntil_ = std::max(leaseUntil_, std::min(deadline, ClockMs() + longest));
  const auto seen = aBody.value("last_seen", std::int64_t(0));
  json left = json::array();
  for (const auto& row : ended_) {
    if (row.at(0).get<std::int64_t>() > seen) {
      left.push_back(row);
    }
  }
  ended_ = std::move(left);
  const auto until = NowMs() + aBody.value("wait_ms", std::int64_t(0));
  while (IsCutOff() || !IsUp() || (ended_.empty() && NowMs() < until)) {
    co_await Pause(io_);
    if (life_ != life && IsUp()) {
      co_return Answer(kOtherInstance,
                       { { "clock_ms", ClockMs() }, { "born", bornUnixMs_ } });
    }
    if (life_ == life) {
      Advance();
    }
  }
  co_return Answer(kOk, Lists());
}

Workers&
Workers::Get()
{
  static Workers workers;
  return workers;
}

void
Workers::Advance()
{
  std::map<std::pair<std::string, std::int64_t>, std::vector<Run*>> gangs;
  for (auto& worker : all_) {
    for (auto& [item, run] : worker->runs_) {
      if (run.gang_ > 0 && !run.beganAtMs_) {
        gangs[{ StepOf(item), run.run_ }].push_back(&run);
      }
    }
  }
  for (auto& [name, members] : gangs) {
    const bool isWhole =
      static_cast<int>(members.size()) == members.front()->gang_;
    // All must carry the same value: members with different ones can't agree
    // from where to resume.
    const bool agree =
      std::all_of(members.begin(), members.end(), [&](const Run* aRun) {
        return aRun->given_ == members.front()->given_;
      });
    if (isWhole && agree) {
      for (auto* run : members) {
        run->beganAtMs_ =
          Worker::NowMs() + (run->given_.empty() ? 0 : bounds_.restoreMs_);
      }
    }
  }
  for (auto& worker : all_) {
    std::vector<std::string> alone;
    for (auto& [item, run] : worker->runs_) {
      if (run.gang_ > 0 && !run.beganAtMs_ &&
          Worker::NowMs() - run.arrivedMs_ >= bounds_.gangTimeoutMs_) {
        alone.push_back(item);
      }
    }
    for (const auto& item : alone) {
      if (worker->runs_.count(item) != 0) {
        worker->End(item, "alone");
      }
    }
    worker->Advance();
  }
}

} // namespace review
