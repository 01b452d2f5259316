// Connections of callers. Each serves its requests one after another; the
// reducer decides about each request.

#include "caller_server.h"

#include <sys/socket.h>

#include <boost/beast/http.hpp>

#include "exchange.h"
#include "http_text.h"
#include "log.h"

namespace cuminbridge::forwarder {

namespace beast = boost::beast;

namespace {

constexpr std::size_t kReadSize = 4096;
constexpr std::size_t kBodyPart = 16 * 1024;
constexpr std::chrono::seconds kLingerLimit(2);
constexpr std::size_t kLingerBytes = 1024 * 1024;

// Whether the caller has closed or reset its connection.
bool
IsCallerGone(Stream& aStream)
{
  char byte = 0;
  const auto got =
    recv(aStream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

RefuseRequest
RefusalForReadError(const beast::error_code& aError)
{
  RefuseRequest refusal;
  refusal.status_ = 400;
  refusal.detail_ = "the request can't be read: " + aError.message();
  if (aError == http::error::header_limit) {
    refusal.status_ = 431;
    refusal.detail_ = "the header is too large";
  } else if (aError == beast::error::timeout) {
    refusal.status_ = 408;
    refusal.detail_ = "the header came too slowly";
  }
  return refusal;
}

} // namespace

// One connection of a caller.
struct CallerSession
{
  CallerServer& server_;
  EntryLoop& loop_;
  Stream stream_;
  beast::flat_buffer buffer_;
  std::vector<char> body_;
  std::optional<RequestParser> parser_;
  bool isIdle_ = true;
  bool isOpen_ = true;

  CallerSession(CallerServer& aServer, Stream aStream)
    : server_(aServer)
    , loop_(aServer.loop_)
    , stream_(std::move(aStream))
    , body_(kBodyPart)
  {
    server_.sessions_.insert(this);
  }
  ~CallerSession() { server_.sessions_.erase(this); }
  CallerSession(const CallerSession&) = delete;
  CallerSession& operator=(const CallerSession&) = delete;

  Awaitable<void> Serve();
  Awaitable<bool> ReadHead();
  Awaitable<void> ServeRequest();
  Awaitable<std::optional<Decision>> AwaitDecisionOrDisconnect(RequestId aId,
                                                               Event aEvent);
  Awaitable<void> WriteRefusal(RefuseRequest aRefusal);
  Awaitable<void> Linger();
  void ResetConnection();
  RequestArrived Describe(RequestId aId, const PoolTarget& aTarget) const;

  bool IsKeptAlive() const
  {
    return parser_->get().keep_alive() && !server_.isDraining_;
  }
};

Awaitable<void>
CallerSession::Serve()
{
  while (isOpen_ && !server_.isClosing_) {
    isIdle_ = true;
    const bool isRead = co_await ReadHead();
    isIdle_ = false;
    if (!isRead) {
      break;
    }
    co_await ServeRequest();
  }
  beast::error_code ignored;
  stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_both,
                            ignored);
}

// Reads the head of a request. Returns false if the connection is to be closed;
// a caller that sent an invalid head has then received an error answer.
Awaitable<bool>
CallerSession::ReadHead()
{
  const Settings& settings = loop_.GetSettings();
  if (buffer_.size() == 0) {
    stream_.expires_after(settings.idleTimeout_);
    const auto [error, got] =
      co_await stream_.async_read_some(buffer_.prepare(kReadSize), kAsTuple);
    if (error) {
      co_return false;
    }
    buffer_.commit(got);
  }
  isIdle_ = false;
  parser_.emplace();
  parser_->header_limit(static_cast<std::uint32_t>(settings.maxHeaderBytes_));
  parser_->body_limit(boost::none);
  stream_.expires_after(settings.headerTimeout_);
  const auto [error, got] =
    co_await http::async_read_header(stream_, buffer_, *parser_, kAsTuple);
  if (error == http::error::end_of_stream ||
      error == beast::errc::not_connected) {
    co_return false;
  }
  RefuseRequest fault;
  if (error) {
    fault = RefusalForReadError(error);
  } else {
    const auto& head = parser_->get();
    const std::string_view why =
      FindHeadFault(head, head.version(), head[http::field::transfer_encoding]);
    fault.status_ = why.empty() ? 0 : 400;
    fault.detail_ = why;
  }
  if (fault.status_ != 0) {
    isOpen_ = false;
    co_await WriteRefusal(std::move(fault));
    co_return false;
  }
  co_return true;
}

RequestArrived
CallerSession::Describe(RequestId aId, const PoolTarget& aTarget) const
{
  const auto& head = parser_->get();
  RequestArrived arrived;
  arrived.id_ = aId;
  arrived.pool_ = aTarget.pool_;
  const std::string_view key = ReadBearer(head[http::field::authorization]);
  if (!key.empty()) {
    arrived.keyHash_ = HashKey(key);
  }
  arrived.idempotencyKey_ = head["Idempotency-Key"];
  arrived.idempotent_ = IsIdempotent(head.method());
  arrived.replayable_ = parser_->is_done();
  arrived.urgent_ = IsUrgent(head["Priority"]);
  return arrived;
}

// Waits for a decision and cancels the wait if the caller disconnects.
Awaitable<std::optional<Decision>>
CallerSession::AwaitDecisionOrDisconnect(RequestId aId, Event aEvent)
{
  auto isWatching = std::make_shared<bool>(false);
  const auto watch = [this, aId, isWatching] {
    *isWatching = true;
    stream_.socket().async_wait(
      boost::asio::ip::tcp::socket::wait_read,
      [this, aId, isWatching](const beast::error_code& aError) {
        if (*isWatching && !aError && IsCallerGone(stream_)) {
          loop_.CancelWait(aId);
        }
      });
  };
  auto decision = co_await loop_.AwaitDecision(aId, std::move(aEvent), watch);
  if (*isWatching) {
    *isWatching = false;
    beast::error_code ignored;
    stream_.socket().cancel(ignored);
  }
  co_return decision;
}

Awaitable<void>
CallerSession::ServeRequest()
{
  const TimePoint arrivedAt = loop_.Now();
  const PoolTarget target = SplitTarget(parser_->get().target());
  const RequestId id = loop_.NewRequestId();
  auto decision = co_await AwaitDecisionOrDisconnect(id, Describe(id, target));
  loop_.GetMetrics().timeToDecision_.Add(loop_.Now() - arrivedAt);
  while (decision && std::holds_alternative<ForwardRequest>(*decision)) {
    const CallerConnection caller{
      stream_, buffer_, body_, loop_.GetSettings().bodyTimeout_, IsKeptAlive()
    };
    const ExchangeOutcome outcome =
      co_await RunExchange(loop_,
                           caller,
                           *parser_,
                           target.path_,
                           std::get<ForwardRequest>(*decision));
    ExchangeEnded ended;
    ended.id_ = id;
    ended.result_ = outcome.result_;
    ended.serverError_ = outcome.isServerError_;
    ended.answerStarted_ = outcome.isAnswerStarted_ || outcome.isCallerLost_;
    ended.isTooLate_ = outcome.isTooLate_;
    ended.isTimeout_ = outcome.isTimeout_;
    if (outcome.result_ == ExchangeResult::Answered) {
      loop_.Submit(ended);
      loop_.GetMetrics().requestTime_.Add(loop_.Now() - arrivedAt);
      isOpen_ = IsKeptAlive() && !outcome.isCallerLost_ &&
                (parser_->is_done() || outcome.isAnswerStarted_);
      if (!parser_->is_done()) {
        isOpen_ = false; // the target answered before the body was read
        co_await Linger();
      }
      co_return;
    }
    decision = co_await AwaitDecisionOrDisconnect(id, ended);
    if (ended.answerStarted_) {
      ResetConnection();
      co_return;
    }
  }
  if (!decision) {
    isOpen_ = false; // the caller has disconnected
    co_return;
  }
  co_await WriteRefusal(std::move(std::get<RefuseRequest>(*decision)));
}

Awaitable<void>
CallerSession::WriteRefusal(RefuseRequest aRefusal)
{
  auto response = MakeProblem(aRefusal);
  // The parser takes a request with a faulty head for one without a body.
  const bool mayStillSend = !isOpen_ || !parser_->is_done();
  isOpen_ = isOpen_ && IsKeptAlive() && !mayStillSend;
  response.keep_alive(isOpen_);
  stream_.expires_after(loop_.GetSettings().bodyTimeout_);
  const bool isHead = parser_->get().method() == http::verb::head;
  if (isHead) {
    http::response_serializer<http::string_body> serializer(response);
    co_await http::async_write_header(stream_, serializer, kAsTuple);
  } else {
    co_await http::async_write(stream_, response, kAsTuple);
  }
  if (mayStillSend) {
    co_await Linger();
  }
}

// Reads and discards input before closing, for at most kLingerLimit and
// kLingerBytes. Closing with unread bytes would reset the connection, and the
// caller could lose the answer before it has read it.
Awaitable<void>
CallerSession::Linger()
{
  beast::error_code ignored;
  stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send,
                            ignored);
  stream_.expires_after(kLingerLimit);
  std::size_t left = kLingerBytes;
  while (left > 0) {
    const auto [error, got] =
      co_await stream_.async_read_some(boost::asio::buffer(body_), kAsTuple);
    if (error) {
      co_return;
    }
    left -= std::min(left, got);
  }
}

// Closes the connection with a TCP reset. A caller that takes the end of the
// connection for the end of the answer must see that the answer is truncated.
void
CallerSession::ResetConnection()
{
  isOpen_ = false;
  beast::error_code ignored;
  stream_.socket().set_option(boost::asio::socket_base::linger(true, 0),
                              ignored);
  stream_.socket().close(ignored);
}

CallerServer::CallerServer(EntryLoop& aLoop)
  : loop_(aLoop)
  , acceptor_(aLoop.Io().get_executor())
{
}

std::string
CallerServer::Start()
{
  std::string error =
    OpenListener(acceptor_, loop_.GetSettings().callersListen_);
  if (!error.empty()) {
    return error;
  }
  boost::asio::co_spawn(
    loop_.Io().get_executor(), AcceptForEver(), [](std::exception_ptr) {});
  return "";
}

Awaitable<void>
CallerServer::AcceptForEver()
{
  while (acceptor_.is_open()) {
    auto [error, socket] = co_await acceptor_.async_accept(kAsTuple);
    if (error == boost::asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      // Most likely the process is out of file descriptors: retries after a
      // pause, when some may be free again.
      LogError("can't accept", error.message());
      Timer pause(loop_.Io().get_executor());
      pause.expires_after(std::chrono::milliseconds(100));
      co_await pause.async_wait(kAsTuple);
      continue;
    }
    beast::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    boost::asio::co_spawn(
      loop_.Io().get_executor(),
      [](CallerServer* aServer, Stream aStream) -> Awaitable<void> {
        CallerSession session(*aServer, std::move(aStream));
        co_await session.Serve();
      }(this, Stream(std::move(socket))),
      [](std::exception_ptr) {});
  }
}

void
CallerServer::StopAccepting()
{
  beast::error_code ignored;
  acceptor_.close(ignored);
}

void
CallerServer::CloseAll()
{
  isClosing_ = true;
  StopAccepting();
  for (CallerSession* session : sessions_) {
    if (session->isIdle_) {
      session->stream_.close();
    }
  }
}

} // namespace cuminbridge::forwarder
