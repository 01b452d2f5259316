// The operators' HTTP interface.

#include "operator_server.h"

#include <charconv>

#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

#include "http_text.h"
#include "operator_views.h"

namespace cuminbridge::forwarder {

namespace beast = boost::beast;
using nlohmann::json;

namespace {

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

constexpr std::chrono::seconds kRequestTimeout(60); // read, handle and answer
constexpr unsigned kHttp11 = 11;
constexpr std::string_view kTicketsPath = "/v1/tickets";

Response
MakeResponse(int aStatus, std::string aBody, std::string_view aType)
{
  Response response(static_cast<http::status>(aStatus), kHttp11);
  response.set(http::field::content_type, aType);
  response.body() = std::move(aBody);
  return response;
}

Response
MakeJson(int aStatus, const json& aBody)
{
  return MakeResponse(
    aStatus,
    aBody.dump(-1, ' ', false, json::error_handler_t::replace) + "\n",
    "application/json");
}

Response
MakeMessage(int aStatus, const std::string& aMessage)
{
  return MakeJson(aStatus, { { "message", aMessage } });
}

bool
HasOperatorCredential(const Request& aRequest, const std::string& aCredential)
{
  const std::string_view shown =
    ReadBearer(aRequest[http::field::authorization]);
  return shown.size() == aCredential.size() &&
         CRYPTO_memcmp(shown.data(), aCredential.data(), shown.size()) == 0;
}

Awaitable<Response>
FileTicket(EntryLoop& aLoop, std::string aText, bool aCheckOnly)
{
  const AnswerFiling answer =
    co_await aLoop.FileTicket(std::move(aText), aCheckOnly);
  co_return MakeJson(answer.status_, ShowFiling(answer));
}

Awaitable<Response>
ShowTicket(EntryLoop& aLoop, std::string aNumber)
{
  std::int64_t number = 0;
  const char* end = aNumber.data() + aNumber.size();
  const auto parsed = std::from_chars(aNumber.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end || number < 1) {
    co_return MakeMessage(400, "a ticket number is a whole number from 1");
  }
  const StoreAnswer answer = co_await aLoop.ReadStore(TicketKey(number));
  const std::int64_t last = ViewInForce(aLoop.GetEntry(), aLoop.Now()).number_;
  if (answer.status_ != StoreStatus::Ok) {
    co_return MakeMessage(503, "the store can't be reached");
  }
  if (answer.values_.empty()) {
    co_return number <= last
      ? MakeMessage(410, "accepted long ago; its text is no longer kept")
      : MakeMessage(404, "no ticket with this number has been accepted");
  }
  json record = json::parse(answer.values_.front().value_, nullptr, false);
  if (!record.is_object()) {
    co_return MakeMessage(500, "the ticket's record can't be read");
  }
  record["ticket"] = number;
  record["in_force_here"] = number <= last;
  co_return MakeJson(200, record);
}

Response
ShowView(EntryLoop& aLoop, std::string_view aPath)
{
  const Entry& entry = aLoop.GetEntry();
  const TimePoint now = aLoop.Now();
  if (aPath == "/v1/in-force") {
    return MakeJson(200, ShowInForce(entry, now));
  }
  if (aPath == "/v1/pools") {
    return MakeJson(200, ShowPools(entry, now));
  }
  if (aPath == "/v1/accounts") {
    return MakeJson(200, ShowAccounts(entry, now));
  }
  if (aPath == "/v1/waves") {
    return MakeJson(200, ShowWaves(entry, now));
  }
  return MakeMessage(404, "no such page");
}

// Pages for the load balancer and for monitoring. They need no credential.
std::optional<Response>
ShowOpenPage(EntryLoop& aLoop, std::string_view aPath)
{
  if (aPath == "/healthz") {
    return MakeJson(200, { { "alive", true } });
  }
  if (aPath == "/readyz") {
    const json body = ShowReadiness(aLoop.GetEntry(), aLoop.Now());
    return MakeJson(body["ready"] ? 200 : 503, body);
  }
  if (aPath == "/metrics") {
    return MakeResponse(
      200, aLoop.FormatAllMetrics(), "text/plain; version=0.0.4");
  }
  return {};
}

Awaitable<Response>
Answer(EntryLoop& aLoop, Request& aRequest)
{
  const std::string_view target = aRequest.target();
  const std::string_view path = target.substr(0, target.find('?'));
  const bool isGet = aRequest.method() == http::verb::get;
  if (isGet) {
    auto open = ShowOpenPage(aLoop, path);
    if (open) {
      co_return std::move(*open);
    }
  }
  if (!HasOperatorCredential(aRequest, aLoop.OperatorCredential())) {
    co_return MakeMessage(401, "the operators' credential is needed");
  }
  if (path == kTicketsPath && aRequest.method() == http::verb::post) {
    const bool isCheck = target.ends_with("?check=true");
    co_return co_await FileTicket(aLoop, std::move(aRequest.body()), isCheck);
  }
  if (!isGet) {
    co_return MakeMessage(405, "only GET is known here");
  }
  if (path.starts_with(kTicketsPath) && path.size() > kTicketsPath.size()) {
    co_return co_await ShowTicket(
      aLoop, std::string(path.substr(kTicketsPath.size() + 1)));
  }
  co_return ShowView(aLoop, path);
}

} // namespace

OperatorServer::OperatorServer(EntryLoop& aLoop)
  : loop_(aLoop)
  , acceptor_(aLoop.Io().get_executor())
{
}

std::string
OperatorServer::Start()
{
  std::string error =
    OpenListener(acceptor_, loop_.GetSettings().operatorsListen_);
  if (error.empty()) {
    boost::asio::co_spawn(
      loop_.Io().get_executor(), AcceptForEver(), [](std::exception_ptr) {});
  }
  return error;
}

void
OperatorServer::Stop()
{
  beast::error_code ignored;
  acceptor_.close(ignored);
}

Awaitable<void>
OperatorServer::AcceptForEver()
{
  while (acceptor_.is_open()) {
    auto [error, socket] = co_await acceptor_.async_accept(kAsTuple);
    if (error) {
      if (!acceptor_.is_open()) {
        co_return;
      }
      continue;
    }
    boost::asio::co_spawn(loop_.Io().get_executor(),
                          Serve(Stream(std::move(socket))),
                          [](std::exception_ptr) {});
  }
}

Awaitable<void>
OperatorServer::Serve(Stream aStream)
{
  beast::flat_buffer buffer;
  bool isOpen = true;
  while (isOpen) {
    aStream.expires_after(kRequestTimeout);
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxTicketBytes + 1);
    const auto [readError, got] =
      co_await http::async_read(aStream, buffer, parser, kAsTuple);
    if (readError == http::error::end_of_stream) {
      break;
    }
    // Don't use co_await inside a conditional expression here: g++ 12 then
    // destroys the result too early.
    Response response;
    if (readError) {
      response = MakeMessage(400, "unreadable: " + readError.message());
    } else {
      response = co_await Answer(loop_, parser.get());
    }
    isOpen = !readError && parser.get().keep_alive() && acceptor_.is_open();
    response.keep_alive(isOpen);
    response.prepare_payload();
    const auto [writeError, sent] =
      co_await http::async_write(aStream, response, kAsTuple);
    isOpen = isOpen && !writeError;
  }
  beast::error_code ignored;
  aStream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send,
                            ignored);
}

} // namespace cuminbridge::forwarder
