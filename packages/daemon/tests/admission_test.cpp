// Admission control of an entry, with a store and a stand-in of an owner.

#include <catch2/catch.hpp>

#include "caller_api.h"
#include "store_fixture.h"

using namespace cuminbridge;

namespace {

constexpr Instant kNow{ Millis(1000000) };

// A pool of 100 cores with aSeconds of work for them ahead of every new job.
BacklogReport
MakeReport(double aSeconds, int aTerm = 1, std::uint64_t aVersion = 1)
{
  constexpr double kCoreMillis = 100 * 1000;
  PoolBacklog backlog;
  backlog.pool_ = "p";
  backlog.usableCpu_ = 100000;
  backlog.moveTime_ = Millis(1500);
  backlog.waitingItems_ = 500;
  backlog.waitingWork_ = aSeconds * kCoreMillis;
  backlog.ranks_ = { { 0, false, 0, aSeconds * kCoreMillis } };
  backlog.runTimes_ = { { "q", { 200, 6.46, 0.04, 0, 0.01 } } };
  return { aTerm, aVersion, { backlog } };
}

// An entry that serves callers, and the owner of the only cell in another
// process.
struct DoorFixture : StoreFixture
{
  static constexpr const char* kOwnerAddress = "127.0.43.3:18712";

  DoorFixture()
  {
    tuning_.admission_ = AdmissionMode::On;
    REQUIRE(owner_.Open(kOwnerAddress).empty());
    peers_.SetCount(1);
    peers_.SetAddress(0, kOwnerAddress);
    FleetConfig config;
    config.version_ = 1;
    Queue queue;
    queue.name_ = "q";
    queue.host_ = "h";
    queue.prefix_ = "/q/";
    queue.pool_ = "p";
    queue.stretch_ = 2;
    queue.allowance_ = Millis(600);
    queue.isPublic_ = true;
    config.queues_ = { queue };
    api_.SetConfig(config);
    api_.SetCellCount(1);
  }

  static HttpRequest MakeSubmission(const std::string& aId)
  {
    Job job;
    job.spec_ = "x";
    Step step;
    step.count_ = 8;
    step.needs_ = { 3000, 64, 0 };
    step.estimate_ = Millis(640);
    job.steps_ = { step };
    HttpRequest request;
    request.method_ = "POST";
    request.host_ = "h";
    request.path_ = "/q/" + aId;
    request.body_ = FormatSubmission(job);
    return request;
  }

  HttpResponse Submit(const std::string& aId)
  {
    return Await(api_.Answer(MakeSubmission(aId)));
  }

  // The answer to a first job tells the entry that the pool is short.
  void LearnBacklog()
  {
    CHECK(Submit("00000000000000a0").status_ == 200);
    RunFor(Millis(50));
  }

  bool IsStored(const std::string& aId)
  {
    return !Read(keys_.Of(kJobPrefix) + aId).empty();
  }

  std::string told_ = EncodeBacklogReport(MakeReport(40));
  Millis ownerTakes_{ 0 };
  int asked_ = 0;
  bool relays_ = false;
  HttpServer owner_{ io_,
                     {},
                     [this](
                       const HttpRequest& aRequest) -> Awaitable<HttpResponse> {
                       const std::string path = aRequest.path_;
                       const std::string body = aRequest.body_;
                       asked_ += path == kBacklogPath ? 1 : 0;
                       if (ownerTakes_ > Millis(0)) {
                         co_await Sleep(io_, ownerTakes_);
                       }
                       HttpResponse answer;
                       answer.body_ = told_;
                       if (relays_ && path == kRelayPath) {
                         answer = co_await api_.AnswerRelayed(body);
                       }
                       co_return answer;
                     } };
  CallerApi api_{ context_ };
};

} // namespace

