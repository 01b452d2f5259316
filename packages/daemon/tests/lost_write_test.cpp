// Submissions whose write is done but not answered, against the stand-in of the
// platform's store.

#include "caller_api.h"
#include "store_fixture.h"

using namespace cuminbridge;

namespace {

constexpr int kOk = 200;

// An entry to whose first write the store gives no answer, and the owner of the
// only cell.
struct LostAnswer : StoreFixture
{
  static constexpr const char* kStore = "127.0.43.9:18711";
  static constexpr const char* kOwner = "127.0.43.10:18711";

  LostAnswer()
  {
    REQUIRE(losingServer_.Open(kStore).empty());
    REQUIRE(ownerServer_.Open(kOwner).empty());
    api_.SetConfig(MakePublicQueue(1));
    api_.SetCellCount(1);
    peers_.SetCount(1);
    peers_.SetAddress(0, kOwner);
  }

  int Submit(const std::string& aId)
  {
    HttpRequest request;
    request.method_ = "POST";
    request.path_ = "/a/" + aId;
    request.host_ = "demo.example";
    request.body_ = R"({"spec":"","steps":[{"count":1,"cpu":100}]})";
    const auto status = Await(api_.Answer(request)).status_;
    RunFor(Millis(50)); // until the notification has arrived
    return status;
  }

  Awaitable<HttpResponse> ServeStore(HttpRequest aRequest)
  {
    const bool isWrite = aRequest.method_ == "POST";
    auto response = co_await standin_.Serve(aRequest);
    if (isWrite && ++writes_ == 1) {
      co_await Sleep(io_, Millis(60000));
    }
    co_return response;
  }

  Awaitable<HttpResponse> NoteJob(HttpRequest aRequest)
  {
    notified_.push_back(aRequest.body_);
    co_return HttpResponse{};
  }

  int writes_ = 0;
  std::vector<std::string> notified_;
  HttpServer losingServer_{ io_, {}, [this](const HttpRequest& aRequest) {
                             return ServeStore(aRequest);
                           } };
  HttpServer ownerServer_{ io_, {}, [this](const HttpRequest& aRequest) {
                            return NoteJob(aRequest);
                          } };
  StoreClient client_{ http_, kStore, clocks_ };
  DaemonContext losing_{ io_,   clocks_, settings_, tuning_,
                         http_, client_, peers_ };
  CallerApi api_{ losing_ };
};

} // namespace

TEST_CASE("the owner is notified of a job whose first write was not answered")
{
  // Only its watch or its next list told it then, seconds later.
  const std::string id = "00000000000000a1";
  LostAnswer fixture;
  CHECK(fixture.Submit(id) == kOk);
  CHECK(fixture.writes_ == 2);
  REQUIRE(fixture.notified_.size() == 1);
  CHECK(fixture.notified_[0] == fixture.Read(kJobPrefix + id));
}

TEST_CASE(
  "the owner is not notified of a job that an earlier submission stored")
{
  // The jobs may differ, and the one that is stored counts.
  const std::string id = "00000000000000a1";
  LostAnswer fixture;
  fixture.writes_ = 1; // the store answers
  fixture.standin_.Put(kJobPrefix + id, "another job");
  CHECK(fixture.Submit(id) == kOk);
  CHECK(fixture.notified_.empty());
}
