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
ShowPools(const std::vector<Owner*>& aOwners)
{
  std::map<std::string, PoolSummary> sums;
  for (const auto* owner : aOwners) {
    for (const auto& pool : owner->GetFleet().Pools()) {
      auto& sum = sums[pool.pool_];
      sum.vms_ += pool.vms_;
      sum.targets_ += pool.targets_;
      sum.runs_ += pool.runs_;
      sum.waiting_ += pool.waiting_;
      sum.offeredCpu_ += pool.offeredCpu_;
    }
  }
  json rows = json::array();
  for (const auto& [name, pool] : sums) {
    rows.push_back(
      { { "pool", name },
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
ShowAccounts(const std::vector<Owner*>& aOwners)
{
  std::map<std::string, AccountSummary> sums;
  for (const auto* owner : aOwners) {
    for (const auto& account : owner->GetFleet().Accounts()) {
      auto& sum = sums[account.account_];
      sum.running_ += account.running_;
      sum.limit_ = account.limit_;
    }
  }
  json rows = json::array();
  for (const auto& [name, account] : sums) {
    rows.push_back({ { "account", name },
                     { "running_cpu", account.running_.cpu_ },
                     { "limit_cpu", account.limit_.cpu_ },
                     { "running_mb", account.running_.memMb_ },
                     { "limit_mb", account.limit_.memMb_ } });
  }
  return { { "accounts", std::move(rows) } };
}

json
ShowWaves(const std::vector<Owner*>& aOwners)
{
  json rows = json::array();
  for (const auto* owner : aOwners) {
    for (const auto& wave : owner->GetFleet().Waves()) {
      rows.push_back({ { "wave", wave.wave_ },
                       { "cell", owner->GetCell().number_ },
                       { "vms", wave.vms_ },
                       { "begun", wave.begun_ },
                       { "down", wave.down_ },
                       { "completed", wave.isCompleted_ } });
    }
  }
  return { { "waves", std::move(rows) } };
}

// Work in core-seconds and capacity in cores. The longest wait is that of work
// that comes now and goes last.
json
ShowLoad(const std::vector<Owner*>& aOwners)
{
  constexpr double kMillis = 1000;
  json pools = json::array();
  json accounts = json::array();
  for (const auto* owner : aOwners) {
    std::set<std::string> beyondShare;
    for (const auto& pool : owner->GetFleet().Backlogs()) {
      const auto cores =
        static_cast<double>(pool.usableCpu_ + pool.incomingCpu_) /
        kThousandthsPerCore;
      const auto work = (pool.runningWork_ + pool.waitingWork_) / kMillis;
      const auto refused = owner->CountRefusals().find(pool.pool_);
      pools.push_back(
        { { "pool", pool.pool_ },
          { "usable_cores",
            static_cast<double>(pool.usableCpu_) / kThousandthsPerCore },
          { "incoming_cores",
            static_cast<double>(pool.incomingCpu_) / kThousandthsPerCore },
          { "running_core_s", pool.runningWork_ / kMillis },
          { "waiting_core_s", pool.waitingWork_ / kMillis },
          { "waiting_items", pool.waitingItems_ },
          { "longest_wait_s",
            pool.IsShort() && cores > 0 ? work / cores : 0.0 },
          { "refused",
            refused == owner->CountRefusals().end() ? 0 : refused->second } });
      beyondShare.insert(pool.beyondShare_.begin(), pool.beyondShare_.end());
    }
    for (const auto& account : owner->GetFleet().Accounts()) {
      accounts.push_back(
        { { "account", account.account_ },
          { "running_cpu", account.running_.cpu_ },
          { "waiting_cpu", account.waiting_.cpu_ },
          { "limit_cpu", account.limit_.cpu_ },
          { "cells_beyond_share",
            static_cast<int>(beyondShare.count(account.account_)) } });
    }
  }
  return { { "pools", std::move(pools) }, { "accounts", std::move(accounts) } };
}

json
ShowEvacuations(const std::vector<Owner*>& aOwners)
{
  json rows = json::array();
  for (const auto* owner : aOwners) {
    for (const auto& row : owner->GetFleet().Evacuations()) {
      rows.push_back({ { "data_centre", row.dataCentre_ },
                       { "cell", owner->GetCell().number_ },
                       { "known_for_ms", row.knownFor_.count() },
                       { "targets", row.targets_ },
                       { "ending", row.ending_ },
                       { "long_running", row.longRunning_ },
                       { "stopping", row.stopping_ } });
    }
  }
  return { { "evacuations", std::move(rows) } };
}

json
ShowOwner(const std::vector<Owner*>& aOwners, const PlatformSettings& aSettings)
{
  json cells = json::array();
  bool isSure = true;
  for (const auto* owner : aOwners) {
    cells.push_back({ { "cell", owner->GetCell().number_ },
                      { "term", owner->Term() },
                      { "sure", owner->IsLeaseValid() } });
    isSure = isSure && owner->IsLeaseValid();
  }
  return { { "owner", aSettings.name_ },
           { "address", PeerAddress(aSettings) },
           { "term", aOwners.front()->Term() },
           { "sure", isSure },
           { "cells", std::move(cells) } };
}

json
ShowOwners(const CellPeers& aPeers)
{
  json rows = json::array();
  for (int cell = 0; cell < aPeers.Count(); ++cell) {
    rows.push_back({ { "cell", cell }, { "address", aPeers.AddressOf(cell) } });
  }
  return { { "owners", std::move(rows) } };
}

} // namespace

HttpResponse
ShowView(std::string_view aView,
         const CallerApi& aCallerApi,
         const CellPeers& aPeers,
         const std::vector<Owner*>& aOwners,
         const PlatformSettings& aSettings)
{
  HttpResponse answer;
  if (aView == "queues") {
    answer.body_ = ShowQueues(aCallerApi, aSettings).dump();
  } else if (aView == "owners") {
    answer.body_ = ShowOwners(aPeers).dump();
  } else if (aView != "pools" && aView != "accounts" && aView != "waves" &&
             aView != "load" && aView != "evacuations" && aView != "owner") {
    answer.status_ = kNotFound;
  } else if (aOwners.empty()) {
    answer.status_ = kMisdirectedRequest;
    answer.body_ = json{ { "owner", aPeers.AnyAddress() } }.dump();
  } else if (aView == "owner") {
    answer.body_ = ShowOwner(aOwners, aSettings).dump();
  } else {
    answer.body_ = (aView == "pools"         ? ShowPools(aOwners)
                    : aView == "accounts"    ? ShowAccounts(aOwners)
                    : aView == "evacuations" ? ShowEvacuations(aOwners)
                    : aView == "load"        ? ShowLoad(aOwners)
                                             : ShowWaves(aOwners))
                     .dump();
  }
  return answer;
}

} // namespace cuminbridge
