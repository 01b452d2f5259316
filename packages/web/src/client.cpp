// HTTP calls, over a pool of kept connections for each address.

#include <charconv>

#include <sys/socket.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "cuminbridge/web.h"

namespace cuminbridge {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::beast::tcp_stream;
using std::chrono::steady_clock;

namespace {

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);
constexpr int kHttp11 = 11;

// False if the peer has closed the connection, or has sent bytes that belong to
// no request: then it can't be used for another one.
bool
IsStillOpen(tcp_stream& aStream)
{
  char byte = 0;
  const auto got =
    recv(aStream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

asio::ip::tcp::endpoint
ReadEndpoint(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return {};
  }
  unsigned short port = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data() + colon + 1, end, port);
  boost::system::error_code error;
  const auto address =
    asio::ip::make_address(std::string(aText.substr(0, colon)), error);
  if (error || parsed.ec != std::errc() || parsed.ptr != end) {
    return {};
  }
  return { address, port };
}

void
AddUp(Traffic& aSum, const Traffic& aMore)
{
  for (const auto& [kind, more] : aMore) {
    auto& sum = aSum[kind];
    sum.calls_ += more.calls_;
    sum.connections_ += more.connections_;
    sum.bytesSent_ += more.bytesSent_;
    sum.bytesReceived_ += more.bytesReceived_;
  }
}

namespace {

// Ends what a call waits for on its connection when its time is over. The
// stream's own time-outs don't look whether the answer has arrived: after the
// process was held up, the reactor reports some of the connections that have
// bytes to read and all timers that have expired.
class CallTimer
{
public:
  explicit CallTimer(tcp_stream& aStream)
    : state_(std::make_shared<State>(aStream))
  {
  }
  ~CallTimer()
  {
    state_->stream_ = nullptr;
    state_->timer_.cancel();
  }
  CallTimer(const CallTimer&) = delete;
  CallTimer& operator=(const CallTimer&) = delete;

  void ExpireAt(steady_clock::time_point aAt)
  {
    state_->rechecks_ = 0;
    Wait(state_, aAt);
  }

private:
  struct State
  {
    explicit State(tcp_stream& aStream)
      : stream_(&aStream)
      , timer_(aStream.get_executor())
    {
    }

    tcp_stream* stream_; // null once the call is over
    asio::steady_timer timer_;
    int rechecks_ = 0;
  };

  static void Wait(const std::shared_ptr<State>& aState,
                   steady_clock::time_point aAt)
  {
    aState->timer_.expires_at(aAt);
    aState->timer_.async_wait(
      [state = aState, aAt](boost::system::error_code aError) {
        // The reactor soon reports the connection. But bytes also wait while
        // the call still writes, which the peer may not read.
        constexpr std::chrono::milliseconds kInterval(5);
        constexpr int kMaxRechecks = 40;
        // It may have been set anew after it expired.
        if (aError || !state->stream_ || state->timer_.expiry() != aAt) {
          return;
        }
        if (IsStillOpen(*state->stream_) || ++state->rechecks_ > kMaxRechecks) {
          state->stream_->close();
        } else {
          Wait(state, steady_clock::now() + kInterval);
        }
      });
  }

  std::shared_ptr<State> state_;
};

} // namespace

struct HttpClient::Pool
{
  struct Idle
  {
    std::unique_ptr<tcp_stream> stream_;
    steady_clock::time_point since_;
  };

