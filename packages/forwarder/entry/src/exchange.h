// Internal: one exchange between a caller and a target, streamed both ways.

#ifndef cuminbridge_entry_exchange_h
#define cuminbridge_entry_exchange_h

#include <boost/beast/http/parser.hpp>

#include "entry_loop.h"
#include "http_text.h"

namespace cuminbridge::forwarder {

using RequestParser = http::request_parser<http::buffer_body>;

// A caller's connection as the exchange needs it.
struct CallerSide
{
  Stream& stream_;
  boost::beast::flat_buffer& buffer_;
  std::vector<char>& body_;           // room for a part of a body, either way
  std::chrono::milliseconds timeout_; // of each part
  bool isKeepAlive_ = false;
};

struct ExchangeOutcome
{
  ExchangeResult result_ = ExchangeResult::NotBegun;
  bool isServerError_ = false;
  bool isAnswerStarted_ = false; // the caller has part of an answer
  bool isCallerLost_ = false;    // nothing more can be said to the caller
  bool isTooLate_ = false;       // the evidence for the decision had ended
  bool isTimeout_ = false;
};

// Sends the request on, and the answer back. The whole answer is read from the
// target even if the caller goes away, so that its end is known.
Awaitable<ExchangeOutcome> RunExchange(EntryLoop& aLoop,
                                       CallerSide aCaller,
                                       RequestParser& aRequest,
                                       const std::string& aPath,
                                       const ForwardRequest& aForward);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_entry_exchange_h
