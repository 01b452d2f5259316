// Formats an entry's counters and request times as Prometheus text.

#include "metrics.h"

#include <array>

namespace cuminbridge::forwarder {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = { 0.5, 0.9, 0.99 };

std::string
Line(const std::string& aName, double aValue)
{
  return "cuminbridge_" + aName + " " + std::to_string(aValue) + "\n";
}

std::string
Line(const std::string& aName, std::uint64_t aValue)
{
  return "cuminbridge_" + aName + " " + std::to_string(aValue) + "\n";
}

} // namespace

Latencies::Latencies()
  : times_(acc::tag::extended_p_square::probabilities = kQuantiles)
{
}

void
Latencies::Add(Duration aTime)
{
  times_(std::chrono::duration<double>(aTime).count());
}

std::string
Latencies::Format(const std::string& aName) const
{
  std::string text;
  const auto values = acc::extended_p_square(times_);
  for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
    const std::string quantile = std::to_string(kQuantiles[i]).substr(0, 4);
    const auto index = static_cast<std::ptrdiff_t>(i);
    text +=
      Line(aName + "_seconds{quantile=\"" + quantile + "\"}", values[index]);
  }
  const auto count = acc::count(times_);
  text += Line(aName + "_seconds_sum",
               acc::mean(times_) * static_cast<double>(count));
  text += Line(aName + "_seconds_count", static_cast<std::uint64_t>(count));
  return text;
}

std::string
FormatMetrics(const Entry& aEntry,
              const Metrics& aMetrics,
              const StoreCounts& aStore,
              const LinkCounts& aLinks,
              TimePoint aNow)
{
  std::string text;
  for (const auto& [name, count] : ViewCounts(aEntry)) {
    text += Line(name, count);
  }
  const InForceView inForce = ViewInForce(aEntry, aNow);
  text += Line("ticket_in_force", static_cast<std::uint64_t>(inForce.number_));
  text +=
    Line("ready", std::uint64_t{ ViewUnreadyReasons(aEntry, aNow).empty() });
  text += Line("members", static_cast<std::uint64_t>(inForce.members_.size()));
  text += Line("store_reads", aStore.reads_);
  text += Line("store_swaps", aStore.swaps_);
  text += Line("store_failures", aStore.failures_);
  text += Line("store_lost", aStore.lost_);
  text += Line("peer_frames_sent", aLinks.sentFrames_);
  text += Line("peer_bytes_sent", aLinks.sentBytes_);
  text += Line("peer_frames_dropped", aLinks.droppedFrames_);
  text += Line("peer_frames_received", aLinks.receivedFrames_);
  text += Line("peer_bytes_received", aLinks.receivedBytes_);
  text += aMetrics.timeToDecision_.Format("time_to_start");
  text += aMetrics.requestTime_.Format("request_time");
  return text;
}

} // namespace cuminbridge::forwarder
