// Counts the backlog of a pool, for admission control.

#include "admission/backlog.h"

#include <algorithm>

#include "account_limits.h"
#include "dispatch.h"
#include "jobs.h"
#include "targets.h"
#include "waiting_work.h"

namespace cuminbridge {

namespace {

constexpr double kThousandths = 1000;

double
CoreMillis(std::int64_t aCpu, Millis aTime)
{
  return static_cast<double>(aCpu) / kThousandths *
         static_cast<double>(aTime.count());
}

// What is left of a run, by the progress that its target listed last.
double
WorkLeft(const FleetState& aState, const Run& aRun)
{
  constexpr double kPercent = 100;
  const auto job = aState.jobs_.find(aRun.item_.job_);
  if (job == aState.jobs_.end()) {
    return 0;
  }
  const auto& step =
    job->second->job_.steps_[static_cast<std::size_t>(aRun.item_.step_)];
  return CoreMillis(aRun.needs_.cpu_,
                    ExpectedRunTime(aState, *job->second, step)) *
         (1 - std::min(aRun.percent_ / kPercent, 1.0));
}

void
CountTargets(const FleetState& aState, PoolBacklog& aBacklog)
{
  for (const auto& [id, target] : aState.targets_) {
    if (!target.IsUsable(aState.now_) || !IsCapacityKnown(aState, target)) {
      continue;
    }
    const auto capacity = target.report_.capacity_.cpu_;
    if (target.report_.pool_ != aBacklog.pool_) {
      aBacklog.lendableCpu_ += target.runs_.empty() ? capacity : 0;
      continue;
    }
    aBacklog.usableCpu_ += capacity;
    aBacklog.largestFreeCpu_ =
      std::max(aBacklog.largestFreeCpu_, capacity - target.used_.cpu_);
    for (const auto& run : target.runs_) {
      if (run.isLongRunning_) {
        aBacklog.usableCpu_ -= run.needs_.cpu_;
      } else if (!run.isFiller_) {
        aBacklog.runningWork_ += WorkLeft(aState, run);
      }
    }
  }
}

// VMs that are on standby, or on their way to the pool.
void
CountVms(const FleetState& aState, PoolBacklog& aBacklog)
{
  std::set<std::string> standby; // pools
  for (const auto& pool : aState.config_.pools_) {
    if (pool.isStandby_) {
      standby.insert(pool.name_);
    }
  }
  for (const auto& [name, vm] : aState.vms_) {
    const auto order = aState.vmOrders_.find(name);
    const bool isMoving =
      order != aState.vmOrders_.end() && !order->second.isMaintenance_;
    if (isMoving && order->second.pool_ == aBacklog.pool_) {
      aBacklog.incomingCpu_ += vm.capacity_.cpu_;
    } else if (!isMoving && standby.count(vm.pool_) != 0) {
      aBacklog.lendableCpu_ += vm.capacity_.cpu_;
    }
  }
}

void
CountAccounts(const FleetState& aState, PoolBacklog& aBacklog)
{
  for (const auto& account : aState.config_.accounts_) {
    const auto found = aState.shares_.find(account.name_);
    if (found == aState.shares_.end()) {
      continue;
    }
    auto bucket = found->second;
    if (!ConsumeShare(bucket,
                      account.weight_ / std::max(1, aState.options_.cells_),
                      aState.TimeOfDay())) {
      aBacklog.beyondShare_.insert(account.name_);
    }
  }
}

} // namespace

std::vector<BacklogRank>
RankBacklog(const std::vector<QueuedWork>& aQueued,
            const std::set<int>& aPriorities,
            Instant aNow)
{
  // Jobs without work, and those as large as some of the waiting ones.
  constexpr std::size_t kParts = 4;
  std::vector<double> sizes;
  sizes.reserve(aQueued.size());
  for (const auto& queued : aQueued) {
    sizes.push_back(queued.key_.work_);
  }
  std::sort(sizes.begin(), sizes.end());
  std::set<double> sampled = { 0 };
  for (std::size_t part = 1; part <= kParts && !sizes.empty(); ++part) {
    sampled.insert(sizes[(sizes.size() - 1) * part / kParts]);
  }
  std::vector<BacklogRank> ranks;
  for (const int priority : aPriorities) {
    for (const bool isBeyondShare : { false, true }) {
      for (const double size : sampled) {
        SchedulingKey key;
        key.priority_ = priority;
        key.isBeyondShare_ = isBeyondShare;
        key.work_ = size;
        key.arrived_ = aNow;
        BacklogRank rank{ priority, isBeyondShare, size, 0 };
        for (const auto& queued : aQueued) {
          rank.ahead_ += IsScheduledBefore(queued.key_, key) ? queued.work_ : 0;
        }
        if (rank.ahead_ > 0) {
          ranks.push_back(rank);
        }
      }
    }
  }
  return ranks;
}

PoolBacklog
CountBacklog(const FleetState& aState, const std::string& aPool)
{
  PoolBacklog backlog;
  backlog.pool_ = aPool;
  backlog.moveTime_ = aState.options_.moveTime_;
  CountTargets(aState, backlog);
  CountVms(aState, backlog);
  std::vector<QueuedWork> queued;
  VisitWaiting(
    aState,
    aPool,
    [&](const JobEntry& aJob,
        const StepState& aStep,
        const Step& aSpec,
        const SchedulingKey& aKey) {
      if (aSpec.isLongRunning_ || aSpec.isFiller_ ||
          !IsWithinLimit(aState, aJob.job_.account_, aSpec.needs_)) {
        return;
      }
      const int items = CountWaitingItems(aStep);
      queued.push_back(
        { aKey,
          items * CoreMillis(aSpec.needs_.cpu_,
                             ExpectedRunTime(aState, aJob, aSpec)) });
      backlog.waitingItems_ += items;
      backlog.waitingWork_ += queued.back().work_;
    });
  if (!backlog.IsShort()) {
    return backlog;
  }
  std::set<int> priorities;
  for (const auto& queue : aState.config_.queues_) {
    if (queue.pool_ != aPool) {
      continue;
    }
    priorities.insert(queue.priority_);
    const auto learned = aState.runTimes_.find(queue.name_);
    if (learned != aState.runTimes_.end()) {
      backlog.runTimes_[queue.name_] = learned->second.Model();
    }
  }
  backlog.ranks_ = RankBacklog(queued, priorities, aState.now_);
  for (const auto& [cell, peer] : aState.peers_) {
    const auto free = peer.freeCpu_.find(aPool);
    if (peer.IsRecent(aState.now_) && free != peer.freeCpu_.end()) {
      backlog.peerFreeCpu_ = std::max(backlog.peerFreeCpu_, free->second);
    }
  }
  CountAccounts(aState, backlog);
  return backlog;
}

} // namespace cuminbridge
