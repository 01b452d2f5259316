// Requests of callers that an entry has a peer answer.

#include "caller_api.h"
#include "store_fixture.h"

using namespace cuminbridge;

namespace {

constexpr std::int64_t kVersion = 7;

// An entry that goes by version 7 of the configuration.
struct Peer : StoreFixture
{
  Peer()
  {
    FleetConfig config;
    config.version_ = kVersion;
    api_.SetConfig(config);
    api_.SetCellCount(1);
  }

  // Its answer to a request for a queue that it does not know.
  std::optional<RelayAnswer> Ask(std::int64_t aConfigVersion)
  {
    HttpRequest request;
    request.method_ = "GET";
    request.path_ = "/fresh/";
    request.host_ = "demo.example";
    const auto response =
      Await(api_.AnswerRelayed(EncodeRelayed({ request, aConfigVersion })));
    HttpReply reply;
    reply.outcome_ = CallOutcome::Answered;
    reply.status_ = response.status_;
    reply.body_ = response.body_;
    return DecodeRelayAnswer(reply);
  }

  CallerApi api_{ context_ };
};

} // namespace

TEST_CASE("a relayed request is not answered by an older configuration")
{
  // An entry that had served a new queue passed on a peer's 404 for it.
  constexpr int kNotFound = 404;
  Peer peer;
  CHECK(!peer.Ask(kVersion + 1));
  for (const auto version : { kVersion, kVersion - 1 }) {
    const auto answer = peer.Ask(version);
    REQUIRE(answer);
    CHECK(answer->response_.status_ == kNotFound);
    CHECK(answer->configVersion_ == kVersion);
  }
  CHECK(peer.Ask(0)); // entries of earlier versions do not tell theirs
}

namespace {

// An entry that goes by version 7 and does not reach the store. A peer that
// goes by version 8 answers its callers.
struct CutOffEntry : StoreFixture
{
  static constexpr const char* kNoStore = "127.0.43.7:18711"; // nothing listens
  static constexpr const char* kPeer = "127.0.43.8:18711";

  CutOffEntry()
  {
    REQUIRE(peerServer_.Open(kPeer).empty());
    api_.SetConfig(MakePublicQueue(kVersion));
    api_.SetCellCount(1);
    peers_.SetCount(1);
    peers_.SetAddress(0, kPeer);
  }

  int Ask(const std::string& aPath)
  {
    HttpRequest request;
    request.method_ = "GET";
    request.path_ = aPath;
    request.host_ = "demo.example";
    return Await(api_.Answer(request)).status_;
  }

  Awaitable<HttpResponse> AnswerAsPeer() const
  {
    co_return EncodeRelayAnswer(HttpResponse{}, kVersion + 1);
  }

  StoreClient lost_{ http_, kNoStore, clocks_ };
  DaemonContext cut_{ io_, clocks_, settings_, tuning_, http_, lost_, peers_ };
  CallerApi api_{ cut_ };
  HttpServer peerServer_{ io_, {}, [this](const HttpRequest&) {
                           return AnswerAsPeer();
                         } };
};

} // namespace

TEST_CASE("an entry does not go back behind what its peers have answered by")
{
  constexpr int kOk = 200;
  constexpr int kNotFound = 404;
  CutOffEntry entry;
  CHECK(entry.Ask("/fresh/0000000000000001") == kNotFound); // by its own
  CHECK(entry.Ask("/a/0000000000000001") == kOk);           // by the peer
  CHECK(entry.Ask("/fresh/0000000000000001") == kOk);
}
