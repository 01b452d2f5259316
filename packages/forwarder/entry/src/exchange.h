// Internal: one exchange (request and answer) between a caller and a target,
// streamed in both directions.

#ifndef cuminbridge_entry_exchange_h
#define cuminbridge_entry_exchange_h

#include <boost/beast/http/parser.hpp>

#include "entry_loop.h"
#include "http_text.h"

namespace cuminbridge::forwarder {

using RequestParser = http::request_parser<http::buffer_body>;

// The parts of a caller's connection that an exchange uses.
struct CallerConnection
{
  Stream& stream_;
  boost::beast::flat_buffer& buffer_;
  std::vector<char>& body_;           // buffer for one part of a body
  std::chrono::milliseconds timeout_; // for each read or write of a part
  bool isKeepAlive_ = false;
};

struct ExchangeOutcome
{
  ExchangeResult result_ = ExchangeResult::NotBegun;
  bool isServerError_ = false;
  bool isAnswerStarted_ = false; // part of an answer was written to the caller
  bool isCallerLost_ = false;    // the caller's connection failed
  bool isTooLate_ = false; // not begun: ForwardRequest::startBy_ had passed
  bool isTimeout_ = false; // the whole answer did not come in time
};

// Forwards the request to the target and relays the answer to the caller. If
// the caller disconnects during the answer, the rest is still read from the
// target, so that it is known when the target has finished the request.
Awaitable<ExchangeOutcome> RunExchange(EntryLoop& aLoop,
                                       CallerConnection aCaller,
                                       RequestParser& aRequest,
                                       const std::string& aPath,
                                       const ForwardRequest& aForward);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_entry_exchange_h
