// The lease of an owner that does not answer, and an owner whose list of
// targets another writer fills, against the stand-in of the platform's store.

#include <thread>

#include "election.h"
#include "standin_target.h"
#include "state.h"
#include "store_fixture.h"

using namespace cuminbridge;

namespace {

// An entry at kOwnAddress in a fleet of one cell, whose owner's key holds
// another address or, after a crash, that of the entry itself. The entry has no
// configuration yet, so it takes no cell.
struct EntryFixture : StoreFixture
{
  explicit EntryFixture(const std::string& aOwner)
  {
    settings_.ip_ = "127.0.43.4";
    settings_.firstInternalPort_ = 18721;
    const auto lease = Await(store_.CreateLease(Millis(60000)));
    StoreWrite write;
    write.puts_ = { { kCellsKey, EncodeCellMap({}), 0 },
                    { keys_.Owner(), aOwner, lease.revision_ } };
    Write(write);
    boost::asio::co_spawn(io_, election_.Run(), boost::asio::detached);
  }

  bool IsOwned() { return !Read(keys_.Owner()).empty(); }

  CallerApi callerApi_{ context_ };
  Election election_{ context_, callerApi_ };
};

// The owner of the only cell, which has the given records. There are no targets
// and no VM service.
struct OwnerFixture : StoreFixture
{
  explicit OwnerFixture(Millis aValidity = Millis(60000),
                        std::vector<StoreWrite::Put> aRecords = {})
  {
    if (!aRecords.empty()) {
      StoreWrite records;
      records.puts_ = std::move(aRecords);
      Write(records);
    }
    const auto ownership = TakeCell(aValidity);
    lease_ = ownership.lease_;
    owner_ = std::make_shared<Owner>(context_, ownership, FleetConfig{});
    owner_->Begin();
  }

  // Another writer changes an entry of this size all the time.
  Awaitable<void> RewriteEntry(std::size_t aBytes, Millis aInterval)
  {
    const std::string value(aBytes, 'x');
    for (int number = 0;; ++number) {
      standin_.Put("servers/odd-" + std::to_string(number % 2),
                   value + std::to_string(number));
      co_await Sleep(io_, aInterval);
    }
  }

  // As if it had run out. The owner does not know of it yet.
  void EndLease() { Await(store_.RevokeLease(lease_)); }

  Millis TargetListAge()
  {
    const auto& askedAt = owner_->GetFleet().State().targetsAskedAt_;
    return askedAt ? clocks_.Now() - *askedAt : Millis::max();
  }

  std::int64_t lease_ = 0;
  std::shared_ptr<Owner> owner_;
};

constexpr const char* kOwnAddress = "127.0.43.4:18721";
constexpr const char* kRefusingAddress = "127.0.43.5:18721"; // nothing listens

} // namespace

TEST_CASE("an owner that refuses connections keeps its lease")
{
  // Other entries ended the lease of a live owner behind a network that rejects
  // connections. It relied on the lease until that would have run out.
  EntryFixture fixture(kRefusingAddress);
  for (int call = 0; call < 20; ++call) {
    fixture.RunFor(Millis(20));
    fixture.peers_.Notify(0, kNotifyJobPath, "{}");
  }
  CHECK(fixture.peers_.AddressOf(0) == kRefusingAddress);
  CHECK(fixture.IsOwned());
}

TEST_CASE("a restarted entry ends the lease of its former process")
{
  // The cell would be without an owner until the lease runs out.
  EntryFixture fixture(kOwnAddress);
  fixture.RunFor(Millis(300));
  CHECK(!fixture.IsOwned());
}

TEST_CASE("the list of targets is followed although its changes are large")
{
  // Each answer to a watch held more than a page of a list, and so might have
  // been cut off. The list counted as old, and nothing started any more.
  constexpr std::size_t kBytes = 700000;
  OwnerFixture fixture;
  boost::asio::co_spawn(fixture.io_,
                        fixture.RewriteEntry(kBytes, Millis(100)),
                        boost::asio::detached);
  fixture.RunFor(Millis(1500));
  Millis oldest(0);
  for (int step = 0; step < 40; ++step) {
    fixture.RunFor(Millis(100));
    oldest = std::max(oldest, fixture.TargetListAge());
  }
  CHECK(oldest < PlatformSettings{}.drainLimit_);
}

