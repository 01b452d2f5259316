#include "standin_server.h"

#include <iostream>

#include <boost/asio/signal_set.hpp>
#include <boost/beast/http.hpp>

#include "cuminbridge/platform.h"

namespace cuminbridge::forwarder {

namespace {

namespace http = boost::beast::http;

Awaitable<void>
Serve(boost::asio::io_context* aIo,
      Stream aStream,
      const StandinHandler* aHandler)
{
  boost::beast::flat_buffer buffer;
  for (;;) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    const auto [readError, got] =
      co_await http::async_read(aStream, buffer, parser, kAsTuple);
    if (readError) {
      co_return;
    }
    const StandinAnswer answer =
      (*aHandler)({ std::string(parser.get().method_string()),
                    std::string(parser.get().target()),
                    parser.get().body() });
    if (answer.delayMilliseconds_ > 0) {
      Timer timer(aIo->get_executor());
      timer.expires_after(std::chrono::milliseconds(answer.delayMilliseconds_));
      co_await timer.async_wait(kAsTuple);
    }
    if (answer.isLost_) {
      co_return;
    }
    constexpr unsigned kHttp11 = 11;
    http::response<http::string_body> response(
      static_cast<http::status>(answer.status_), kHttp11);
    response.set(http::field::content_type, "application/json");
    response.body() = answer.body_;
    response.keep_alive(parser.get().keep_alive());
    response.prepare_payload();
    const auto [writeError, sent] =
      co_await http::async_write(aStream, response, kAsTuple);
    if (writeError || !response.keep_alive()) {
      co_return;
    }
  }
}

Awaitable<void>
AcceptForEver(boost::asio::io_context* aIo,
              Acceptor* aAcceptor,
              const StandinHandler* aHandler)
{
  while (aAcceptor->is_open()) {
    auto [error, socket] = co_await aAcceptor->async_accept(kAsTuple);
    if (!error) {
      boost::asio::co_spawn(aIo->get_executor(),
                            Serve(aIo, Stream(std::move(socket)), aHandler),
                            [](std::exception_ptr) {});
    }
  }
}

} // namespace

int
RunStandin(const std::string& aAddress, const StandinHandler& aHandler)
{
  boost::asio::io_context io(1);
  Acceptor acceptor(io.get_executor());
  const std::string trouble = OpenListener(acceptor, aAddress);
  if (!trouble.empty()) {
    std::cerr << aAddress << ": " << trouble << "\n";
    return 1;
  }
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const auto&, int) { io.stop(); });
  boost::asio::co_spawn(io.get_executor(),
                        AcceptForEver(&io, &acceptor, &aHandler),
                        [](std::exception_ptr) {});
  io.run();
  return 0;
}

} // namespace cuminbridge::forwarder
