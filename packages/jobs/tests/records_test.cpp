// Encoding of stored records, work item names, and look-ups.

#include <catch2/catch.hpp>

#include "cuminbridge/jobs.h"

using namespace cuminbridge;

namespace {

Job
MakeJobWithAllFields()
{
  Job job;
  job.id_ = "5c0e7a21d94b36f8";
  job.queue_ = "rounds";
  job.pool_ = "planning";
  job.account_ = "depots";
  job.spec_ = "text with \"quotes\" and \xc3\xa9";
  job.priority_ = 1;
  job.attempts_ = 3;
  job.stretch_ = 1.6;
  job.allowance_ = Millis(600);
  job.accepted_ = WallTime(Millis(1700000000123));
  job.firstRun_ = WallTime(Millis(1700000001000));
  job.interval_ = Millis(2000);
  job.repeats_ = 4;
  Step step;
  step.count_ = 8;
  step.needs_ = { 3500, 6500, 1 };
  step.estimate_ = Millis(640);
  step.isCheckpointing_ = true;
  step.isGang_ = true;
  step.prefersSameRack_ = true;
  step.isSpeculative_ = true;
  step.isLongRunning_ = true;
  step.isFiller_ = true;
  step.label_ = "a";
  step.dataRack_ = "r1-3";
  step.maxPerTarget_ = 2;
  step.maxUnavailable_ = 1;
  step.targetLatency_ = Millis(80);
  step.image_ = "image";
  job.steps_ = { step, step };
  job.steps_[1].after_ = { 0 };
  return job;
}

} // namespace

TEST_CASE("a decoded job equals the encoded one")
{
  const auto job = MakeJobWithAllFields();
  CHECK(DecodeJob(EncodeJob(job)) == job);
  CHECK(DecodeJob(EncodeJob(Job{})) == Job{});
}

TEST_CASE("a truncated or incomplete job record is rejected")
{
  auto text = EncodeJob(MakeJobWithAllFields());
  CHECK(!DecodeJob(text.substr(0, text.size() / 2)));
  CHECK(!DecodeJob("{}"));
  CHECK(!DecodeJob(""));
}

TEST_CASE(
  "decoded progress equals the encoded one; an unknown state is rejected")
{
  Progress progress;
  progress.state_ = JobState::Serving;
  progress.changed_ = WallTime(Millis(1700000000123));
  progress.items_.push_back({ 0, 1, 2, true, { 1 }, 257, "", "", {} });
  progress.items_.push_back(
    { 0, 1, 3, false, {}, 258, "cp", "i-7f3a91c2", {} });
  progress.items_.push_back(
    { 0,
      1,
      4,
      false,
      {},
      3,
      "",
      "",
      { { "i-1", 2, CrashKind::Early }, { "i-2", 3, CrashKind::Uncertain } } });
  progress.items_.push_back({ 0,
                              1,
                              5,
                              false,
                              {},
                              4,
                              "",
                              "",
                              {},
                              { { "i-3", WallTime(Millis(1700000012000)) } } });
  CHECK(DecodeProgress(EncodeProgress(progress)) == progress);
  // Records of earlier versions have neither crashes nor late starts.
  const auto earlier = DecodeProgress(
    R"({"state":1,"changed":0,"items":[[0,1,3,0,[],258,"cp","i-7f3a91c2"]]})");
  REQUIRE(earlier);
  CHECK(earlier->items_.front() == progress.items_[1]);
  CHECK(!DecodeProgress(R"({"state":9,"changed":0,"items":[]})"));
  CHECK(!DecodeProgress("null"));
}

TEST_CASE("item names are formatted and parsed; malformed names are rejected")
{
  const ItemName name{ "5c0e7a21d94b36f8", 0, 1, 17 };
  CHECK(FormatItem(name) == "5c0e7a21d94b36f8.0.1.17");
  CHECK(ParseItem("5c0e7a21d94b36f8.0.1.17") == name);
  for (const auto* text : { "",
                            ".0.1.2",
                            "a",
                            "a.0",
                            "a.0.1",
                            "a.0.1.x",
                            "a.0.1.2.3",
                            "a.0.-1.2" }) {
    INFO(text);
    CHECK(!ParseItem(text));
  }
}

TEST_CASE("FindQueue picks the longest matching prefix on the request's host")
{
  FleetConfig config;
  Queue outer;
  outer.name_ = "outer";
  outer.host_ = "a.example";
  outer.prefix_ = "/q/";
  Queue inner = outer;
  inner.name_ = "inner";
  inner.prefix_ = "/q/in/";
  config.queues_ = { outer, inner };
  CHECK(FindQueue(config, "a.example", "/q/in/1")->name_ == "inner");
  CHECK(FindQueue(config, "a.example", "/q/1")->name_ == "outer");
  CHECK(FindQueue(config, "b.example", "/q/1") == nullptr);
  CHECK(FindQueue(config, "a.example", "/r/1") == nullptr);
}

TEST_CASE("resources fit only if each of them fits")
{
  const Resources free{ 4000, 1000, 1 };
  CHECK(Resources{ 4000, 1000, 1 }.Fits(free));
  CHECK(!Resources{ 4001, 1, 0 }.Fits(free));
  CHECK(!Resources{ 1, 1001, 0 }.Fits(free));
  CHECK(!Resources{ 1, 1, 2 }.Fits(free));
}
