// The store, the VM service, the workers and the caller of a case.

#include "world.hh"

#include <algorithm>
#include <cstdlib>
#include <iostream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <openssl/evp.h>

namespace review {

namespace asio = boost::asio;
using cuminbridge::Millis;
using cuminbridge::standin::Answer;
using cuminbridge::standin::PathOf;

namespace {

// The limits and times are those of the site file and of DEPLOY.md.
constexpr std::int64_t kHeartbeatMs = 1500;
constexpr std::int64_t kRegistrationMs = 250; // from the start of a worker
constexpr std::int64_t kSilentHeartbeats = 3; // then the entry is removed
constexpr std::int64_t kMaxHoldMs = 10000;
constexpr std::int64_t kUpkeepMs = 2000;
constexpr std::int64_t kMoveMs = 1500;
constexpr std::size_t kValueBytes = 1048576;
constexpr std::int64_t kCpu = 64000;
constexpr std::int64_t kMemMb = 131072;
constexpr std::int64_t kStartupMs = 500; // of a run that lasts
constexpr Millis kStep(5);
constexpr int kPercent = 100;
constexpr std::int64_t kFirstClockMs = 1000;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kMissing = 404;
constexpr int kConflict = 409;
constexpr int kTooLarge = 413;
constexpr int kOtherInstance = 421;

// How a run goes, from the spec of its job: "done=MS" or "failed=MS" says when
// and as what it ends; "lasts" runs until it is stopped.
Run
RunOf(std::int64_t aNumber, std::int64_t aNowMs, const std::string& aSpec)
{
  const auto sign = aSpec.find('=');
  if (sign == std::string::npos) {
    return { aNumber, aNowMs, 0, "" };
  }
  return {
    aNumber, aNowMs, std::atoll(aSpec.c_str() + sign + 1), aSpec.substr(0, sign)
  };
}

// Bytes of a value in base64.
std::size_t
SizeOf(const std::string& aValue)
{
  return aValue.size() / 4 * 3;
}

// "items (at most about 500 items or 1 MB) and has_more"
void
CutPage(HttpResponse& aAnswer)
{
  auto body = json::parse(aAnswer.body_);
  auto& items = body.at("items");
  std::size_t size = 0;
  for (std::size_t index = 0; index < items.size(); ++index) {
    size += items.at(index).at("value").get_ref<const std::string&>().size();
    if (size > kValueBytes && index > 0) {
      items.erase(items.begin() + static_cast<std::ptrdiff_t>(index),
                  items.end());
      body["has_more"] = true;
      aAnswer.body_ = body.dump();
      return;
    }
  }
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Record
//-----------------------------------------------------------------------------

Record::Record(cuminbridge::standin::Context& aContext,
               const std::string& aPath)
  : context_(aContext)
  , startedMs_(aContext.NowMs())
  , file_(aPath)
{
}

void
Record::Add(const std::string& aLine)
{
  file_ << context_.NowMs() - startedMs_ << " ms  " << aLine << std::endl;
}

void
Record::AddRun(const std::string& aLine)
{
  constexpr int kMost = 3000;
  if (++runLines_ <= kMost) {
    Add(aLine);
  } else if (runLines_ == kMost + 1) {
    Add("more runs are not listed one by one");
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Start
//-----------------------------------------------------------------------------

World::World(asio::io_context& aIo,
             std::string aNetwork,
             const std::string& aRecord)
  : io_(aIo)
  , context_{ aIo, {} }
  , network_(std::move(aNetwork))
  , record_(context_, aRecord)
  , store_(context_)
  , http_(aIo, cuminbridge::HttpClientOptions{})
{
}

void
World::Start(const std::vector<VmSpec>& aVms, const json& aConfig)
{
  const auto serve = [this](const std::string& aAddress,
                            cuminbridge::HttpServer::Handler aHandler) {
    cuminbridge::HttpServerOptions options;
    options.maxBodyBytes_ = 64 * 1024 * 1024;
    servers_.push_back(std::make_unique<cuminbridge::HttpServer>(
      io_, options, std::move(aHandler)));
    const auto error = servers_.back()->Open(aAddress);
    if (!error.empty()) {
      std::cerr << error << "\n";
      std::exit(2);
    }
  };
  store_.Put("op/config", aConfig);
  for (const auto& pool : aConfig.at("services")) {
    if (pool.value("standby", false)) {
      standbyPools_.insert(pool.at("name").get<std::string>());
    }
  }
  serve(network_ + ".1:7400",
        [this](const HttpRequest& aRequest) { return ServeStore(aRequest); });
  serve(network_ + ".2:7400", [this](const HttpRequest& aRequest) {
    return ServeVmService(aRequest);
  });
  constexpr int kFirstHost = 11;
  constexpr int kVmsOfRack = 4;
  for (std::size_t index = 0; index < aVms.size(); ++index) {
    auto vm = std::make_unique<Vm>();
    const auto host =
      network_ + "." + std::to_string(kFirstHost + static_cast<int>(index));
    vm->name_ = "vm-" + std::to_string(index + 1);
    vm->pool_ = aVms[index].pool_;
    vm->gpu_ = aVms[index].gpu_;
    vm->rack_ = "r-" + std::to_string(index / kVmsOfRack);
    vm->address_ = host + ":7500";
    vm->gate_ = std::make_unique<Gate>(io_, vm->address_, host + ":7600");
    vm->gate_->Open();
    auto* raw = vm.get();
    serve(host + ":7600", [this, raw](const HttpRequest& aRequest) {
      return ServeWorker(*raw, aRequest);
    });
    vms_.push_back(std::move(vm));
    Boot(*raw, "worker-" + std::to_string(++workers_));
  }
  asio::co_spawn(io_, Simulate(), asio::detached);
}

void
World::OpenLinks(int aMbps)
{
  constexpr std::int64_t kBytesPerMegabit = 125000;
  for (int entry = 1; entry <= 3; ++entry) {
    links_.push_back(std::make_unique<Gate>(
      io_,
      network_ + "." + std::to_string(200 + entry) + ":7400",
      network_ + ".1:7400",
      aMbps * kBytesPerMegabit));
    links_.back()->Open();
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Store
//-----------------------------------------------------------------------------

Awaitable<HttpResponse>
World::ServeStore(HttpRequest aRequest)
{
  if (PathOf(aRequest) == "/kv-txn") {
    const auto body = json::parse(aRequest.body_);
    for (const auto& row : body.at("set_keys")) {
      const auto size = SizeOf(row.at("value").get_ref<const std::string&>());
      if (size > kValueBytes) {
        ++oversizedWrites_;
        record_.Add("store: refused " + row.at("key").get<std::string>() +
                    " with a value of " + std::to_string(size) + " bytes");
        co_return Answer(kTooLarge);
      }
    }
  }
  auto answer = co_await store_.Serve(aRequest);
  if (PathOf(aRequest) == "/kv-range") {
    CutPage(answer);
  }
  co_return answer;
}

Awaitable<std::string>
World::ReadKey(std::string aKey)
{
  HttpRequest request;
  request.method_ = "GET";
  request.path_ = "/kv-key?key=" + aKey;
  const auto answer = co_await store_.Serve(request);
  if (answer.status_ != kOk) {
    co_return "";
  }
  const auto text = json::parse(answer.body_).at("value").get<std::string>();
  std::string bytes(text.size() + 1, '\0');
  const int size =
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                    reinterpret_cast<const unsigned char*>(text.data()),
                    static_cast<int>(text.size()));
  bytes.resize(static_cast<std::size_t>(std::max(0, size)));
  while (!bytes.empty() && bytes.back() == '\0') {
    bytes.pop_back();
  }
  co_return bytes;
}

Awaitable<int>
World::FindOwner()
{
  const auto address = co_await ReadKey("owner");
  for (int entry = 1; entry <= 3; ++entry) {
    const auto host = network_ + "." + std::to_string(100 + entry) + ":";
    if (address.rfind(host, 0) == 0) {
      co_return entry;
    }
  }
  co_return 0;
}

void
World::ControlEntry(const std::string& aWhat, int aEntry)
{
  const char* path = std::getenv("CONTROL");
  record_.Add("entry " + std::to_string(aEntry) + ": " + aWhat);
  controlledMs_[aEntry] = NowMs();
  std::ofstream(path ? path : "/dev/null") << aWhat << ' ' << aEntry << "\n";
}

std::int64_t
World::ControlledMs(int aEntry) const
{
  const auto found = controlledMs_.find(aEntry);
  return found == controlledMs_.end() ? 0 : found->second;
}

void
World::Operate(const std::string& aKey, const json& aValue)
{
  record_.Add("operator: writes " + aKey + " " + aValue.dump());
  store_.Put(aKey, aValue);
}

//-----------------------------------------------------------------------------
// [SECTION] VM service
//-----------------------------------------------------------------------------

void
World::SilenceVmService(std::int64_t aForMs)
{
  vmServiceSilentUntilMs_ = NowMs() + aForMs;
  record_.Add("VM service: answers nothing for " + std::to_string(aForMs) +
              " ms");
}

Awaitable<HttpResponse>
World::ServeVmService(HttpRequest aRequest)
{
  const bool isSilent = NowMs() < vmServiceSilentUntilMs_;
  auto answer = PathOf(aRequest) == "/machines" ? ListVms() : Order(aRequest);
  while (isSilent && NowMs() < vmServiceSilentUntilMs_) {
    co_await Pause(kStep.count());
  }
  if (isSilent) {
    // The channel is useless from here on; all callers have given up.
    answer = Answer(503);
  }
  co_return answer;
}

HttpResponse
World::ListVms() const
{
  json rows = json::array();
  for (const auto& vm : vms_) {
    rows.push_back(
      { { "machine", vm->name_ },
        { "pool", vm->pool_ },
        { "state", vm->state_ },
        { "zone", "zone-a" },
        { "labels", { vm->gpu_ > 0 ? "g" : "a", vm->rack_ } },
        { "capacity",
          { { "cpu", kCpu }, { "mem_mb", kMemMb }, { "gpu", vm->gpu_ } } },
        { "id", vm->id_ } });
  }
  return Answer(kOk,
                { { "machines", std::move(rows) }, { "next_token", nullptr } });
}

// Carries out a move or an upkeep. "It also returns 200 if the operation is
// already done."
HttpResponse
World::Order(const HttpRequest& aRequest)
{
  const auto body = json::parse(aRequest.body_);
  const auto path = PathOf(aRequest);
  const auto found =
    std::find_if(vms_.begin(), vms_.end(), [&](const auto& aVm) {
      return aVm->name_ == body.at("machine");
    });
  const std::string from(aRequest.Header("Duty-Holder"));
  if (found == vms_.end()) {
    return Answer(kBadRequest);
  }
  auto& vm = **found;
  const bool isMove = path == "/machine-move";
  const auto wave = isMove ? 0 : body.at("wave").get<std::int64_t>();
  std::string result = "done";
  if (vm.state_ != "up") {
    result = "busy";
  } else if (isMove ? vm.pool_ == body.at("pool")
                    : vm.upkeeps_.count(wave) != 0) {
    result = "already done";
  } else {
    if (isMove) {
      vm.pool_ = body.at("pool").get<std::string>();
    } else {
      vm.upkeeps_.insert(wave);
    }
    if (!vm.id_.empty()) {
      store_.Remove("servers/" + vm.id_);
    }
    LoseRuns(vm, isMove ? "its VM moves" : "its VM has its upkeep");
    vm.gate_->Close();
    vm.id_.clear();
    vm.state_ = isMove ? "moving" : "upkeep";
    vm.backAtMs_ = NowMs() + (isMove ? kMoveMs : kUpkeepMs);
  }
  if (result != "busy") {
    orders_.push_back({ NowMs(),
                        vm.name_,
                        from,
                        std::string(aRequest.Header("Fencing-Token")) });
  }
  record_.Add("VM service: " + path + " " + aRequest.body_ + " from " + from +
              " with token " + std::string(aRequest.Header("Fencing-Token")) +
              ": " + result);
  return result == "busy" ? Answer(kConflict, { { "reason", "busy" } })
                          : Answer(kOk, json::object());
}

bool
World::HadUpkeep(const std::string& aVm, std::int64_t aWave) const
{
  return std::any_of(vms_.begin(), vms_.end(), [&](const auto& aThis) {
    return aThis->name_ == aVm && aThis->upkeeps_.count(aWave) != 0;
  });
}

//-----------------------------------------------------------------------------
// [SECTION] Workers
//-----------------------------------------------------------------------------

std::int64_t
World::ClockOf(const Vm& aVm) const
{
  return NowMs() - aVm.clockZeroMs_;
}

void
World::Boot(Vm& aVm, std::string aId)
{
  aVm.state_ = "up";
  if (standbyPools_.count(aVm.pool_) != 0) {
    aVm.id_.clear(); // it is off
    record_.Add("VM " + aVm.name_ + " is on standby");
    return;
  }
  aVm.id_ = std::move(aId);
  aVm.bornMs_ = context_.clocks_.TimeOfDay().time_since_epoch().count();
  aVm.clockZeroMs_ = NowMs() - kFirstClockMs;
  aVm.sequence_ = 0;
  aVm.token_ = 0;
  aVm.leaseUntilMs_ = 0;
  aVm.ends_.clear();
  aVm.endCount_ = 0;
  aVm.endedRun_.clear();
  record_.Add("worker " + aVm.id_ + " begins on " + aVm.name_ + " in " +
              aVm.pool_);
  aVm.reportedMs_ = NowMs() - kHeartbeatMs + kRegistrationMs;
}

void
World::LoseRuns(Vm& aVm, const std::string& aWhy)
{
  for (const auto& [item, run] : aVm.runs_) {
    record_.Add("worker " + aVm.id_ + ": run " + std::to_string(run.number_) +
                " of " + item + " is lost, " + aWhy);
  }
  aVm.runs_.clear();
}

void
World::Crash(Vm& aVm, std::int64_t aBackAtMs)
{
  record_.Add("worker " + aVm.id_ + " on " + aVm.name_ + " crashes, down for " +
              std::to_string(aBackAtMs - NowMs()) + " ms");
  LoseRuns(aVm, "the worker crashes");
  aVm.state_ = "down";
  aVm.backAtMs_ = aBackAtMs;
  aVm.gate_->Close();
}

std::int64_t
World::UnixMs() const
{
  return context_.clocks_.TimeOfDay().time_since_epoch().count();
}

void
World::Report(Vm& aVm)
{
  aVm.reportedMs_ = NowMs();
  store_.Put(
    "servers/" + aVm.id_,
    { { "service", aVm.pool_ },
      { "address", aVm.address_ },
      { "machine", aVm.name_ },
      { "zone", "zone-a" },
      { "version", "v1" },
      { "slots", 8 },
      { "state", "ready" },
      { "cold_remaining_ms", 0 },
      { "capacity",
        { { "cpu", kCpu }, { "mem_mb", kMemMb }, { "gpu", aVm.gpu_ } } },
      { "labels", { aVm.gpu_ > 0 ? "g" : "a", aVm.rack_ } },
      { "born", aVm.bornMs_ },
      { "clock_ms", ClockOf(aVm) },
      { "sequence", ++aVm.sequence_ } });
}

void
World::EndRun(Vm& aVm, const std::string& aItem, const std::string& aHow)
{
  const auto run = aVm.runs_.at(aItem).number_;
  aVm.runs_.erase(aItem);
  aVm.endedRun_[aItem] = run;
  aVm.ends_.push_back({ ++aVm.endCount_, aItem, run, aHow, NowMs() });
  ++endsByKind_[aHow];
  record_.AddRun("worker " + aVm.id_ + ": run " + std::to_string(run) + " of " +
                 aItem + " ends as " + aHow);
}

void
World::EndDueRuns(Vm& aVm)
{
  const bool hasLapsed = ClockOf(aVm) > aVm.leaseUntilMs_;
  std::vector<std::pair<std::string, std::string>> due;
  for (const auto& [item, run] : aVm.runs_) {
    if (run.durationMs_ > 0 && NowMs() >= run.startedMs_ + run.durationMs_) {
      due.emplace_back(item, run.how_);
    } else if (hasLapsed) {
      due.emplace_back(item, "lapsed");
    }
  }
  for (const auto& [item, how] : due) {
    EndRun(aVm, item, how);
  }
}

Awaitable<void>
World::Simulate()
{
  while (true) {
    for (auto& vm : vms_) {
      const bool isDown = vm->state_ == "down";
      if (isDown &&
          NowMs() - vm->reportedMs_ > kSilentHeartbeats * kHeartbeatMs) {
        store_.Remove("servers/" + vm->id_);
      }
      if (vm->state_ != "up" && NowMs() >= vm->backAtMs_) {
        // After a crash the worker starts again under its id.
        Boot(*vm, isDown ? vm->id_ : "worker-" + std::to_string(++workers_));
        vm->gate_->Open();
      }
      if (vm->state_ != "up" || vm->id_.empty()) {
        continue;
      }
      EndDueRuns(*vm);
      if (NowMs() - vm->reportedMs_ >= kHeartbeatMs) {
        Report(*vm);
      }
    }
    const bool isIdle =
      std::all_of(vms_.begin(), vms_.end(), [](const auto& aVm) {
        return aVm->runs_.empty();
      });
    idleSinceMs_ = !isIdle ? 0 : idleSinceMs_ > 0 ? idleSinceMs_ : NowMs();
    co_await Pause(kStep.count());
  }
}

HttpResponse
World::StartRun(Vm& aVm, const json& aBody)
{
  const auto item = aBody.at("task").get<std::string>();
  const auto run = aBody.at("run").get<std::int64_t>();
  const auto until = std::min(aBody.at("deadline_ms").get<std::int64_t>(),
                              ClockOf(aVm) + kMaxHoldMs);
  const auto found = aVm.runs_.find(item);
  const auto refuse = [&](const char* aReason) {
    return Answer(kConflict,
                  { { "clock_ms", ClockOf(aVm) }, { "reason", aReason } });
  };
  if (found != aVm.runs_.end() && found->second.number_ == run) {
    return Answer(kOk, { { "clock_ms", ClockOf(aVm) } });
  }
  if (until <= ClockOf(aVm)) {
    return refuse("late");
  }
  aVm.leaseUntilMs_ = std::max(aVm.leaseUntilMs_, until);
  if (found != aVm.runs_.end() || aVm.endedRun_[item] >= run) {
    return refuse("old");
  }
  record_.AddRun("worker " + aVm.id_ + ": run " + std::to_string(run) + " of " +
                 item + " starts");
  if (const auto* other = FindVmOfItem(item)) {
    ++doubleRuns_;
    record_.Add("TWICE: run " + std::to_string(other->runs_.at(item).number_) +
                " of " + item + " is at work on " + other->id_);
  }
  ++startsByJob_[item.substr(0, item.find('.'))];
  aVm.runs_[item] = RunOf(run, NowMs(), aBody.at("spec").get<std::string>());
  return Answer(kOk, { { "clock_ms", ClockOf(aVm) } });
}

HttpResponse
World::StopRun(Vm& aVm, const json& aBody)
{
  const auto item = aBody.at("task").get<std::string>();
  const auto run = aBody.at("run").get<std::int64_t>();
  const auto found = aVm.runs_.find(item);
  if (found != aVm.runs_.end() && found->second.number_ == run) {
    EndRun(aVm, item, "stopped");
  } else {
    aVm.endedRun_[item] = std::max(aVm.endedRun_[item], run);
  }
  return Answer(kOk, { { "clock_ms", ClockOf(aVm) } });
}

json
World::Lists(const Vm& aVm) const
{
  json running = json::array();
  for (const auto& [item, run] : aVm.runs_) {
    const auto whole = run.durationMs_ > 0 ? run.durationMs_ : kStartupMs;
    const auto percent = std::min<std::int64_t>(
      kPercent, (NowMs() - run.startedMs_) * kPercent / whole);
    running.push_back({ item, run.number_, "", percent, 0 });
  }
  constexpr std::size_t kMaxEnds = 500;
  json ended = json::array();
  for (const auto& end : aVm.ends_) {
    if (ended.size() < kMaxEnds) {
      ended.push_back({ end.number_, end.item_, end.run_, end.how_, "" });
    }
  }
  return { { "clock_ms", ClockOf(aVm) },
           { "born", aVm.bornMs_ },
           { "running", std::move(running) },
           { "ended", std::move(ended) } };
}

Awaitable<HttpResponse>
World::ServeWorker(Vm& aVm, HttpRequest aRequest)
{
  if (aRequest.Header("Expect-Instance") != aVm.id_) {
    co_return Answer(kOtherInstance, { { "clock_ms", ClockOf(aVm) } });
  }
  EndDueRuns(aVm);
  const auto body = json::parse(aRequest.body_);
  const auto token = body.value("fencing_token", std::int64_t(0));
  if (token < aVm.token_) {
    co_return Answer(kConflict,
                     { { "clock_ms", ClockOf(aVm) }, { "reason", "fence" } });
  }
  aVm.token_ = token;
  if (aRequest.path_ == "/run-start") {
    co_return StartRun(aVm, body);
  }
  if (aRequest.path_ == "/run-stop") {
    co_return StopRun(aVm, body);
  }
  if (aRequest.path_ == "/pace") {
    co_return Answer(kOk, { { "clock_ms", ClockOf(aVm) } });
  }
  if (aRequest.path_ != "/hold") {
    co_return Answer(kMissing);
  }
  const auto born = aVm.bornMs_;
  aVm.leaseUntilMs_ =
    std::max(aVm.leaseUntilMs_,
             std::min(body.value("deadline_ms", std::int64_t(0)),
                      ClockOf(aVm) + kMaxHoldMs));
  const auto seen = body.value("last_seen", std::int64_t(0));
  acknowledgedEnds_ += static_cast<int>(std::erase_if(
    aVm.ends_, [&](const End& aEnd) { return aEnd.number_ <= seen; }));
  const auto until = NowMs() + body.value("wait_ms", std::int64_t(0));
  while (aVm.ends_.empty() && NowMs() < until && aVm.bornMs_ == born) {
    co_await Pause(kStep.count());
  }
  co_return Answer(kOk, Lists(aVm));
}

Vm*
World::FindVmOfItem(const std::string& aItem)
{
  for (auto& vm : vms_) {
    if (vm->runs_.count(aItem) != 0) {
      return vm.get();
    }
  }
  return nullptr;
}

int
World::Ends(const std::string& aHow) const
{
  const auto found = endsByKind_.find(aHow);
  return found == endsByKind_.end() ? 0 : found->second;
}

std::pair<int, int>
World::Unacknowledged(std::int64_t aForMs) const
{
  int open = 0;
  for (const auto& vm : vms_) {
    open += static_cast<int>(
      std::count_if(vm->ends_.begin(), vm->ends_.end(), [&](const End& aEnd) {
        return NowMs() - aEnd.endedMs_ > aForMs;
      }));
  }
  return { open, open + acknowledgedEnds_ };
}

int
World::StartsOf(const std::string& aJob) const
{
  const auto found = startsByJob_.find(aJob);
  return found == startsByJob_.end() ? 0 : found->second;
}

//-----------------------------------------------------------------------------
// [SECTION] Caller
//-----------------------------------------------------------------------------

Awaitable<void>
World::Pause(std::int64_t aMs)
{
  co_await cuminbridge::standin::Pause(context_, Millis(aMs));
}

Awaitable<std::pair<int, json>>
World::Call(int aEntry, std::string aMethod, std::string aPath, json aBody)
{
  constexpr Millis kDeadline(3000);
  cuminbridge::HttpCall call;
  call.method_ = aMethod;
  call.path_ = aPath;
  call.limit_ = kDeadline;
  call.headers_.emplace_back("Host", "review.example");
  call.headers_.emplace_back("X-Api-Key", "review-key");
  call.headers_.emplace_back("Deadline-Ms", std::to_string(kDeadline.count()));
  if (!aBody.is_null()) {
    call.body_ = aBody.dump();
  }
  const auto address = network_ + "." + std::to_string(100 + aEntry) + ":8340";
  const auto reply = co_await http_.Call(address, std::move(call));
  auto body = json::parse(reply.body_, nullptr, false);
  record_.Add("caller: " + aMethod + " " + aPath + " at entry " +
              std::to_string(aEntry) + ": " + std::to_string(reply.status_) +
              " " + reply.body_);
  co_return std::make_pair(reply.status_, std::move(body));
}

Awaitable<std::string>
World::StateOf(int aEntry, std::string aQueue, std::string aJob)
{
  const auto [status, body] =
    co_await Call(aEntry, "GET", "/" + aQueue + "/" + aJob);
  co_return status == kOk&& body.is_object() ? body.value("state", "")
                                             : std::to_string(status);
}

Awaitable<bool>
World::WaitReady(int aEntries, std::int64_t aLimitMs)
{
  const auto until = NowMs() + aLimitMs;
  for (int entry = 1; entry <= aEntries;) {
    cuminbridge::HttpCall call;
    call.path_ = "/readiness";
    call.limit_ = Millis(1000);
    const auto address = network_ + "." + std::to_string(100 + entry) + ":8343";
    const auto reply = co_await http_.Call(address, std::move(call));
    if (reply.status_ == kOk) {
      ++entry;
    } else if (NowMs() > until) {
      co_return false;
    } else {
      co_await Pause(100);
    }
  }
  co_return true;
}

//-----------------------------------------------------------------------------
// [SECTION] Configuration
//-----------------------------------------------------------------------------

json
QueueOf(const std::string& aName, const std::string& aPool)
{
  return { { "name", aName },
           { "host", "review.example" },
           { "prefix", "/" + aName + "/" },
           { "type", "unsafe" },
           { "timeout_ms", 3000 },
           { "target_runtime_ms", 600 },
           { "priority", 0 },
           { "service", aPool },
           { "attempts", 3 },
           { "stretch", 1.6 },
           { "public", false } };
}

json
PoolOf(const std::string& aName, bool aIsStandby)
{
  return { { "name", aName },
           { "health_path", "/health" },
           { "rejects_overload", true },
           { "standby", aIsStandby } };
}

json
ConfigOf(json aQueues, json aPools)
{
  return {
    { "version", 3 },
    { "routes", std::move(aQueues) },
    { "services", std::move(aPools) },
    { "limits", { { "max_body_bytes", 262144 } } },
    { "tenants",
      { { { "name", "reviewers" },
          { "api_keys", { "review-key" } },
          { "weight", 100 },
          { "max_count", { { "cpu", 0 }, { "mem_mb", 0 }, { "gpu", 0 } } } } } }
  };
}

} // namespace review