TEST_CASE("a backlog counts while it is recent, and from the latest owner")
{
  Backlogs backlogs;
  CHECK(!backlogs.Find(0, "p", kNow));
  CHECK(!backlogs.TakeQuestion(0, "p", kNow));
  backlogs.Note(0, MakeReport(40, 2, 5), kNow);
  REQUIRE(backlogs.Find(0, "p", kNow + Millis(300)));
  CHECK(backlogs.Find(0, "p", kNow + Millis(300))->age_ == Millis(300));
  CHECK(!backlogs.Find(0, "p", kNow + Millis(1001)));
  CHECK(!backlogs.Find(1, "p", kNow)); // another cell
  CHECK(!backlogs.Find(0, "o", kNow)); // a pool that is not short
  // Late reports, of this owner and of the one before.
  backlogs.Note(0, MakeReport(1, 2, 4), kNow + Millis(400));
  backlogs.Note(0, MakeReport(1, 1, 90), kNow + Millis(400));
  CHECK(backlogs.Find(0, "p", kNow)->version_ == 5);
  // A new owner counts from 1 again.
  backlogs.Note(0, MakeReport(1, 3, 1), kNow + Millis(500));
  CHECK(backlogs.Find(0, "p", kNow + Millis(500))->term_ == 3);
  backlogs.NoteNone(0);
  CHECK(!backlogs.Find(0, "p", kNow + Millis(500)));
}

TEST_CASE("an entry asks again only while a pool is short")
{
  Backlogs backlogs;
  backlogs.Note(0, MakeReport(40), kNow);
  CHECK(!backlogs.TakeQuestion(0, "p", kNow + Millis(50)));
  CHECK(backlogs.TakeQuestion(0, "p", kNow + Millis(5000)));
  CHECK(!backlogs.TakeQuestion(0, "p", kNow + Millis(5050)));
  CHECK(backlogs.TakeQuestion(0, "p", kNow + Millis(5100)));
  CHECK(!backlogs.TakeQuestion(0, "o", kNow + Millis(5000)));
}

TEST_CASE("a job that surely ends too late is refused, and is not stored")
{
  DoorFixture door;
  door.LearnBacklog();
  const auto answer = door.Submit("00000000000000a1");
  CHECK(answer.status_ == 503);
  CHECK(std::stoi(RetryAfterOf(answer)) > 30);
  CHECK(!door.IsStored("00000000000000a1"));
  CHECK(door.api_.CountRefusals().at({ RefusalCause::PoolFull, "p" }) == 1);
  // With room, nobody is refused.
  door.told_.clear();
  door.RunFor(kBacklogInterval);
  CHECK(door.Submit("00000000000000a2").status_ == 200);
}

TEST_CASE("a job that is stored is not refused")
{
  DoorFixture door;
  door.LearnBacklog();
  // The answer to its first submission was lost.
  CHECK(door.Submit("00000000000000a0").status_ == 200);
}

TEST_CASE("an attempt that is still on its way does not store a refused job")
{
  DoorFixture door;
  door.LearnBacklog();
  StoreWrite late; // of another entry, sent before the refusal
  const auto job = door.keys_.Of(kJobPrefix) + "00000000000000a1";
  late.conditions_ = {
    { job, 0 }, { door.keys_.Of(kRefusalPrefix) + "00000000000000a1", 0 }
  };
  late.puts_ = { { job, "job", 0 } };
  CHECK(door.Submit("00000000000000a1").status_ == 503);
  CHECK(door.Await(door.store_.Write(late)).status_ == StoreStatus::Conflict);
  CHECK(!door.IsStored("00000000000000a1"));
}

