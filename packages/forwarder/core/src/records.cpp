// Encodes and decodes the store's records as JSON.

#include <algorithm>
#include <cstdio>

#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>

#include "records.h"

namespace cuminbridge::forwarder {

namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

constexpr std::string_view kPoolPrefix = "cuminbridge/config/pool/";
constexpr std::string_view kAccountPrefix = "cuminbridge/config/account/";

} // namespace

std::string
TicketKey(std::int64_t aNumber)
{
  // Zero-padded, so that keys sort in the order of their numbers.
  std::string digits = std::to_string(aNumber);
  constexpr std::size_t kWidth = 13;
  digits.insert(0, kWidth - std::min(kWidth, digits.size()), '0');
  return "cuminbridge/ticket/" + digits;
}

std::string
EncodeHead(const Config& aConfig, const std::vector<Member>& aMembers)
{
  const json head = { { "number", aConfig.number_ },
                      { "digest", aConfig.digest_ },
                      { "members", aMembers } };
  return head.dump();
}

std::vector<StorePut>
EncodeChange(const ConfigDelta& aChange, const Config& aNext)
{
  std::vector<StorePut> puts;
  puts.push_back(
    { std::string(kHeadKey), EncodeHead(aNext, aChange.members_) });
  for (const PoolConfig& pool : aChange.pools_) {
    puts.push_back(
      { std::string(kPoolPrefix) + pool.name_, json(pool).dump() });
  }
  for (const AccountConfig& account : aChange.accounts_) {
    puts.push_back(
      { std::string(kAccountPrefix) + account.name_, json(account).dump() });
  }
  return puts;
}

std::string
EncodeTicketRecord(const Ticket& aTicket)
{
  return json({ { "digest", aTicket.digest_ }, { "text", aTicket.text_ } })
    .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<std::string>
DecodeTicketDigest(const std::string& aValue)
{
  const json record = json::parse(aValue, nullptr, false);
  if (!record.is_object() || !record.contains("digest") ||
      !record["digest"].is_string()) {
    return {};
  }
  return record["digest"].get<std::string>();
}

leaf::result<SnapshotPtr>
DecodeSnapshot(const std::vector<StoreValue>& aValues)
{
  auto snapshot = std::make_shared<Snapshot>();
  ConfigBuilder builder;
  bool hasHead = false;
  try {
    for (const StoreValue& value : aValues) {
      const json record = json::parse(value.value_);
      if (value.key_ == kHeadKey) {
        hasHead = true;
        snapshot->revision_ = value.revision_;
        record.at("members").get_to(snapshot->members_);
        builder.SetTicket(record.at("number"), record.at("digest"));
      } else if (value.key_.starts_with(kPoolPrefix)) {
        builder.SetPool(
          std::make_shared<const PoolConfig>(record.get<PoolConfig>()));
      } else if (value.key_.starts_with(kAccountPrefix)) {
        builder.SetAccount(
          std::make_shared<const AccountConfig>(record.get<AccountConfig>()));
      }
    }
  } catch (const json::exception& error) {
    return leaf::new_error(std::string(error.what()));
  }
  if (!hasHead) {
    return SnapshotPtr();
  }
  snapshot->config_ = builder.Build();
  return SnapshotPtr(std::move(snapshot));
}

std::string
WaveKey(const std::string& aPool)
{
  return "cuminbridge/wave/" + aPool;
}

std::string
EncodeWave(const WaveRecord& aWave)
{
  json taken = json::array();
  for (const WaveVm& vm : aWave) {
    taken.push_back({ { "vm", vm.vm_ }, { "operation", vm.operation_ } });
  }
  return json({ { "taken", std::move(taken) } }).dump();
}

std::optional<WaveRecord>
DecodeWave(const std::string& aValue)
{
  try {
    const json record = json::parse(aValue);
    WaveRecord wave;
    for (const json& vm : record.at("taken")) {
      wave.push_back({ vm.at("vm"), vm.at("operation") });
    }
    return wave;
  } catch (const json::exception&) {
    return {};
  }
}

std::string
EncodeLedger(const LedgerRecord& aLedger)
{
  return json({ { "members", aLedger.members_ },
                { "number", aLedger.number_ },
                { "issued", aLedger.issued_ },
                { "operation", aLedger.operation_ } })
    .dump();
}

std::optional<LedgerRecord>
DecodeLedger(const std::string& aValue)
{
  try {
    const json record = json::parse(aValue);
    LedgerRecord ledger;
    record.at("members").get_to(ledger.members_);
    record.at("number").get_to(ledger.number_);
    record.at("issued").get_to(ledger.issued_);
    record.at("operation").get_to(ledger.operation_);
    return ledger;
  } catch (const json::exception&) {
    return {};
  }
}

} // namespace cuminbridge::forwarder
