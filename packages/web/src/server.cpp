// The HTTP server: one coroutine for each connection.

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "cuminbridge/web.h"
#include "limits/connection_table.h"
#include "limits/request_parser.h"

namespace cuminbridge {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::beast::tcp_stream;

namespace {

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);
constexpr int kBacklog = 1024;       // connections that wait to be accepted
constexpr int kStatusTooLarge = 413; // HTTP: content too large
constexpr int kStatusHeadTooLarge = 431;
constexpr int kStatusUnavailable = 503;
// After a failed accept, and while requests of all connections are handled.
constexpr std::chrono::milliseconds kAcceptRetryDelay(50);

// Bytes of one read: a head is small, a body may be large.
constexpr std::size_t kHeadRead = 2048;
constexpr std::size_t kBodyRead = 16 * 1024;
// What a request takes while it is handled, in bytes for each one of its body:
// its decoded form, the record of it and the call that stores it.
constexpr std::size_t kHandlingFactor = 6;
// A body of this size or more is handled in its turn, so that decoding many of
// them leaves time for all else that runs on the thread.
constexpr std::size_t kLargeBody = 32 * 1024;
constexpr std::size_t kLargeBytesPerMs = 25 * 1024;

struct Connection : LimitedConnection
{
  Connection(asio::ip::tcp::socket aSocket, std::string aPeer)
    : LimitedConnection(std::move(aPeer))
    , stream_(std::move(aSocket))
  {
  }

  void Close() override { stream_.close(); }

  tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  bool isBusy_ = false; // from a whole request until its answer is written
};

using ConnectionPtr = std::shared_ptr<Connection>;

// How the reading of a request ended.
enum class ReadOutcome
{
  Whole,
  Closed,
  Slow,
  HeadTooLarge,
  BodyTooLarge,
  NoMemory,
};

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
Linger(ConnectionPtr aConnection)
{
  constexpr std::chrono::seconds kLimit(2);
  constexpr std::size_t kMaxBytes = 256 * 1024;
  constexpr std::size_t kReadSize = 4 * 1024;
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
    , nextTurn_(std::chrono::steady_clock::now())
  {
  }

  Awaitable<void> Accept();
  Awaitable<void> Serve(ConnectionPtr aConnection);
  Awaitable<ReadOutcome> Read(ConnectionPtr aConnection,
                              RequestParser& aParser);
  Awaitable<HttpResponse> Handle(ConnectionPtr aConnection,
                                 RequestParser& aParser);
  HttpResponse Refuse(ReadOutcome aOutcome);
  Awaitable<bool> Write(ConnectionPtr aConnection,
                        HttpResponse aResponse,
                        unsigned aVersion,
                        bool aKeepAlive);
  void AddConnection(asio::ip::tcp::socket aSocket);
  Awaitable<void> WaitForTurn(std::size_t aBodyBytes);

  asio::io_context& io_;
  HttpServerOptions options_;
  Handler handler_;
  asio::ip::tcp::acceptor acceptor_;
  ConnectionTable table_;
  std::chrono::steady_clock::time_point nextTurn_; // of a large body
  std::size_t requestsInProgress_ = 0;
  bool isDraining_ = false;
};

void
HttpServer::State::AddConnection(asio::ip::tcp::socket aSocket)
{
  boost::system::error_code error;
  aSocket.set_option(asio::ip::tcp::no_delay(true), error); // less latency
  const auto peer = aSocket.remote_endpoint(error);
  if (error) {
    return; // it is closed already
  }
  auto address = peer.address().to_string();
  if (options_.maxConnectionsPerPeer_ > 0 &&
      table_.CountOfPeer(address) >= options_.maxConnectionsPerPeer_) {
    table_.Count(LimitCause::PeerConnections);
    return;
  }
  auto connection =
    std::make_shared<Connection>(std::move(aSocket), std::move(address));
  table_.Add(connection);
  asio::co_spawn(io_, Serve(std::move(connection)), asio::detached);
}

Awaitable<void>
HttpServer::State::Accept()
{
  const auto self = shared_from_this();
  while (acceptor_.is_open()) {
    auto [error, socket] = co_await acceptor_.async_accept(kAsTuple);
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (!error) {
      while (!table_.MakeRoom(options_.maxConnections_)) {
        asio::steady_timer pause(io_, kAcceptRetryDelay);
        co_await pause.async_wait(kAsTuple);
      }
      AddConnection(std::move(socket));
    } else {
      asio::steady_timer pause(io_, kAcceptRetryDelay);
      co_await pause.async_wait(kAsTuple);
    }
  }
}

Awaitable<ReadOutcome>
HttpServer::State::Read(ConnectionPtr aConnection, RequestParser& aParser)
{
  using std::chrono::steady_clock;
  auto& stream = aConnection->stream_;
  auto& buffer = aConnection->buffer_;
  auto startedAt = steady_clock::now();
  bool hasBegun = buffer.size() > 0;
  for (;;) {
    boost::system::error_code parseError;
    if (buffer.size() > 0) {
      buffer.consume(aParser.put(buffer.data(), parseError));
    }
    if (parseError == http::error::header_limit) {
      co_return ReadOutcome::HeadTooLarge;
    }
    if (parseError == http::error::body_limit) {
      co_return ReadOutcome::BodyTooLarge;
    }
    if (parseError && parseError != http::error::need_more) {
      co_return ReadOutcome::Closed;
    }
    if (buffer.size() == 0) {
      buffer.shrink_to_fit();
    }
    const auto held = buffer.capacity() + aParser.HeldBytes();
    if (!table_.Hold(aConnection, held, options_.maxBytesInFlight_)) {
      co_return aConnection->isClosed_ ? ReadOutcome::Closed
                                       : ReadOutcome::NoMemory;
    }
    if (aParser.is_done()) {
      co_return ReadOutcome::Whole;
    }
    const auto forBody =
      std::chrono::seconds(aParser.BodyBytes() / options_.minBytesPerSecond_);
    stream.expires_at(hasBegun ? startedAt + options_.requestTime_ + forBody
                               : startedAt + options_.idleTimeout_);
    const auto space =
      buffer.prepare(aParser.is_header_done() ? kBodyRead : kHeadRead);
    const auto [error, got] = co_await stream.async_read_some(space, kAsTuple);
    if (error) {
      co_return error == boost::beast::error::timeout&& hasBegun
        ? ReadOutcome::Slow
        : ReadOutcome::Closed;
    }
    buffer.commit(got);
    if (!hasBegun) {
      hasBegun = true;
      startedAt = steady_clock::now();
    }
  }
}

HttpResponse
HttpServer::State::Refuse(ReadOutcome aOutcome)
{
  HttpResponse response;
  if (aOutcome == ReadOutcome::HeadTooLarge) {
    table_.Count(LimitCause::HeadSize);
    response.status_ = kStatusHeadTooLarge;
  } else if (aOutcome == ReadOutcome::BodyTooLarge) {
    table_.Count(LimitCause::BodySize);
    response.status_ = kStatusTooLarge;
  } else {
    response.status_ = kStatusUnavailable;
    response.headers_.emplace_back("Retry-After", "1");
  }
  return response;
}

Awaitable<void>
HttpServer::State::WaitForTurn(std::size_t aBodyBytes)
{
  const auto turn = std::max(std::chrono::steady_clock::now(), nextTurn_);
  nextTurn_ = turn + std::chrono::milliseconds(aBodyBytes / kLargeBytesPerMs);
  asio::steady_timer timer(io_, turn);
  co_await timer.async_wait(kAsTuple);
}

Awaitable<HttpResponse>
HttpServer::State::Handle(ConnectionPtr aConnection, RequestParser& aParser)
{
  const auto bytes = aParser.BodyBytes();
  if (!table_.Hold(aConnection,
                   aParser.HeldBytes() + kHandlingFactor * bytes,
                   options_.maxBytesInFlight_)) {
    co_return Refuse(ReadOutcome::NoMemory);
  }
  aConnection->isHandling_ = true;
  if (bytes >= kLargeBody) {
    co_await WaitForTurn(bytes);
  }
  HttpResponse response;
  {
    const HttpRequest request = aParser.Release();
    response = co_await handler_(request);
  }
  aConnection->isHandling_ = false;
  co_return response;
}

Awaitable<bool>
HttpServer::State::Write(ConnectionPtr aConnection,
                         HttpResponse aResponse,
                         unsigned aVersion,
                         bool aKeepAlive)
{
  auto& stream = aConnection->stream_;
  // An answer that finds no room is sent all the same: it exists already.
  table_.Hold(aConnection,
              aConnection->buffer_.capacity() + aResponse.body_.size(),
              options_.maxBytesInFlight_);
  const auto message =
    EncodeResponse(std::move(aResponse), aVersion, aKeepAlive);
  stream.expires_after(options_.answerTime_);
  const auto [error, written] =
    co_await http::async_write(stream, message, kAsTuple);
  if (error == boost::beast::error::timeout) {
    table_.Count(LimitCause::UnreadAnswer);
  }
  co_return !error;
}

Awaitable<void>
HttpServer::State::Serve(ConnectionPtr aConnection)
{
  const auto self = shared_from_this();
  auto& stream = aConnection->stream_;
  bool isKeptOpen = true;
  bool mayStillSend = false;
  while (isKeptOpen) {
    RequestParser parser(options_);
    const auto outcome = co_await Read(aConnection, parser);
    if (outcome == ReadOutcome::Slow) {
      table_.Count(LimitCause::SlowRequest);
    }
    if (outcome == ReadOutcome::Slow || outcome == ReadOutcome::Closed) {
      break;
    }
    HttpResponse response;
    bool keepAlive = false;
    if (outcome == ReadOutcome::Whole) {
      keepAlive = parser.keep_alive();
      stream.expires_never();
      aConnection->isBusy_ = true;
      ++requestsInProgress_;
      table_.Renew(aConnection);
      response = co_await Handle(aConnection, parser);
    } else {
      mayStillSend = true;
      response = Refuse(outcome);
    }
    isKeptOpen = keepAlive && !isDraining_;
    const bool isWritten = co_await Write(
      aConnection, std::move(response), parser.Version(), isKeptOpen);
    if (aConnection->isBusy_) {
      aConnection->isBusy_ = false;
      --requestsInProgress_;
    }
    isKeptOpen = isKeptOpen && isWritten;
  }
  if (mayStillSend && !aConnection->isClosed_) {
    co_await Linger(aConnection);
  }
  boost::system::error_code ignored; // the peer may have closed already
  stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  table_.Remove(aConnection);
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
  const int receiveBuffer = state_->options_.receiveBufferBytes_;
  if (!error && receiveBuffer > 0) { // accepted sockets inherit it
    acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBuffer),
                        error);
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
  for (const auto& row : state_->table_.Rows()) {
    auto& connection = static_cast<Connection&>(*row);
    if (!connection.isBusy_) {
      connection.stream_.cancel();
    }
  }
}

bool
HttpServer::IsIdle() const
{
  return state_->requestsInProgress_ == 0;
}

void
HttpServer::SetOptions(const HttpServerOptions& aOptions)
{
  state_->options_ = aOptions;
}

const LimitCounts&
HttpServer::Limits() const
{
  return state_->table_.Counts();
}

} // namespace cuminbridge
