// The scenarios of the harness.
//
//   harness SCENARIO NETWORK RECORD TROUBLE
//
// With the NETWORK "127.0.91" the store listens at 127.0.91.1:7400, the list of
// machines at .2:7400 and workers from .11:7500 on; entries are expected at
// .201 to .203. TROUBLE 0 leaves the disruption out. Exits with 0 if the rule
// held, 1 if it was broken, 2 if the scenario could not run.

#include "harness.h"

#include <cstdlib>
#include <iostream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace review {

using cuminbridge::HttpCall;
using cuminbridge::HttpClient;
using cuminbridge::HttpReply;
using cuminbridge::standin::Answer;
using cuminbridge::standin::Context;
using cuminbridge::standin::PathOf;
using cuminbridge::standin::Store;

namespace {

constexpr int kOk = 200;
constexpr int kEntries = 3;
constexpr int kWorkers = 12;      // one of them is 0.083 of the service
constexpr int kManyWorkers = 130; // of a fleet with two cells
constexpr int kGpus = 64;         // of the one worker that has any
constexpr int kAttempts = 3;

json
MakeConfig()
{
  return { { "version", 3 },
           { "routes",
             { { { "name", "round-plan" },
                 { "host", "demo.example" },
                 { "prefix", "/rounds/" },
                 { "type", "unsafe" },
                 { "timeout_ms", 3000 },
                 { "target_runtime_ms", 600 },
                 { "priority", 1 },
                 { "service", "planning" },
                 { "attempts", kAttempts },
                 { "stretch", 1.6 },
                 { "public", false } } } },
           { "services",
             { { { "name", "planning" },
                 { "health_path", "/health" },
                 { "rejects_overload", true },
                 { "standby", false } } } },
           { "limits", { { "max_body_bytes", 262144 } } },
           { "tenants",
             { { { "name", "depots" },
                 { "api_keys", { "demo-key" } },
                 { "weight", 10 },
                 { "max_count", { { "cpu", 0 }, { "mem_mb", 0 } } } } } } };
}

// A job of one step.
json
MakeJob(const std::string& aSpec,
        int aCount,
        int aCpu,
        int aEstimateMs,
        bool aIsGang = false,
        int aGpu = 0)
{
  json step = { { "count", aCount },
                { "cpu", aCpu },
                { "mem_mb", 1024 },
                { "estimate_ms", aEstimateMs } };
  if (aIsGang) {
    step["gang"] = true;
    step["checkpointing"] = true;
  }
  if (aGpu > 0) {
    step["gpu"] = aGpu;
  }
  json job = { { "spec", aSpec } };
  job["steps"] = json::array({ step });
  return job;
}

HttpCall
MakeCall(const std::string& aMethod,
         const std::string& aPath,
         const std::string& aBody)
{
  constexpr Millis kDeadline(3000);
  HttpCall call;
  call.method_ = aMethod;
  call.path_ = aPath;
  call.body_ = aBody;
  call.limit_ = kDeadline;
  call.headers_.emplace_back("Host", "demo.example");
  call.headers_.emplace_back("X-Api-Key", "demo-key");
  call.headers_.emplace_back("Deadline-Ms", "3000");
  return call;
}

json
DescribeMachines()
{
  json rows = json::array();
  for (const auto& worker : Workers::Get().all_) {
    rows.push_back(
      { { "machine", worker->Machine() },
        { "pool", "planning" },
        { "state", worker->IsUp() ? "up" : "down" },
        { "zone", "khomas-a" },
        { "labels", { "a", "r1-" + worker->Machine() } },
        { "capacity",
          { { "cpu", 64000 }, { "mem_mb", 131072 }, { "gpu", 0 } } },
        { "id", worker->IsUp() ? worker->Id() : "" } });
  }
  return { { "machines", std::move(rows) }, { "next_token", nullptr } };
}

} // namespace

Record::Record(const std::string& aPath)
  : file_(aPath)
  , beganMs_(Worker::NowMs())
{
}

