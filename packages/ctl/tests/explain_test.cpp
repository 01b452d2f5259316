// The history of a job, from log lines.

#include <catch2/catch.hpp>

#include "explain.h"

using namespace cuminbridge;

namespace {

std::string
Line(const std::string& aTime,
     const std::string& aEvent,
     const std::string& aJob,
     const std::string& aTarget)
{
  return R"({"time":")" + aTime + R"(","entry":"e","event":")" + aEvent +
         R"(","job":")" + aJob + R"(","item":"","target":")" + aTarget +
         R"(","detail":"d"})";
}

} // namespace

TEST_CASE(
  "a job's lines are in order of time, with those of its target and owner")
{
  const auto history = ExplainJob("j",
                                  { Line("12:05", "run_lost", "j", "t"),
                                    Line("12:01", "job_accepted", "j", ""),
                                    Line("12:04", "target_silent", "", "t"),
                                    Line("12:04", "target_silent", "", "other"),
                                    Line("12:03", "run_placed", "k", "t"),
                                    Line("12:02", "owner_began", "", ""),
                                    Line("13:00", "owner_ended", "", ""),
                                    "no JSON" });
  REQUIRE(history.size() == 4);
  CHECK(history[0] == "12:01 e job_accepted: d");
  CHECK(history[1] == "12:02 e owner_began: d");
  CHECK(history[2] == "12:04 e target_silent t: d");
  CHECK(history[3] == "12:05 e run_lost t: d");
}

TEST_CASE("what became of a lost run is shown, also after the end of its job")
{
  const auto history = ExplainJob("j",
                                  { Line("12:01", "run_lost", "j", "t"),
                                    Line("12:01", "target_gone", "", "t"),
                                    Line("12:03", "target_back", "", "t"),
                                    Line("12:02", "job_ended", "j", ""),
                                    Line("12:04", "target_silent", "", "t"),
                                    Line("12:03", "end_ignored", "j", "t") });
  REQUIRE(history.size() == 5);
  CHECK(history[3] == "12:03 e target_back t: d");
  CHECK(history[4] == "12:03 e end_ignored t: d");
}

TEST_CASE("an unknown job has no history")
{
  CHECK(ExplainJob("x", { Line("12:02", "owner_began", "", "") }).empty());
}
