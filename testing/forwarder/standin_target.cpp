// Stand-in for targets: one process that serves any number of VM addresses.
//
//   standin_target PORT ADDRESS [ADDRESS...]
//
// Any path answers "ADDRESS METHOD PATH BODYBYTES" and counts the requests
// begun by their X-Job header. Query parameters: sleep_ms=N delays the answer,
// status=N sets its status, bytes=N answers with N bytes, echo=1 answers with
// the request's body. GET /stats on any address: how often each job was begun,
// and the highest number of requests running at once for each X-Account.

#include <iostream>
#include <map>

#include <boost/asio/signal_set.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include "cuminbridge/platform.h"

namespace {

using namespace cuminbridge::forwarder;
namespace http = boost::beast::http;

constexpr unsigned kHttp11 = 11;
constexpr std::size_t kPart = 64 * 1024;

struct Stats
{
  std::map<std::string, int> begun_;       // by X-Job
  std::map<std::string, int> running_;     // by X-Account
  std::map<std::string, int> mostRunning_; // by X-Account
};

Stats gStats;

long
ReadQuery(std::string_view aTarget, const std::string& aName)
{
  const auto at = aTarget.find(aName + "=");
  return at == std::string_view::npos
           ? 0
           : std::atol(
               std::string(aTarget.substr(at + aName.size() + 1)).c_str());
}

// Counts a request as running for its account while this object exists.
struct RunningCount
{
  std::string account_;

  explicit RunningCount(std::string aAccount)
    : account_(std::move(aAccount))
  {
    int& most = gStats.mostRunning_[account_];
    most = std::max(most, ++gStats.running_[account_]);
  }
  ~RunningCount() { --gStats.running_[account_]; }
  RunningCount(const RunningCount&) = delete;
  RunningCount& operator=(const RunningCount&) = delete;
};

Awaitable<bool>
WriteBytes(Stream& aStream, long aBytes)
{
  http::response<http::empty_body> head(http::status::ok, kHttp11);
  head.content_length(static_cast<std::uint64_t>(aBytes));
  http::response_serializer<http::empty_body> serializer(head);
  co_await http::async_write_header(aStream, serializer, kAsTuple);
  const std::string part(kPart, 'x');
  while (aBytes > 0) {
    const auto size = std::min<std::size_t>(part.size(), aBytes);
    const auto [error, sent] = co_await aStream.async_write_some(
      boost::asio::buffer(part.data(), size), kAsTuple);
    if (error) {
      co_return false;
    }
    aBytes -= static_cast<long>(sent);
  }
  co_return true;
}

Awaitable<void>
Serve(boost::asio::io_context* aIo, Stream aStream, std::string aAddress)
{
  boost::beast::flat_buffer buffer;
  std::vector<char> part(kPart);
  for (;;) {
    http::request_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    const auto [headError, headGot] =
      co_await http::async_read_header(aStream, buffer, parser, kAsTuple);
    if (headError) {
      co_return;
    }
    const auto& head = parser.get();
    const std::string target(head.target());
    const bool isStats = target == "/stats";
    std::optional<RunningCount> running;
    if (!isStats) {
      ++gStats.begun_[std::string(head["X-Job"])];
      running.emplace(std::string(head["X-Account"]));
    }
    std::size_t bodyBytes = 0;
    std::string echo;
    while (!parser.is_done()) {
      parser.get().body().data = part.data();
      parser.get().body().size = part.size();
      const auto [error, got] =
        co_await http::async_read_some(aStream, buffer, parser, kAsTuple);
      if (error && error != http::error::need_buffer) {
        co_return;
      }
      const std::size_t size = part.size() - parser.get().body().size;
      bodyBytes += size;
      if (ReadQuery(target, "echo") != 0) {
        echo.append(part.data(), size);
      }
    }
    if (const long sleep = ReadQuery(target, "sleep_ms"); sleep > 0) {
      Timer timer(aIo->get_executor());
      timer.expires_after(std::chrono::milliseconds(sleep));
      co_await timer.async_wait(kAsTuple);
    }
    if (const long bytes = ReadQuery(target, "bytes"); bytes > 0) {
      if (!co_await WriteBytes(aStream, bytes)) {
        co_return;
      }
      continue;
    }
    const long status = ReadQuery(target, "status");
    http::response<http::string_body> response(
      static_cast<http::status>(status == 0 ? 200 : status), kHttp11);
    if (isStats) {
      response.body() =
        nlohmann::json({ { "begun", gStats.begun_ },
                         { "most_running", gStats.mostRunning_ } })
          .dump();
    } else if (!echo.empty()) {
      response.body() = std::move(echo);
    } else {
      response.body() = aAddress + " " + std::string(head.method_string()) +
                        " " + target + " " + std::to_string(bodyBytes) + "\n";
    }
    const bool isHead = head.method() == http::verb::head;
    response.keep_alive(head.keep_alive());
    response.prepare_payload();
    running.reset();
    http::response_serializer<http::string_body> serializer(response);
    boost::beast::error_code error;
    if (isHead) {
      error = std::get<0>(
        co_await http::async_write_header(aStream, serializer, kAsTuple));
    } else {
      error =
        std::get<0>(co_await http::async_write(aStream, serializer, kAsTuple));
    }
    if (error || !response.keep_alive()) {
      co_return;
    }
  }
}

Awaitable<void>
AcceptForEver(boost::asio::io_context* aIo,
              Acceptor* aAcceptor,
              std::string aAddress)
{
  for (;;) {
    auto [error, socket] = co_await aAcceptor->async_accept(kAsTuple);
    if (!error) {
      boost::beast::error_code ignored;
      socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
      boost::asio::co_spawn(aIo->get_executor(),
                            Serve(aIo, Stream(std::move(socket)), aAddress),
                            [](std::exception_ptr) {});
    }
  }
}

} // namespace

int
main(int argc, char** argv)
{
  if (argc < 3) {
    std::cerr << "usage: standin_target PORT ADDRESS [ADDRESS...]\n";
    return 2;
  }
  boost::asio::io_context io(1);
  std::deque<Acceptor> acceptors;
  for (int i = 2; i < argc; ++i) {
    acceptors.emplace_back(io.get_executor());
    const std::string trouble =
      OpenListener(acceptors.back(), std::string(argv[i]) + ":" + argv[1]);
    if (!trouble.empty()) {
      std::cerr << argv[i] << ": " << trouble << "\n";
      return 1;
    }
    boost::asio::co_spawn(io.get_executor(),
                          AcceptForEver(&io, &acceptors.back(), argv[i]),
                          [](std::exception_ptr) {});
  }
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const auto&, int) { io.stop(); });
  io.run();
  return 0;
}
