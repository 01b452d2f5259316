// Internal: parses one request, and knows how many bytes it holds.

#ifndef cuminbridge_web_limits_request_parser_h
#define cuminbridge_web_limits_request_parser_h

#include <boost/beast/http/basic_parser.hpp>

#include "cuminbridge/web.h"

namespace cuminbridge {

// Of basic_parser, so that the body grows with the bytes that come rather than
// with the length that its head announces.
class RequestParser : public boost::beast::http::basic_parser<true>
{
public:
  explicit RequestParser(const HttpServerOptions& aOptions);

  std::size_t HeldBytes() const;
  std::size_t BodyBytes() const { return request_.body_.size(); }
  unsigned Version() const { return version_; }
  HttpRequest Release() { return std::move(request_); }

private:
  using Error = boost::beast::error_code;
  using Text = boost::beast::string_view;

  void on_request_impl(boost::beast::http::verb aVerb,
                       Text aMethod,
                       Text aTarget,
                       int aVersion,
                       Error& aError) override;
  void on_response_impl(int aCode,
                        Text aReason,
                        int aVersion,
                        Error& aError) override;
  void on_field_impl(boost::beast::http::field aField,
                     Text aName,
                     Text aValue,
                     Error& aError) override;
  void on_header_impl(Error& aError) override;
  void on_body_init_impl(const boost::optional<std::uint64_t>& aLength,
                         Error& aError) override;
  std::size_t on_body_impl(Text aBody, Error& aError) override;
  void on_chunk_header_impl(std::uint64_t aSize,
                            Text aExtensions,
                            Error& aError) override;
  std::size_t on_chunk_body_impl(std::uint64_t aRemain,
                                 Text aBody,
                                 Error& aError) override;
  void on_finish_impl(Error& aError) override;

  void Append(Text aBody);

  HttpRequest request_;
  unsigned version_ = 11;
  std::size_t maxFields_;
  std::uint64_t maxBody_;
  std::size_t headBytes_ = 0;
};

} // namespace cuminbridge

#endif // cuminbridge_web_limits_request_parser_h
