// HttpClient against HttpServer, over loopback.

#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "cuminbridge/web.h"

using namespace cuminbridge;

namespace {

constexpr const char* kAddress = "127.0.43.1:18700";
constexpr const char* kUnusedAddress = "127.0.43.1:18701";

HttpReply
CallOnce(boost::asio::io_context& aIo, HttpClient& aClient, const char* aTo)
{
  HttpReply reply;
  bool isOver = false;
  boost::asio::co_spawn(
    aIo,
    [&]() -> Awaitable<void> {
      HttpCall call;
      call.kind_ = "probe";
      call.method_ = "POST";
      call.path_ = "/x?y=1";
      call.body_ = "{}";
      call.headers_.emplace_back("X-Test", "value");
      reply = co_await aClient.Call(aTo, call);
      isOver = true;
    },
    boost::asio::detached);
  while (!isOver) {
    aIo.run_one();
  }
  return reply;
}

} // namespace

TEST_CASE("a call gets the whole response, and its connection is reused")
{
  boost::asio::io_context io;
  int requests = 0;
  HttpServer server(
    io, {}, [&](const HttpRequest& aRequest) -> Awaitable<HttpResponse> {
      ++requests;
      HttpResponse response;
      response.status_ = 201;
      response.body_ = aRequest.method_ + aRequest.path_ + aRequest.body_ +
                       std::string(aRequest.Header("x-test"));
      co_return response;
    });
  REQUIRE(server.Open(kAddress).empty());
  HttpClient client(io, {});
  for (int round = 0; round < 3; ++round) {
    const auto reply = CallOnce(io, client, kAddress);
    CHECK(reply.outcome_ == CallOutcome::Answered);
    CHECK(reply.status_ == 201);
    CHECK(reply.body_ == "POST/x?y=1{}value");
  }
  CHECK(requests == 3);
  CHECK(client.CountAddresses() == 1);
  CHECK(server.IsIdle());

  const auto& traffic = client.GetTraffic().at("probe");
  CHECK(traffic.calls_ == 3);
  CHECK(traffic.connections_ == 1);
  CHECK(traffic.bytesSent_ % 3 == 0); // three requests of the same size
  CHECK(traffic.bytesSent_ > 3 * std::string("POST/x?y=1{}").size());
  CHECK(traffic.bytesReceived_ > 3 * std::string("POST/x?y=1{}value").size());
}

TEST_CASE("a call to an unused address is refused, and its pool is removed")
{
  boost::asio::io_context io;
  HttpClientOptions options;
  options.sweepInterval_ = std::chrono::seconds(0);
  HttpClient client(io, options);
  CHECK(CallOnce(io, client, kUnusedAddress).outcome_ == CallOutcome::Refused);
  CHECK(CallOnce(io, client, "127.0.43.1:18702").outcome_ ==
        CallOutcome::Refused);
  CHECK(client.CountAddresses() == 1); // the second; the first was swept
}

TEST_CASE("a request body above the limit gets status 413")
{
  boost::asio::io_context io;
  HttpServerOptions options;
  options.maxBodyBytes_ = 1;
  HttpServer server(
    io, options, [](const HttpRequest&) -> Awaitable<HttpResponse> {
      co_return HttpResponse{};
    });
  REQUIRE(server.Open(kAddress).empty());
  HttpClient client(io, {});
  CHECK(CallOnce(io, client, kAddress).status_ == 413);
}

TEST_CASE("a caller that sends a body above the limit to its end gets the 413")
{
  boost::asio::io_context io;
  HttpServerOptions options;
  options.maxBodyBytes_ = 1;
  HttpServer server(
    io, options, [](const HttpRequest&) -> Awaitable<HttpResponse> {
      co_return HttpResponse{};
    });
  REQUIRE(server.Open(kAddress).empty());
  boost::asio::ip::tcp::socket socket(io);
  boost::system::error_code error;
  socket.connect(ReadEndpoint(kAddress), error);
  REQUIRE(!error);
  const std::string part(10000, 'x');
  const std::string head =
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n";
  boost::asio::write(socket, boost::asio::buffer(head), error);
  for (int count = 0; count < 20 && !error; ++count) {
    io.run_for(std::chrono::milliseconds(5));
    boost::asio::write(socket, boost::asio::buffer(part), error);
  }
  CHECK(!error);
  std::string answer(12, ' ');
  boost::asio::read(socket, boost::asio::buffer(answer), error);
  CHECK(answer == "HTTP/1.1 413");
}

