// The project's own stand-in for the platform with another deployment: two
// pools of eight VMs, or more in the first one, and two client accounts without
// limits.
//
//   platform_2 NETWORK [VMS]
//
// With the NETWORK "127.62.7" the store listens at 127.62.7.1:7400, the VM
// service at .2:7400, the advice service at .3:7400, and targets from .11:7500
// on. Unlike the project's stand-in, the store keeps to value_bytes: a write
// with a larger value is answered 400, and nothing of it is done. Targets list
// 500 ends at a time. GET /ends of the VM service tells how many ends the
// targets have listed, and how many of them were acknowledged.
//
// A job whose spec contains "gang" has one step, which is a gang that saves a
// checkpoint once a second of its work. Targets list these checkpoints, and log
// those that a start carries. POST /break of the VM service with a "machine"
// crashes its process for "ms"; the runs of the other members end as broken.
//
// POST /reuse of the VM service ends the targets of "machines" silently, right
// after they have reported themselves. After "ms" their addresses have targets
// of the other pool, on new VMs; then it answers.
//
// POST /hold-up of the VM service keeps back the next renewal of the target of
// a "machine", and answers once it has come. POST /deliver has the target carry
// it out; then, for "ms", neither calls nor reports pass to or from the target.
//
// Entry N may reach the store at .20N:7400 instead. POST /door of the VM
// service closes that way for the "entry": with the "mode" "silent" nothing is
// answered, with "busy" everything with 503, and with "open" the way is open
// again. POST /add-queue puts a new version of the configuration, with a queue
// "fresh".
//
// POST /trouble of the VM service puts the store in trouble for "ms": each
// answer comes "slow_ms" later, and the share "lost" of the writes is done and
// not answered. If "forgets" is set, watches hear nothing for a second, and
// then the history is dropped.

#include <iostream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>

#include "standin.h"

namespace {

using namespace cuminbridge;
using standin::json;

constexpr std::size_t kValueBytes = 1048576; // platform.value_bytes
constexpr int kBadRequest = 400;
// The answer to a start comes this much later, so that the answer to a renewal
// on another connection overtakes it.
constexpr Millis kStartAnswerTime(25);

json
MakeQueue(const char* aName, const char* aPool, int aPriority)
{
  return { { "name", aName },
           { "host", "demo.example" },
           { "prefix", std::string("/") + aName + "/" },
           { "type", "unsafe" },
           { "timeout_ms", 3000 },
           { "target_runtime_ms", 600 },
           { "priority", aPriority },
           { "service", aPool },
           { "attempts", 3 },
           { "stretch", 1.6 },
           { "public", false } };
}

json
Pool(const char* aName)
{
  return { { "name", aName },
           { "health_path", "/health" },
           { "rejects_overload", true },
           { "standby", false } };
}

json
Account(const char* aName, const char* aKey)
{
  return { { "name", aName },
           { "api_keys", { aKey } },
           { "weight", 10 },
           { "max_count", { { "cpu", 0 }, { "mem_mb", 0 }, { "gpu", 0 } } } };
}

json
MakeConfig()
{
  return { { "version", 3 },
           { "routes",
             { MakeQueue("rounds", "planning", 1),
               MakeQueue("quotes", "dispatch", 0) } },
           { "services", { Pool("planning"), Pool("dispatch") } },
           { "limits", { { "max_body_bytes", 262144 } } },
           { "tenants",
             { Account("depots", "depots-key"),
               Account("lodges", "lodges-key") } } };
}

void
AddVms(standin::Fleet& aFleet, const std::string& aNetwork, int aPlanningVms)
{
  constexpr int kFirstHost = 11;
  constexpr int kDispatchVms = 8;
  for (int number = 0; number < aPlanningVms + kDispatchVms; ++number) {
    aFleet.AddVm("vm-" + std::to_string(number + 1),
                 number < aPlanningVms ? "planning" : "dispatch",
                 aNetwork + "." + std::to_string(kFirstHost + number) +
                   ":7500");
  }
}

// The size of a text in base64 with padding, once decoded.
std::size_t
DecodedSize(const std::string& aText)
{
  constexpr std::size_t kEncodedGroup = 4;
  constexpr std::size_t kGroup = 3;
  std::size_t padding = 0;
  while (padding < 2 && padding < aText.size() &&
         aText[aText.size() - 1 - padding] == '=') {
    ++padding;
  }
  return aText.size() / kEncodedGroup * kGroup - padding;
}

// Logs and refuses a write with a value that is too large.
bool
IsTooLarge(const HttpRequest& aRequest)
{
  if (standin::PathOf(aRequest) != "/kv-txn") {
    return false;
  }
  const auto body = json::parse(aRequest.body_);
  for (const auto& row : body.at("set_keys")) {
    const auto size = DecodedSize(row.at("value").get<std::string>());
    if (size > kValueBytes) {
      std::cout << "store refuses " << row.at("key").get<std::string>()
                << " with a value of " << size << " bytes, in a write of "
                << body.at("set_keys").size() << " keys" << std::endl;
      return true;
    }
  }
  return false;
}

// Passes calls to the store, and brings trouble about.
class TroubledStore
{
public:
  TroubledStore(standin::Context& aContext, standin::Store& aStore)
    : context_(aContext)
    , store_(aStore)
  {
  }

