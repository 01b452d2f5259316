// The project's own settings.

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
  std::int64_t min_; // ms
  std::int64_t max_; // ms
  const char* help_;
};

struct FleetSwitch
{
  const char* key_;
  bool FleetOptions::*member_;
  const char* help_;
};

struct LogSetting
{
  const char* key_;
  double LogLimits::*member_;
  double min_;
  double max_;
  const char* help_;
};

constexpr std::array<FleetSetting, 8> kFleetSettings = { {
  { "hold_wait_ms",
    &FleetOptions::renewalWait_,
    100,
    2000,
    "a target answers a renewal after this time at the latest" },
  { "run_wait_ms",
    &FleetOptions::batchRenewalWait_,
    50,
    2000,
    "hold_wait_ms where runs end by themselves" },
  { "pacing_wait_ms",
    &FleetOptions::pacedRenewalWait_,
    50,
    2000,
    "hold_wait_ms where fillers run beside work that serves requests" },
  { "hold_grace_ms",
    &FleetOptions::renewalGrace_,
    100,
    2000,
    "a target without an answer this long after its wait is unresponsive" },
  { "stop_retry_ms",
    &FleetOptions::stopRetry_,
    100,
    2000,
    "a stop without an answer is sent again after this time" },
  { "store_interval_ms",
    &FleetOptions::storeInterval_,
    10,
    1000,
    "changed progress is written in batches, at most this often" },
  { "plan_interval_ms",
    &FleetOptions::planInterval_,
    50,
    2000,
    "time between two plans of VM moves between pools" },
  { "pace_interval_ms",
    &FleetOptions::paceInterval_,
    50,
    2000,
    "time between two adjustments of the pacing of fillers" },
} };

constexpr std::array<FleetSwitch, 2> kFleetSwitches = { {
  { "rank_by_cost",
    &FleetOptions::ranksByCost_,
    "in pools that reject overload, jobs that can be in time start by what "
    "waiting costs their callers; if false, by their work" },
  { "release_vms",
    &FleetOptions::releasesVms_,
    "busy VMs that their pool can spare take no more work while others lack "
    "room" },
} };

constexpr std::array<LogSetting, 2> kLogSettings = { {
  { "lines_per_second",
    &LogLimits::perSecond_,
    1,
    100000,
    "rate limit of the log; further lines are left out and counted" },
  { "burst",
    &LogLimits::burst_,
    1,
    1000000,
    "lines that may exceed the rate limit at once" },
} };

struct DoorSetting
{
  const char* key_;
  std::int64_t DoorSettings::*member_;
  std::int64_t min_;
  std::int64_t max_;
  const char* help_;
};

constexpr std::array<DoorSetting, 9> kDoorSettings = { {
  { "bytes_in_flight_mb",
    &DoorSettings::bytesInFlightMb_,
    0,
    65536,
    "in requests and answers of callers; 0: an eighth of the VM's memory" },
  { "connections",
    &DoorSettings::connections_,
    0,
    100000,
    "of callers; 0: by the VM's memory and descriptors, 2000 at most" },
  { "connections_per_peer",
    &DoorSettings::connectionsPerPeer_,
    0,
    100000,
    "of callers with one address; 0: no limit, as behind a balancer" },
  { "head_bytes",
    &DoorSettings::headBytes_,
    1024,
    65536,
    "largest head of a request" },
  { "head_fields",
    &DoorSettings::headFields_,
    16,
    1000,
    "most fields in a head" },
  { "request_seconds",
    &DoorSettings::requestSeconds_,
    4,
    600,
    "for a whole request, more for a large body: see body_bytes_per_second" },
  { "body_bytes_per_second",
    &DoorSettings::bodyBytesPerSecond_,
    1024,
    1000000000,
    "each of so many bytes of a body gives its request one second more" },
  { "answer_seconds",
    &DoorSettings::answerSeconds_,
    4,
    600,
    "for a caller to read its answer" },
  { "idle_seconds",
    &DoorSettings::idleSeconds_,
    4,
    3600,
    "a connection without a request is closed after this time" },
} };

