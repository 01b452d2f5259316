// The HTTP server: one coroutine for each connection.

#include <set>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "cuminbridge/web.h"

namespace cuminbridge {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::beast::tcp_stream;

namespace {

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);
constexpr int kBacklog = 1024;       // connections that wait to be accepted
constexpr int kStatusTooLarge = 413; // HTTP: content too large
// After a failed accept, and while maxConnections_ are open.
constexpr std::chrono::milliseconds kAcceptRetryDelay(50);

struct Connection
{
  explicit Connection(asio::ip::tcp::socket aSocket)
    : stream_(std::move(aSocket))
  {
  }

  tcp_stream stream_;
  bool isBusy_ = false; // from a whole request until its answer is written
};

HttpRequest
ReadRequest(http::request<http::string_body>& aFrom)
{
  HttpRequest request;
  request.method_ = std::string(aFrom.method_string());
  request.path_ = std::string(aFrom.target());
  for (const auto& field : aFrom) {
    request.headers_.emplace_back(std::string(field.name_string()),
                                  std::string(field.value()));
  }
  request.host_ = std::string(aFrom[http::field::host]);
  request.body_ = std::move(aFrom.body());
  return request;
}

http::response<http::string_body>
EncodeResponse(HttpResponse aResponse, unsigned aVersion, bool aKeepAlive)
{
  http::response<http::string_body> message(
    static_cast<http::status>(aResponse.status_), aVersion);
  for (const auto& [name, value] : aResponse.headers_) {
    message.set(name, value);
  }
  if (!aResponse.body_.empty()) {
    message.set(http::field::content_type, aResponse.contentType_);
  }
  message.body() = std::move(aResponse.body_);
  message.keep_alive(aKeepAlive);
  message.prepare_payload();
  return message;
}

} // namespace

std::string_view
HttpRequest::Header(std::string_view aName) const
{
  for (const auto& [name, value] : headers_) {
    if (boost::beast::iequals(name, aName)) {
      return value;
    }
  }
  return {};
}

namespace {

// Reads and discards input before closing, within a limit of time and bytes.
// Closing with unread bytes would reset the connection, and a peer that still
// sends could lose the answer before it has read it.
Awaitable<void>
Linger(std::shared_ptr<Connection> aConnection)
{
  constexpr std::chrono::seconds kLimit(2);
  constexpr std::size_t kMaxBytes = 1024 * 1024;
  constexpr std::size_t kReadSize = 16 * 1024;
  auto& stream = aConnection->stream_;
  boost::system::error_code ignored; // the peer may have closed already
  stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  stream.expires_after(kLimit);
  std::vector<char> buffer(kReadSize);
  for (std::size_t read = 0; read < kMaxBytes;) {
    const auto [error, got] =
      co_await stream.async_read_some(asio::buffer(buffer), kAsTuple);
    if (error) {
      co_return;
    }
    read += got;
  }
}

} // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State>
{
  State(asio::io_context& aIo, HttpServerOptions aOptions, Handler aHandler)
    : io_(aIo)
    , options_(aOptions)
    , handler_(std::move(aHandler))
    , acceptor_(aIo)
  {
  }

  Awaitable<void> Accept();
  Awaitable<void> Serve(std::shared_ptr<Connection> aConnection);

  asio::io_context& io_;
  HttpServerOptions options_;
  Handler handler_;
  asio::ip::tcp::acceptor acceptor_;
  std::set<std::shared_ptr<Connection>> connections_;
  std::size_t requestsInProgress_ = 0;
  bool isDraining_ = false;
};

Awaitable<void>
HttpServer::State::Accept()
{
  const auto self = shared_from_this();
  while (acceptor_.is_open()) {
    if (connections_.size() >= options_.maxConnections_) {
      asio::steady_timer pause(io_, kAcceptRetryDelay);
      co_await pause.async_wait(kAsTuple);
      continue;
    }
    auto [error, socket] = co_await acceptor_.async_accept(kAsTuple);
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      asio::steady_timer pause(io_, kAcceptRetryDelay);
      co_await pause.async_wait(kAsTuple);
      continue;
    }
    boost::system::error_code ignored; // the option only reduces latency
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    auto connection = std::make_shared<Connection>(std::move(socket));
    connections_.insert(connection);
    asio::co_spawn(io_, Serve(std::move(connection)), asio::detached);
  }
}

Awaitable<void>
HttpServer::State::Serve(std::shared_ptr<Connection> aConnection)
{
  const auto self = shared_from_this();
  auto& stream = aConnection->stream_;
  boost::beast::flat_buffer buffer;
  bool isKeptOpen = true;
  bool mayStillSend = false;
  while (isKeptOpen) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(options_.maxBodyBytes_);
    stream.expires_after(options_.idleTimeout_);
    const auto [readError, got] =
      co_await http::async_read(stream, buffer, parser, kAsTuple);
    HttpResponse response;
    bool keepAlive = false;
    unsigned version = parser.get().version();
    if (readError == http::error::body_limit) {
      response.status_ = kStatusTooLarge;
      mayStillSend = true;
    } else if (readError) {
      break;
    } else {
      keepAlive = parser.get().keep_alive();
      stream.expires_never();
      aConnection->isBusy_ = true;
      ++requestsInProgress_;
      const HttpRequest request = ReadRequest(parser.get());
      response = co_await handler_(request);
    }
    isKeptOpen = keepAlive && !isDraining_;
    const auto message =
      EncodeResponse(std::move(response), version, isKeptOpen);
    stream.expires_after(options_.idleTimeout_);
    const auto [writeError, written] =
      co_await http::async_write(stream, message, kAsTuple);
    if (aConnection->isBusy_) {
      aConnection->isBusy_ = false;
      --requestsInProgress_;
    }
    isKeptOpen = isKeptOpen && !writeError;
  }
  if (mayStillSend) {
    co_await Linger(aConnection);
  }
  boost::system::error_code ignored; // the peer may have closed already
  stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  connections_.erase(aConnection);
}

HttpServer::HttpServer(asio::io_context& aIo,
                       HttpServerOptions aOptions,
                       Handler aHandler)
  : state_(std::make_shared<State>(aIo, aOptions, std::move(aHandler)))
{
}

HttpServer::~HttpServer() = default;

std::string
HttpServer::Open(const std::string& aAddress)
{
  const auto endpoint = ReadEndpoint(aAddress);
  boost::system::error_code error;
  auto& acceptor = state_->acceptor_;
  acceptor.open(endpoint.protocol(), error);
  if (!error) {
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
    acceptor.bind(endpoint, error);
  }
  if (!error) {
    acceptor.listen(kBacklog, error);
  }
  if (error) {
    return aAddress + ": " + error.message();
  }
  asio::co_spawn(state_->io_, state_->Accept(), asio::detached);
  return {};
}

void
HttpServer::BeginDrain()
{
  state_->isDraining_ = true;
}

void
HttpServer::CloseIdle()
{
  boost::system::error_code ignored; // it is closed either way
  state_->acceptor_.close(ignored);
  for (const auto& connection : state_->connections_) {
    if (!connection->isBusy_) {
      connection->stream_.cancel();
    }
  }
}

bool
HttpServer::IsIdle() const
{
  return state_->requestsInProgress_ == 0;
}

} // namespace cuminbridge
