// Internal: small readings of HTTP heads, and answers of our own.

#ifndef cuminbridge_entry_http_text_h
#define cuminbridge_entry_http_text_h

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "cuminbridge/core.h"

namespace cuminbridge::forwarder {

namespace http = boost::beast::http;

// "/q/POOL/PATH?QUERY", taken apart. The pool is empty if it is no such target.
struct PoolTarget
{
  std::string_view pool_;
  std::string path_; // "/PATH?QUERY", as the target VM is asked
};

PoolTarget SplitTarget(std::string_view aTarget);

// The token of "Bearer TOKEN"; empty if the header is anything else.
std::string_view ReadBearer(std::string_view aAuthorization);

// Can the method be sent again without a second effect? (RFC 9110, 9.2.2)
bool IsIdempotent(http::verb aMethod);

// Urgency 0 or 1 in a Priority header. (RFC 9218)
bool IsUrgent(std::string_view aPriority);

// What is wrong with a request head that parsed; empty if nothing is. These
// are heads on whose body two readers could disagree.
std::string_view FindHeadFault(const http::fields& aFields,
                               unsigned aVersion,
                               std::string_view aTransferEncoding);

// Copies header fields, leaving out those that hold for one connection only
// (RFC 9110, 7.6.1) and the caller's key.
void CopyEndToEnd(const http::fields& aFrom, http::fields& aTo);

// A problem document (RFC 9457) with the outcome.
http::response<http::string_body> MakeProblem(const RefuseRequest& aRefusal);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_entry_http_text_h
