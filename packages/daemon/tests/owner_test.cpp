// What an owner makes of the store's answers.

#include <catch2/catch.hpp>

#include "records.h"

using namespace cuminbridge;

TEST_CASE("a watch that hears nothing goes on from what it heard last")
{
  // store-in-trouble, crue: cancellations were passed over.
  StoreReply reply;
  reply.status_ = StoreStatus::Done;
  reply.revision_ = 900; // the store went on without telling
  CHECK(NextWatchRevision(500, reply, false) == 500);
  reply.items_.push_back({ "in/job/a", "", 620, 620, false });
  reply.items_.push_back({ "in/job/b", "", 640, 640, false });
  CHECK(NextWatchRevision(500, reply, false) == 640);
}

TEST_CASE("a list holds all up to the store's revision")
{
  StoreReply reply;
  reply.status_ = StoreStatus::Done;
  reply.revision_ = 900;
  CHECK(NextWatchRevision(500, reply, true) == 900);
}

TEST_CASE("what is said of the last owner")
{
  const auto owner = ReadLastOwner("7 10.1.0.23:7000 1700 handed-over");
  CHECK(owner.term_ == 7);
  CHECK(owner.address_ == "10.1.0.23:7000");
  CHECK(owner.inheritedUntil_ == WallTime(Millis(1700)));
  CHECK(owner.hasHandedOver_);
  CHECK(WriteLastOwner(owner) == "7 10.1.0.23:7000 1700 handed-over");
  CHECK(!ReadLastOwner("7 10.1.0.23:7000 1700").hasHandedOver_);
  CHECK(ReadLastOwner("").address_.empty());
}

TEST_CASE("what an owner stores comes back to the next one")
{
  Job job;
  job.id_ = "00000000000000a1";
  Progress progress;
  progress.state_ = JobState::Serving;
  const WaveRecord wave{ WallTime(Millis(17)), { "vm-1", "vm-2" } };
  const std::vector<StoredTarget> targets = { { "t", "10.0.0.1:1", "p" } };
  const std::vector<StoredOrder> orders = { { "vm", WallTime(Millis(5)) } };
  const std::vector<StoredDemandPeak> turns = {
    { "p", WallTime(Millis(9)), Millis(16000), 75000 }
  };
  const auto make = [](const std::string& aKey, std::string aValue) {
    StoreReply reply;
    reply.status_ = StoreStatus::Done;
    reply.items_.push_back({ aKey, std::move(aValue), 1, 1, false });
    return reply;
  };
  StoredFleet stored;
  stored.intake_ = make(kJobPrefix + job.id_, EncodeJob(job));
  stored.intake_.items_.push_back({ "in/cancel/b", "{}", 2, 2, false });
  stored.intake_.items_.push_back({ "in/job/c", "damaged", 3, 3, false });
  stored.progress_ = make("progress/a", EncodeProgress(progress));
  stored.waves_ = make("upkeep/4", WriteWaveRecord(wave));
  stored.targets_ = make(kTargetsKey, WriteKnownTargets(targets));
  stored.orders_ = make(kOrdersKey, WriteKnownOrders(orders));
  stored.turns_ = make(kTurnsKey, WriteKnownTurns(turns));
  std::vector<std::string> unreadable;
  const auto loaded = ReadStoredFleet(stored, unreadable);
  CHECK(loaded.jobs_ == std::vector<Job>{ job });
  CHECK(loaded.cancelled_ == std::set<std::string>{ "b" });
  CHECK(loaded.progress_.at("a") == progress);
  CHECK(loaded.waves_.at(4) == wave);
  CHECK(loaded.targets_ == targets);
  CHECK(loaded.orders_ == orders);
  CHECK(loaded.demandPeaks_ == turns);
  CHECK(unreadable == std::vector<std::string>{ "in/job/c" });
}