  std::deque<Idle> idle_;
  std::size_t inUse_ = 0; // connections that carry a call
  // One timer for each call that waits for a connection, the first one first.
  // Cancelling it wakes the call.
  std::deque<std::shared_ptr<asio::steady_timer>> waiting_;
};

namespace {

// Counts a connection as in use while it exists, then wakes one waiting call.
template<typename Pool>
class ConnectionSlot
{
public:
  explicit ConnectionSlot(std::shared_ptr<Pool> aPool)
    : pool_(std::move(aPool))
  {
    ++pool_->inUse_;
  }
  ~ConnectionSlot()
  {
    --pool_->inUse_;
    if (!pool_->waiting_.empty()) {
      pool_->waiting_.front()->cancel();
      pool_->waiting_.pop_front();
    }
  }
  ConnectionSlot(const ConnectionSlot&) = delete;
  ConnectionSlot& operator=(const ConnectionSlot&) = delete;

private:
  std::shared_ptr<Pool> pool_;
};

} // namespace

HttpClient::HttpClient(asio::io_context& aIo, HttpClientOptions aOptions)
  : io_(aIo)
  , options_(aOptions)
{
}

HttpClient::~HttpClient() = default;

void
HttpClient::CloseIdleConnections(const std::string& aAddress)
{
  const auto found = pools_.find(aAddress);
  if (found != pools_.end()) {
    found->second->idle_.clear();
  }
}

void
HttpClient::Sweep()
{
  const auto now = steady_clock::now();
  if (now < nextSweep_) {
    return;
  }
  nextSweep_ = now + options_.sweepInterval_;
  for (auto it = pools_.begin(); it != pools_.end();) {
    auto& pool = *it->second;
    std::erase_if(pool.idle_, [&](Pool::Idle& aIdle) {
      return now - aIdle.since_ >= options_.idleTimeout_ ||
             !IsStillOpen(*aIdle.stream_);
    });
    const bool isUsed =
      !pool.idle_.empty() || pool.inUse_ > 0 || !pool.waiting_.empty();
    it = isUsed ? std::next(it) : pools_.erase(it);
  }
}

Awaitable<HttpReply>
HttpClient::Call(std::string aAddress, HttpCall aCall)
{
  HttpReply reply;
  Sweep();
  auto& traffic = traffic_[aCall.kind_];
  ++traffic.calls_;
  const auto deadline = steady_clock::now() + aCall.limit_;
  auto& entry = pools_[aAddress];
  if (!entry) {
    entry = std::make_shared<Pool>();
  }
  const auto pool = entry;
  while (!aCall.isUrgent_ && pool->inUse_ >= options_.maxConnections_) {
    auto timer = std::make_shared<asio::steady_timer>(io_, deadline);
    pool->waiting_.push_back(timer);
    const auto [waitError] = co_await timer->async_wait(kAsTuple);
    if (!waitError) {
      std::erase(pool->waiting_, timer);
      co_return reply; // timed out before a connection was free
    }
  }
  const ConnectionSlot<Pool> slot(pool);

  std::unique_ptr<tcp_stream> stream;
  while (!pool->idle_.empty() && !stream) {
    auto idle = std::move(pool->idle_.back());
    pool->idle_.pop_back();
    if (steady_clock::now() - idle.since_ < options_.idleTimeout_ &&
        IsStillOpen(*idle.stream_)) {
      stream = std::move(idle.stream_);
    }
  }
  if (!stream) {
    ++traffic.connections_;
    stream = std::make_unique<tcp_stream>(io_);
    stream->expires_at(
      std::min(deadline, steady_clock::now() + options_.connectTimeout_));
    const auto [error] =
      co_await stream->async_connect(ReadEndpoint(aAddress), kAsTuple);
    if (error) {
      reply.outcome_ = error == asio::error::connection_refused
                         ? CallOutcome::Refused
                         : CallOutcome::NotSent;
      co_return reply;
    }
    boost::system::error_code ignored; // the option only reduces latency
    stream->socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  }

  http::request<http::string_body> request;
  request.version(kHttp11);
  request.method_string(aCall.method_);
  request.target(aCall.path_);
  request.set(http::field::host, aAddress);
  for (const auto& [name, value] : aCall.headers_) {
    request.set(name, value);
  }
  if (!aCall.body_.empty()) {
    request.set(http::field::content_type, "application/json");
    request.body() = std::move(aCall.body_);
  }
  request.prepare_payload();
  if (aCall.maySend_ && !aCall.maySend_()) {
    stream->expires_never();
    pool->idle_.push_back({ std::move(stream), steady_clock::now() });
    co_return reply;
  }
  reply.outcome_ = CallOutcome::Lost;
  stream->expires_never();
  CallTimer timer(*stream);
  const auto extendDeadline = [&] {
    timer.ExpireAt(std::max(deadline, steady_clock::now() + aCall.stallLimit_));
  };
  http::serializer<true, http::string_body> serializer(request);
  while (!serializer.is_done()) {
    extendDeadline();
    const auto [error, written] =
      co_await http::async_write_some(*stream, serializer, kAsTuple);
    traffic.bytesSent_ += written;
    if (error) {
      co_return reply;
    }
  }
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(aCall.maxReplyBytes_);
  parser.eager(true);
  timer.ExpireAt(deadline);
  while (!parser.is_done()) {
    const auto [error, got] =
      co_await http::async_read_some(*stream, buffer, parser, kAsTuple);
    traffic.bytesReceived_ += got;
    if (error) {
      co_return reply;
    }
    extendDeadline();
  }
  reply.outcome_ = CallOutcome::Answered;
  reply.status_ = static_cast<int>(parser.get().result_int());
  reply.body_ = std::move(parser.get().body());
  if (parser.get().keep_alive()) {
    pool->idle_.push_back({ std::move(stream), steady_clock::now() });
  }
  co_return reply;
}

} // namespace cuminbridge
