// Settings of the project's own.

#include "tuning.h"

#include <array>
#include <sstream>

#include "cuminbridge/daemon.h"

namespace cuminbridge {

namespace {

struct FleetSetting
{
  const char* key_;
  Millis FleetOptions::*member_;
  std::int64_t least_; // ms
  std::int64_t most_;  // ms
  const char* help_;
};

struct LogSetting
{
  const char* key_;
  double LogLimits::*member_;
  double least_;
  double most_;
  const char* help_;
};

constexpr std::array<FleetSetting, 8> kFleetSettings = { {
  { "hold_wait_ms",
    &FleetOptions::renewalWait_,
    100,
    2000,
    "a target answers a renewal after this at the latest" },
  { "run_wait_ms",
    &FleetOptions::batchRenewalWait_,
    50,
    2000,
    "the same where runs end by themselves" },
  { "pacing_wait_ms",
    &FleetOptions::pacedRenewalWait_,
    50,
    2000,
    "the same where fillers run beside work that serves" },
  { "hold_grace_ms",
    &FleetOptions::renewalGrace_,
    100,
    2000,
    "a target without an answer for this long after its wait is silent" },
  { "stop_retry_ms",
    &FleetOptions::stopRetry_,
    100,
    2000,
    "stops without an answer are sent again after this" },
  { "store_interval_ms",
    &FleetOptions::storeInterval_,
    10,
    1000,
    "changed progress is written together at most this often" },
  { "plan_interval_ms",
    &FleetOptions::planInterval_,
    50,
    2000,
    "between two looks at moves of VMs" },
  { "pace_interval_ms",
    &FleetOptions::paceInterval_,
    50,
    2000,
    "between two looks at the share of fillers" },
} };

constexpr std::array<LogSetting, 2> kLogSettings = { {
  { "lines_per_second",
    &LogLimits::perSecond_,
    1,
    100000,
    "more lines are left out and counted" },
  { "burst", &LogLimits::burst_, 1, 1000000, "lines at once" },
} };

std::string
Number(double aValue)
{
  std::ostringstream text;
  text << aValue;
  return text.str();
}

} // namespace

Tuning
ReadTuning(std::string_view aText, Findings& aFindings)
{
  Tuning tuning;
  auto table = TomlTable::Parse(aText, aFindings);
  if (!table) {
    return tuning;
  }
  if (auto fleet = table->ReadTable("fleet")) {
    for (const auto& setting : kFleetSettings) {
      auto& value = tuning.fleet_.*setting.member_;
      value = Millis(fleet->ReadInteger(
        setting.key_, setting.least_, setting.most_, value.count()));
    }
    fleet->ReportUnknownKeys();
  }
  if (auto log = table->ReadTable("log")) {
    for (const auto& setting : kLogSettings) {
      auto& value = tuning.log_.*setting.member_;
      value =
        log->ReadNumber(setting.key_, setting.least_, setting.most_, value);
    }
    log->ReportUnknownKeys();
  }
  table->ReportUnknownKeys();
  return tuning;
}

std::vector<std::string>
CompareTuning(const Tuning& aOld, const Tuning& aNew)
{
  std::vector<std::string> changes;
  for (const auto& setting : kFleetSettings) {
    const auto before = aOld.fleet_.*setting.member_;
    const auto after = aNew.fleet_.*setting.member_;
    if (before != after) {
      changes.push_back(std::string("fleet.") + setting.key_ + ' ' +
                        std::to_string(before.count()) + " -> " +
                        std::to_string(after.count()));
    }
  }
  for (const auto& setting : kLogSettings) {
    const auto before = aOld.log_.*setting.member_;
    const auto after = aNew.log_.*setting.member_;
    if (before != after) {
      changes.push_back(std::string("log.") + setting.key_ + ' ' +
                        Number(before) + " -> " + Number(after));
    }
  }
  return changes;
}

std::string
FormatTuningDefaults()
{
  const Tuning tuning;
  std::ostringstream out;
  out
    << "# Settings of cuminbridge, with their defaults. SIGHUP reads the file "
       "again.\n\n[fleet]\n";
  for (const auto& setting : kFleetSettings) {
    out << "# " << setting.help_ << "; " << setting.least_ << " to "
        << setting.most_ << "\n"
        << setting.key_ << " = " << (tuning.fleet_.*setting.member_).count()
        << "\n";
  }
  out << "\n[log]\n";
  for (const auto& setting : kLogSettings) {
    out << "# " << setting.help_ << "; " << setting.least_ << " to "
        << setting.most_ << "\n"
        << setting.key_ << " = " << Number(tuning.log_.*setting.member_)
        << "\n";
  }
  return out.str();
}

} // namespace cuminbridge
