// A stand-in of the users' platform for cases of the review. It serves the
// project's stand-in of the store, and a list of machines and workers of its
// own, whose stops and upkeeps take time. It judges TWICE (two runs at once),
// QUOTA and LIMIT by what it sees on its sockets, and writes each event to a
// record.
//
//   standin_3 NETWORK RECORD WORKERS STOP_MS UPKEEP_MS MAX_CPU [SPECIAL...]
//
// The store listens at NETWORK.1:7400, the list of machines at .2:7400, the
// advice service at .3:7400, and workers from .11:7500 on. All workers are in
// one pool, and one tenant has all jobs; MAX_CPU 0 sets no limit for it. Each
// work item uses 1,000 thousandths of a core until it is stopped; there are no
// other kinds of work items. The kind of the workers is "a", but "b" for those
// with the numbers SPECIAL. With GUARDS=0 in the environment, workers start
// whatever they are told (`rejects_overload` false).
//
// Operator calls at the store's address: POST /operator {"key","value"} writes
// a key, POST /operator/limit {"version","cpu"} sets the tenant's limit, POST
// /operator/leave {"machine"} has a machine drained and taken away, POST
// /operator/crash {"machine","ms"} ends its worker, which is silent for that
// time and starts again under its id, and POST /operator/cut {"machine","ms"}
// cuts the worker off silently, and it runs on.

#include <fstream>
#include <iostream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>

#include "standin.h"

namespace {

using namespace cuminbridge;
using standin::Answer;
using standin::json;
using standin::Pause;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kMissing = 404;
constexpr int kConflict = 409;
constexpr int kOtherIncarnation = 421;
constexpr int kItemCpu = 1000;
constexpr int kWorkerCpu = 16000;
constexpr std::int64_t kHeartbeatMs = 1500;
constexpr std::int64_t kLongestLeaseMs = 10000;
constexpr std::int64_t kStartupMs = 300; // of a work item
constexpr std::int64_t kConfigApplyMs = 3000;
constexpr std::int64_t kDrainMs =
  4000; // drain_ms is 2000; a worker stays longer
constexpr double kQuotaOvershoot = 0.1;
constexpr Millis kStep(3);

struct Options
{
  std::string network_;
  std::string record_;
  int workers_ = 0;
  std::int64_t stopMs_ = 0;
  std::int64_t upkeepMs_ = 0;
  std::int64_t maxCpu_ = 0;
  std::set<int> special_; // numbers of the workers of kind "b"
  bool guards_ = true;    // workers reject what does not fit
};

struct Run
{
  std::int64_t run_ = 0;
  std::int64_t startedMs_ = 0;
  std::int64_t stopsAtMs_ = 0; // 0: no stop was ordered
};

struct Worker
{
  std::string machine_;
  std::string id_; // empty during upkeep
  std::string address_;
  std::string rack_;
  std::string kind_;
  std::int64_t bornUnixMs_ = 0;
  std::int64_t bornMs_ = 0;
  std::int64_t token_ = 0;
  std::int64_t leaseUntil_ = 0;
  std::int64_t sequence_ = 0;
  std::int64_t reportedMs_ = 0;
  std::int64_t upAgainMs_ = 0;  // 0: it is up
  std::int64_t wave_ = 0;       // of its upkeep
  std::int64_t leavesAtMs_ = 0; // 0: it was not told to drain
  bool isGone_ = false;
  std::int64_t darkUntilMs_ = 0; // crashed: it starts again then, under its id
  std::int64_t cutUntilMs_ = 0;
  int lives_ = 0;
  std::map<std::string, Run> runs_;
  std::map<std::string, std::int64_t> highestEnded_;
  json ended_ = json::array();
  std::int64_t endedCount_ = 0;
};

class Platform
{
public:
  Platform(boost::asio::io_context& aIo, Options aOptions)
    : context_{ aIo, {} }
    , store_(context_)
    , options_(std::move(aOptions))
    , out_(options_.record_)
    , maxCpu_(options_.maxCpu_)
  {
    constexpr int kFirstHost = 11;
    constexpr int kRack = 8;
    for (int number = 0; number < options_.workers_; ++number) {
      Worker worker;
      const std::string digits = std::to_string(1000 + number);
      worker.machine_ = "machine-" + digits;
      worker.kind_ = options_.special_.count(number) != 0 ? "b" : "a";
      worker.rack_ = "rack-" + std::to_string(number / kRack);
      worker.address_ =
        options_.network_ + '.' + std::to_string(kFirstHost + number) + ":7500";
      workers_.push_back(std::move(worker));
    }
    for (auto& worker : workers_) {
      Boot(worker);
    }
    PutConfig(1);
  }

