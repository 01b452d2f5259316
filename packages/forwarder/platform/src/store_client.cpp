// StoreClient for the etcd v3 JSON gateway. The gateway encodes keys and values
// as base64 and 64-bit integers as strings.

#include <boost/beast/http/verb.hpp>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include "http_call.h"

namespace cuminbridge::forwarder {

using nlohmann::json;

namespace {

std::string
ToBase64(const std::string& aText)
{
  std::string out(4 * ((aText.size() + 2) / 3) + 1, '\0');
  const int length =
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                    reinterpret_cast<const unsigned char*>(aText.data()),
                    static_cast<int>(aText.size()));
  out.resize(static_cast<std::size_t>(length));
  return out;
}

std::string
FromBase64(const std::string& aText)
{
  std::string out(3 * (aText.size() / 4) + 3, '\0');
  const int length =
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                    reinterpret_cast<const unsigned char*>(aText.data()),
                    static_cast<int>(aText.size()));
  if (length < 0) {
    throw std::invalid_argument("not base64");
  }
  // EVP_DecodeBlock() counts padding characters as decoded bytes.
  std::size_t padding = 0;
  while (padding < aText.size() && padding < 2 &&
         aText[aText.size() - 1 - padding] == '=') {
    ++padding;
  }
  out.resize(static_cast<std::size_t>(length) - padding);
  return out;
}

std::int64_t
ReadInteger(const json& aJson, const char* aKey)
{
  if (!aJson.contains(aKey)) {
    return 0; // the gateway omits fields that are zero
  }
  const json& value = aJson.at(aKey);
  return value.is_string() ? std::stoll(value.get<std::string>())
                           : value.get<std::int64_t>();
}

// The exclusive end of the range of all keys with this prefix.
std::string
EndOfPrefixRange(std::string aPrefix)
{
  ++aPrefix.back();
  return aPrefix;
}

std::string
EncodeRead(const StoreRead& aRead)
{
  json body = { { "key", ToBase64(aRead.key_) } };
  if (aRead.isPrefix_) {
    body["range_end"] = ToBase64(EndOfPrefixRange(aRead.key_));
  }
  return body.dump();
}

std::string
EncodeSwap(const StoreSwap& aSwap)
{
  json body = { { "compare", json::array() }, { "success", json::array() } };
  for (const StoreCompare& compare : aSwap.compares_) {
    body["compare"].push_back(
      { { "key", ToBase64(compare.key_) },
        { "target", "MOD" },
        { "result", "EQUAL" },
        { "mod_revision", std::to_string(compare.revision_) } });
  }
  for (const StorePut& put : aSwap.puts_) {
    body["success"].push_back({ { "request_put",
                                  { { "key", ToBase64(put.key_) },
                                    { "value", ToBase64(put.value_) } } } });
  }
  for (const std::string& key : aSwap.deletes_) {
    body["success"].push_back(
      { { "request_delete_range", { { "key", ToBase64(key) } } } });
  }
  return body.dump();
}

StoreAnswer
DecodeRead(const std::string& aBody)
{
  StoreAnswer answer;
  const json body = json::parse(aBody);
  answer.revision_ = ReadInteger(body.at("header"), "revision");
  if (body.contains("kvs")) {
    for (const json& kv : body.at("kvs")) {
      answer.values_.push_back({ FromBase64(kv.at("key")),
                                 FromBase64(kv.value("value", "")),
                                 ReadInteger(kv, "mod_revision") });
    }
  }
  return answer;
}

StoreAnswer
DecodeSwap(const std::string& aBody)
{
  StoreAnswer answer;
  const json body = json::parse(aBody);
  answer.revision_ = ReadInteger(body.at("header"), "revision");
  if (!body.value("succeeded", false)) {
    answer.status_ = StoreStatus::Conflict;
  }
  return answer;
}

// HTTP statuses by which the gateway states that it did not execute the call.
bool
IsRejected(int aStatus)
{
  constexpr int kBadRequest = 400;
  constexpr int kTooMany = 429;
  return aStatus == kBadRequest || aStatus == kTooMany;
}

} // namespace

