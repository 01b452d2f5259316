// The metrics of a daemon, in the Prometheus text format.

#include "daemon_metrics.h"

#include <algorithm>
#include <array>
#include <sstream>

#include "build_info.h"
#include "daemon_log.h"

namespace cuminbridge {

namespace accumulators = boost::accumulators;

namespace {

constexpr std::array<double, 3> kQuantiles = { 0.5, 0.9, 0.99 };
constexpr double kMillis = 1000;

void
AddCounter(std::ostream& aOut,
           const char* aName,
           const char* aHelp,
           std::uint64_t aValue)
{
  aOut << "# HELP cuminbridge_" << aName << ' ' << aHelp
       << "\n# TYPE cuminbridge_" << aName << " counter\ncuminbridge_" << aName
       << ' ' << aValue << '\n';
}

void
AddGauge(std::ostream& aOut,
         const char* aName,
         const char* aHelp,
         double aValue)
{
  aOut << "# HELP cuminbridge_" << aName << ' ' << aHelp
       << "\n# TYPE cuminbridge_" << aName << " gauge\ncuminbridge_" << aName
       << ' ' << aValue << '\n';
}

void
AddFleetMetrics(std::ostream& aOut, const std::vector<Owner*>& aOwners)
{
  struct Column
  {
    const char* name_;
    const char* help_;
    std::uint64_t FleetCounts::*value_;
  };
  constexpr std::array<Column, 13> kColumns = { {
    { "runs_started_total", "starts sent", &FleetCounts::starts_ },
    { "starts_not_taken_total",
      "starts refused or without an answer",
      &FleetCounts::startsRefused_ },
    { "runs_done_total", "work items done", &FleetCounts::done_ },
    { "runs_failed_total", "runs that failed", &FleetCounts::failed_ },
    { "runs_lost_total",
      "runs that lapsed or went with their target",
      &FleetCounts::lost_ },
    { "runs_crashed_total",
      "runs whose target's process ended by itself",
      &FleetCounts::crashed_ },
    { "ends_ignored_total",
      "listed ends that neither finished nor failed their item",
      &FleetCounts::endsIgnored_ },
    { "ends_done_ignored_total",
      "of these, runs that were done but not current",
      &FleetCounts::endsDoneIgnored_ },
    { "runs_stopped_unwanted_total",
      "runs found on a target that were not current",
      &FleetCounts::stoppedUnwanted_ },
    { "targets_back_after_loss_total",
      "targets back after their runs had been given up",
      &FleetCounts::targetsBackAfterLoss_ },
    { "vm_moves_total", "VMs moved", &FleetCounts::moves_ },
    { "vm_upkeeps_total", "upkeeps begun", &FleetCounts::maintenanceStarts_ },
    { "jobs_ended_total", "jobs ended", &FleetCounts::jobsEnded_ },
  } };
  for (const auto& column : kColumns) {
    std::uint64_t sum = 0;
    for (const auto* owner : aOwners) {
      sum += owner->GetFleet().Counts().*column.value_;
    }
    AddCounter(aOut, column.name_, column.help_, sum);
  }
  std::set<std::string> evacuated;
  int runsToLeave = 0;
  for (const auto* owner : aOwners) {
    for (const auto& row : owner->GetFleet().Evacuations()) {
      evacuated.insert(row.dataCentre_);
      runsToLeave += row.ending_ + row.longRunning_ + row.stopping_;
    }
  }
  AddGauge(aOut,
           "evacuations",
           "data centres that are being evacuated",
           static_cast<double>(evacuated.size()));
  AddGauge(aOut, "evacuated_runs", "runs that are still there", runsToLeave);
  std::map<std::string, int> waiting;
  for (const auto* owner : aOwners) {
    for (const auto& load : owner->GetFleet().Loads()) {
      waiting[load.queue_] += load.waiting_;
    }
  }
  aOut << "# HELP cuminbridge_jobs_waiting jobs that have not begun\n"
          "# TYPE cuminbridge_jobs_waiting gauge\n";
  for (const auto& [queue, count] : waiting) {
    aOut << "cuminbridge_jobs_waiting{queue=\"" << queue << "\"} " << count
         << '\n';
  }
}

void
AddTraffic(std::ostream& aOut, const Traffic& aTraffic)
{
  struct Column
  {
    const char* name_;
    std::uint64_t TrafficCount::*value_;
  };
  constexpr std::array<Column, 4> kColumns = {
    { { "http_calls_total", &TrafficCount::calls_ },
      { "http_connections_total", &TrafficCount::connections_ },
      { "http_sent_bytes_total", &TrafficCount::bytesSent_ },
      { "http_received_bytes_total", &TrafficCount::bytesReceived_ } }
  };
  for (const auto& column : kColumns) {
    aOut << "# TYPE cuminbridge_" << column.name_ << " counter\n";
    for (const auto& [kind, count] : aTraffic) {
      aOut << "cuminbridge_" << column.name_ << "{kind=\"" << kind << "\"} "
           << count.*column.value_ << '\n';
    }
  }
}

void
AddLimits(std::ostream& aOut, const ServerCounts& aServers)
{
  aOut << "# HELP cuminbridge_door_limits_total requests refused and "
          "connections closed at a limit\n"
          "# TYPE cuminbridge_door_limits_total counter\n";
  for (const auto& [server, counts] : aServers) {
    for (std::size_t cause = 0; cause < counts.size(); ++cause) {
      aOut << "cuminbridge_door_limits_total{server=\"" << server
           << "\",cause=\"" << NameOf(static_cast<LimitCause>(cause)) << "\"} "
           << counts[cause] << '\n';
    }
  }
}

void
AddRefusals(std::ostream& aOut, const RefusalCounts& aCounts)
{
  aOut << "# HELP cuminbridge_refusals_total requests answered 503\n"
          "# TYPE cuminbridge_refusals_total counter\n";
  for (const auto& [key, count] : aCounts) {
    aOut << "cuminbridge_refusals_total{cause=\"" << NameOf(key.first)
         << "\",pool=\"" << key.second << "\"} " << count << '\n';
  }
}

} // namespace

Quantiles::Quantiles()
  : times_(accumulators::tag::extended_p_square::probabilities = kQuantiles)
{
}

void
Quantiles::Add(Millis aTime)
{
  times_(static_cast<double>(aTime.count()) / kMillis);
}

std::string
Quantiles::Format(const std::string& aName) const
{
  std::ostringstream out;
  out << "# TYPE " << aName << " summary\n";
  std::size_t index = 0;
  for (const double value : accumulators::extended_p_square(times_)) {
    out << aName << "{quantile=\"" << kQuantiles[index++] << "\"} " << value
        << '\n';
  }
  out << aName << "_sum " << accumulators::sum(times_) << '\n'
      << aName << "_count " << accumulators::count(times_) << '\n';
  return out.str();
}

void
Histogram::Add(Millis aTime)
{
  const auto* bound =
    std::lower_bound(kBoundsMs.begin(), kBoundsMs.end(), aTime.count());
  ++counts_[static_cast<std::size_t>(bound - kBoundsMs.begin())];
  sumMs_ += aTime.count();
}

std::string
Histogram::Format(const std::string& aName) const
{
  std::ostringstream out;
  out << "# TYPE " << aName << " histogram\n";
  std::uint64_t count = 0;
  for (std::size_t bucket = 0; bucket < counts_.size(); ++bucket) {
    count += counts_[bucket];
    out << aName << "_bucket{le=\"";
    if (bucket < kBoundsMs.size()) {
      out << static_cast<double>(kBoundsMs[bucket]) / kMillis;
    } else {
      out << "+Inf";
    }
    out << "\"} " << count << '\n';
  }
  out << aName << "_sum " << static_cast<double>(sumMs_) / kMillis << '\n'
      << aName << "_count " << count << '\n';
  return out.str();
}

std::string
FormatBuildInfo()
{
  return std::string("# HELP cuminbridge_build_info which build runs\n"
                     "# TYPE cuminbridge_build_info gauge\n"
                     "cuminbridge_build_info{version=\"") +
         kBuildVersion + "\",commit=\"" + kBuildCommit + "\"} 1\n";
}

std::string
FormatMetrics(const DaemonMetrics& aMetrics,
              const CallerApi& aCallerApi,
              const StoreCallCounts& aStore,
              const Traffic& aTraffic,
              const std::vector<Owner*>& aOwners,
              Millis aStoreAge,
              const ServerCounts& aServers)
{
  std::ostringstream out;
  out << FormatBuildInfo();
  const auto& counts = aCallerApi.Counts();
  AddCounter(out, "jobs_accepted_total", "jobs stored", counts.accepted_);
  AddCounter(out, "jobs_refused_total", "answered 503", counts.refused_);
  AddRefusals(out, aCallerApi.CountRefusals());
  AddCounter(out,
             "requests_relayed_total",
             "answered by a peer, as the store was lost here",
             aCallerApi.CountRelayed());
  AddCounter(out, "jobs_unknown_total", "answered 504", counts.unknown_);
  AddCounter(
    out, "requests_unauthorized_total", "answered 401", counts.unauthorized_);
  AddCounter(out, "state_reads_total", "states asked for", counts.reads_);
  AddCounter(out, "cancels_total", "cancels asked for", counts.cancels_);
  AddCounter(out, "store_reads_total", "keys and lists read", aStore.reads_);
  AddCounter(out, "store_writes_total", "writes and leases", aStore.writes_);
  AddCounter(out, "store_renewals_total", "leases renewed", aStore.renewals_);
  AddCounter(out, "store_watches_total", "watches", aStore.watches_);
  AddCounter(out, "store_refused_total", "calls refused", aStore.refused_);
  AddCounter(
    out, "store_unanswered_total", "calls without answer", aStore.unanswered_);
  auto traffic = aTraffic;
  for (const auto* owner : aOwners) {
    AddUp(traffic, owner->TrafficToTargets());
  }
  AddTraffic(out, traffic);
  AddLimits(out, aServers);
  AddCounter(out,
             "log_lines_left_out_total",
             "lines beyond the log's limit",
             LinesLeftOut());
  AddGauge(out,
           "config_version",
           "version of the configuration in force",
           static_cast<double>(aCallerApi.Config().version_));
  AddGauge(out,
           "store_age_seconds",
           "since the store last answered",
           static_cast<double>(aStoreAge.count()) / kMillis);
  AddGauge(out,
           "cells_owned",
           "cells that this process owns",
           static_cast<double>(aOwners.size()));
  out << aMetrics.answerQuantiles_.Format("cuminbridge_answer_seconds")
      << aMetrics.answerHistogram_.Format(
           "cuminbridge_answer_duration_seconds");
  if (!aOwners.empty()) {
    AddFleetMetrics(out, aOwners);
  }
  return out.str();
}

} // namespace cuminbridge