constexpr std::array<std::pair<const char*, AdmissionMode>, 3>
  kAdmissionModes = { { { "off", AdmissionMode::Off },
                        { "log", AdmissionMode::Log },
                        { "on", AdmissionMode::On } } };

const char*
NameOf(AdmissionMode aMode)
{
  return kAdmissionModes.at(static_cast<std::size_t>(aMode)).first;
}

void
ReadAdmission(TomlTable& aTable, AdmissionMode& aMode)
{
  const auto name = aTable.ReadString("mode", NameOf(aMode));
  for (const auto& [text, mode] : kAdmissionModes) {
    if (name == text) {
      aMode = mode;
      return;
    }
  }
  aTable.Report("mode", "must be \"off\", \"log\" or \"on\"");
}

std::string
FormatNumber(double aValue)
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
        setting.key_, setting.min_, setting.max_, value.count()));
    }
    for (const auto& setting : kFleetSwitches) {
      auto& value = tuning.fleet_.*setting.member_;
      value = fleet->ReadBool(setting.key_, value);
    }
    fleet->ReportUnknownKeys();
  }
  if (auto admission = table->ReadTable("admission")) {
    ReadAdmission(*admission, tuning.admission_);
    admission->ReportUnknownKeys();
  }
  if (auto log = table->ReadTable("log")) {
    for (const auto& setting : kLogSettings) {
      auto& value = tuning.log_.*setting.member_;
      value = log->ReadNumber(setting.key_, setting.min_, setting.max_, value);
    }
    log->ReportUnknownKeys();
  }
  if (auto door = table->ReadTable("door")) {
    for (const auto& setting : kDoorSettings) {
      auto& value = tuning.door_.*setting.member_;
      value =
        door->ReadInteger(setting.key_, setting.min_, setting.max_, value);
    }
    door->ReportUnknownKeys();
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
  for (const auto& setting : kFleetSwitches) {
    const bool after = aNew.fleet_.*setting.member_;
    if (aOld.fleet_.*setting.member_ != after) {
      changes.push_back(std::string("fleet.") + setting.key_ +
                        (after ? " false -> true" : " true -> false"));
    }
  }
  if (aOld.admission_ != aNew.admission_) {
    changes.push_back(std::string("admission.mode ") + NameOf(aOld.admission_) +
                      " -> " + NameOf(aNew.admission_));
  }
  for (const auto& setting : kLogSettings) {
    const auto before = aOld.log_.*setting.member_;
    const auto after = aNew.log_.*setting.member_;
    if (before != after) {
      changes.push_back(std::string("log.") + setting.key_ + ' ' +
                        FormatNumber(before) + " -> " + FormatNumber(after));
    }
  }
  for (const auto& setting : kDoorSettings) {
    const auto before = aOld.door_.*setting.member_;
    const auto after = aNew.door_.*setting.member_;
    if (before != after) {
      changes.push_back(std::string("door.") + setting.key_ + ' ' +
                        std::to_string(before) + " -> " +
                        std::to_string(after));
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
    out << "# " << setting.help_ << "; " << setting.min_ << " to "
        << setting.max_ << "\n"
        << setting.key_ << " = " << (tuning.fleet_.*setting.member_).count()
        << "\n";
  }
  for (const auto& setting : kFleetSwitches) {
    out << "# " << setting.help_ << "\n"
        << setting.key_ << " = "
        << (tuning.fleet_.*setting.member_ ? "true" : "false") << "\n";
  }
  out << "\n[admission]\n# whether jobs that surely end too late are refused: "
         "off, log or on\nmode = \""
      << NameOf(tuning.admission_) << "\"\n";
  out << "\n[log]\n";
  for (const auto& setting : kLogSettings) {
    out << "# " << setting.help_ << "; " << setting.min_ << " to "
        << setting.max_ << "\n"
        << setting.key_ << " = " << FormatNumber(tuning.log_.*setting.member_)
        << "\n";
  }
  out << "\n[door]\n";
  for (const auto& setting : kDoorSettings) {
    out << "# " << setting.help_ << "; " << setting.min_ << " to "
        << setting.max_ << "\n"
        << setting.key_ << " = " << tuning.door_.*setting.member_ << "\n";
  }
  return out.str();
}

} // namespace cuminbridge
