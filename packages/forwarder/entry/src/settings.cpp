// Parses the settings file.

#include <set>

#include <boost/asio/ip/address.hpp>
#include <boost/leaf/error.hpp>

#include "cuminbridge/entry.h"
#include "cuminbridge/platform.h"

namespace cuminbridge::forwarder {

namespace leaf = boost::leaf;

namespace {

constexpr std::int64_t kMaxMilliseconds = 24LL * 60 * 60 * 1000;
constexpr std::int64_t kMaxPort = 65535;
constexpr std::int64_t kMaxSlots = 100'000;
constexpr std::int64_t kMaxQueue = 10'000'000;
constexpr std::int64_t kMaxHeaderBytes = 1024 * 1024;

std::string
ReadEndpoint(TomlTable& aTable,
             std::string_view aKey,
             std::optional<std::string> aFallback = {})
{
  std::string text = aTable.ReadString(aKey, std::move(aFallback));
  boost::system::error_code error;
  ParseEndpoint(text, error);
  if (!text.empty() && error) {
    aTable.Report(aKey,
                  "must be an IP address and a port, such as 10.0.0.1:8080");
  }
  return text;
}

std::vector<std::string>
ReadEndpoints(TomlTable& aTable, std::string_view aKey, bool aIsNeeded)
{
  std::vector<std::string> texts = aTable.ReadStrings(aKey, aIsNeeded);
  for (const std::string& text : texts) {
    boost::system::error_code error;
    ParseEndpoint(text, error);
    if (error) {
      aTable.Report(aKey, "'" + text + "' is not an IP address and a port");
    }
  }
  return texts;
}

// Reads a duration in milliseconds; the key's name ends in _ms. At most 24 h.
std::chrono::milliseconds
ReadMilliseconds(TomlTable& aTable,
                 std::string_view aKey,
                 std::chrono::nanoseconds aFallback)
{
  const auto fallback =
    std::chrono::duration_cast<std::chrono::milliseconds>(aFallback);
  return std::chrono::milliseconds(
    aTable.ReadInteger(aKey, 1, kMaxMilliseconds, fallback.count()));
}

void
ReadListen(TomlTable& aTable, Settings& aSettings)
{
  aSettings.callersListen_ = ReadEndpoint(aTable, "callers");
  aSettings.operatorsListen_ = ReadEndpoint(aTable, "operators");
  const std::string peers = ReadEndpoint(aTable, "peers");
  aSettings.options_.self_.id_ = peers;
  aSettings.options_.self_.peerAddress_ = peers;
  aTable.ReportUnknownKeys();
}

void
ReadPeers(TomlTable& aTable, Settings& aSettings)
{
  aSettings.options_.seeds_ = ReadEndpoints(aTable, "seeds", true);
  aSettings.peersCredentialFile_ = aTable.ReadString("credential_file", "");
  aTable.ReportUnknownKeys();
}

void
ReadOperators(TomlTable& aTable, Settings& aSettings)
{
  aSettings.operatorsCredentialFile_ = aTable.ReadString("credential_file");
  aTable.ReportUnknownKeys();
}

void
ReadStore(TomlTable& aTable, Settings& aSettings)
{
  aSettings.storeAddresses_ = ReadEndpoints(aTable, "addresses", true);
  if (aSettings.storeAddresses_.empty()) {
    aTable.Report("addresses", "must name at least one store");
  }
  aSettings.storeTimeout_ =
    ReadMilliseconds(aTable, "timeout_ms", aSettings.storeTimeout_);
  aTable.ReportUnknownKeys();
}

void
ReadVmList(TomlTable& aTable, Settings& aSettings)
{
  aSettings.vmListAddress_ = ReadEndpoint(aTable, "address");
  aSettings.vmListInterval_ =
    ReadMilliseconds(aTable, "interval_ms", aSettings.vmListInterval_);
  aTable.ReportUnknownKeys();
}

void
ReadTargets(TomlTable& aTable, Settings& aSettings)
{
  EntryOptions& options = aSettings.options_;
  aSettings.targetPort_ =
    static_cast<int>(aTable.ReadInteger("port", 1, kMaxPort));
  options.slotsPerTarget_ = static_cast<int>(
    aTable.ReadInteger("slots", 1, kMaxSlots, options.slotsPerTarget_));
  options.connectionsPerTarget_ = static_cast<int>(aTable.ReadInteger(
    "connections", 1, kMaxSlots, options.connectionsPerTarget_));
  options.ejectAfter_ = static_cast<int>(
    aTable.ReadInteger("eject_after", 1, kMaxSlots, options.ejectAfter_));
  options.ejectShare_ =
    aTable.ReadNumber("eject_share", 0, 1, options.ejectShare_);
  options.waveSize_ = static_cast<int>(
    aTable.ReadInteger("wave_size", 1, kMaxSlots, options.waveSize_));
  options.oldScheduler_ = ReadEndpoint(aTable, "old_scheduler", "");
  aTable.ReportUnknownKeys();
}

void
ReadTimes(TomlTable& aTable, Settings& aSettings)
{
  EntryOptions& options = aSettings.options_;
  const auto read = [&](std::string_view aKey, Duration& aValue) {
    aValue = ReadMilliseconds(aTable, aKey, aValue);
  };
  read("evidence_lifetime_ms", options.evidenceLifetime_);
  read("heartbeat_interval_ms", options.heartbeatInterval_);
  read("member_lapse_ms", options.memberTimeout_);
  read("run_limit_ms", options.runLimit_);
  read("queue_limit_ms", options.queueTimeout_);
  read("filing_limit_ms", options.filingLimit_);
  read("drain_grace_ms", options.drainGrace_);
  read("claim_lifetime_ms", options.claimLifetime_);
  read("wave_limit_ms", options.waveLimit_);
  if (options.heartbeatInterval_ * 2 > options.evidenceLifetime_) {
    aTable.Report("heartbeat_interval_ms",
                  "must be at most half of evidence_lifetime_ms; otherwise one "
                  "lost heartbeat stops all requests");
  }
  if (options.memberTimeout_ < options.evidenceLifetime_) {
    aTable.Report("member_lapse_ms", "must be at least evidence_lifetime_ms");
  }
  aTable.ReportUnknownKeys();
}

void
ReadCallers(TomlTable& aTable, Settings& aSettings)
{
  EntryOptions& options = aSettings.options_;
  aSettings.maxHeaderBytes_ = static_cast<std::size_t>(
    aTable.ReadInteger("max_header_bytes", 256, kMaxHeaderBytes, 16 * 1024));
  aSettings.headerTimeout_ =
    ReadMilliseconds(aTable, "header_timeout_ms", aSettings.headerTimeout_);
  aSettings.idleTimeout_ =
    ReadMilliseconds(aTable, "idle_timeout_ms", aSettings.idleTimeout_);
  aSettings.bodyTimeout_ =
    ReadMilliseconds(aTable, "body_timeout_ms", aSettings.bodyTimeout_);
  options.queueCapacity_ = static_cast<std::size_t>(
    aTable.ReadInteger("queue_capacity", 1, kMaxQueue, 20000));
  options.maxAttempts_ = static_cast<int>(
    aTable.ReadInteger("max_attempts", 1, 10, options.maxAttempts_));
  options.retryRatio_ =
    aTable.ReadNumber("retry_ratio", 0, 1, options.retryRatio_);
  aTable.ReportUnknownKeys();
}

void
ReadLog(TomlTable& aTable, Settings& aSettings)
{
  aSettings.logLevel_ = aTable.ReadString("level", aSettings.logLevel_);
  const std::set<std::string> levels = {
    "trace", "debug", "info", "warn", "error"
  };
  if (!levels.contains(aSettings.logLevel_)) {
    aTable.Report("level", "must be trace, debug, info, warn or error");
  }
  aTable.ReportUnknownKeys();
}

using SectionReader = void (*)(TomlTable&, Settings&);

struct Section
{
  std::string_view name_;
  SectionReader read_;
  bool isNeeded_;
};

constexpr Section kSections[] = {
  { "listen", ReadListen, true },
  { "peers", ReadPeers, true },
  { "operators", ReadOperators, true },
  { "store", ReadStore, true },
  { "vm_list", ReadVmList, false },
  { "targets", ReadTargets, true },
  { "times", ReadTimes, false },
  { "callers", ReadCallers, false },
  { "log", ReadLog, false },
};

} // namespace

leaf::result<Settings>
ParseSettings(std::string_view aText)
{
  Findings findings;
  Settings settings;
  auto table = TomlTable::Parse(aText, findings);
  if (!table) {
    return leaf::new_error(findings);
  }
  settings.options_.self_.dataCentre_ = table->ReadString("data_centre");
  for (const Section& section : kSections) {
    auto part = table->ReadTable(section.name_);
    if (part) {
      section.read_(*part, settings);
    } else if (section.isNeeded_) {
      table->Report(section.name_, "is missing");
    }
  }
  table->ReportUnknownKeys();
  if (!findings.empty()) {
    return leaf::new_error(findings);
  }
  return settings;
}

} // namespace cuminbridge::forwarder