  bool Serve(boost::asio::io_context& aIo)
  {
    bool isGood = true;
    const auto serve = [&](const std::string& aAddress,
                           HttpServer::Handler aHandler) {
      servers_.push_back(std::make_unique<HttpServer>(
        aIo, HttpServerOptions{}, std::move(aHandler)));
      const auto error = servers_.back()->Open(aAddress);
      if (!error.empty()) {
        std::cerr << error << "\n";
        isGood = false;
      }
    };
    serve(options_.network_ + ".1:7400",
          [this](const HttpRequest& aRequest) { return ServeStore(aRequest); });
    serve(options_.network_ + ".2:7400", [this](const HttpRequest& aRequest) {
      return ServeMachines(aRequest);
    });
    serve(options_.network_ + ".3:7400", [this](const HttpRequest& aRequest) {
      return ServeAdvice(aRequest);
    });
    for (auto& worker : workers_) {
      serve(worker.address_, [this, &worker](const HttpRequest& aRequest) {
        return ServeWorker(worker, aRequest);
      });
    }
    boost::asio::co_spawn(aIo, Simulate(), boost::asio::detached);
    return isGood;
  }

private:
  void Record(const std::string& aText)
  {
    out_ << context_.NowMs() - startedMs_ << " ms " << aText << std::endl;
  }

  void PutConfig(std::int64_t aVersion)
  {
    const json route = {
      { "name", "rounds" },     { "host", "demo.example" },
      { "prefix", "/rounds/" }, { "type", "unsafe" },
      { "timeout_ms", 3000 },   { "target_runtime_ms", 2500 },
      { "priority", 0 },        { "service", "planning" },
      { "attempts", 3 },        { "stretch", 1.6 },
      { "public", false }
    };
    const json pool = { { "name", "planning" },
                        { "health_path", "/health" },
                        { "rejects_overload", options_.guards_ },
                        { "standby", false } };
    const json tenant = { { "name", "depots" },
                          { "api_keys", { "demo-key" } },
                          { "weight", 10 },
                          { "max_count",
                            { { "cpu", maxCpu_ }, { "mem_mb", 0 } } } };
    json config = { { "version", aVersion },
                    { "limits", { { "max_body_bytes", 262144 } } } };
    config["routes"] = json::array({ route });
    config["services"] = json::array({ pool });
    config["tenants"] = json::array({ tenant });
    store_.Put("op/config", config);
  }

  // The highest limit of the manifests that may be in force.
  std::int64_t HighestMaxCpu() const
  {
    const bool mayOldHold = context_.NowMs() < limitChangedMs_ + kConfigApplyMs;
    return mayOldHold ? std::max(maxCpu_, formerMaxCpu_) : maxCpu_;
  }

  std::int64_t ClockMs(const Worker& aWorker) const
  {
    return context_.NowMs() - aWorker.bornMs_;
  }

  void Boot(Worker& aWorker)
  {
    ++aWorker.lives_;
    if (aWorker.id_.empty()) {
      aWorker.id_ = aWorker.machine_ + '-' + std::to_string(aWorker.lives_);
    }
    aWorker.darkUntilMs_ = 0;
    aWorker.bornUnixMs_ =
      context_.clocks_.TimeOfDay().time_since_epoch().count();
    aWorker.bornMs_ = context_.NowMs();
    aWorker.token_ = 0;
    aWorker.leaseUntil_ = 0;
    aWorker.sequence_ = 0;
    aWorker.upAgainMs_ = 0;
    aWorker.endedCount_ = 0;
    aWorker.ended_ = json::array();
    aWorker.highestEnded_.clear();
  }

  std::int64_t RemainingMs(const Worker& aWorker) const
  {
    return std::max<std::int64_t>(0, aWorker.leavesAtMs_ - context_.NowMs());
  }

  bool IsCut(const Worker& aWorker) const
  {
    return context_.NowMs() < aWorker.cutUntilMs_;
  }