  Awaitable<HttpResponse> Serve(const HttpRequest& aRequest)
  {
    if (IsTooLarge(aRequest)) {
      co_return standin::Answer(kBadRequest);
    }
    const auto path = standin::PathOf(aRequest);
    if (path == "/kv-watch") {
      co_return co_await Watch(aRequest);
    }
    auto answer = co_await store_.Serve(aRequest);
    if (context_.NowMs() >= untilMs_) {
      co_return answer;
    }
    if (path == "/kv-txn" && share_(random_) < lost_) {
      std::cout << "store loses an answer" << std::endl;
      co_await standin::Pause(context_, kLostAnswer);
    }
    co_await standin::Pause(context_, slow_);
    co_return answer;
  }

  void Begin(const json& aTrouble)
  {
    constexpr std::int64_t kSilenceMs = 1000; // of watches
    const auto now = context_.NowMs();
    untilMs_ = now + aTrouble.at("ms").get<std::int64_t>();
    slow_ = Millis(aTrouble.at("slow_ms").get<std::int64_t>());
    lost_ = aTrouble.at("lost").get<double>();
    forgetsAtMs_ = aTrouble.at("forgets").get<bool>() ? now + kSilenceMs : 0;
  }

private:
  static constexpr Millis kLostAnswer{ 5000 }; // callers have given up by then

  Awaitable<HttpResponse> Watch(const HttpRequest& aRequest)
  {
    constexpr int kExpired = 410;
    if (forgetsAtMs_ != 0) {
      while (context_.NowMs() < forgetsAtMs_) {
        co_await standin::Pause(context_, Millis(3));
      }
      if (forgetsAtMs_ != 0) {
        oldest_ = co_await Revision();
        forgetsAtMs_ = 0;
        std::cout << "store forgets its history up to " << oldest_ << std::endl;
      }
    }
    if (std::atoll(standin::QueryOf(aRequest, "after").c_str()) < oldest_) {
      co_return standin::Answer(kExpired);
    }
    co_return co_await store_.Serve(aRequest);
  }

  Awaitable<std::int64_t> Revision()
  {
    HttpRequest request;
    request.method_ = "GET";
    request.path_ = "/kv-key?key=op/config";
    const auto answer = co_await store_.Serve(request);
    co_return json::parse(answer.body_).at("current_rev").get<std::int64_t>();
  }

  standin::Context& context_;
  standin::Store& store_;
  std::int64_t untilMs_ = 0;
  std::int64_t forgetsAtMs_ = 0; // 0: not asked for, or done
  std::int64_t oldest_ = 0;      // watches after an older revision get 410
  Millis slow_{ 0 };
  double lost_ = 0;
  std::mt19937 random_{ 1 };
  std::uniform_real_distribution<> share_{ 0, 1 };
};

// The way of one entry to the store.
class Door
{
public:
  Door(standin::Context& aContext, TroubledStore& aStore)
    : context_(aContext)
    , store_(aStore)
  {
  }

  Awaitable<HttpResponse> Serve(const HttpRequest& aRequest)
  {
    if (mode_ == "open") {
      auto answer = co_await store_.Serve(aRequest);
      if (mode_ == "open") {
        co_return answer;
      }
    }
    if (mode_ == "silent") {
      co_await standin::Pause(context_, kNoAnswer);
    }
    constexpr int kUnavailable = 503;
    co_return standin::Answer(kUnavailable);
  }

