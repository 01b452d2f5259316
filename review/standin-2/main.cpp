// The project's own stand-in for the platform with another deployment: two
// pools of eight VMs and two client accounts without limits.
//
//   platform_2 NETWORK
//
// With the NETWORK "127.62.7" the store listens at 127.62.7.1:7400, the VM
// service at .2:7400, the advice service at .3:7400, and targets from .11:7500
// on. Unlike the project's stand-in, the store keeps to value_bytes: a write
// with a larger value is answered 400, and nothing of it is done. Targets list
// 500 ends at a time. GET /ends of the VM service tells how many ends the
// targets have listed, and how many of them were acknowledged.

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

json
Queue(const char* aName, const char* aPool, int aPriority)
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
  return {
    { "version", 3 },
    { "routes",
      { Queue("rounds", "planning", 1), Queue("quotes", "dispatch", 0) } },
    { "services", { Pool("planning"), Pool("dispatch") } },
    { "limits", { { "max_body_bytes", 262144 } } },
    { "tenants",
      { Account("depots", "depots-key"), Account("lodges", "lodges-key") } }
  };
}

void
AddVms(standin::Fleet& aFleet, const std::string& aNetwork)
{
  constexpr int kFirstHost = 11;
  constexpr int kVmCount = 16;
  constexpr int kPerPool = 8;
  static const char* const kPools[] = { "planning", "dispatch" };
  for (int number = 0; number < kVmCount; ++number) {
    aFleet.AddVm("vm-" + std::to_string(number + 1),
                 kPools[number / kPerPool],
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
  if (argc != 2) {
    std::cerr << "usage: platform_2 127.62.7\n";
    return 2;
  }
  const std::string network = argv[1];
  boost::asio::io_context io(1);
  standin::Context context{ io, {} };
  standin::Store store(context);
  standin::Fleet fleet(context, store, 1);
  AddVms(fleet, network);
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
        [&](const HttpRequest& aRequest) -> Awaitable<HttpResponse> {
          if (IsTooLarge(aRequest)) {
            co_return standin::Answer(kBadRequest);
          }
          co_return co_await store.Serve(aRequest);
        });
  serve(network + ".2:7400",
        [&](const HttpRequest& aRequest) -> Awaitable<HttpResponse> {
          if (standin::PathOf(aRequest) == "/ends") {
            co_return standin::Answer(200, CountEnds(fleet));
          }
          co_return co_await fleet.ServeVms(aRequest);
        });
  serve(network + ".3:7400", [&](const HttpRequest& aRequest) {
    return fleet.ServeAdvice(aRequest);
  });
  for (auto& vm : fleet.Vms()) {
    serve(
      vm->address_,
      [&fleet, &vm](const HttpRequest& aRequest) -> Awaitable<HttpResponse> {
        co_return LimitEnds(co_await fleet.ServeTarget(*vm, aRequest));
      });
  }
  boost::asio::co_spawn(io, fleet.Simulate(), boost::asio::detached);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](auto, int) { io.stop(); });
  std::cout << "serving at " << network << std::endl;
  io.run();
  return 0;
}