  HttpResponse Break(const json& aBody, bool aIsCut)
  {
    const auto time = aBody.at("ms").get<std::int64_t>();
    for (auto& worker : workers_) {
      if (aBody.at("machine") != worker.machine_) {
        continue;
      }
      Record((aIsCut ? "cut off: " : "crashed: ") + worker.id_ + " for " +
             std::to_string(time) + " ms");
      (aIsCut ? worker.cutUntilMs_ : worker.darkUntilMs_) =
        context_.NowMs() + time;
      if (!aIsCut) {
        worker.runs_.clear();
      }
    }
    return Answer(kOk);
  }

  // Has a machine drained: it reports that at once, and leaves later.
  HttpResponse Leave(const std::string& aMachine)
  {
    for (auto& worker : workers_) {
      if (worker.machine_ == aMachine && !worker.id_.empty()) {
        worker.leavesAtMs_ = context_.NowMs() + kDrainMs;
        Report(worker);
        Record("drains: " + aMachine);
      }
    }
    return Answer(kOk);
  }

  void Report(Worker& aWorker)
  {
    aWorker.reportedMs_ = context_.NowMs();
    store_.Put(
      "servers/" + aWorker.id_,
      { { "service", "planning" },
        { "address", aWorker.address_ },
        { "machine", aWorker.machine_ },
        { "zone", "demo-a" },
        { "version", "v1" },
        { "slots", 8 },
        { "state", aWorker.leavesAtMs_ == 0 ? "ready" : "draining" },
        { "remaining_ms", RemainingMs(aWorker) },
        { "cold_remaining_ms", 0 },
        { "capacity",
          { { "cpu", kWorkerCpu }, { "mem_mb", 65536 }, { "gpu", 0 } } },
        { "labels", { aWorker.kind_, aWorker.rack_ } },
        { "born", aWorker.bornUnixMs_ },
        { "clock_ms", ClockMs(aWorker) },
        { "sequence", ++aWorker.sequence_ } });
  }

  void End(Worker& aWorker, const std::string& aItem, const char* aHow)
  {
    const auto run = aWorker.runs_.at(aItem).run_;
    aWorker.runs_.erase(aItem);
    aWorker.highestEnded_[aItem] = run;
    aWorker.ended_.push_back({ ++aWorker.endedCount_, aItem, run, aHow, "" });
    Record(std::string("ended ") + aItem + " run " + std::to_string(run) + ' ' +
           aHow + " on " + aWorker.id_ + ", running " +
           std::to_string(RunningCpu()));
  }

  void EndDueRuns(Worker& aWorker)
  {
    const bool hasLapsed = ClockMs(aWorker) > aWorker.leaseUntil_;
    std::vector<std::pair<std::string, const char*>> due;
    for (const auto& [item, run] : aWorker.runs_) {
      if (run.stopsAtMs_ != 0 && context_.NowMs() >= run.stopsAtMs_) {
        due.emplace_back(item, "stopped");
      } else if (hasLapsed) {
        due.emplace_back(item, "lapsed");
      }
    }
    for (const auto& [item, how] : due) {
      End(aWorker, item, how);
    }
  }

  std::int64_t RunningCpu() const
  {
    std::size_t runs = 0;
    for (const auto& worker : workers_) {
      runs += worker.runs_.size();
    }
    return static_cast<std::int64_t>(runs) * kItemCpu;
  }

  Awaitable<void> Simulate()
  {
    while (true) {
      for (auto& worker : workers_) {
        if (worker.upAgainMs_ != 0 && context_.NowMs() >= worker.upAgainMs_) {
          Boot(worker);
          Record("upkeep ended of " + worker.machine_);
        }
        if (worker.darkUntilMs_ != 0 &&
            context_.NowMs() >= worker.darkUntilMs_) {
          Boot(worker);
          Record("started again: " + worker.id_);
        }
        if (worker.upAgainMs_ != 0 || worker.isGone_ ||
            worker.darkUntilMs_ != 0) {
          continue;
        }
        if (worker.leavesAtMs_ != 0 && context_.NowMs() >= worker.leavesAtMs_) {
          worker.isGone_ = true;
          worker.runs_.clear();
          store_.Remove("servers/" + worker.id_);
          Record("left: " + worker.machine_);
          continue;
        }
        EndDueRuns(worker);
        if (!IsCut(worker) &&
            (worker.sequence_ == 0 ||
             context_.NowMs() - worker.reportedMs_ >= kHeartbeatMs)) {
          Report(worker);
        }
      }
      co_await Pause(context_, Millis(10));
    }
  }

