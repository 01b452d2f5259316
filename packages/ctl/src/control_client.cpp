// HTTP calls to entries by Boost.Beast, one after the other.

#include "control_client.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace cuminbridge {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

constexpr std::chrono::seconds kConnectLimit(2);
constexpr std::chrono::seconds kAnswerLimit(30);
constexpr unsigned kHttp11 = 11;

using Request = http::request<http::string_body>;

// Runs the operations that were started on the context until they are done.
void
RunAll(boost::asio::io_context& aIo)
{
  aIo.restart();
  aIo.run();
}

bool
Connect(boost::asio::io_context& aIo,
        beast::tcp_stream& aStream,
        const std::string& aEntry)
{
  const auto colon = aEntry.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  beast::error_code error;
  tcp::resolver resolver(aIo);
  const auto endpoints =
    resolver.resolve(aEntry.substr(0, colon), aEntry.substr(colon + 1), error);
  if (error) {
    return false;
  }
  aStream.expires_after(kConnectLimit);
  aStream.async_connect(endpoints,
                        [&](const beast::error_code& aError,
                            const tcp::endpoint&) { error = aError; });
  RunAll(aIo);
  return !error;
}

ControlReply
Exchange(boost::asio::io_context& aIo,
         beast::tcp_stream& aStream,
         const Request& aRequest)
{
  beast::error_code error;
  aStream.expires_after(kAnswerLimit);
  http::async_write(
    aStream, aRequest, [&](const beast::error_code& aError, std::size_t) {
      error = aError;
    });
  RunAll(aIo);
  if (error) {
    return {};
  }
  beast::flat_buffer buffer;
  http::response<http::string_body> response;
  http::async_read(
    aStream,
    buffer,
    response,
    [&](const beast::error_code& aError, std::size_t) { error = aError; });
  RunAll(aIo);
  if (error) {
    return {};
  }
  ControlReply reply;
  reply.status_ = static_cast<int>(response.result_int());
  reply.body_ = nlohmann::json::parse(response.body(), nullptr, false);
  return reply;
}

Request
MakeRequest(const ControlClient& aClient,
            http::verb aMethod,
            const std::string& aPath,
            std::string aBody)
{
  Request request(aMethod, aPath, kHttp11);
  request.set(http::field::host, "entry");
  request.set(http::field::authorization, "Bearer " + aClient.credential_);
  request.set(http::field::connection, "close");
  request.body() = std::move(aBody);
  request.prepare_payload();
  return request;
}

} // namespace

ControlReply
ControlClient::Get(const std::string& aPath) const
{
  const Request request = MakeRequest(*this, http::verb::get, aPath, "");
  for (const std::string& entry : entries_) {
    boost::asio::io_context io;
    beast::tcp_stream stream(io);
    if (!Connect(io, stream, entry)) {
      continue;
    }
    ControlReply reply = Exchange(io, stream, request);
    if (reply.status_ != 0) {
      return reply;
    }
  }
  return {};
}

ControlReply
ControlClient::File(const std::string& aText, bool aCheckOnly) const
{
  const std::string path =
    aCheckOnly ? "/v1/tickets?check=true" : "/v1/tickets";
  const Request request = MakeRequest(*this, http::verb::post, path, aText);
  for (const std::string& entry : entries_) {
    boost::asio::io_context io;
    beast::tcp_stream stream(io);
    if (Connect(io, stream, entry)) {
      return Exchange(io, stream, request);
    }
  }
  return { 0, "unreached" };
}

} // namespace cuminbridge
