// Endpoints, listeners and HTTP calls.

#include "http_call.h"

#include <charconv>

#include <sys/socket.h>

#include <boost/asio/ip/address.hpp>
#include <boost/beast/http.hpp>

namespace cuminbridge::forwarder {

namespace http = boost::beast::http;

boost::asio::ip::tcp::endpoint
ParseEndpoint(std::string_view aText, boost::system::error_code& aError)
{
  const auto colon = aText.rfind(':');
  unsigned short port = 0;
  if (colon != std::string_view::npos) {
    const char* end = aText.data() + aText.size();
    const auto parsed = std::from_chars(aText.data() + colon + 1, end, port);
    if (parsed.ec == std::errc() && parsed.ptr == end) {
      const auto address = boost::asio::ip::make_address(
        std::string(aText.substr(0, colon)), aError);
      return { address, port };
    }
  }
  aError = boost::asio::error::invalid_argument;
  return {};
}

std::string
OpenListener(Acceptor& aAcceptor, std::string_view aAddress)
{
  constexpr int kBacklog = 1024;
  boost::system::error_code error;
  const auto endpoint = ParseEndpoint(aAddress, error);
  if (!error) {
    aAcceptor.open(endpoint.protocol(), error);
  }
  if (!error) {
    aAcceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    aAcceptor.bind(endpoint, error);
  }
  if (!error) {
    aAcceptor.listen(kBacklog, error);
  }
  return error ? error.message() : "";
}

bool
IsReusable(Stream& aStream)
{
  char byte = 0;
  const auto got =
    recv(aStream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

Awaitable<HttpReply>
CallHttp(Stream& aStream,
         http::verb aMethod,
         std::string aPath,
         std::string aBody)
{
  HttpReply reply;
  constexpr int kHttp11 = 11;
  http::request<http::string_body> request(aMethod, aPath, kHttp11);
  request.set(http::field::host, "platform");
  request.set(http::field::content_type, "application/json");
  request.body() = std::move(aBody);
  request.prepare_payload();
  reply.isSent_ = true;
  const auto [writeError, written] =
    co_await http::async_write(aStream, request, kAsTuple);
  if (writeError) {
    reply.isSent_ = written > 0;
    co_return reply;
  }
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  constexpr std::uint64_t kMaxBody = 64ULL * 1024 * 1024;
  parser.body_limit(kMaxBody);
  const auto [readError, got] =
    co_await http::async_read(aStream, buffer, parser, kAsTuple);
  if (readError) {
    co_return reply;
  }
  reply.status_ = static_cast<int>(parser.get().result_int());
  reply.isReusable_ = parser.get().keep_alive();
  reply.body_ = std::move(parser.get().body());
  co_return reply;
}

} // namespace cuminbridge::forwarder
