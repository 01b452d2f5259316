// How an owner reads the store's answers and records.

#include <catch2/catch.hpp>

#include "records.h"

using namespace cuminbridge;

TEST_CASE("a watch continues from the last change that it reported")
{
  // Guards against lost cancellations: while the store has faults, its revision
  // can pass changes that a watch did not report. A watch that continued from
  // the store's revision would never report them.
  StoreReply reply;
  reply.status_ = StoreStatus::Done;
  reply.revision_ = 900; // past changes that were not reported
  CHECK(NextWatchRevision(500, reply, false) == 500);
  reply.items_.push_back({ "in/job/a", "", 620, 620, false });
  reply.items_.push_back({ "in/job/b", "", 640, 640, false });
  CHECK(NextWatchRevision(500, reply, false) == 640);
}

TEST_CASE("a long answer to a watch does not show that all changes were read")
{
  // The store limits its answers. Behind the last change may be a cancellation.
  StoreReply reply;
  reply.status_ = StoreStatus::Done;
  CHECK(ReportsAllChanges(reply));
  reply.items_.push_back({ "in/job/a", "", 620, 620, false });
  CHECK(ReportsAllChanges(reply));
  reply.items_.resize(500);
  CHECK(!ReportsAllChanges(reply));
  constexpr std::size_t kLargestJob = 6000; // bytes of its record
  reply.items_.assign(
    180, { "in/job/a", std::string(kLargestJob, 'x'), 7, 7, false });
  CHECK(!ReportsAllChanges(reply));
}

TEST_CASE("after a list, a watch continues from the store's revision")
{
  StoreReply reply;
  reply.status_ = StoreStatus::Done;
  reply.revision_ = 900;
  CHECK(NextWatchRevision(500, reply, true) == 900);
  // An item of a later page is newer than changes behind the first page.
  reply.items_.push_back({ "in/job/z", "", 950, 950, false });
  CHECK(NextWatchRevision(500, reply, true) == 900);
}

TEST_CASE("the owner record, before and after a hand-over")
{
  const auto owner = DecodeOwnerRecord("7 10.1.0.23:7000 1700 handed-over");
  CHECK(owner.term_ == 7);
  CHECK(owner.address_ == "10.1.0.23:7000");
  CHECK(owner.inheritedUntil_ == WallTime(Millis(1700)));
  CHECK(owner.hasHandedOver_);
  CHECK(EncodeOwnerRecord(owner) == "7 10.1.0.23:7000 1700 handed-over");
  CHECK(!DecodeOwnerRecord("7 10.1.0.23:7000 1700").hasHandedOver_);
  CHECK(DecodeOwnerRecord("").address_.empty());
}

TEST_CASE("the next owner decodes what an owner has stored")
{
  Job job;
  job.id_ = "00000000000000a1";
  Progress progress;
  progress.state_ = JobState::Serving;
  const WaveRecord wave{ WallTime(Millis(17)), { "vm-1", "vm-2" } };
  const std::vector<StoredTarget> targets = { { "t", "10.0.0.1:1", "p" } };
  const std::vector<StoredOrder> orders = { { "vm", WallTime(Millis(5)) } };
  const std::vector<StoredDemandPeak> peaks = {
    { "p", WallTime(Millis(9)), Millis(16000), 75000 }
  };
  const auto makeReply = [](const std::string& aKey, std::string aValue) {
    StoreReply reply;
    reply.status_ = StoreStatus::Done;
    reply.items_.push_back({ aKey, std::move(aValue), 1, 1, false });
    return reply;
  };
  StoredFleet stored;
  stored.submissions_ = makeReply(kJobPrefix + job.id_, EncodeJob(job));
  stored.submissions_.items_.push_back({ "in/cancel/b", "{}", 2, 2, false });
  stored.submissions_.items_.push_back({ "in/job/c", "damaged", 3, 3, false });
  stored.progress_ = makeReply("progress/a", EncodeProgress(progress));
  stored.submissions_.items_.push_back({ "in/job/d", kEndedJob, 4, 4, false });
  stored.submissions_.items_.push_back(
    { "in/job/e", EncodeMovedJob(2), 5, 5, false });
  stored.waves_ = makeReply("upkeep/4", EncodeWaveRecord({ wave, true }));
  stored.waves_.items_.push_back(
    { "upkeep/5/1", EncodeWaveRecord({ wave, false }), 1, 1, false });
  stored.targets_ = makeReply("targets/t", EncodeTarget(targets.front()));
  stored.vmOrders_ = makeReply("orders/17", EncodeVmOrders(orders));
  stored.demandPeaks_ = makeReply(kDemandPeaksKey, EncodeDemandPeaks(peaks));
  std::vector<std::string> unreadable;
  const auto loaded = DecodeStoredFleet(stored, 0, unreadable);
  CHECK(loaded.jobs_ == std::vector<Job>{ job });
  CHECK(loaded.cancelled_ == std::set<std::string>{ "b" });
  CHECK(loaded.progress_.at("a") == progress);
  CHECK(loaded.waves_.at(4) == wave);
  CHECK(loaded.waves_.count(5) == 0); // of another cell
  CHECK(DecodeWaveRecords(stored.waves_, 0, unreadable).at(4).isCompleted_);
  CHECK(DecodeWaveRecords(stored.waves_, 1, unreadable).at(5).record_ == wave);
  CHECK(DecodeMovedJobs(stored.submissions_) ==
        std::map<std::string, int>{ { "e", 2 } });
  CHECK(loaded.targets_ == targets);
  CHECK(loaded.orders_ == orders);
  CHECK(loaded.demandPeaks_ == peaks);
  CHECK(unreadable == std::vector<std::string>{ "in/job/c" });
}

