// Internal: the metrics of a daemon, in the Prometheus text format.

#ifndef cuminbridge_daemon_metrics_h
#define cuminbridge_daemon_metrics_h

#include <array>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include "caller_api.h"

namespace cuminbridge {

// Estimates the quantiles 0.5, 0.9 and 0.99 of times, without keeping them.
class Quantiles
{
public:
  Quantiles();
  void Add(Millis aTime);
  // Prometheus lines of a summary, in seconds.
  std::string Format(const std::string& aName) const;

private:
  using Tags =
    boost::accumulators::stats<boost::accumulators::tag::count,
                               boost::accumulators::tag::sum,
                               boost::accumulators::tag::extended_p_square>;
  boost::accumulators::accumulator_set<double, Tags> times_;
};

// Counts times in buckets. Unlike quantiles, the buckets of several entries can
// be added up.
class Histogram
{
public:
  void Add(Millis aTime);
  // Prometheus lines of a histogram, in seconds.
  std::string Format(const std::string& aName) const;

private:
  // Upper bounds of the buckets. Callers wait 3 s for an answer, and the store
  // usually takes 4 ms.
  static constexpr std::array<std::int64_t, 8> kBoundsMs = { 2,    5,   10,
                                                             25,   100, 500,
                                                             1000, 3000 };

  std::array<std::uint64_t, kBoundsMs.size() + 1> counts_{}; // last: no bound
  std::int64_t sumMs_ = 0;
};

struct DaemonMetrics
{
  // Time from a caller's request to its answer.
  Quantiles answerQuantiles_;
  Histogram answerHistogram_;
};

// Prometheus lines of a gauge that names the build and is always 1.
std::string FormatBuildInfo();

// aOwners are those in this process. aStoreAge is the
// time since the store last answered.
std::string FormatMetrics(const DaemonMetrics& aMetrics,
                          const CallerApi& aCallerApi,
                          const StoreCallCounts& aStore,
                          const Traffic& aTraffic,
                          const std::vector<Owner*>& aOwners,
                          Millis aStoreAge,
                          const ServerCounts& aServers = {});

} // namespace cuminbridge

#endif // cuminbridge_daemon_metrics_h
