// Job files in TOML, as operators write them.

#include <catch2/catch.hpp>

#include "job_commands.h"

using namespace cuminbridge;

TEST_CASE("a job file is read with all its steps")
{
  Findings findings;
  const auto job = ReadJobFile("spec = 'takes=300'\n"
                               "[step.1]\ncount = 4\ncpu_millis = 1500\n"
                               "estimate_ms = 300\n"
                               "[step.2]\ncount = 2\nafter = ['1']\n"
                               "lasting = true\nmax_unavailable = 1\n",
                               findings);
  CHECK(findings.empty());
  CHECK(job.spec_ == "takes=300");
  REQUIRE(job.steps_.size() == 2);
  CHECK(job.steps_[0].count_ == 4);
  CHECK(job.steps_[0].needs_.cpu_ == 1500);
  CHECK(job.steps_[1].after_ == std::vector<int>{ 0 });
  CHECK(job.steps_[1].isLongRunning_);
}

TEST_CASE("ten and more steps are in numeric order")
{
  std::string text = "spec = ''\n";
  for (int step = 1; step <= 11; ++step) {
    text += "[step." + std::to_string(step) +
            "]\ncount = " + std::to_string(step) + "\n";
  }
  Findings findings;
  const auto job = ReadJobFile(text, findings);
  CHECK(findings.empty());
  REQUIRE(job.steps_.size() == 11);
  CHECK(job.steps_[9].count_ == 10);
}

TEST_CASE("all faults of a job file are found")
{
  Findings findings;
  ReadJobFile("sped = 'x'\n[step.1]\ncount = 0\nafter = ['1']\n"
              "[step.3]\ncount = 1\ncpus = 2\n",
              findings);
  const auto text = FormatFindings(findings);
  for (const auto* fault :
       { "sped", "spec", "step.1.count", "step.1.after", "step.3", "cpus" }) {
    INFO(text);
    CHECK(text.find(fault) != std::string::npos);
  }
}

TEST_CASE("views of several cells are shown as one")
{
  using nlohmann::json;
  const json first = {
    { "pools", { { { "pool", "a" }, { "vms", 3 }, { "offered_cores", 1.5 } } } }
  };
  const json second = {
    { "pools",
      { { { "pool", "a" }, { "vms", 2 }, { "offered_cores", 0.5 } },
        { { "pool", "b" }, { "vms", 1 }, { "offered_cores", 0.0 } } } }
  };
  const auto pools = MergeViews({ first, second }).at("pools");
  REQUIRE(pools.size() == 2);
  CHECK(pools[0].at("vms") == 5);
  CHECK(pools[0].at("offered_cores") == 2.0);
  const json limited = {
    { "accounts",
      { { { "account", "x" }, { "running_cpu", 4 }, { "limit_cpu", 9 } } } }
  };
  const auto accounts = MergeViews({ limited, limited }).at("accounts");
  CHECK(accounts[0].at("running_cpu") == 8);
  CHECK(accounts[0].at("limit_cpu") == 9);
  // An entry that owns two cells shows a row for each.
  const json load = { { "pools",
                        { { { "pool", "a" }, { "longest_wait_s", 2.5 } },
                          { { "pool", "a" }, { "longest_wait_s", 0.5 } } } } };
  const auto waits = MergeViews({ load }).at("pools");
  REQUIRE(waits.size() == 1);
  CHECK(waits[0].at("longest_wait_s") == 2.5);
  const json queues = { { "queues",
                          { { { "queue", "q" }, { "pool", "a" } },
                            { { "queue", "r" }, { "pool", "a" } } } } };
  CHECK(MergeViews({ queues }).at("queues").size() == 2);
  const json waves = { { "waves", { { { "wave", 1 }, { "cell", 0 } } } } };
  CHECK(MergeViews({ waves, waves }).at("waves").size() == 2);
}