  void SetMode(std::string aMode) { mode_ = std::move(aMode); }

private:
  static constexpr Millis kNoAnswer{ 20000 }; // callers have given up by then

  standin::Context& context_;
  TroubledStore& store_;
  std::string mode_ = "open";
};

// Gangs. A member saves a checkpoint at its own time in each second.
class Gangs
{
public:
  Gangs(standin::Context& aContext, standin::Fleet& aFleet)
    : context_(aContext)
    , fleet_(aFleet)
  {
  }

  // Notes whether the start is that of a member, and logs its checkpoint.
  void NoteStart(const standin::Vm& aVm, const HttpRequest& aRequest)
  {
    const auto body = json::parse(aRequest.body_);
    const auto item = body.at("task").get<std::string>();
    if (body.at("spec").get<std::string>().find("gang") == std::string::npos) {
      return;
    }
    members_.insert(item);
    std::cout << "gang start " << item << " run " << body.at("run") << " on "
              << aVm.name_ << " checkpoint '"
              << body.value("last_checkpoint", "") << "'" << std::endl;
  }

  // Adds the checkpoints to the runs that a target lists.
  HttpResponse AddCheckpoints(const standin::Vm& aVm, HttpResponse aAnswer)
  {
    auto body = json::parse(aAnswer.body_, nullptr, false);
    if (!body.is_object() || !body.contains("running")) {
      return aAnswer;
    }
    for (auto& row : body["running"]) {
      const auto item = row.at(0).get<std::string>();
      if (members_.count(item) != 0) {
        row[2] = CheckpointOf(item, aVm.runs_.at(item));
      }
    }
    aAnswer.body_ = body.dump();
    return aAnswer;
  }

  // Ends the runs of all members but those on aCrashed.
  void Break(const standin::Vm& aCrashed)
  {
    for (auto& vm : fleet_.Vms()) {
      const auto runs = vm->runs_;
      for (const auto& [item, run] : runs) {
        if (vm->name_ == aCrashed.name_ || members_.count(item) == 0) {
          continue;
        }
        const auto saved = CheckpointOf(item, run);
        vm->runs_.erase(item);
        vm->endedRun_[item] = run.run_;
        vm->ended_.push_back(
          { ++vm->endedCount_, item, run.run_, "broken", saved });
        std::cout << "gang broken " << item << " run " << run.run_ << " on "
                  << vm->name_ << " saved '" << saved << "'" << std::endl;
      }
    }
  }

private:
  std::string CheckpointOf(const std::string& aItem,
                           const standin::Run& aRun) const
  {
    // All members are there from the last start on. Their times lie apart.
    constexpr std::int64_t kIntervalMs = 1000;
    constexpr std::int64_t kApartMs = 150;
    std::int64_t begun = aRun.startedMs_;
    for (const auto& vm : fleet_.Vms()) {
      for (const auto& [item, run] : vm->runs_) {
        if (members_.count(item) != 0 && run.run_ == aRun.run_) {
          begun = std::max(begun, run.startedMs_);
        }
      }
    }
    const auto index = std::stoll(aItem.substr(aItem.rfind('.') + 1));
    const auto count =
      (context_.NowMs() - begun - index * kApartMs) / kIntervalMs;
    if (count < 1) {
      return {};
    }
    const auto text =
      std::to_string(aRun.run_ * 1000000 + count * 1000 + index);
    constexpr std::size_t kSize = 16;
    return std::string(kSize - text.size(), '0') + text;
  }

  standin::Context& context_;
  standin::Fleet& fleet_;
  std::set<std::string> members_; // work items
};

// Leaves the first 500 ends in the answer to a renewal.
HttpResponse
LimitEnds(HttpResponse aAnswer)
{
  constexpr std::size_t kMostEnds = 500;
  auto body = json::parse(aAnswer.body_, nullptr, false);
  if (!body.is_object() || !body.contains("ended") ||
      body["ended"].size() <= kMostEnds) {
    return aAnswer;
  }
  auto& ended = body["ended"];
  ended.erase(ended.begin() + kMostEnds, ended.end());
  aAnswer.body_ = body.dump();
  return aAnswer;
}

// Calls to targets that are kept back or dropped.
class Links
{
public:
  Links(standin::Context& aContext, standin::Fleet& aFleet)
    : context_(aContext)
    , fleet_(aFleet)
  {
  }

