// The stand-in of the platform's store, and what a component of a daemon needs
// to use it.

#ifndef cuminbridge_daemon_tests_store_fixture_h
#define cuminbridge_daemon_tests_store_fixture_h

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include "daemon_context.h"
#include "owner.h"
#include "records.h"
#include "standin.h"

namespace cuminbridge {

struct StoreFixture
{
  static constexpr const char* kStoreAddress = "127.0.43.3:18711";

  StoreFixture() { REQUIRE(server_.Open(kStoreAddress).empty()); }

  template<typename Result>
  Result Await(Awaitable<Result> aCall)
  {
    std::optional<Result> result;
    boost::asio::co_spawn(
      io_,
      [&]() -> Awaitable<void> { result = co_await std::move(aCall); },
      boost::asio::detached);
    while (!result) {
      io_.run_one();
    }
    return *result;
  }

  std::int64_t Write(const StoreWrite& aWrite)
  {
    return Await(store_.Write(aWrite)).revision_;
  }

  std::string Read(const std::string& aKey)
  {
    const auto reply = Await(store_.Get(aKey));
    return reply.IsDone() ? reply.items_.front().value_ : "";
  }

  void RunFor(Millis aTime) { io_.run_for(aTime); }

  // The only cell, with a new lease in the store.
  Ownership TakeCell(Millis aValidity = Millis(60000))
  {
    const auto lease = Await(store_.CreateLease(Millis(60000)));
    StoreWrite write;
    write.puts_ = { { keys_.Owner(), "", lease.revision_ },
                    { keys_.Of(kChainKey), "0", 0 } };
    Ownership ownership;
    ownership.cell_ = { 0, 1 };
    ownership.map_ = std::make_shared<CellMap>();
    ownership.token_ = Write(write);
    ownership.lease_ = lease.revision_;
    ownership.validUntil_ = clocks_.Now() + aValidity;
    return ownership;
  }

  // Has the only queue "a", which is public.
  static FleetConfig MakePublicQueue(std::int64_t aVersion)
  {
    Queue queue;
    queue.name_ = "a";
    queue.host_ = "demo.example";
    queue.prefix_ = "/a/";
    queue.isPublic_ = true;
    FleetConfig config;
    config.version_ = aVersion;
    config.queues_.push_back(queue);
    return config;
  }

  boost::asio::io_context io_;
  standin::Context standinContext_{ io_, {} };
  standin::Store standin_{ standinContext_ };
  HttpServer server_{ io_, {}, [this](const HttpRequest& aRequest) {
                       return standin_.Serve(aRequest);
                     } };
  SystemClocks clocks_;
  PlatformSettings settings_;
  Tuning tuning_;
  HttpClient http_{ io_, HttpClientOptions{} };
  StoreClient store_{ http_, kStoreAddress, clocks_ };
  CellPeers peers_{ io_, http_ };
  DaemonContext context_{ io_,   clocks_, settings_, tuning_,
                          http_, store_,  peers_ };
  CellKeys keys_{ 0 };
};

} // namespace cuminbridge

#endif // cuminbridge_daemon_tests_store_fixture_h
