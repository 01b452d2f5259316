// Internal: the /metrics page, in the Prometheus text format.

#ifndef cuminbridge_entry_metrics_h
#define cuminbridge_entry_metrics_h

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include "cuminbridge/core.h"
#include "cuminbridge/link.h"
#include "cuminbridge/platform.h"

namespace cuminbridge::forwarder {

// Streaming estimates of the quantiles of request times, in seconds.
class Latencies
{
public:
  Latencies();
  void Add(Duration aTime);
  std::string Format(const std::string& aName) const;

private:
  using Tags =
    boost::accumulators::stats<boost::accumulators::tag::count,
                               boost::accumulators::tag::mean,
                               boost::accumulators::tag::extended_p_square>;
  boost::accumulators::accumulator_set<double, Tags> times_;
};

struct Metrics
{
  Latencies timeToDecision_; // from arrival to the first decision
  Latencies requestTime_;    // from arrival to the end of the answer
};

std::string FormatMetrics(const Entry& aEntry,
                          const Metrics& aMetrics,
                          const StoreCounts& aStore,
                          const LinkCounts& aLinks,
                          TimePoint aNow);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_entry_metrics_h