  Awaitable<HttpResponse> ServeStore(const HttpRequest& aRequest)
  {
    if (aRequest.path_ == "/operator/limit") {
      const auto body = json::parse(aRequest.body_);
      formerMaxCpu_ = HighestMaxCpu();
      maxCpu_ = body.at("cpu").get<std::int64_t>();
      limitChangedMs_ = context_.NowMs();
      PutConfig(body.at("version").get<std::int64_t>());
      Record("manifest: max_count " + std::to_string(maxCpu_));
      co_return Answer(kOk);
    }
    if (aRequest.path_ == "/operator/crash" ||
        aRequest.path_ == "/operator/cut") {
      co_return Break(json::parse(aRequest.body_),
                      aRequest.path_ == "/operator/cut");
    }
    if (aRequest.path_ == "/operator/leave") {
      co_return Leave(json::parse(aRequest.body_).at("machine"));
    }
    if (aRequest.path_ == "/operator") {
      const auto body = json::parse(aRequest.body_);
      const auto& value = body.at("value");
      if (value.contains("wave")) {
        maxDown_[value.at("wave").get<std::int64_t>()] =
          value.at("max_count").get<int>();
      }
      Record("operator: " + aRequest.body_);
    }
    co_return co_await store_.Serve(aRequest);
  }

  HttpResponse ListMachines() const
  {
    json rows = json::array();
    for (const auto& worker : workers_) {
      if (worker.isGone_) {
        continue;
      }
      rows.push_back(
        { { "machine", worker.machine_ },
          { "pool", "planning" },
          { "state", worker.upAgainMs_ == 0 ? "up" : "upkeep" },
          { "zone", "demo-a" },
          { "labels", { worker.kind_, worker.rack_ } },
          { "capacity",
            { { "cpu", kWorkerCpu }, { "mem_mb", 65536 }, { "gpu", 0 } } },
          { "id", worker.id_ } });
    }
    return Answer(
      kOk, { { "machines", std::move(rows) }, { "next_token", nullptr } });
  }

  HttpResponse BeginUpkeep(Worker& aWorker, const HttpRequest& aRequest)
  {
    const auto wave =
      json::parse(aRequest.body_).at("wave").get<std::int64_t>();
    if (maxDown_.count(wave) == 0) {
      return Answer(kConflict, { { "reason", "wave" } });
    }
    if (begun_.count({ wave, aWorker.machine_ }) != 0) {
      return Answer(kOk, json::object()); // it is done already
    }
    if (aWorker.upAgainMs_ != 0) {
      return Answer(kConflict, { { "reason", "busy" } });
    }
    int down = 0;
    for (const auto& worker : workers_) {
      down += worker.upAgainMs_ != 0 && worker.wave_ == wave ? 1 : 0;
    }
    const auto most = maxDown_.at(wave);
    Record("upkeep began of " + aWorker.machine_ + " for wave " +
           std::to_string(wave) + " by " +
           std::string(aRequest.Header("Duty-Holder")) + " with token " +
           std::string(aRequest.Header("Fencing-Token")) + ", " +
           std::to_string(down) + " others down, max_count " +
           std::to_string(most));
    if (down >= most) {
      Record("BROKEN LIMIT: " + std::to_string(down + 1) +
             " machines of the wave are down, max_count is " +
             std::to_string(most));
    }
    begun_.insert({ wave, aWorker.machine_ });
    store_.Remove("servers/" + aWorker.id_);
    aWorker.runs_.clear();
    aWorker.id_.clear();
    aWorker.wave_ = wave;
    aWorker.upAgainMs_ = context_.NowMs() + options_.upkeepMs_;
    return Answer(kOk, json::object());
  }

