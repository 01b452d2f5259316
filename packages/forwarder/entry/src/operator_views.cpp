// Builds the JSON documents from the views of the core package.

#include "operator_views.h"

namespace cuminbridge::forwarder {

using nlohmann::json;

json
ShowFiling(const AnswerFiling& aAnswer)
{
  json findings = json::array();
  for (const Finding& finding : aAnswer.findings_) {
    findings.push_back({ { "line", finding.place_.line_ },
                         { "column", finding.place_.column_ },
                         { "key", finding.place_.key_ },
                         { "message", finding.message_ } });
  }
  return { { "ticket", aAnswer.number_ },
           { "digest", aAnswer.digest_ },
           { "message", aAnswer.message_ },
           { "findings", std::move(findings) } };
}

json
ShowInForce(const Entry& aEntry, TimePoint aNow)
{
  const InForceView view = ViewInForce(aEntry, aNow);
  json entries = json::array();
  for (const MemberView& member : view.members_) {
    entries.push_back({ { "entry", member.member_.id_ },
                        { "incarnation", member.member_.incarnation_ },
                        { "data_centre", member.member_.dataCentre_ },
                        { "voter", member.member_.isVoter_ },
                        { "ticket", member.number_ },
                        { "revision", member.revision_ },
                        { "heard_ms_ago", member.heardMillisecondsAgo_ } });
  }
  return { { "ticket", view.number_ },
           { "digest", view.digest_ },
           { "revision", view.revision_ },
           { "evidence_age_ms", view.evidenceAgeMilliseconds_ },
           { "pending", view.pending_ },
           { "entries", std::move(entries) } };
}

json
ShowPools(const Entry& aEntry, TimePoint aNow)
{
  json pools = json::array();
  for (const PoolView& view : ViewPools(aEntry, aNow)) {
    json targets = json::array();
    for (const TargetView& target : view.targets_) {
      targets.push_back({ { "vm", target.address_ },
                          { "state", target.state_ },
                          { "running_here", target.running_ },
                          { "slots_here", target.slots_ } });
    }
    pools.push_back(
      { { "pool", view.pool_->name_ },
        { "min_available", view.pool_->minAvailable_ },
        { "open", view.pool_->open_ },
        { "scheduler",
          view.pool_->scheduler_ == Scheduler::Old ? "old" : "cuminbridge" },
        { "changed_in", view.pool_->changedIn_ },
        { "waiting_here", view.waiting_ },
        { "targets", std::move(targets) } });
  }
  return { { "pools", std::move(pools) } };
}

json
ShowAccounts(const Entry& aEntry, TimePoint aNow)
{
  json accounts = json::array();
  for (const AccountView& view : ViewAccounts(aEntry, aNow)) {
    accounts.push_back({ { "account", view.account_->name_ },
                         { "keys", view.account_->keys_.size() },
                         { "share", view.account_->share_ },
                         { "limit", view.account_->limit_ },
                         { "changed_in", view.account_->changedIn_ },
                         { "permits_issued", view.issued_ },
                         { "permits_here", view.held_ },
                         { "running_here", view.running_ },
                         { "running_elsewhere", view.runningElsewhere_ },
                         { "waiting_here", view.waiting_ } });
  }
  return { { "accounts", std::move(accounts) } };
}

json
ShowWaves(const Entry& aEntry, TimePoint aNow)
{
  json waves = json::array();
  for (const WaveView& view : ViewWaves(aEntry, aNow)) {
    waves.push_back({ { "pool", view.pool_ },
                      { "round", view.round_ },
                      { "taken", view.taken_ },
                      { "todo", view.todo_ },
                      { "planned_here", view.isPlannedHere_ },
                      { "waits_because", view.reason_ } });
  }
  return { { "waves", std::move(waves) } };
}

json
ShowReadiness(const Entry& aEntry, TimePoint aNow)
{
  const auto reasons = ViewUnreadyReasons(aEntry, aNow);
  return { { "ready", reasons.empty() }, { "reasons", reasons } };
}

} // namespace cuminbridge::forwarder
