// The limits of client accounts.

#include "account_limits.h"

#include <algorithm>

#include "waiting_work.h"

namespace cuminbridge {

Resources
UsableLimit(const FleetState& aState, const Account& aAccount)
{
  constexpr std::int64_t kWhole = 1000;
  Resources limit = aAccount.limit_;
  if (aState.options_.cells_ > 1) {
    const auto granted = aState.limitParts_.find(aAccount.name_);
    const auto part = granted == aState.limitParts_.end()
                        ? kWhole / aState.options_.cells_
                        : granted->second;
    // At least 1, as 0 stands for no limit.
    for (auto* amount : { &limit.cpu_, &limit.memMb_, &limit.gpu_ }) {
      *amount =
        *amount == 0 ? 0 : std::max<std::int64_t>(1, *amount * part / kWhole);
    }
  }
  return limit;
}

bool
IsWithinLimit(const FleetState& aState,
              const std::string& aAccount,
              const Resources& aMore)
{
  const auto* account =
    aAccount.empty() ? nullptr : FindAccount(aState.config_, aAccount);
  if (!account) {
    return true;
  }
  Resources sum = aMore;
  const auto running = aState.running_.find(aAccount);
  if (running != aState.running_.end()) {
    sum += running->second;
  }
  const auto limit = UsableLimit(aState, *account);
  return (limit.cpu_ == 0 || sum.cpu_ <= limit.cpu_) &&
         (limit.memMb_ == 0 || sum.memMb_ <= limit.memMb_) &&
         (limit.gpu_ == 0 || sum.gpu_ <= limit.gpu_);
}

std::map<std::string, Resources>
WaitingNeedsByAccount(const FleetState& aState)
{
  std::map<std::string, Resources> needs;
  ForEachWaitingStep(
    aState,
    [](const JobEntry& aJob) { return !aJob.job_.account_.empty(); },
    [&](const JobEntry& aJob, int aNumber, std::size_t aStep) {
      const auto& spec = aJob.job_.steps_[aStep];
      const std::int64_t items =
        CountWaitingItems(aJob.occurrences_.at(aNumber).steps_[aStep]);
      needs[aJob.job_.account_] += { items * spec.needs_.cpu_,
                                     items * spec.needs_.memMb_,
                                     items * spec.needs_.gpu_ };
    });
  return needs;
}

} // namespace cuminbridge