  Awaitable<HttpResponse> ServeMachines(const HttpRequest& aRequest)
  {
    if (standin::PathOf(aRequest) == "/machines") {
      co_return ListMachines();
    }
    if (aRequest.path_ != "/machine-upkeep") {
      co_return Answer(kBadRequest); // there is no other pool to move to
    }
    const auto machine = json::parse(aRequest.body_).at("machine");
    for (auto& worker : workers_) {
      if (machine == worker.machine_) {
        co_return BeginUpkeep(worker, aRequest);
      }
    }
    co_return Answer(kBadRequest);
  }

  Awaitable<HttpResponse> ServeAdvice(const HttpRequest&)
  {
    co_return Answer(kMissing); // no queue has advice
  }

  HttpResponse Reject(const Worker& aWorker, const char* aReason) const
  {
    return Answer(kConflict,
                  { { "clock_ms", ClockMs(aWorker) }, { "reason", aReason } });
  }

  void ExtendLease(Worker& aWorker, const json& aBody)
  {
    const auto until = aBody.value("deadline_ms", std::int64_t(0));
    aWorker.leaseUntil_ = std::max(
      aWorker.leaseUntil_, std::min(until, ClockMs(aWorker) + kLongestLeaseMs));
  }

  HttpResponse Start(Worker& aWorker, const json& aBody)
  {
    const auto item = aBody.at("task").get<std::string>();
    const auto run = aBody.at("run").get<std::int64_t>();
    const auto found = aWorker.runs_.find(item);
    if (found != aWorker.runs_.end() && found->second.run_ == run) {
      return Answer(kOk, { { "clock_ms", ClockMs(aWorker) } });
    }
    if (aBody.at("deadline_ms").get<std::int64_t>() <= ClockMs(aWorker)) {
      return Reject(aWorker, "late");
    }
    ExtendLease(aWorker, aBody);
    if (found != aWorker.runs_.end() || aWorker.highestEnded_[item] >= run) {
      return Reject(aWorker, "old");
    }
    const auto here = static_cast<int>(aWorker.runs_.size() + 1) * kItemCpu;
    if (options_.guards_ && here > kWorkerCpu) {
      return Reject(aWorker, "room");
    }
    for (auto& other : workers_) {
      EndDueRuns(other);
      if (&other != &aWorker && other.runs_.count(item) != 0) {
        Record("BROKEN TWICE: " + item + " runs on " + other.id_ +
               " and starts on " + aWorker.id_);
      }
    }
    aWorker.runs_[item] = { run, context_.NowMs(), 0 };
    const auto running = RunningCpu();
    Record("start " + item + " run " + std::to_string(run) + " on " +
           aWorker.id_ + ", running " + std::to_string(running));
    const auto most =
      static_cast<std::int64_t>(static_cast<double>(HighestMaxCpu()) *
                                (1 + kQuotaOvershoot)) +
      kItemCpu;
    if (here > kWorkerCpu) {
      Record("BROKEN LIMIT: the start brings " + aWorker.id_ + " to " +
             std::to_string(here) + ", its capacity is " +
             std::to_string(kWorkerCpu));
    }
    if (HighestMaxCpu() > 0 && running > most) {
      Record("BROKEN QUOTA: the start brings the tenant to " +
             std::to_string(running) + ", allowed are " + std::to_string(most));
    }
    return Answer(kOk, { { "clock_ms", ClockMs(aWorker) } });
  }

  HttpResponse Stop(Worker& aWorker, const json& aBody)
  {
    const auto item = aBody.at("task").get<std::string>();
    const auto run = aBody.at("run").get<std::int64_t>();
    const auto found = aWorker.runs_.find(item);
    if (found == aWorker.runs_.end() || found->second.run_ != run) {
      auto& highest = aWorker.highestEnded_[item];
      highest = std::max(highest, run);
    } else if (found->second.stopsAtMs_ == 0) {
      found->second.stopsAtMs_ = context_.NowMs() + options_.stopMs_;
      Record("stop of " + item + " run " + std::to_string(run) + " on " +
             aWorker.id_);
    }
    return Answer(kOk, { { "clock_ms", ClockMs(aWorker) } });
  }

  HttpResponse List(const Worker& aWorker) const
  {
    json running = json::array();
    for (const auto& [item, run] : aWorker.runs_) {
      const bool isUp = context_.NowMs() - run.startedMs_ >= kStartupMs;
      running.push_back({ item, run.run_, "", isUp ? 100 : 0, kItemCpu });
    }
    return Answer(kOk,
                  { { "clock_ms", ClockMs(aWorker) },
                    { "born", aWorker.bornUnixMs_ },
                    { "running", std::move(running) },
                    { "ended", aWorker.ended_ } });
  }

