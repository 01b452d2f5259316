// Stand-in for the platform's store: the part of the etcd v3 JSON gateway that
// the forwarder uses, with all data in memory.
//
//   standin_store 127.0.0.1:2379
//
// POST /control {"down":true}       closes the connection on every call
//               {"slow_ms":N}       delays every answer by N ms
//               {"lose_swaps":N}    applies the next N swaps, but closes the
//                                   connection instead of answering them
//               {"max_calls_a_second":N}  answers 429 beyond N; 0: no limit
// GET /stats                        number of calls so far, by kind

#include <chrono>
#include <iostream>
#include <map>

#include <nlohmann/json.hpp>

#include "standin_server.h"

namespace {

using cuminbridge::forwarder::StandinAnswer;
using cuminbridge::forwarder::StandinRequest;
using nlohmann::json;

struct Value
{
  std::string text_; // base64, as received
  std::int64_t revision_ = 0;
};

// Decodes base64. Keys are stored and answered in base64, but ranges compare
// the decoded form, because both forms sort alike only for keys with one
// prefix.
std::string
Decode(const std::string& aText)
{
  static const std::string kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  unsigned bits = 0;
  int count = 0;
  for (const char digit : aText) {
    const auto value = kDigits.find(digit);
    if (value == std::string::npos) {
      break;
    }
    bits = (bits << 6U) | static_cast<unsigned>(value);
    count += 6;
    if (count >= 8) {
      count -= 8;
      out += static_cast<char>((bits >> static_cast<unsigned>(count)) & 0xFFU);
    }
  }
  return out;
}

struct Store
{
  struct Entry
  {
    std::string encodedKey_;
    Value value_;
  };

  std::map<std::string, Entry> entries_; // by decoded key
  std::int64_t revision_ = 1;
  json stats_ = { { "ranges", 0 }, { "txns", 0 }, { "puts", 0 } };
  bool isDown_ = false;
  int slowMilliseconds_ = 0;
  int swapsToLose_ = 0;
  int maxCalls_ = 0;
  std::chrono::steady_clock::time_point second_;
  int callsThisSecond_ = 0;

  json Header() const { return { { "revision", std::to_string(revision_) } }; }

  json Range(const json& aBody)
  {
    stats_["ranges"] = stats_["ranges"].get<int>() + 1;
    const std::string key = Decode(aBody.at("key"));
    const std::string end =
      aBody.contains("range_end") ? Decode(aBody.at("range_end")) : key + '\0';
    json kvs = json::array();
    for (auto it = entries_.lower_bound(key);
         it != entries_.end() && it->first < end;
         ++it) {
      kvs.push_back(
        { { "key", it->second.encodedKey_ },
          { "value", it->second.value_.text_ },
          { "mod_revision", std::to_string(it->second.value_.revision_) } });
    }
    return { { "header", Header() }, { "kvs", kvs } };
  }

  bool Holds(const json& aCompare) const
  {
    const auto found = entries_.find(Decode(aCompare.at("key")));
    const std::int64_t have =
      found == entries_.end() ? 0 : found->second.value_.revision_;
    return have == std::stoll(aCompare.at("mod_revision").get<std::string>());
  }

  json Txn(const json& aBody)
  {
    stats_["txns"] = stats_["txns"].get<int>() + 1;
    for (const json& compare : aBody.at("compare")) {
      if (!Holds(compare)) {
        return { { "header", Header() }, { "succeeded", false } };
      }
    }
    ++revision_;
    for (const json& operation : aBody.at("success")) {
      if (operation.contains("request_put")) {
        const json& put = operation.at("request_put");
        entries_[Decode(put.at("key"))] = { put.at("key"),
                                            { put.at("value"), revision_ } };
        stats_["puts"] = stats_["puts"].get<int>() + 1;
      } else {
        entries_.erase(Decode(operation.at("request_delete_range").at("key")));
      }
    }
    return { { "header", Header() }, { "succeeded", true } };
  }

  StandinAnswer Control(const json& aBody)
  {
    isDown_ = aBody.value("down", isDown_);
    slowMilliseconds_ = aBody.value("slow_ms", slowMilliseconds_);
    swapsToLose_ = aBody.value("lose_swaps", swapsToLose_);
    maxCalls_ = aBody.value("max_calls_a_second", maxCalls_);
    return { 200, "{}", 0, false };
  }

  bool IsOverRate()
  {
    const auto now = std::chrono::steady_clock::now();
    if (now - second_ >= std::chrono::seconds(1)) {
      second_ = now;
      callsThisSecond_ = 0;
    }
    return maxCalls_ > 0 && ++callsThisSecond_ > maxCalls_;
  }

  StandinAnswer Handle(const StandinRequest& aRequest)
  {
    if (aRequest.target_ == "/stats") {
      return { 200, stats_.dump(), 0, false };
    }
    const json body = json::parse(aRequest.body_, nullptr, false);
    if (aRequest.target_ == "/control") {
      return Control(body);
    }
    if (isDown_) {
      return { 503, "{}", slowMilliseconds_, true };
    }
    if (IsOverRate()) {
      return { 429, "{}", slowMilliseconds_, false };
    }
    if (aRequest.target_ == "/v3/kv/range") {
      return { 200, Range(body).dump(), slowMilliseconds_, false };
    }
    if (aRequest.target_ == "/v3/kv/txn") {
      const json answer = Txn(body);
      const bool isLost = swapsToLose_ > 0 && answer.at("succeeded");
      swapsToLose_ -= isLost ? 1 : 0;
      return { 200, answer.dump(), slowMilliseconds_, isLost };
    }
    return { 404, "{}", 0, false };
  }
};

} // namespace

int
main(int argc, char** argv)
{
  if (argc != 2) {
    std::cerr << "usage: standin_store HOST:PORT\n";
    return 2;
  }
  Store store;
  return cuminbridge::forwarder::RunStandin(
    argv[1], [&](const StandinRequest& aRequest) {
      try {
        return store.Handle(aRequest);
      } catch (const std::exception& error) {
        return StandinAnswer{
          400, json({ { "error", error.what() } }).dump(), 0, false
        };
      }
    });
}
