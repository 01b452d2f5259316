// Streams between caller and target. A body is passed on part by part and never
// held in memory as a whole.

#include "exchange.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

namespace cuminbridge::forwarder {

namespace beast = boost::beast;

namespace {

using AnswerParser = http::response_parser<http::buffer_body>;

constexpr std::uint32_t kMaxAnswerHeader = 64 * 1024;
constexpr std::chrono::seconds kEarlyAnswerLimit(2);
constexpr unsigned kHttp11 = 11;
constexpr unsigned kServerError = 500;
constexpr unsigned kFirstFinalStatus = 200;

// Beast reports need_buffer when a part of a body is complete and more may
// follow; that is no failure.
bool
IsFailure(const beast::error_code& aError)
{
  return aError && aError != http::error::need_buffer;
}

struct Exchange
{
  EntryLoop& loop_;
  CallerConnection caller_;
  RequestParser& request_;
  TargetConnection target_;
  ExchangeOutcome outcome_;
  std::optional<AnswerParser> answer_;

  Awaitable<bool> SendRequest(const std::string& aPath);
  Awaitable<bool> ReadAnswerHead();
  Awaitable<void> RelayAnswer();
  Awaitable<beast::error_code> ReadAnswerPart();
  Awaitable<void> WriteToCaller(
    http::response_serializer<http::buffer_body>& aSerializer);