  // Answers long after the caller has given up.
  Awaitable<HttpResponse> Lose()
  {
    co_await Pause(context_, Millis(20000));
    co_return Answer(kMissing);
  }

  Awaitable<HttpResponse> ServeWorker(Worker& aWorker,
                                      const HttpRequest& aRequest)
  {
    while (aWorker.upAgainMs_ != 0 || aWorker.isGone_) {
      co_await Pause(context_, kStep); // the machine is down
    }
    if (aWorker.darkUntilMs_ != 0 || IsCut(aWorker)) {
      co_return co_await Lose(); // what comes meanwhile does not arrive
    }
    if (aRequest.Header("Expect-Instance") != aWorker.id_) {
      co_return Answer(kOtherIncarnation, { { "clock_ms", ClockMs(aWorker) } });
    }
    const auto life = aWorker.lives_;
    EndDueRuns(aWorker);
    const auto body = json::parse(aRequest.body_);
    const auto token = body.value("fencing_token", std::int64_t(0));
    if (token < aWorker.token_) {
      co_return Reject(aWorker, "fence");
    }
    aWorker.token_ = token;
    if (aRequest.path_ == "/run-start") {
      co_return Start(aWorker, body);
    }
    if (aRequest.path_ == "/run-stop") {
      co_return Stop(aWorker, body);
    }
    if (aRequest.path_ != "/hold") {
      co_return Answer(kMissing);
    }
    ExtendLease(aWorker, body);
    const auto seen = body.value("last_seen", std::int64_t(0));
    json left = json::array();
    for (const auto& row : aWorker.ended_) {
      if (row.at(0).get<std::int64_t>() > seen) {
        left.push_back(row);
      }
    }
    aWorker.ended_ = std::move(left);
    const auto until =
      context_.NowMs() + body.value("wait_ms", std::int64_t(0));
    while (aWorker.ended_.empty() && context_.NowMs() < until) {
      co_await Pause(context_, kStep);
      if (aWorker.darkUntilMs_ != 0 || IsCut(aWorker)) {
        co_return co_await Lose();
      }
      if (aWorker.lives_ != life || aWorker.upAgainMs_ != 0) {
        co_return Answer(kOtherIncarnation,
                         { { "clock_ms", ClockMs(aWorker) } });
      }
      EndDueRuns(aWorker);
    }
    if (aWorker.darkUntilMs_ != 0 || IsCut(aWorker)) {
      co_return co_await Lose();
    }
    co_return List(aWorker);
  }

  standin::Context context_;
  standin::Store store_;
  Options options_;
  std::ofstream out_;
  std::int64_t startedMs_ = context_.NowMs();
  std::vector<Worker> workers_;
  std::vector<std::unique_ptr<HttpServer>> servers_;
  std::map<std::int64_t, int> maxDown_; // by wave
  std::set<std::pair<std::int64_t, std::string>> begun_;
  std::int64_t maxCpu_ = 0;
  std::int64_t formerMaxCpu_ = 0;
  std::int64_t limitChangedMs_ = -kConfigApplyMs;
};

} // namespace

int
main(int argc, char** argv)
{
  constexpr int kArguments = 7;
  if (argc < kArguments) {
    std::cerr << "usage: standin_3 NETWORK RECORD WORKERS STOP_MS UPKEEP_MS "
                 "MAX_CPU [SPECIAL...]\n";
    return 2;
  }
  std::set<int> special;
  for (int index = kArguments; index < argc; ++index) {
    special.insert(std::stoi(argv[index]));
  }
  const char* guards = std::getenv("GUARDS");
  boost::asio::io_context io(1);
  Platform platform(io,
                    { argv[1],
                      argv[2],
                      std::stoi(argv[3]),
                      std::stoll(argv[4]),
                      std::stoll(argv[5]),
                      std::stoll(argv[6]),
                      std::move(special),
                      !guards || std::string_view(guards) != "0" });
  if (!platform.Serve(io)) {
    return 1;
  }
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](auto, int) { io.stop(); });
  io.run();
  return 0;
}
