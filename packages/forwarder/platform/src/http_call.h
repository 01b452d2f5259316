// Internal: one HTTP call with a short body, both ways.

#ifndef cuminbridge_platform_http_call_h
#define cuminbridge_platform_http_call_h

#include <boost/beast/http/verb.hpp>

#include "cuminbridge/platform.h"

namespace cuminbridge::forwarder {

// Is a connection that lay idle still open, with nothing unread?
bool IsStillOpen(Stream& aStream);

struct HttpReply
{
  bool isSent_ = false; // some bytes of the call went out
  bool isKept_ = false; // the connection may be used again
  int status_ = 0;      // 0: no whole answer came
  std::string body_;
};

// Sends a request and reads the answer within the stream's own expiry.
Awaitable<HttpReply> CallHttp(Stream& aStream,
                              boost::beast::http::verb aMethod,
                              std::string aPath,
                              std::string aBody);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_platform_http_call_h