StoreClient::StoreClient(boost::asio::io_context& aIo, StoreOptions aOptions)
  : io_(aIo)
  , options_(std::move(aOptions))
{
}

Awaitable<std::unique_ptr<Stream>>
StoreClient::Connect()
{
  while (!idle_.empty()) {
    auto stream = std::move(idle_.back());
    idle_.pop_back();
    if (IsReusable(*stream)) {
      stream->expires_after(options_.timeout_);
      co_return stream;
    }
  }
  for (std::size_t attempt = 0; attempt < options_.addresses_.size();
       ++attempt) {
    const std::string& address =
      options_.addresses_[nextAddress_ % options_.addresses_.size()];
    boost::system::error_code error;
    const auto endpoint = ParseEndpoint(address, error);
    auto stream = std::make_unique<Stream>(io_.get_executor());
    stream->expires_after(options_.timeout_);
    const auto [failed] = co_await stream->async_connect(endpoint, kAsTuple);
    if (!error && !failed) {
      stream->socket().set_option(boost::asio::ip::tcp::no_delay(true), error);
      co_return stream;
    }
    ++nextAddress_;
  }
  co_return nullptr;
}

Awaitable<StoreClient::Reply>
StoreClient::Call(std::string aPath, std::string aBody)
{
  Reply reply;
  auto stream = co_await Connect();
  if (!stream) {
    co_return reply;
  }
  const HttpReply answer = co_await CallHttp(*stream,
                                             boost::beast::http::verb::post,
                                             std::move(aPath),
                                             std::move(aBody));
  reply.isSent_ = answer.isSent_;
  reply.status_ = answer.status_;
  reply.body_ = answer.body_;
  if (answer.isReusable_) {
    idle_.push_back(std::move(stream));
  }
  co_return reply;
}

void
StoreClient::Read(const StoreRead& aRead, Handler aHandler)
{
  ++counts_.reads_;
  boost::asio::co_spawn(
    io_.get_executor(),
    [](StoreClient* aSelf, StoreRead aCall, Handler aDone) -> Awaitable<void> {
      const Reply reply =
        co_await aSelf->Call("/v3/kv/range", EncodeRead(aCall));
      StoreAnswer answer;
      answer.status_ = StoreStatus::Unavailable;
      constexpr int kOk = 200;
      if (reply.status_ == kOk) {
        try {
          answer = DecodeRead(reply.body_);
        } catch (const std::exception&) {
          answer.values_.clear();
        }
      }
      if (answer.status_ != StoreStatus::Ok) {
        ++aSelf->counts_.failures_;
      }
      answer.call_ = aCall.call_;
      aDone(std::move(answer));
    }(this, aRead, std::move(aHandler)),
    [](std::exception_ptr) {});
}

void
StoreClient::Swap(const StoreSwap& aSwap, Handler aHandler)
{
  ++counts_.swaps_;
  boost::asio::co_spawn(
    io_.get_executor(),
    [](StoreClient* aSelf, StoreSwap aCall, Handler aDone) -> Awaitable<void> {
      const Reply reply = co_await aSelf->Call("/v3/kv/txn", EncodeSwap(aCall));
      StoreAnswer answer;
      // Without a definite answer the transaction may still be applied later.
      const bool isNotApplied = !reply.isSent_ || IsRejected(reply.status_);
      answer.status_ =
        isNotApplied ? StoreStatus::Unavailable : StoreStatus::Lost;
      constexpr int kOk = 200;
      if (reply.status_ == kOk) {
        try {
          answer = DecodeSwap(reply.body_);
        } catch (const std::exception&) {
          answer.status_ = StoreStatus::Lost;
        }
      }
      aSelf->counts_.failures_ += isNotApplied ? 1 : 0;
      aSelf->counts_.lost_ += answer.status_ == StoreStatus::Lost ? 1 : 0;
      answer.call_ = aCall.call_;
      aDone(std::move(answer));
    }(this, aSwap, std::move(aHandler)),
    [](std::exception_ptr) {});
}

} // namespace cuminbridge::forwarder
