// Views of the fleet for operators.

#include "cuminbridge/fleet.h"

#include "account_limits.h"
#include "admission/backlog.h"
#include "jobs.h"
#include "state.h"
#include "targets.h"
#include "waiting_work.h"

namespace cuminbridge {

std::vector<PoolSummary>
Fleet::Pools() const
{
  const auto demands = WaitingWorkByPool(*state_);
  std::map<std::string, PoolSummary> pools;
  for (const auto& pool : state_->config_.pools_) {
    auto& row = pools[pool.name_];
    row.pool_ = pool.name_;
    const auto demand = demands.find(pool.name_);
    row.waiting_ = demand == demands.end() ? 0 : demand->second.items_;
    row.offeredCpu_ = cuminbridge::OfferedCpu(*state_, pool.name_);
  }
  for (const auto& [name, vm] : state_->vms_) {
    ++pools[vm.pool_].vms_;
  }
  for (const auto& [id, target] : state_->targets_) {
    auto& row = pools[target.report_.pool_];
    row.targets_ += target.IsUsable(state_->now_) ? 1 : 0;
    row.runs_ += static_cast<int>(target.runs_.size());
  }
  std::vector<PoolSummary> rows;
  rows.reserve(pools.size());
  for (auto& [name, row] : pools) {
    row.pool_ = name;
    rows.push_back(std::move(row));
  }
  return rows;
}

std::vector<PoolBacklog>
Fleet::Backlogs() const
{
  std::vector<PoolBacklog> rows;
  for (const auto& pool : state_->config_.pools_) {
    if (!pool.isStandby_) {
      rows.push_back(CountBacklog(*state_, pool.name_));
    }
  }
  return rows;
}

std::vector<PoolBacklog>
Fleet::ShortBacklogs() const
{
  std::vector<PoolBacklog> rows;
  for (const auto& [pool, work] : WaitingWorkByPool(*state_)) {
    if (work.items_ > 0) {
      rows.push_back(CountBacklog(*state_, pool));
      if (!rows.back().IsShort()) {
        rows.pop_back();
      }
    }
  }
  return rows;
}

std::map<std::string, std::int64_t>
Fleet::FreeCpu() const
{
  // Smaller remainders are of no use to most work items.
  constexpr std::int64_t kUsefulPart = 4;
  std::map<std::string, std::int64_t> pools;
  for (const auto& [id, target] : state_->targets_) {
    const auto& capacity = target.report_.capacity_.cpu_;
    const auto free = capacity - target.used_.cpu_;
    if (target.IsUsable(state_->now_) && IsCapacityKnown(*state_, target) &&
        free * kUsefulPart >= capacity) {
      pools[target.report_.pool_] += free;
    }
  }
  for (const auto& [pool, work] : WaitingWorkByPool(*state_)) {
    if (work.items_ > 0) {
      pools.erase(pool);
    }
  }
  return pools;
}

std::map<std::string, std::int64_t>
Fleet::OfferedCpu() const
{
  std::map<std::string, std::int64_t> pools;
  for (const auto& [pool, load] : state_->offeredLoads_) {
    pools[pool] = cuminbridge::OfferedCpu(*state_, pool);
  }
  return pools;
}

std::vector<AccountSummary>
Fleet::Accounts() const
{
  const auto waiting = WaitingNeedsByAccount(*state_);
  std::vector<AccountSummary> rows;
  for (const auto& account : state_->config_.accounts_) {
    AccountSummary row;
    row.account_ = account.name_;
    row.limit_ = account.limit_;
    const auto running = state_->running_.find(account.name_);
    if (running != state_->running_.end()) {
      row.running_ = running->second;
    }
    const auto needs = waiting.find(account.name_);
    if (needs != waiting.end()) {
      row.waiting_ = needs->second;
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

std::vector<WaveSummary>
Fleet::Waves() const
{
  std::vector<WaveSummary> rows;
  for (const auto& [number, wave] : state_->waves_) {
    WaveSummary row;
    row.wave_ = number;
    row.vms_ = static_cast<int>(wave.wave_.vms_.size());
    row.begun_ = static_cast<int>(wave.maintenanceBegun_.size());
    row.down_ = static_cast<int>(wave.down_.size());
    row.isCompleted_ = wave.isCompleted_;
    rows.push_back(row);
  }
  return rows;
}

} // namespace cuminbridge
