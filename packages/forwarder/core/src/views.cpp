// Read-only views of an entry's state.

#include "agreement.h"
#include "permits.h"
#include "waves.h"

namespace cuminbridge::forwarder {

namespace {

int
AgeInMilliseconds(TimePoint aThen, TimePoint aNow)
{
  return static_cast<int>(
    std::chrono::duration_cast<std::chrono::milliseconds>(aNow - aThen)
      .count());
}

const char*
StateName(const TargetState& aTarget)
{
  if (aTarget.status_ == VmStatus::Gone) {
    return "gone";
  }
  if (aTarget.status_ == VmStatus::Leaving) {
    return "leaving";
  }
  if (aTarget.isInWave_) {
    return "maintenance";
  }
  return aTarget.isEjected_ ? "ejected" : "live";
}

} // namespace

const Member&
ViewSelf(const Entry& aEntry)
{
  return aEntry.options_.self_;
}

std::vector<std::string>
ViewUnreadyReasons(const Entry& aEntry, TimePoint aNow)
{
  std::vector<std::string> reasons;
  if (aEntry.shutdown_.isRequested_) {
    reasons.emplace_back("shutting down");
  }
  if (!aEntry.agreement_.inForce_) {
    reasons.emplace_back(
      "no configuration yet: neither the store nor a peer has given one");
  } else if (!IsMember(aEntry)) {
    reasons.emplace_back("not a member yet: the store and a majority of the "
                         "members are needed to join");
  } else if (!IsFresh(aEntry, aNow)) {
    reasons.emplace_back("no fresh evidence: neither the store nor a majority "
                         "of the members was heard lately");
  }
  return reasons;
}

InForceView
ViewInForce(const Entry& aEntry, TimePoint aNow)
{
  InForceView view;
  const Agreement& agreement = aEntry.agreement_;
  if (!agreement.inForce_) {
    return view;
  }
  view.number_ = agreement.inForce_->config_->number_;
  view.revision_ = agreement.inForce_->revision_;
  view.digest_ = agreement.inForce_->config_->digest_;
  for (const PendingChange& pending : agreement.pending_) {
    view.pending_.push_back(pending.prepare_.operation_);
  }
  view.evidenceAgeMilliseconds_ = AgeInMilliseconds(
    agreement.freshUntil_ - aEntry.options_.evidenceLifetime_, aNow);
  for (const Member& member : agreement.inForce_->members_) {
    MemberView seen;
    seen.member_ = member;
    const auto peer = agreement.peers_.find(member.id_);
    if (IsSelf(aEntry, member)) {
      seen.revision_ = view.revision_;
      seen.number_ = view.number_;
      seen.heardMillisecondsAgo_ = 0;
    } else if (peer != agreement.peers_.end()) {
      seen.revision_ = peer->second.revision_;
      seen.number_ = peer->second.number_;
      seen.heardMillisecondsAgo_ =
        AgeInMilliseconds(peer->second.lastHeardAt_, aNow);
    }
    view.members_.push_back(std::move(seen));
  }
  return view;
}

std::vector<PoolView>
ViewPools(const Entry& aEntry, TimePoint)
{
  std::vector<PoolView> views;
  for (const auto& [name, pool] : aEntry.routing_.pools_) {
    PoolView view;
    view.pool_ = pool.config_;
    for (const auto& [account, queue] : pool.queues_) {
      view.waiting_ += queue.count_;
    }
    for (const TargetState* target : pool.targets_) {
      view.targets_.push_back({ target->address_,
                                StateName(*target),
                                target->running_,
                                target->slots_ });
    }
    views.push_back(std::move(view));
  }
  return views;
}

std::vector<AccountView>
ViewAccounts(const Entry& aEntry, TimePoint)
{
  std::vector<AccountView> views;
  if (!aEntry.agreement_.inForce_) {
    return views;
  }
  for (const auto& [name, account] :
       aEntry.agreement_.inForce_->config_->accounts_) {
    AccountView view;
    view.account_ = account;
    const auto state = aEntry.permits_.accounts_.find(name);
    if (state != aEntry.permits_.accounts_.end()) {
      view.held_ = state->second.held_;
      view.running_ = state->second.running_;
      view.waiting_ = state->second.waiting_;
      view.runningElsewhere_ = state->second.runningElsewhere_;
    }
    const auto issued = aEntry.permits_.ledger_.issued_.find(name);
    if (issued != aEntry.permits_.ledger_.issued_.end()) {
      view.issued_ = issued->second;
    }
    views.push_back(std::move(view));
  }
  return views;
}

std::vector<WaveView>
ViewWaves(const Entry& aEntry, TimePoint aNow)
{
  std::vector<WaveView> views;
  if (!aEntry.agreement_.inForce_) {
    return views;
  }
  for (const auto& [name, pool] : aEntry.agreement_.inForce_->config_->pools_) {
    if (pool->round_ == 0) {
      continue;
    }
    WaveView view;
    view.pool_ = name;
    view.round_ = pool->round_;
    view.todo_ = FindVmsToReboot(aEntry, *pool);
    const auto note = aEntry.waves_.announced_.find(name);
    if (note != aEntry.waves_.announced_.end()) {
      view.taken_.assign(note->second.vms_.begin(), note->second.vms_.end());
    }
    const auto planned = aEntry.waves_.planned_.find(name);
    if (planned != aEntry.waves_.planned_.end()) {
      view.reason_ = planned->second.reason_;
    }
    view.isPlannedHere_ = IsPlanner(aEntry, name, aNow);
    views.push_back(std::move(view));
  }
  return views;
}

std::map<std::string, std::uint64_t>
ViewCounts(const Entry& aEntry)
{
  auto counts = aEntry.counts_;
  counts["requests_running"] = aEntry.routing_.running_;
  counts["requests_waiting"] = aEntry.routing_.waiting_;
  return counts;
}

} // namespace cuminbridge::forwarder