  // Does not answer a call that is kept back or dropped.
  Awaitable<HttpResponse> Call(standin::Vm& aVm, const HttpRequest& aRequest)
  {
    if (aVm.name_ == holdsUp_ && aRequest.path_ == "/hold") {
      holdsUp_.clear();
      heldUp_ = aRequest;
      co_await standin::Pause(context_, kNoAnswer);
    }
    if (IsCut(aVm)) {
      co_await standin::Pause(context_, kNoAnswer);
    }
    auto answer = co_await fleet_.ServeTarget(aVm, aRequest);
    if (IsCut(aVm)) {
      co_await standin::Pause(context_, kNoAnswer);
    }
    co_return answer;
  }

  Awaitable<HttpResponse> HoldUp(json aRequest)
  {
    constexpr Millis kStep(5);
    holdsUp_ = aRequest.at("machine").get<std::string>();
    while (!holdsUp_.empty()) {
      co_await standin::Pause(context_, kStep);
    }
    std::cout << "kept back: " << heldUp_.body_ << std::endl;
    co_return standin::Answer(200);
  }

  Awaitable<HttpResponse> Deliver(json aRequest)
  {
    for (auto& vm : fleet_.Vms()) {
      if (vm->name_ == aRequest.at("machine")) {
        auto body = json::parse(heldUp_.body_);
        body.erase("wait_ms"); // nobody waits for the answer
        heldUp_.body_ = body.dump();
        const auto answer = co_await fleet_.ServeTarget(*vm, heldUp_);
        cut_ = vm->name_;
        cutUntilMs_ = context_.NowMs() + aRequest.at("ms").get<std::int64_t>();
        vm->silentUntilMs_ = cutUntilMs_;
        std::cout << "delivered, answer " << answer.status_
                  << "; cut off; clock "
                  << json::parse(answer.body_).at("clock_ms")
                  << ", lease until " << vm->leaseUntil_ << std::endl;
      }
    }
    co_return standin::Answer(200);
  }

private:
  static constexpr Millis kNoAnswer{ 20000 }; // callers have given up by then

  bool IsCut(const standin::Vm& aVm) const
  {
    return aVm.name_ == cut_ && context_.NowMs() < cutUntilMs_;
  }

  standin::Context& context_;
  standin::Fleet& fleet_;
  std::string holdsUp_; // name of a VM; empty: none
  HttpRequest heldUp_;
  std::string cut_; // name of a VM; empty: none
  std::int64_t cutUntilMs_ = 0;
};

Awaitable<HttpResponse>
ReuseAddresses(standin::Context& aContext,
               standin::Fleet& aFleet,
               json aRequest)
{
  constexpr Millis kStep(5);
  std::vector<standin::Vm*> vms;
  for (const auto& vm : aFleet.Vms()) {
    for (const auto& name : aRequest.at("machines")) {
      if (vm->name_ == name) {
        vms.push_back(vm.get());
      }
    }
  }
  const auto reports = vms.front()->sequence_;
  while (vms.front()->sequence_ == reports) {
    co_await standin::Pause(aContext, kStep);
  }
  for (auto* vm : vms) {
    HttpRequest crash;
    crash.method_ = "POST";
    crash.path_ = "/operator/target";
    crash.body_ = json{
      { "machine", vm->name_ },
      { "fault", "replace" },
      { "ms", aRequest.at("ms") }
    }.dump();
    co_await aFleet.ServeVms(crash);
    vm->name_ += "-new";
    vm->pool_ = "dispatch";
  }
  for (auto* vm : vms) {
    while (vm->state_ != "up") {
      co_await standin::Pause(aContext, kStep);
    }
  }
  co_return standin::Answer(200);
}

json
CountEnds(standin::Fleet& aFleet)
{
  std::int64_t listed = 0;
  std::int64_t open = 0;
  for (const auto& vm : aFleet.Vms()) {
    listed += vm->endedCount_;
    open += static_cast<std::int64_t>(vm->ended_.size());
  }
  return { { "listed", listed }, { "acknowledged", listed - open } };
}

} // namespace