TEST_CASE("a caller that returns when it was told to is admitted")
{
  DoorFixture door;
  door.LearnBacklog();
  const auto now = door.clocks_.TimeOfDay();
  const auto refuse = [&](const std::string& aId, Millis aReturnIn) {
    StoreWrite write;
    write.puts_ = { { door.keys_.Of(kRefusalPrefix) + aId,
                      EncodeRefusal({ now - Millis(4000),
                                      now - Millis(3000),
                                      now + aReturnIn }),
                      0 } };
    door.Write(write);
  };
  refuse("00000000000000a1", Millis(0));
  CHECK(door.Submit("00000000000000a1").status_ == 200);
  CHECK(door.IsStored("00000000000000a1"));
  // Too early: it keeps its time, and newcomers return after it.
  refuse("00000000000000a2", Millis(9000));
  const auto early = door.Submit("00000000000000a2");
  CHECK(early.status_ == 503);
  CHECK(std::stoi(RetryAfterOf(early)) <= 9);
  CHECK(std::stoi(RetryAfterOf(door.Submit("00000000000000a3"))) > 30);
}

TEST_CASE("without the owner, jobs are admitted")
{
  DoorFixture door;
  door.LearnBacklog();
  door.RunFor(kMaxBacklogAge + Millis(50));
  SECTION("it does not answer in time")
  {
    door.ownerTakes_ = Millis(400);
  }
  SECTION("its address refuses connections")
  {
    door.peers_.SetAddress(0, "127.0.43.3:18713");
  }
  SECTION("no owner is known")
  {
    door.peers_.SetAddress(0, "");
  }
  CHECK(door.Submit("00000000000000a1").status_ == 200);
}

TEST_CASE("the store is lost: the refusal says so")
{
  DoorFixture door;
  door.LearnBacklog();
  door.server_.CloseIdle();
  HttpResponse answer;
  for (int attempt = 0; attempt < 5; ++attempt) {
    answer = door.Submit("00000000000000a" + std::to_string(attempt + 1));
    door.RunFor(Millis(200));
  }
  CHECK(answer.status_ == 503);
  CHECK(answer.body_.find("the store has not answered") != std::string::npos);
}

TEST_CASE("an entry that lost the store has a peer answer its callers")
{
  // The peer reaches the store; the caller's retry would come a second later.
  DoorFixture door;
  HttpClient http(door.io_, HttpClientOptions{});
  StoreClient store(http, "127.0.43.3:18719", door.clocks_); // turned away
  DaemonContext context{ door.io_, door.clocks_, door.settings_, door.tuning_,
                         http,     store,        door.peers_ };
  CallerApi cut(context);
  cut.SetConfig(door.api_.Config());
  cut.SetCellCount(1);
  const auto submit = [&](const std::string& aId) {
    return door.Await(cut.Answer(DoorFixture::MakeSubmission(aId)));
  };
  CHECK(submit("00000000000000a1").status_ == 503); // no peer relays
  door.relays_ = true;
  door.RunFor(Millis(300));
  CHECK(submit("00000000000000a1").status_ == 200);
  CHECK(door.IsStored("00000000000000a1"));
  auto request = DoorFixture::MakeSubmission("00000000000000a1");
  request.method_ = "GET";
  CHECK(door.Await(cut.Answer(request)).status_ == 200);
  request.path_ = "/q/00000000000000ff";
  CHECK(door.Await(cut.Answer(request)).status_ == 410);
  CHECK(cut.CountRelayed() == 3);
  SECTION("an answer of the peer that is lost does not count as a refusal")
  {
    door.ownerTakes_ = Millis(5000);
    CHECK(submit("00000000000000a2").status_ == 504);
  }
  SECTION("a peer of an earlier version does not know relayed requests")
  {
    door.relays_ = false;
    CHECK(submit("00000000000000a2").status_ == 503);
  }
  SECTION("the peer has lost the store too")
  {
    door.server_.CloseIdle();
    const auto answer = submit("00000000000000a2");
    CHECK(answer.status_ == 503);
    CHECK(!RetryAfterOf(answer).empty());
  }
}

TEST_CASE("in mode log, no job is refused")
{
  DoorFixture door;
  door.tuning_.admission_ = AdmissionMode::Log;
  door.LearnBacklog();
  CHECK(door.Submit("00000000000000a1").status_ == 200);
}