namespace {

// Answers one call with a body that comes in parts, with a pause before each.
Awaitable<void>
ServeSlowly(boost::asio::io_context& aIo, std::chrono::milliseconds aPause)
{
  using boost::asio::use_awaitable;
  boost::asio::ip::tcp::acceptor acceptor(aIo, ReadEndpoint(kAddress));
  auto socket = co_await acceptor.async_accept(use_awaitable);
  std::string request;
  co_await boost::asio::async_read_until(
    socket, boost::asio::dynamic_buffer(request), "{}", use_awaitable);
  std::string part = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n";
  for (int number = 0; number <= 10; ++number) {
    co_await boost::asio::async_write(
      socket, boost::asio::buffer(part), use_awaitable);
    part = "x";
    boost::asio::steady_timer timer(aIo, aPause);
    co_await timer.async_wait(use_awaitable);
  }
}

HttpReply
CallSlowServer(std::chrono::milliseconds aPause,
               std::chrono::milliseconds aStallLimit)
{
  boost::asio::io_context io;
  boost::asio::co_spawn(io, ServeSlowly(io, aPause), boost::asio::detached);
  HttpClient client(io, {});
  HttpReply reply;
  boost::asio::co_spawn(
    io,
    [&]() -> Awaitable<void> {
      HttpCall call;
      call.method_ = "POST";
      call.path_ = "/";
      call.body_ = "{}";
      call.limit_ = std::chrono::milliseconds(200);
      call.stallLimit_ = aStallLimit;
      reply = co_await client.Call(kAddress, call);
    },
    boost::asio::detached);
  io.run_for(std::chrono::milliseconds(2000));
  return reply;
}

} // namespace

TEST_CASE("a large answer over a slow link may take longer than the limit")
{
  // A page of 1 MB took longer than a call may, and was asked for again for
  // ever: no owner could read its records.
  using std::chrono::milliseconds;
  CHECK(CallSlowServer(milliseconds(40), milliseconds(200)).body_.size() == 10);
  CHECK(CallSlowServer(milliseconds(40), milliseconds(0)).outcome_ ==
        CallOutcome::Lost);
  CHECK(CallSlowServer(milliseconds(400), milliseconds(200)).outcome_ ==
        CallOutcome::Lost);
}

namespace {

// A client that is held up while a server, on an io_context of its own, answers
// all of its calls. It goes on once the time of the calls is over.
class PausedClient
{
public:
  explicit PausedClient(std::size_t aCalls, std::size_t aBytes = 2)
    : body_(aBytes, 'x')
  {
    REQUIRE(server_.Open(kAddress).empty());
    HttpClientOptions options;
    options.maxConnections_ = aCalls;
    options.connectTimeout_ = kLimit;
    HttpClient client(io_, options);
    const auto deadline = std::chrono::steady_clock::now() + kLimit;
    for (std::size_t call = 0; call < aCalls; ++call) {
      boost::asio::co_spawn(io_, CallOnce(client), boost::asio::detached);
    }
    while (requests_ < aCalls) {
      io_.run_for(kStep);
      serverIo_.run_for(kStep);
    }
    // There always is some timer that expires before the answers come.
    boost::asio::steady_timer tick(io_, kStep);
    tick.async_wait([](boost::system::error_code) {});
    std::this_thread::sleep_for(2 * kStep);
    mayAnswer_ = true;
    while (!server_.IsIdle()) {
      serverIo_.run_for(kStep);
    }
    REQUIRE(std::chrono::steady_clock::now() < deadline);
    std::this_thread::sleep_until(deadline + kStep);
    while (ended_ < aCalls) {
      io_.run_one();
    }
  }

  std::size_t Answered() const { return answered_; }

private:
  static constexpr std::chrono::milliseconds kLimit{ 2000 };
  static constexpr std::chrono::milliseconds kStep{ 5 };

  Awaitable<HttpResponse> Serve()
  {
    ++requests_;
    while (!mayAnswer_) {
      boost::asio::steady_timer timer(serverIo_, kStep);
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
    HttpResponse response;
    response.body_ = body_;
    co_return response;
  }

  Awaitable<void> CallOnce(HttpClient& aClient)
  {
    HttpCall call;
    call.path_ = "/";
    call.limit_ = kLimit;
    const auto reply = co_await aClient.Call(kAddress, call);
    answered_ += reply.IsAnswered() ? 1 : 0;
    ++ended_;
  }

  boost::asio::io_context io_{ 1 };
  boost::asio::io_context serverIo_{ 1 };
  HttpServer server_{ serverIo_, {}, [this](const HttpRequest&) {
                       return Serve();
                     } };
  std::string body_;
  std::size_t requests_ = 0;
  bool mayAnswer_ = false;
  std::size_t answered_ = 0;
  std::size_t ended_ = 0;
};

} // namespace

TEST_CASE("answers that came while the process was held up are read")
{
  // One round of the reactor reads at most 128 sockets, but ends all calls
  // whose time is over.
  for (const std::size_t calls : { 1, 100, 600 }) {
    INFO(calls << " calls");
    CHECK(PausedClient(calls).Answered() == calls);
  }
  constexpr std::size_t kLarge = 30000; // bytes; takes several reads
  CHECK(PausedClient(10, kLarge).Answered() == 10);
}
