// Builds an HttpRequest from what the parser finds.

#include "limits/request_parser.h"

#include <algorithm>

#include <boost/beast/http/error.hpp>

namespace cuminbridge {

namespace http = boost::beast::http;

RequestParser::RequestParser(const HttpServerOptions& aOptions)
  : maxFields_(aOptions.maxHeadFields_)
  , maxBody_(aOptions.maxBodyBytes_)
{
  header_limit(aOptions.maxHeadBytes_);
  body_limit(aOptions.maxBodyBytes_);
  eager(true);
}

std::size_t
RequestParser::HeldBytes() const
{
  return headBytes_ + request_.body_.capacity() +
         request_.headers_.capacity() * sizeof(HttpHeaders::value_type);
}

void
RequestParser::on_request_impl(http::verb /*aVerb*/,
                               Text aMethod,
                               Text aTarget,
                               int aVersion,
                               Error& /*aError*/)
{
  request_.method_ = std::string(aMethod);
  request_.path_ = std::string(aTarget);
  version_ = static_cast<unsigned>(aVersion);
  headBytes_ += aMethod.size() + aTarget.size();
}

void
RequestParser::on_response_impl(int /*aCode*/,
                                Text /*aReason*/,
                                int /*aVersion*/,
                                Error& /*aError*/)
{
}

void
RequestParser::on_field_impl(http::field aField,
                             Text aName,
                             Text aValue,
                             Error& aError)
{
  if (request_.headers_.size() >= maxFields_) {
    aError = http::error::header_limit;
    return;
  }
  if (aField == http::field::host) {
    request_.host_ = std::string(aValue);
  }
  request_.headers_.emplace_back(std::string(aName), std::string(aValue));
  headBytes_ += aName.size() + aValue.size();
}

void
RequestParser::on_header_impl(Error& /*aError*/)
{
}

void
RequestParser::on_body_init_impl(const boost::optional<std::uint64_t>& aLength,
                                 Error& /*aError*/)
{
  if (aLength) {
    maxBody_ = std::min(maxBody_, *aLength);
  }
}

void
RequestParser::Append(Text aBody)
{
  auto& body = request_.body_;
  const auto size = body.size() + aBody.size();
  if (size > body.capacity()) {
    const auto limit = static_cast<std::size_t>(maxBody_);
    body.reserve(std::max(size, std::min(2 * body.capacity(), limit)));
  }
  body.append(aBody.data(), aBody.size());
}

std::size_t
RequestParser::on_body_impl(Text aBody, Error& /*aError*/)
{
  Append(aBody);
  return aBody.size();
}

void
RequestParser::on_chunk_header_impl(std::uint64_t /*aSize*/,
                                    Text /*aExtensions*/,
                                    Error& /*aError*/)
{
}

std::size_t
RequestParser::on_chunk_body_impl(std::uint64_t /*aRemain*/,
                                  Text aBody,
                                  Error& /*aError*/)
{
  Append(aBody);
  return aBody.size();
}

void
RequestParser::on_finish_impl(Error& /*aError*/)
{
}

} // namespace cuminbridge