namespace {

FleetConfig
MakeConfig()
{
  FleetConfig config;
  config.version_ = 1;
  config.pools_.push_back({ "a", true, false });
  Queue queue;
  queue.name_ = "queue-a";
  queue.pool_ = "a";
  config.queues_.push_back(queue);
  return config;
}

Job
MakeSmallJob(const std::string& aId)
{
  Job job;
  job.id_ = aId;
  job.queue_ = "queue-a";
  Step step;
  step.count_ = 1;
  step.needs_ = { 1000, 0, 0 };
  job.steps_.push_back(step);
  return job;
}

// Longer than an owner may rely on its last renewal, but not so long that what
// it has read counts as old.
constexpr Millis kHeldUp(850);

// The owner of a target, whose lease on the cell nobody renews from now on.
struct HeldUpOwner : OwnerFixture
{
  HeldUpOwner()
    : OwnerFixture(kOwnerLease)
  {
    standin::PutEntry(standin_, "t", "a");
    owner_->Handle(ConfigSeen{ MakeConfig() });
    while (!IsUsable()) {
      RunFor(Millis(10));
    }
  }

  bool IsUsable() const
  {
    const auto& targets = owner_->GetFleet().State().targets_;
    const auto target = targets.find("t");
    return target != targets.end() && target->second.IsUsable(clocks_.Now());
  }

  standin::TargetThread target_;
};

} // namespace

TEST_CASE("an owner that was held up past its lease starts nothing")
{
  // It went by what it had known before, while another owner started the work.
  HeldUpOwner fixture;
  fixture.owner_->HandleSubmittedJob(MakeSmallJob("00000000000000a1"));
  while (fixture.target_.Starts() == 0) { // its lease is valid
    fixture.RunFor(Millis(10));
  }
  fixture.EndLease();
  std::this_thread::sleep_for(kHeldUp);
  fixture.owner_->HandleSubmittedJob(MakeSmallJob("00000000000000a2"));
  fixture.RunFor(Millis(300));
  CHECK(fixture.target_.Starts() == 1);
}

TEST_CASE("a start that was held up on its way out does not leave any more")
{
  // It was decided while the lease was valid, and sent when it was not.
  HeldUpOwner fixture;
  fixture.EndLease();
  fixture.owner_->HandleSubmittedJob(MakeSmallJob("00000000000000a1"));
  std::this_thread::sleep_for(kHeldUp);
  fixture.RunFor(Millis(300));
  CHECK(fixture.target_.Starts() == 0);
}

TEST_CASE(
  "a job that has ended does not run again if its entry tells of it late")
{
  // The notification came before the new owner had read the records. The job
  // was taken for a new one, and its end in the records was dropped.
  const auto job = MakeSmallJob("00000000000000a1");
  Progress progress;
  progress.state_ = JobState::Completed;
  OwnerFixture fixture(
    Millis(60000),
    { { kJobPrefix + job.id_, kEndedJob, 0 },
      { kProgressPrefix + job.id_, EncodeProgress(progress), 0 } });
  fixture.owner_->HandleSubmittedJob(job);
  fixture.RunFor(Millis(300));
  CHECK(fixture.owner_->GetFleet().StoredState(job.id_) == JobState::Completed);
}

TEST_CASE(
  "a job of another cell is not taken back if its entry tells of it late")
{
  // Likewise: both cells would have run it.
  const auto job = MakeSmallJob("00000000000000a1");
  OwnerFixture fixture(Millis(60000),
                       { { kJobPrefix + job.id_, EncodeMovedJob(1), 0 } });
  fixture.owner_->HandleSubmittedJob(job);
  fixture.RunFor(Millis(300));
  CHECK(!fixture.owner_->GetFleet().StoredState(job.id_));
}

TEST_CASE("a new job that its entry tells of before the records are read waits")
{
  const auto job = MakeSmallJob("00000000000000a1");
  OwnerFixture fixture;
  fixture.owner_->HandleSubmittedJob(job);
  fixture.RunFor(Millis(300));
  CHECK(fixture.owner_->GetFleet().StoredState(job.id_) == JobState::Queued);
}

TEST_CASE("an owner that was held up beyond its allowance has ended")
{
  // It handled what had come meanwhile first, and renewed leases on targets for
  // which the next owner did not wait any more.
  StoreFixture fixture;
  Ownership ownership;
  ownership.map_ = std::make_shared<CellMap>();
  ownership.validUntil_ =
    fixture.clocks_.Now() - FleetOptions{}.ownerAllowance_ + Millis(50);
  const auto owner =
    std::make_shared<Owner>(fixture.context_, ownership, FleetConfig{});
  REQUIRE(!owner->HasEnded());
  std::this_thread::sleep_for(Millis(60));
  owner->Handle(SubmissionsRead{ fixture.clocks_.Now() });
  CHECK(owner->HasEnded());
}
