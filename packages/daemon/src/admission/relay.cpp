// Has peers that reach the store answer callers.

#include "relay.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace cuminbridge {

using nlohmann::json;

namespace {

constexpr int kUnavailable = 503;
constexpr int kTimeout = 504;
constexpr std::size_t kMaxPeers = 2; // asked for one request
// After no peer could help, the store is likely lost for all of them.
constexpr Millis kPause(250);

json
EncodeHeaders(const HttpHeaders& aHeaders)
{
  json rows = json::array();
  for (const auto& [name, value] : aHeaders) {
    rows.push_back({ name, value });
  }
  return rows;
}

HttpHeaders
DecodeHeaders(const json& aRows)
{
  HttpHeaders headers;
  for (const auto& row : aRows) {
    headers.emplace_back(row.at(0).get<std::string>(),
                         row.at(1).get<std::string>());
  }
  return headers;
}

std::string
ToText(const json& aBody)
{
  return aBody.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::string
EncodeRelayed(const RelayedRequest& aRelayed)
{
  const auto& request = aRelayed.request_;
  return ToText({ { "method", request.method_ },
                  { "path", request.path_ },
                  { "host", request.host_ },
                  { "body", request.body_ },
                  { "headers", EncodeHeaders(request.headers_) },
                  { "config", aRelayed.configVersion_ } });
}

std::optional<RelayedRequest>
DecodeRelayed(const std::string& aText)
{
  try {
    const auto body = json::parse(aText);
    RelayedRequest relayed;
    auto& request = relayed.request_;
    relayed.configVersion_ = body.value("config", std::int64_t(0));
    body.at("method").get_to(request.method_);
    body.at("path").get_to(request.path_);
    body.at("host").get_to(request.host_);
    body.at("body").get_to(request.body_);
    request.headers_ = DecodeHeaders(body.at("headers"));
    return relayed;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

HttpResponse
EncodeRelayAnswer(const std::optional<HttpResponse>& aAnswer,
                  std::int64_t aConfigVersion)
{
  HttpResponse response;
  if (!aAnswer) {
    response.status_ = kUnavailable;
    return response;
  }
  response.body_ = ToText({ { "status", aAnswer->status_ },
                            { "body", aAnswer->body_ },
                            { "headers", EncodeHeaders(aAnswer->headers_) },
                            { "config", aConfigVersion } });
  return response;
}

std::optional<RelayAnswer>
DecodeRelayAnswer(const HttpReply& aReply)
{
  constexpr int kOk = 200;
  if (!aReply.IsAnswered() || aReply.status_ != kOk) {
    return std::nullopt;
  }
  try {
    const auto body = json::parse(aReply.body_);
    RelayAnswer answer;
    body.at("status").get_to(answer.response_.status_);
    body.at("body").get_to(answer.response_.body_);
    answer.response_.headers_ = DecodeHeaders(body.at("headers"));
    answer.configVersion_ = body.value("config", std::int64_t(0));
    return answer;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

Relay::Relay(DaemonContext aContext)
  : context_(aContext)
{
}

std::vector<std::string>
Relay::ChoosePeers(int aCell) const
{
  std::vector<std::string> peers;
  const auto own = PeerAddress(context_.settings_);
  const int count = context_.peers_.Count();
  for (int step = 0; step < count && peers.size() < kMaxPeers; ++step) {
    const auto& address = context_.peers_.AddressOf((aCell + step) % count);
    if (!address.empty() && address != own &&
        std::find(peers.begin(), peers.end(), address) == peers.end()) {
      peers.push_back(address);
    }
  }
  return peers;
}

Awaitable<std::optional<HttpResponse>>
Relay::Ask(RelayedRequest aRelayed, int aCell, Millis aLimit)
{
  if (context_.clocks_.Now() < nextTry_ || aLimit <= Millis(0)) {
    co_return std::nullopt;
  }
  const auto deadline = context_.clocks_.Now() + aLimit;
  for (const auto& peer : ChoosePeers(aCell)) {
    HttpCall call;
    call.kind_ = "peer_relay";
    call.method_ = "POST";
    call.path_ = kRelayPath;
    call.body_ = EncodeRelayed(aRelayed);
    call.limit_ =
      std::chrono::duration_cast<Millis>(deadline - context_.clocks_.Now());
    if (call.limit_ <= Millis(0)) {
      break;
    }
    const auto reply = co_await context_.http_.Call(peer, std::move(call));
    if (reply.outcome_ == CallOutcome::Lost &&
        aRelayed.request_.method_ != "GET") {
      HttpResponse answer;
      answer.status_ = kTimeout;
      answer.body_ = FormatError("it may have been done: ask again");
      co_return answer;
    }
    if (auto relayed = DecodeRelayAnswer(reply)) {
      ++answered_;
      newestConfig_ = std::max(newestConfig_, relayed->configVersion_);
      co_return std::move(relayed->response_);
    }
  }
  nextTry_ = context_.clocks_.Now() + kPause;
  co_return std::nullopt;
}

} // namespace cuminbridge
