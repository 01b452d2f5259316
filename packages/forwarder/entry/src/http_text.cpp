// Parses and checks HTTP heads.

#include "http_text.h"

#include <algorithm>
#include <cctype>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <nlohmann/json.hpp>

namespace cuminbridge::forwarder {

namespace beast = boost::beast;

PoolTarget
SplitTarget(std::string_view aTarget)
{
  constexpr std::string_view kPrefix = "/q/";
  if (!aTarget.starts_with(kPrefix)) {
    return {};
  }
  aTarget.remove_prefix(kPrefix.size());
  const std::size_t end = aTarget.find_first_of("/?");
  PoolTarget split;
  split.pool_ = aTarget.substr(0, end);
  const std::string_view rest =
    end == std::string_view::npos ? "" : aTarget.substr(end);
  split.path_ = rest.starts_with('/') ? "" : "/";
  split.path_ += rest;
  return split;
}

std::string_view
ReadBearer(std::string_view aAuthorization)
{
  constexpr std::string_view kScheme = "bearer ";
  if (aAuthorization.size() <= kScheme.size() ||
      !beast::iequals(aAuthorization.substr(0, kScheme.size()), kScheme)) {
    return {};
  }
  return aAuthorization.substr(kScheme.size());
}

bool
IsIdempotent(http::verb aMethod)
{
  switch (aMethod) {
    case http::verb::get:
    case http::verb::head:
    case http::verb::put:
    case http::verb::delete_:
    case http::verb::options:
    case http::verb::trace:
      return true;
    default:
      return false;
  }
}

bool
IsUrgent(std::string_view aPriority)
{
  return aPriority.find("u=0") != std::string_view::npos ||
         aPriority.find("u=1") != std::string_view::npos;
}

std::string_view
FindHeadFault(const http::fields& aFields,
              unsigned aVersion,
              std::string_view aTransferEncoding)
{
  constexpr unsigned kHttp11 = 11;
  const auto encodings = aFields.count(http::field::transfer_encoding);
  if (encodings > 0 && aVersion < kHttp11) {
    return "Transfer-Encoding needs HTTP/1.1";
  }
  if (encodings > 1 ||
      (encodings == 1 && !beast::iequals(aTransferEncoding, "chunked"))) {
    return "Transfer-Encoding must be just \"chunked\"";
  }
  if (encodings > 0 && aFields.count(http::field::content_length) > 0) {
    return "Content-Length and Transfer-Encoding exclude each other";
  }
  if (aFields.count(http::field::content_length) > 1) {
    return "Content-Length is given more than once";
  }
  if (aVersion >= kHttp11 && aFields.count(http::field::host) != 1) {
    return "one Host header is needed";
  }
  return {};
}

namespace {

bool
IsHopByHop(http::field aField)
{
  switch (aField) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::expect:
      return true;
    default:
      return false;
  }
}

} // namespace

void
CopyEndToEnd(const http::fields& aFrom, http::fields& aTo)
{
  http::token_list named{ aFrom[http::field::connection] };
  const bool isAnyNamed = named.begin() != named.end();
  for (const auto& field : aFrom) {
    if (IsHopByHop(field.name()) ||
        field.name() == http::field::authorization) {
      continue;
    }
    if (isAnyNamed && named.exists(field.name_string())) {
      continue;
    }
    aTo.insert(field.name(), field.name_string(), field.value());
  }
}

http::response<http::string_body>
MakeProblem(const RefuseRequest& aRefusal)
{
  const bool isNotRun = aRefusal.outcome_ == Outcome::NotRun;
  const char* outcome = isNotRun ? "not-run" : "unknown";
  const auto status = static_cast<http::status>(aRefusal.status_);
  constexpr unsigned kHttp11 = 11;
  http::response<http::string_body> response(status, kHttp11);
  response.set(http::field::content_type, "application/problem+json");
  response.set("Cuminbridge-Outcome", outcome);
  if (aRefusal.retryAfterSeconds_ > 0) {
    response.set(http::field::retry_after,
                 std::to_string(aRefusal.retryAfterSeconds_));
  }
  const nlohmann::json body = {
    { "type", "about:blank" },
    { "title", std::string(http::obsolete_reason(status)) },
    { "status", aRefusal.status_ },
    { "detail", aRefusal.detail_ },
    { "outcome", outcome },
  };
  response.body() = body.dump();
  response.prepare_payload();
  return response;
}

} // namespace cuminbridge::forwarder