int
main(int argc, char** argv)
{
  if (argc < 2 || argc > 3) {
    std::cerr << "usage: platform_2 127.62.7 [28]\n";
    return 2;
  }
  const std::string network = argv[1];
  boost::asio::io_context io(1);
  standin::Context context{ io, {} };
  standin::Store store(context);
  standin::Fleet fleet(context, store, 1);
  TroubledStore troubled(context, store);
  Gangs gangs(context, fleet);
  Links links(context, fleet);
  constexpr int kVms = 8;
  AddVms(fleet, network, argc == 3 ? std::atoi(argv[2]) : kVms);
  store.Put("op/config", MakeConfig());

  HttpServerOptions options;
  constexpr std::uint64_t kMaxBody = 64ULL * 1024 * 1024;
  options.maxBodyBytes_ = kMaxBody;
  std::vector<std::unique_ptr<HttpServer>> servers;
  const auto serve = [&](const std::string& aAddress,
                         HttpServer::Handler aHandler) {
    servers.push_back(
      std::make_unique<HttpServer>(io, options, std::move(aHandler)));
    const auto error = servers.back()->Open(aAddress);
    if (!error.empty()) {
      std::cerr << error << "\n";
      std::exit(2);
    }
  };
  serve(network + ".1:7400",
        [&](const HttpRequest& aRequest) { return troubled.Serve(aRequest); });
  constexpr int kEntries = 3;
  std::vector<std::unique_ptr<Door>> doors;
  for (int entry = 1; entry <= kEntries; ++entry) {
    doors.push_back(std::make_unique<Door>(context, troubled));
    serve(network + ".20" + std::to_string(entry) + ":7400",
          [door = doors.back().get()](const HttpRequest& aRequest) {
            return door->Serve(aRequest);
          });
  }
  serve(network + ".2:7400",
        [&](const HttpRequest& aRequest) -> Awaitable<HttpResponse> {
          if (standin::PathOf(aRequest) == "/ends") {
            co_return standin::Answer(200, CountEnds(fleet));
          }
          if (standin::PathOf(aRequest) == "/door") {
            const auto body = json::parse(aRequest.body_);
            const auto entry = body.at("entry").get<std::size_t>();
            doors.at(entry - 1)->SetMode(body.at("mode").get<std::string>());
            co_return standin::Answer(200);
          }
          if (standin::PathOf(aRequest) == "/add-queue") {
            auto config = MakeConfig();
            config["version"] = config["version"].get<int>() + 1;
            config["routes"].push_back(MakeQueue("fresh", "dispatch", 0));
            store.Put("op/config", config);
            co_return standin::Answer(200);
          }
          if (standin::PathOf(aRequest) == "/hold-up") {
            co_return co_await links.HoldUp(json::parse(aRequest.body_));
          }
          if (standin::PathOf(aRequest) == "/deliver") {
            co_return co_await links.Deliver(json::parse(aRequest.body_));
          }
          if (standin::PathOf(aRequest) == "/reuse") {
            co_return co_await ReuseAddresses(
              context, fleet, json::parse(aRequest.body_));
          }
          if (standin::PathOf(aRequest) == "/trouble") {
            troubled.Begin(json::parse(aRequest.body_));
            co_return standin::Answer(200);
          }
          if (standin::PathOf(aRequest) == "/break") {
            auto fault = json::parse(aRequest.body_);
            for (const auto& vm : fleet.Vms()) {
              if (vm->name_ == fault.at("machine")) {
                gangs.Break(*vm);
              }
            }
            fault["fault"] = "replace";
            HttpRequest crash = aRequest;
            crash.path_ = "/operator/target";
            crash.body_ = fault.dump();
            co_return co_await fleet.ServeVms(crash);
          }
          co_return co_await fleet.ServeVms(aRequest);
        });
  serve(network + ".3:7400", [&](const HttpRequest& aRequest) {
    return fleet.ServeAdvice(aRequest);
  });
  for (auto& vm : fleet.Vms()) {
    serve(vm->address_,
          [&context, &links, &gangs, &vm](
            const HttpRequest& aRequest) -> Awaitable<HttpResponse> {
            auto answer = co_await links.Call(*vm, aRequest);
            if (aRequest.path_ == "/run-start") {
              co_await standin::Pause(context, kStartAnswerTime);
            }
            if (aRequest.path_ == "/run-start" && answer.status_ == 200) {
              gangs.NoteStart(*vm, aRequest);
            }
            co_return gangs.AddCheckpoints(*vm, LimitEnds(std::move(answer)));
          });
  }
  boost::asio::co_spawn(io, fleet.Simulate(), boost::asio::detached);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](auto, int) { io.stop(); });
  std::cout << "serving at " << network << std::endl;
  io.run();
  return 0;
}