std::int64_t
Record::NowMs() const
{
  return Worker::NowMs() - beganMs_;
}

void
Record::Write(const std::string& aText)
{
  file_ << NowMs() << " ms: " << aText << std::endl;
}

namespace {

class Harness
{
public:
  Harness(boost::asio::io_context& aIo,
          std::string aNetwork,
          const std::string& aRecord,
          bool aHasTrouble)
    : io_(aIo)
    , network_(std::move(aNetwork))
    , record_(aRecord)
    , hasTrouble_(aHasTrouble)
  {
  }

  std::string Open(int aWorkers);
  Awaitable<void> Run(std::string aScenario);
  int Result() const { return result_; }

private:
  Awaitable<void> Simulate();
  Awaitable<HttpResponse> ServeMachines(const HttpRequest& aRequest);
  Awaitable<bool> WaitForEntries();
  Awaitable<HttpReply> Ask(int aEntry,
                           std::string aMethod,
                           std::string aPath,
                           std::string aBody);
  Awaitable<bool> Submit(int aEntry, std::string aId, json aBody);
  Awaitable<std::string> ReadState(int aEntry, std::string aId);
  Awaitable<int> CheckGang();
  Awaitable<int> CheckCrash();
  Awaitable<int> CheckWaiting();
  Awaitable<int> CheckTransfer();
  Awaitable<int> CheckLateStart();
  Worker* FindWorkerOf(const std::string& aItem);
  Awaitable<void> Sleep(std::int64_t aMs)
  {
    boost::asio::steady_timer timer(io_, Millis(aMs));
    co_await timer.async_wait(boost::asio::use_awaitable);
  }

