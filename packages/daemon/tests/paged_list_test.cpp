// Lists of several pages that change while they are read, against the stand-in
// of the platform's store.

#include <algorithm>

#include "store_fixture.h"

using namespace cuminbridge;

namespace {

// Two jobs are stored right after the first page was answered: one whose key
// belongs to that page, then one on the last page.
struct ChangingList : StoreFixture
{
  static constexpr const char* kAddress = "127.0.43.6:18711";
  static constexpr int kJobs = 600; // more than a page of 500

  ChangingList()
  {
    REQUIRE(changingServer_.Open(kAddress).empty());
    for (int job = 0; job < kJobs; ++job) {
      standin_.Put(kJobPrefix + std::to_string(100000 + job), "old");
    }
  }

  Awaitable<HttpResponse> Serve(HttpRequest aRequest)
  {
    const bool isList = aRequest.path_.rfind("/kv-range", 0) == 0;
    auto response = co_await standin_.Serve(aRequest);
    if (isList && ++pages_ == 1) {
      standin_.Put(kJobPrefix + std::string("0"), "new");
      standin_.Put(kJobPrefix + std::string("9"), "new");
    }
    co_return response;
  }

  int pages_ = 0;
  HttpServer changingServer_{ io_, {}, [this](const HttpRequest& aRequest) {
                               return Serve(aRequest);
                             } };
  StoreClient client_{ http_, kAddress, clocks_ };
};

bool
HasKey(const StoreReply& aReply, const std::string& aKey)
{
  return std::any_of(
    aReply.items_.begin(), aReply.items_.end(), [&](const StoreItem& aItem) {
      return aItem.key_ == aKey;
    });
}

} // namespace

TEST_CASE("a job stored behind a page that was read is watched for")
{
  // It was on no page, and the watch began at a newer item of the last page:
  // the job was accepted and never started.
  ChangingList fixture;
  const auto list = fixture.Await(fixture.client_.List(kSubmissionPrefix));
  REQUIRE(list.IsDone());
  CHECK(fixture.pages_ == 2);
  REQUIRE(!HasKey(list, "in/job/0"));
  REQUIRE(HasKey(list, "in/job/9"));
  const auto watched = fixture.Await(fixture.client_.Watch(
    kSubmissionPrefix, NextWatchRevision(0, list, true), Millis(100)));
  CHECK(HasKey(watched, "in/job/0"));
}

namespace {

// The owner of the only cell, whose records fill three pages. From
// BeginTrouble() on, watches find their history gone, and the store turns every
// second list away.
struct BusyStore : StoreFixture
{
  static constexpr const char* kAddress = "127.0.43.11:18711";
  static constexpr int kEndedJobs = 1100;

  BusyStore()
  {
    REQUIRE(busyServer_.Open(kAddress).empty());
    for (int job = 0; job < kEndedJobs; ++job) {
      StoreWrite write;
      write.puts_ = {
        { kJobPrefix + std::to_string(1000000 + job), kEndedJob, 0 }
      };
      Write(write);
    }
    owner_ = std::make_shared<Owner>(busy_, TakeCell(), FleetConfig{});
    owner_->Begin();
    RunFor(Millis(400));
  }

  void BeginTrouble() { isInTrouble_ = true; }

  Awaitable<HttpResponse> Serve(HttpRequest aRequest)
  {
    constexpr int kExpired = 410;
    constexpr int kUnavailable = 503;
    if (isInTrouble_ && aRequest.path_.rfind("/kv-watch", 0) == 0) {
      co_return standin::Answer(kExpired);
    }
    const bool isList =
      aRequest.path_.find(kSubmissionPrefix) != std::string::npos;
    if (isInTrouble_ && isList && ++lists_ % 2 == 0) {
      co_return standin::Answer(kUnavailable);
    }
    co_return co_await standin_.Serve(aRequest);
  }

  bool isInTrouble_ = false;
  int lists_ = 0;
  HttpServer busyServer_{ io_, {}, [this](const HttpRequest& aRequest) {
                           return Serve(aRequest);
                         } };
  StoreClient client_{ http_, kAddress, clocks_ };
  DaemonContext busy_{
    io_, clocks_, settings_, tuning_, http_, client_, peers_
  };
  std::shared_ptr<Owner> owner_;
};

} // namespace

TEST_CASE("a list goes on with the page that the store has refused")
{
  // Each refused page began the list anew. Of several pages, none was used
  // until the store answered all of them in a row.
  BusyStore fixture;
  fixture.BeginTrouble();
  fixture.RunFor(Millis(300));
  Job job;
  job.id_ = "00000000000000a1";
  job.steps_.emplace_back().count_ = 1;
  StoreWrite write;
  write.puts_ = { { kJobPrefix + job.id_, EncodeJob(job), 0 } };
  fixture.Write(write);
  fixture.RunFor(Millis(2000));
  CHECK(fixture.owner_->GetFleet().StoredState(job.id_) == JobState::Queued);
}
