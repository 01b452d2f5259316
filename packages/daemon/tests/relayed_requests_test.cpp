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
  std::optional<HttpResponse> Ask(std::int64_t aConfigVersion)
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

TEST_CASE("a relayed request is not answered by another configuration")
{
  // An entry that had served a new queue passed on a peer's 404 for it.
  constexpr int kNotFound = 404;
  Peer peer;
  CHECK(!peer.Ask(kVersion + 1));
  CHECK(!peer.Ask(kVersion - 1));
  const auto same = peer.Ask(kVersion);
  REQUIRE(same);
  CHECK(same->status_ == kNotFound);
  CHECK(peer.Ask(0)); // entries of earlier versions do not tell theirs
}
