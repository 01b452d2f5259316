// The check of a configuration before it is sent.

#include <catch2/catch.hpp>

#include "config_check/config_check.h"
#include "cuminbridge/adapter.h"

using namespace cuminbridge;

namespace {

FleetConfig
MakeConfig()
{
  FleetConfig config;
  config.version_ = 7;
  Queue queue;
  queue.name_ = "quotes";
  queue.host_ = "h.example";
  queue.prefix_ = "/q/";
  queue.pool_ = "dispatch";
  queue.stretch_ = 1.6;
  config.queues_ = { queue };
  config.pools_ = { { "dispatch", true, false }, { "spare", true, true } };
  config.accounts_ = { { "north", { "k1", "k2" }, 2, {} } };
  return config;
}

std::vector<std::string>
Problems(const FleetConfig& aConfig)
{
  std::vector<std::string> lines;
  for (const auto& problem : CheckConfig(aConfig)) {
    lines.push_back(FormatProblem(problem));
  }
  return lines;
}

using Lines = std::vector<std::string>;

} // namespace

TEST_CASE("a sound configuration has no problems")
{
  CHECK(Problems(MakeConfig()).empty());
}

TEST_CASE("errors of a configuration are all found")
{
  auto config = MakeConfig();
  config.queues_[0].pool_ = "nowhere";
  config.queues_[0].attempts_ = 0;
  config.pools_.push_back({ "spare", true, true });
  const auto lines = Problems(config);
  CHECK(lines ==
        Lines{ "error: pool spare: there is another of its name",
               "error: queue quotes: its pool 'nowhere' does not exist",
               "error: queue quotes: its jobs have no attempt",
               "never matches: pool dispatch: no queue uses it",
               "contradiction: pool spare: pool spare is on standby too" });
}

TEST_CASE("entries that no request can select are found")
{
  auto config = MakeConfig();
  config.queues_.push_back(config.queues_[0]);
  config.queues_[1].name_ = "again";
  // A longer prefix of the same host goes first: both can match.
  config.queues_.push_back(config.queues_[0]);
  config.queues_[2].name_ = "longer";
  config.queues_[2].prefix_ = "/q/long/";
  config.accounts_.push_back({ "south", { "k2" }, 1, {} });
  config.accounts_.push_back({ "west", {}, 1, {} });
  const std::string same =
    "queue quotes before it has the same host and prefix";
  const std::string taken =
    "one of its keys belongs to account north before it";
  CHECK(Problems(config) ==
        Lines{ "never matches: queue again: " + same,
               "never matches: account west: it has no API key",
               "never matches: account south: " + taken });
}

TEST_CASE("values that contradict each other are found")
{
  auto config = MakeConfig();
  config.queues_[0].stretch_ = 0.5;
  config.queues_[0].pool_ = "spare";
  config.accounts_[0].weight_ = 0;
  config.maxBodyBytes_ = 1000;
  CHECK(Problems(config).size() == 5); // and no queue uses its pool any more
}

TEST_CASE("what differs from the version in force is listed without keys")
{
  const auto inForce = MakeConfig();
  auto config = inForce;
  config.version_ = 9;
  config.queues_[0].allowance_ = Millis(600);
  config.pools_.push_back({ "planning", true, false });
  config.accounts_[0].keys_ = { "k2", "secret" };
  config.accounts_[0].limit_.cpu_ = 4000;
  const std::string limits = "cpu 0 memory 0 gpu 0 -> cpu 4000 memory 0 gpu 0";
  CHECK(CompareConfigs(inForce, config) ==
        Lines{ "configuration: version 7 -> 9",
               "queue quotes: allowance 0 ms -> 600 ms",
               "pool planning: added",
               "account north: API keys: 1 added, 1 removed",
               "account north: limit " + limits });
  CHECK(CompareConfigs(inForce, inForce).empty());
}

TEST_CASE("malformed fields are found with their places, and a sound text has "
          "none")
{
  const std::string text =
    R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/",)"
    R"("service":"s","attempts":2}],"services":[{"name":"s"}],)"
    R"("tenants":[{"name":"t","api_keys":["k"],"max_count":{"cpu":5}}]})";
  CHECK(FindConfigFaults(text).empty());
  const auto faults = FindConfigFaults(
    R"({"routes":[{"name":"r","host":"h","prefix":4,"service":"s"}],)"
    R"("services":{},"tenants":[{"name":"t","api_keys":[1]}]})");
  REQUIRE(faults.size() == 4);
  CHECK(faults[0].place_.key_ == "version");
  CHECK(faults[1].place_.key_ == "routes[0].prefix");
  CHECK(faults[1].message_ == "must be a text");
  CHECK(faults[2].place_.key_ == "services");
  CHECK(faults[3].place_.key_ == "tenants[0].api_keys");
  CHECK(FindConfigFaults("{\"version\":").size() == 1);
}