TEST_CASE("the record of a target tells whether it was silent")
{
  StoredFleet stored;
  stored.targets_.items_ = { { "targets/t",
                               EncodeTarget({ "t", "10.0.0.1:1", "p", true }),
                               1,
                               1,
                               false },
                             { "targets/u", "damaged", 1, 1, false } };
  std::vector<std::string> unreadable;
  const auto loaded = DecodeStoredFleet(stored, 0, unreadable);
  CHECK(loaded.targets_ ==
        std::vector<StoredTarget>{ { "t", "10.0.0.1:1", "p", true } });
  CHECK(unreadable == std::vector<std::string>{ "targets/u" });
}

TEST_CASE("a count of waiting jobs tells when it was made")
{
  const LoadRecord load{ { { "q", 7 } }, WallTime(Millis(1700)) };
  CHECK(DecodeLoad(EncodeLoad(load)) == load);
  // Earlier versions stored the numbers only.
  CHECK(DecodeLoad(R"({"q":7})") == LoadRecord{ { { "q", 7 } }, WallTime() });
  CHECK(DecodeLoad("damaged").waiting_.empty());
}

TEST_CASE("a capacity report is decoded as it was encoded")
{
  const auto report =
    DecodeCapacity(EncodeCapacity({ 3, { { "a", 64000 } }, { { "b", 7 } } }));
  REQUIRE(report);
  CHECK(report->cell_ == 3);
  CHECK(report->freeCpu_.at("a") == 64000);
  CHECK(report->offeredCpu_.at("b") == 7);
  CHECK(!DecodeCapacity("[]"));
}

TEST_CASE("targets in the single record of earlier versions are read")
{
  StoredFleet stored;
  stored.oldTargets_.status_ = StoreStatus::Done;
  stored.oldTargets_.items_.push_back(
    { kOldTargetsKey, R"([["t","10.0.0.1:1","p"]])", 1, 1, false });
  std::vector<std::string> unreadable;
  const auto loaded = DecodeStoredFleet(stored, 0, unreadable);
  CHECK(loaded.targets_ ==
        std::vector<StoredTarget>{ { "t", "10.0.0.1:1", "p" } });
  CHECK(unreadable.empty());
}

TEST_CASE("an owner writes its orders behind the newest of the one before")
{
  // Each owner began with the first slot, and so replaced recent orders of the
  // previous one, which the next one then did not know of.
  StoreReply orders;
  CHECK(NewestOrderSlot(orders) == 0);
  orders.items_ = { { "orders", "", 900, 900, false }, // of earlier versions
                    { "orders/1", "", 640, 100, false },
                    { "orders/10", "", 700, 110, false },
                    { "orders/2", "", 650, 120, false } };
  CHECK(NewestOrderSlot(orders) == 10);
  orders.items_ = { { "cell/12/orders/127", "", 640, 100, false } };
  CHECK(NewestOrderSlot(orders) == 127);
}