  boost::asio::io_context& io_;
  std::string network_;
  Record record_;
  bool hasTrouble_;
  int result_ = kCouldNotRun;
  Context context_{ io_, {} };
  Store store_{ context_ };
  HttpClient http_{ io_, {} };
  std::vector<std::unique_ptr<HttpServer>> servers_;
};

std::string
Harness::Open(int aWorkers)
{
  store_.Put("op/config", MakeConfig());
  const auto serve = [&](const std::string& aAddress,
                         HttpServer::Handler aHandler) {
    servers_.push_back(std::make_unique<HttpServer>(
      io_, cuminbridge::HttpServerOptions{}, std::move(aHandler)));
    return servers_.back()->Open(aAddress);
  };
  auto error = serve(network_ + ".1:7400", [&](const HttpRequest& aRequest) {
    return store_.Serve(aRequest);
  });
  if (error.empty()) {
    error = serve(network_ + ".2:7400", [&](const HttpRequest& aRequest) {
      return ServeMachines(aRequest);
    });
  }
  constexpr int kFirstHost = 11;
  auto& workers = Workers::Get().all_;
  for (int number = 0; number < aWorkers && error.empty(); ++number) {
    constexpr int kThousand = 1000;
    const auto name =
      "m-" + std::to_string(kThousand + number + 1).substr(1); // "m-001"
    const int gpus = aWorkers == kManyWorkers && number == 0 ? kGpus : 0;
    workers.push_back(std::make_unique<Worker>(
      io_,
      store_,
      record_,
      name,
      network_ + '.' + std::to_string(kFirstHost + number) + ":7500",
      gpus));
    error = workers.back()->Open();
  }
  boost::asio::co_spawn(io_, Simulate(), boost::asio::detached);
  return error;
}

// Sends heartbeats, and removes the entries of workers that are silent.
Awaitable<void>
Harness::Simulate()
{
  constexpr std::int64_t kStepMs = 10;
  constexpr int kSilentBeats = 3;
  const auto interval = Workers::Get().bounds_.heartbeatMs_;
  std::map<std::string, std::int64_t> beats; // the last, by worker
  while (true) {
    Workers::Get().Advance();
    const auto now = Worker::NowMs();
    for (auto& worker : Workers::Get().all_) {
      const auto last = beats.find(worker->Id());
      if (worker->IsUp() && now >= worker->FirstReportAtMs() &&
          (last == beats.end() || now - last->second >= interval)) {
        beats[worker->Id()] = now;
        worker->SendHeartbeat();
      }
    }
    for (auto beat = beats.begin(); beat != beats.end();) {
      if (now - beat->second < kSilentBeats * interval) {
        ++beat;
      } else {
        store_.Remove("servers/" + beat->first);
        beat = beats.erase(beat);
      }
    }
    co_await Sleep(kStepMs);
  }
}

Awaitable<HttpResponse>
Harness::ServeMachines(const HttpRequest& aRequest)
{
  // There is one pool only, so no move makes sense.
  constexpr int kConflict = 409;
  static const json kBusy = { { "reason", "busy" } };
  if (PathOf(aRequest) == "/machines") {
    co_return Answer(kOk, DescribeMachines());
  }
  co_return Answer(kConflict, kBusy);
}

Awaitable<HttpReply>
Harness::Ask(int aEntry,
             std::string aMethod,
             std::string aPath,
             std::string aBody)
{
  const auto address = network_ + ".20" + std::to_string(aEntry) + ":8340";
  auto call = MakeCall(aMethod, aPath, aBody);
  const auto reply = co_await http_.Call(address, std::move(call));
  record_.Write("client at entry " + std::to_string(aEntry) + ": " + aMethod +
                ' ' + aPath + (aBody.empty() ? "" : ' ' + aBody) + " -> " +
                std::to_string(reply.status_) + ' ' + reply.body_);
  co_return reply;
}

Awaitable<bool>
Harness::Submit(int aEntry, std::string aId, json aBody)
{
  const auto reply =
    co_await Ask(aEntry, "POST", "/rounds/" + aId, aBody.dump());
  co_return reply.IsAnswered() && reply.status_ == kOk;
}

Awaitable<std::string>
Harness::ReadState(int aEntry, std::string aId)
{
  const auto reply = co_await Ask(aEntry, "GET", "/rounds/" + aId, "");
  const auto body = json::parse(reply.body_, nullptr, false);
  co_return body.is_object() ? body.value("state", std::string())
                             : std::string();
}

// Waits until all entries are ready and one of them starts work.
Awaitable<bool>
Harness::WaitForEntries()
{
  constexpr int kTries = 200;
  constexpr std::int64_t kPauseMs = 100;
  for (int entry = 1; entry <= kEntries; ++entry) {
    bool isReady = false;
    for (int tries = 0; tries < kTries && !isReady; ++tries) {
      HttpCall call;
      call.path_ = "/readiness";
      const auto reply = co_await http_.Call(
        network_ + ".20" + std::to_string(entry) + ":8343", std::move(call));
      isReady = reply.IsAnswered() && reply.status_ == kOk;
      co_await Sleep(kPauseMs);
    }
    if (!isReady) {
      co_return false;
    }
  }
  const std::string id = "00000000000000a0";
  const auto probe = MakeJob("takes=100", 1, 1000, 100);
  if (!co_await Submit(1, id, probe)) {
    co_return false;
  }
  for (int tries = 0; tries < kTries; ++tries) {
    if (co_await ReadState(2, id) == "completed") {
      co_return true;
    }
    co_await Sleep(kPauseMs);
  }
  co_return false;
}

Worker*
Harness::FindWorkerOf(const std::string& aItem)
{
  for (auto& worker : Workers::Get().all_) {
    if (worker->Runs().count(aItem) != 0) {
      return worker.get();
    }
  }
  return nullptr;
}

// A gang of two members that checkpoint. The worker of one is cut off for some
// seconds while they work; its lease lapses and the gang starts again.
Awaitable<int>
Harness::CheckGang()
{
  constexpr std::int64_t kWorkBeforeMs = 3300;
  constexpr std::int64_t kCutMs = 5500;
  constexpr int kSeconds = 25;
  const std::string id = "5c0e7a21d94b36f8";
  const auto job = MakeJob("gang=2 saves=1 takes=8000", 2, 40000, 8000, true);
  const bool isAccepted = co_await Submit(1, id, job);
  if (!isAccepted) {
    co_return kCouldNotRun;
  }
  co_await Sleep(kWorkBeforeMs);
  auto* first = FindWorkerOf(id + ".0.0.0");
  auto* second = FindWorkerOf(id + ".0.0.1");
  if (!first || !second || first == second) {
    co_return kCouldNotRun;
  }
  if (hasTrouble_) {
    first->CutOff(kCutMs);
  }
  std::string state;
  for (int second = 0; second < kSeconds && state != "completed"; ++second) {
    co_await Sleep(1000);
    state = co_await ReadState(2, id);
  }
  record_.Write("the job is shown as '" + state + "' at the end");
  std::map<std::int64_t, std::set<std::string>> values; // by run
  for (const auto& start : Workers::Get().starts_) {
    if (start.item_.substr(0, id.size()) == id) {
      values[start.run_].insert(start.checkpoint_);
    }
  }
  int result = kPassed;
  for (const auto& [run, set] : values) {
    if (set.size() > 1) {
      record_.Write("BROKEN: the members of the gang's run " +
                    std::to_string(run) + " were told to start with " +
                    std::to_string(set.size()) + " different checkpoints");
      result = kBroken;
    }
  }
  co_return result;
}

// One work item, whose worker crashes three times while it runs.
Awaitable<int>
Harness::CheckCrash()
{
  constexpr int kCrashes = 3;
  constexpr std::int64_t kRunsForMs = 3000;
  constexpr std::int64_t kDownMs = 500;
  constexpr int kSeconds = 60;
  const std::string id = "6b1f8c32ea5d47a9";
  const std::string item = id + ".0.0.0";
  const auto job = MakeJob("takes=12000", 1, 8000, 12000);
  const bool isAccepted = co_await Submit(1, id, job);
  if (!isAccepted) {
    co_return kCouldNotRun;
  }
  for (int crash = 0; hasTrouble_ && crash < kCrashes; ++crash) {
    Worker* worker = nullptr;
    for (int tries = 0; tries < 1000 && !worker; ++tries) {
      co_await Sleep(10);
      worker = FindWorkerOf(item);
    }
    if (!worker) {
      co_return kCouldNotRun;
    }
    co_await Sleep(kRunsForMs);
    worker->Crash(kDownMs);
  }
  std::string state;
  for (int second = 0;
       second < kSeconds && state != "completed" && state != "failed";
       ++second) {
    co_await Sleep(1000);
    state = co_await ReadState(2, id);
  }
  const int failed = Workers::Get().endsFailed_[item];
  record_.Write("the job is shown as '" + state + "'; " +
                std::to_string(failed) + " of its runs ended `failed`, its " +
                "queue allows " + std::to_string(kAttempts) + " attempts");
  if (state == "failed" && failed < kAttempts) {
    record_.Write("BROKEN: the accepted job is shown as failed without cause");
    co_return kBroken;
  }
  co_return state == "completed" ? kPassed : kCouldNotRun;
}

// A pool in which only one worker has room, and that one is unhealthy: it
// answers each start 503 and does nothing. The number of waiting jobs is read.
Awaitable<int>
Harness::CheckWaiting()
{
  constexpr std::int64_t kGreyMs = 6500;
  constexpr std::int64_t kVisibleMs = 3000 + 2000; // visible_ms + 2 s
  constexpr int kSmallJobs = 20; // 16 of them fit on one worker
  for (int number = 0; number + 1 < kWorkers; ++number) {
    const auto id = std::string("00000000000001b") + "0123456789abcdef"[number];
    const auto job = MakeJob("takes=40000", 1, 64000, 40000);
    const bool isAccepted = co_await Submit(1, id, job);
    if (!isAccepted) {
      co_return kCouldNotRun;
    }
  }
  co_await Sleep(2000);
  Worker* idle = nullptr;
  for (auto& worker : Workers::Get().all_) {
    if (worker->Runs().empty()) {
      if (idle) {
        co_return kCouldNotRun; // two workers are idle
      }
      idle = worker.get();
    }
  }
  if (!idle) {
    co_return kCouldNotRun;
  }
  if (hasTrouble_) {
    idle->RejectStarts(kGreyMs);
  }
  std::map<std::string, std::int64_t> acceptedAt;
  for (int number = 0; number < kSmallJobs; ++number) {
    constexpr int kFirst = 10;
    const auto id = "00000000000002" + std::to_string(kFirst + number);
    const int entry = 1 + number % kEntries;
    const auto job = MakeJob("takes=20000", 1, 4000, 20000);
    const bool isAccepted = co_await Submit(entry, id, job);
    if (!isAccepted) {
      co_return kCouldNotRun;
    }
    acceptedAt[id] = Worker::NowMs();
  }
  co_await Sleep(kVisibleMs + 300);
  int result = kPassed;
  for (int entry = 1; entry <= kEntries; ++entry) {
    const auto before = Worker::NowMs();
    const auto reply = co_await Ask(entry, "GET", "/rounds/", "");
    if (reply.status_ != kOk) {
      continue; // no count was given
    }
    int waiting = 0; // accepted in time, and not begun after the answer either
    for (const auto& [id, at] : acceptedAt) {
      waiting +=
        before - at > kVisibleMs && Workers::Get().begun_.count(id) == 0 ? 1
                                                                         : 0;
    }
    const int given = json::parse(reply.body_).at("waiting").get<int>();
    record_.Write("entry " + std::to_string(entry) + " gives " +
                  std::to_string(given) + " waiting jobs; " +
                  std::to_string(waiting) + " that were accepted over " +
                  std::to_string(kVisibleMs) + " ms before have not begun");
    if (2 * given < waiting) {
      record_.Write("BROKEN: under half of the waiting jobs are counted");
      result = kBroken;
    }
  }
  co_return result;
}

// A fleet of two cells, in which one worker has accelerators. It is down while
// jobs come that need one, and is back before the traffic ends.
Awaitable<int>
Harness::CheckTransfer()
{
  constexpr std::int64_t kDownMs = 6300;
  constexpr std::int64_t kBeforeJobsMs = 5200; // its entry has expired
  constexpr std::int64_t kFinishMs = 14000;    // finish_s
  constexpr int kJobs = 8;
  constexpr int kIdleMs = 3000;
  auto& owner = *Workers::Get().all_.front();
  if (hasTrouble_) {
    owner.Crash(kDownMs);
  }
  co_await Sleep(kBeforeJobsMs);
  std::vector<std::string> jobs;
  for (int number = 0; number < kJobs; ++number) {
    const auto id = "8d20c4f1b3a9e75" + std::to_string(number);
    const auto job = MakeJob("takes=1000", 1, 1000, 1000, false, 1);
    const int entry = 1 + number % kEntries;
    const bool isAccepted = co_await Submit(entry, id, job);
    if (!isAccepted) {
      co_return kCouldNotRun;
    }
    jobs.push_back(id);
  }
  co_await Sleep(kFinishMs + kIdleMs);
  int result = kPassed;
  for (const auto& id : jobs) {
    const auto state = co_await ReadState(1, id);
    if (Workers::Get().begun_.count(id) == 0) {
      record_.Write("BROKEN: job " + id + " is shown as '" + state +
                    "' and nothing of it has started, while worker " +
                    owner.Id() + " has been up with " + std::to_string(kGpus) +
                    " free accelerators");
      result = kBroken;
    }
  }
  co_return result;
}

// A start that gets no answer is carried out 6 s later. In between its work
// item has been stopped and started elsewhere, and its worker has crashed and
// is back under the same id.
Awaitable<int>
Harness::CheckLateStart()
{
  constexpr int kOtherJobs = 60; // so that the late order is one of many
  constexpr std::int64_t kCrashAfterMs = 5500;
  constexpr std::int64_t kDownMs = 300;
  constexpr std::int64_t kFirstReportMs = 1000;
  constexpr std::int64_t kCarryOutMs = 200; // after the worker is back
  const std::string id = "3fa94be07d15c682";
  auto& workers = Workers::Get();
  const int ordersBefore = workers.orders_;
  for (int number = 0; number < kOtherJobs; ++number) {
    constexpr int kFirst = 10;
    const auto other = "00000000000003" + std::to_string(kFirst + number);
    const auto job = MakeJob("takes=500", 1, 2000, 500);
    const bool isAccepted = co_await Submit(1, other, job);
    if (!isAccepted) {
      co_return kCouldNotRun;
    }
    co_await Sleep(20);
  }
  co_await Sleep(1500); // all of them have ended
  // Work is packed: the item goes beside the short job first, whose worker is
  // empty when it starts again, and then beside the long one.
  const auto longJob = MakeJob("takes=60000", 1, 20000, 60000);
  const auto shortJob = MakeJob("takes=900", 1, 50000, 900);
  const auto job = MakeJob("takes=20000", 1, 8000, 20000);
  bool areAccepted = co_await Submit(1, "00000000000004a0", longJob);
  co_await Sleep(200);
  areAccepted = co_await Submit(1, "00000000000004a1", shortJob) && areAccepted;
  if (hasTrouble_) {
    workers.heldJob_ = id;
  }
  areAccepted = co_await Submit(1, id, job) && areAccepted;
  if (!areAccepted) {
    co_return kCouldNotRun;
  }
  co_await Sleep(kCrashAfterMs);
  if (hasTrouble_) {
    Worker* told = nullptr;
    for (auto& worker : workers.all_) {
      if (worker->Id() == workers.heldAt_) {
        told = worker.get();
      }
    }
    if (!told || !told->Runs().empty()) {
      co_return kCouldNotRun;
    }
    told->Restart(kDownMs, kFirstReportMs);
    workers.carryOutAtMs_ = Worker::NowMs() + kDownMs + kCarryOutMs;
  }
  constexpr std::int64_t kObserveMs = 20000;
  co_await Sleep(kObserveMs);
  const auto state = co_await ReadState(2, id);
  record_.Write("the job is shown as '" + state + "'; of " +
                std::to_string(workers.orders_ - ordersBefore) +
                " calls to the workers one was late");
  co_return workers.doubleRuns_.empty() ? kPassed : kBroken;
}

Awaitable<void>
Harness::Run(std::string aScenario)
{
  if (co_await WaitForEntries()) {
    record_.Write(hasTrouble_ ? "the entries are ready; with the disruption"
                              : "the entries are ready; no disruption");
    if (aScenario == "gang") {
      result_ = co_await CheckGang();
    } else if (aScenario == "crash") {
      result_ = co_await CheckCrash();
    } else if (aScenario == "waiting") {
      result_ = co_await CheckWaiting();
    } else if (aScenario == "late-start") {
      result_ = co_await CheckLateStart();
    } else if (aScenario == "transfer") {
      result_ = co_await CheckTransfer();
    }
  }
  static const char* const kNames[] = { "held", "broken", "could not run" };
  record_.Write(std::string("result: ") + kNames[result_]);
  io_.stop();
}

} // namespace

} // namespace review

int
main(int argc, char** argv)
{
  constexpr int kArguments = 5;
  if (argc != kArguments) {
    std::cerr << "usage: harness SCENARIO NETWORK RECORD TROUBLE\n";
    return review::kCouldNotRun;
  }
  boost::asio::io_context io(1);
  review::Harness harness(io, argv[2], argv[3], std::string(argv[4]) != "0");
  const bool hasCells = std::string(argv[1]) == "transfer";
  const auto error =
    harness.Open(hasCells ? review::kManyWorkers : review::kWorkers);
  if (!error.empty()) {
    std::cerr << error << "\n";
    return review::kCouldNotRun;
  }
  boost::asio::co_spawn(io, harness.Run(argv[1]), boost::asio::detached);
  io.run();
  std::_Exit(harness.Result()); // the workers' servers outlive the io_context
}
