// The text form of backlog reports.

#include "cuminbridge/admission.h"

#include <nlohmann/json.hpp>

namespace cuminbridge {

using nlohmann::json;

namespace {

// Work is sent in whole core-milliseconds.
std::int64_t
Round(double aWork)
{
  return static_cast<std::int64_t>(aWork);
}

json
EncodePool(const PoolBacklog& aPool)
{
  json ranks = json::array();
  for (const auto& rank : aPool.ranks_) {
    ranks.push_back({ rank.priority_,
                      rank.isBeyondShare_,
                      Round(rank.work_),
                      Round(rank.ahead_) });
  }
  json models = json::object();
  for (const auto& [queue, model] : aPool.runTimes_) {
    models[queue] = { model.runs_,
                      model.takenMean_,
                      model.takenVariance_,
                      model.errorMean_,
                      model.errorVariance_ };
  }
  return { { "pool", aPool.pool_ },
           { "usable", aPool.usableCpu_ },
           { "free", aPool.largestFreeCpu_ },
           { "incoming", aPool.incomingCpu_ },
           { "lendable", aPool.lendableCpu_ },
           { "peers", aPool.peerFreeCpu_ },
           { "move_ms", aPool.moveTime_.count() },
           { "running", Round(aPool.runningWork_) },
           { "waiting", Round(aPool.waitingWork_) },
           { "items", aPool.waitingItems_ },
           { "ranks", std::move(ranks) },
           { "run_times", std::move(models) },
           { "beyond_share", aPool.beyondShare_ } };
}

PoolBacklog
DecodePool(const json& aBody)
{
  PoolBacklog pool;
  aBody.at("pool").get_to(pool.pool_);
  aBody.at("usable").get_to(pool.usableCpu_);
  aBody.at("free").get_to(pool.largestFreeCpu_);
  aBody.at("incoming").get_to(pool.incomingCpu_);
  aBody.at("lendable").get_to(pool.lendableCpu_);
  aBody.at("peers").get_to(pool.peerFreeCpu_);
  pool.moveTime_ = Millis(aBody.at("move_ms").get<std::int64_t>());
  aBody.at("running").get_to(pool.runningWork_);
  aBody.at("waiting").get_to(pool.waitingWork_);
  aBody.at("items").get_to(pool.waitingItems_);
  for (const auto& row : aBody.at("ranks")) {
    pool.ranks_.push_back({ row.at(0).get<int>(),
                            row.at(1).get<bool>(),
                            row.at(2).get<double>(),
                            row.at(3).get<double>() });
  }
  for (const auto& [queue, row] : aBody.at("run_times").items()) {
    pool.runTimes_[queue] = { row.at(0).get<double>(),
                              row.at(1).get<double>(),
                              row.at(2).get<double>(),
                              row.at(3).get<double>(),
                              row.at(4).get<double>() };
  }
  aBody.at("beyond_share").get_to(pool.beyondShare_);
  return pool;
}

} // namespace

std::string
EncodeBacklogReport(const BacklogReport& aReport)
{
  json pools = json::array();
  for (const auto& pool : aReport.pools_) {
    pools.push_back(EncodePool(pool));
  }
  return json{
    { "term", aReport.term_ },
    { "version", aReport.version_ },
    { "pools", std::move(pools) }
  }.dump();
}

std::optional<BacklogReport>
DecodeBacklogReport(const std::string& aText)
{
  try {
    const auto body = json::parse(aText);
    BacklogReport report;
    body.at("term").get_to(report.term_);
    body.at("version").get_to(report.version_);
    for (const auto& pool : body.at("pools")) {
      report.pools_.push_back(DecodePool(pool));
    }
    return report;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

} // namespace cuminbridge
