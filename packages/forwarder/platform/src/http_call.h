// Internal: one HTTP call; request and answer are held in memory.

#ifndef cuminbridge_platform_http_call_h
#define cuminbridge_platform_http_call_h

#include <boost/beast/http/verb.hpp>

#include "cuminbridge/platform.h"

namespace cuminbridge::forwarder {

// True if an idle connection is still open and has no unread bytes.
bool IsReusable(Stream& aStream);

struct HttpReply
{
  bool isSent_ = false;     // some bytes of the request were sent
  bool isReusable_ = false; // the connection may carry another call
  int status_ = 0;          // HTTP status; 0: no complete answer arrived
  std::string body_;
};

// Sends a request and reads the answer. The caller sets the time limit with
// the stream's expiry.
Awaitable<HttpReply> CallHttp(Stream& aStream,
                              boost::beast::http::verb aMethod,
                              std::string aPath,
                              std::string aBody);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_platform_http_call_h
