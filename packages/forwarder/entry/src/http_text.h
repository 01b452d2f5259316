// Internal: helpers that parse and check HTTP heads, and the entry's own
// answers to callers.

#ifndef cuminbridge_entry_http_text_h
#define cuminbridge_entry_http_text_h

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "cuminbridge/core.h"

namespace cuminbridge::forwarder {

namespace http = boost::beast::http;

// A request target "/q/POOL/PATH?QUERY", split. The pool is empty if the
// request target does not have this form.
struct PoolTarget
{
  std::string_view pool_;
  std::string path_; // "/PATH?QUERY", sent to the target VM
};

PoolTarget SplitTarget(std::string_view aTarget);

// The token of "Bearer TOKEN"; empty if the header is anything else.
std::string_view ReadBearer(std::string_view aAuthorization);

// Whether a request of this method may be repeated without a second effect.
// (RFC 9110, 9.2.2)
bool IsIdempotent(http::verb aMethod);

// Whether a Priority header gives urgency 0 or 1. (RFC 9218)
bool IsUrgent(std::string_view aPriority);

// Checks a request head that has been parsed. Returns the fault, or an empty
// text. Rejects heads for which entry and target could disagree about where the
// body ends, because that allows request smuggling, and HTTP/1.1 requests
// without exactly one Host field.
std::string_view FindHeadFault(const http::fields& aFields,
                               unsigned aVersion,
                               std::string_view aTransferEncoding);

// Copies header fields except the hop-by-hop fields (RFC 9110, 7.6.1) and
// Authorization, which holds the caller's key.
void CopyEndToEnd(const http::fields& aFrom, http::fields& aTo);

// An answer with a problem document (RFC 9457) that states the outcome.
http::response<http::string_body> MakeProblem(const RefuseRequest& aRefusal);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_entry_http_text_h