  bool IsHead() const { return request_.get().method() == http::verb::head; }
};

// Returns false if the target can't have received the whole request. It may
// have sent an answer all the same.
Awaitable<bool>
Exchange::SendRequest(const std::string& aPath)
{
  http::request<http::buffer_body> head(
    request_.get().method(), aPath, kHttp11);
  if (head.method() == http::verb::unknown) {
    head.method_string(request_.get().method_string());
  }
  CopyEndToEnd(request_.get(), head);
  if (request_.chunked()) {
    head.chunked(true);
  }
  if (beast::iequals(request_.get()[http::field::expect], "100-continue") &&
      !request_.is_done()) {
    constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    co_await boost::asio::async_write(
      caller_.stream_, boost::asio::buffer(kContinue), kAsTuple);
  }
  http::request_serializer<http::buffer_body> serializer(head);
  do {
    std::size_t size = 0;
    if (!request_.is_done()) {
      request_.get().body().data = caller_.body_.data();
      request_.get().body().size = caller_.body_.size();
      caller_.stream_.expires_after(caller_.timeout_);
      const auto [error, got] = co_await http::async_read_some(
        caller_.stream_, caller_.buffer_, request_, kAsTuple);
      if (IsFailure(error)) {
        outcome_.isCallerLost_ = true;
        co_return false;
      }
      size = caller_.body_.size() - request_.get().body().size;
    }
    head.body().data = size > 0 ? caller_.body_.data() : nullptr;
    head.body().size = size;
    head.body().more = !request_.is_done();
    if (size == 0 && head.body().more) {
      continue; // only chunk framing was read, no body bytes
    }
    const auto [error, sent] =
      co_await http::async_write(*target_.stream_, serializer, kAsTuple);
    if (IsFailure(error)) {
      co_return false;
    }
  } while (!serializer.is_done());
  co_return true;
}

Awaitable<bool>
Exchange::ReadAnswerHead()
{
  do {
    answer_.emplace();
    answer_->header_limit(kMaxAnswerHeader);
    answer_->body_limit(boost::none);
    answer_->skip(IsHead());
    const auto [error, got] = co_await http::async_read_header(
      *target_.stream_, target_.buffer_, *answer_, kAsTuple);
    if (error) {
      outcome_.isTimeout_ = error == beast::error::timeout;
      co_return false;
    }
  } while (answer_->get().result_int() < kFirstFinalStatus);
  co_return true;
}

Awaitable<beast::error_code>
Exchange::ReadAnswerPart()
{
  answer_->get().body().data = caller_.body_.data();
  answer_->get().body().size = caller_.body_.size();
  const auto [error, got] = co_await http::async_read_some(
    *target_.stream_, target_.buffer_, *answer_, kAsTuple);
  if (IsFailure(error)) {
    outcome_.isTimeout_ = error == beast::error::timeout;
    co_return error;
  }
  co_return beast::error_code{};
}

Awaitable<void>
Exchange::WriteToCaller(
  http::response_serializer<http::buffer_body>& aSerializer)
{
  if (outcome_.isCallerLost_) {
    co_return;
  }
  outcome_.isAnswerStarted_ = true;
  caller_.stream_.expires_after(caller_.timeout_);
  const auto [error, sent] =
    co_await http::async_write(caller_.stream_, aSerializer, kAsTuple);
  outcome_.isCallerLost_ = IsFailure(error);
}

// Relays the answer part by part. The first part is written together with the
// head if its bytes have already arrived.
Awaitable<void>
Exchange::RelayAnswer()
{
  http::response<http::buffer_body> head(answer_->get().result(), kHttp11);
  head.reason(answer_->get().reason());
  CopyEndToEnd(answer_->get(), head);
  head.set("Cuminbridge-Outcome", "ran");
  const bool hasBody = !answer_->is_done();
  const bool isSized = answer_->content_length().has_value();
  const bool isOldCaller = request_.get().version() < kHttp11;
  if (hasBody && !isSized) {
    head.chunked(!isOldCaller);
    caller_.isKeepAlive_ &= !isOldCaller;
  }
  head.version(isOldCaller ? request_.get().version() : kHttp11);
  head.keep_alive(caller_.isKeepAlive_);
  outcome_.isServerError_ = answer_->get().result_int() >= kServerError;

  http::response_serializer<http::buffer_body> serializer(head);
  bool isHeadDue = true;
  do {
    std::size_t size = 0;
    const bool isPartDue =
      !answer_->is_done() && (!isHeadDue || target_.buffer_.size() > 0);
    if (isPartDue) {
      if (co_await ReadAnswerPart()) {
        outcome_.result_ = ExchangeResult::Broken;
        co_return;
      }
      size = caller_.body_.size() - answer_->get().body().size;
    }
    head.body().data = size > 0 ? caller_.body_.data() : nullptr;
    head.body().size = size;
    head.body().more = !answer_->is_done();
    const bool isWorthWriting = isHeadDue || size > 0 || !head.body().more;
    if (isWorthWriting) {
      co_await WriteToCaller(serializer);
      isHeadDue = false;
    }
  } while (!answer_->is_done());
  outcome_.result_ = ExchangeResult::Answered;
}

} // namespace

Awaitable<ExchangeOutcome>
RunExchange(EntryLoop& aLoop,
            CallerConnection aCaller,
            RequestParser& aRequest,
            const std::string& aPath,
            const ForwardRequest& aForward)
{
  Exchange exchange{ aLoop, aCaller, aRequest, {}, {}, {} };
  const std::string address =
    aForward.isOldScheduler_
      ? aForward.target_
      : aForward.target_ + ":" +
          std::to_string(aLoop.GetSettings().targetPort_);
  exchange.target_ = co_await aLoop.Targets().Acquire(address);
  exchange.outcome_.isTooLate_ = aLoop.Now() >= aForward.startBy_;
  if (!exchange.target_.stream_ || exchange.outcome_.isTooLate_) {
    co_return exchange.outcome_;
  }
  // From here on bytes may have reached the target.
  exchange.outcome_.result_ = ExchangeResult::Broken;
  exchange.target_.stream_->expires_after(
    aLoop.GetSettings().options_.runLimit_);
  const bool isSent = co_await exchange.SendRequest(aPath);
  if (exchange.outcome_.isCallerLost_) {
    co_return exchange.outcome_;
  }
  if (!isSent) {
    // A target may reject a long body early and close the connection; its
    // answer is still relayed.
    exchange.target_.stream_->expires_after(kEarlyAnswerLimit);
  }
  if (!co_await exchange.ReadAnswerHead()) {
    co_return exchange.outcome_;
  }
  co_await exchange.RelayAnswer();
  const bool isReusable =
    exchange.outcome_.result_ == ExchangeResult::Answered && isSent &&
    exchange.answer_->keep_alive() && exchange.target_.buffer_.size() == 0;
  if (isReusable) {
    exchange.target_.stream_->expires_never();
    aLoop.Targets().Release(std::move(exchange.target_));
  }
  co_return exchange.outcome_;
}

} // namespace cuminbridge::forwarder
