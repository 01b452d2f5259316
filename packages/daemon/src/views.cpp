// Read-only views of an entry for operators.

#include "views.h"

#include <nlohmann/json.hpp>

namespace cuminbridge {

using nlohmann::json;

namespace {

constexpr int kNotFound = 404;
constexpr int kMisdirectedRequest = 421;
constexpr double kThousandthsPerCore = 1000;

json
ShowQueues(const CallerApi& aCallerApi, const PlatformSettings& aSettings)
{
  json rows = json::array();
  for (const auto& queue : aCallerApi.Config().queues_) {
    rows.push_back({ { "queue", queue.name_ },
                     { "host", queue.host_ },
                     { "prefix", queue.prefix_ },
                     { "pool", queue.pool_ },
                     { "priority", queue.priority_ },
                     { "attempts", queue.attempts_ } });
  }
  return { { "callers", aSettings.callerAddress_ },
           { "version", aCallerApi.Config().version_ },
           { "queues", std::move(rows) } };
}

json
ShowPools(const Fleet& aFleet)
{
  json rows = json::array();
  for (const auto& pool : aFleet.Pools()) {
    rows.push_back(
      { { "pool", pool.pool_ },
        { "vms", pool.vms_ },
        { "targets", pool.targets_ },
        { "runs", pool.runs_ },
        { "waiting", pool.waiting_ },
        { "offered_cores",
          static_cast<double>(pool.offeredCpu_) / kThousandthsPerCore } });
  }
  return { { "pools", std::move(rows) } };
}

json
ShowAccounts(const Fleet& aFleet)
{
  json rows = json::array();
  for (const auto& account : aFleet.Accounts()) {
    rows.push_back({ { "account", account.account_ },
                     { "running_cpu", account.running_.cpu_ },
                     { "limit_cpu", account.limit_.cpu_ },
                     { "running_mb", account.running_.memMb_ },
                     { "limit_mb", account.limit_.memMb_ } });
  }
  return { { "accounts", std::move(rows) } };
}

json
ShowWaves(const Fleet& aFleet)
{
  json rows = json::array();
  for (const auto& wave : aFleet.Waves()) {
    rows.push_back({ { "wave", wave.wave_ },
                     { "vms", wave.vms_ },
                     { "begun", wave.begun_ },
                     { "down", wave.down_ },
                     { "completed", wave.isCompleted_ } });
  }
  return { { "waves", std::move(rows) } };
}

} // namespace

HttpResponse
ShowView(std::string_view aView,
         const CallerApi& aCallerApi,
         const Owner* aOwner,
         const PlatformSettings& aSettings)
{
  HttpResponse answer;
  if (aView == "queues") {
    answer.body_ = ShowQueues(aCallerApi, aSettings).dump();
  } else if (aView != "pools" && aView != "accounts" && aView != "waves" &&
             aView != "owner") {
    answer.status_ = kNotFound;
  } else if (!aOwner) {
    answer.status_ = kMisdirectedRequest;
    answer.body_ = json{ { "owner", aCallerApi.OwnerAddress() } }.dump();
  } else if (aView == "owner") {
    answer.body_ = json{
      { "owner", aSettings.name_ },
      { "address", PeerAddress(aSettings) },
      { "term", aOwner->Term() },
      { "sure", aOwner->IsLeaseValid() }
    }.dump();
  } else {
    const auto& fleet = aOwner->GetFleet();
    answer.body_ = (aView == "pools"      ? ShowPools(fleet)
                    : aView == "accounts" ? ShowAccounts(fleet)
                                          : ShowWaves(fleet))
                     .dump();
  }
  return answer;
}

} // namespace cuminbridge
