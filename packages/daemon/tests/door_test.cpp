// The limits of the servers, and what is reported when they are met.

#include <catch2/catch.hpp>

#include "door/door.h"

using namespace cuminbridge;

TEST_CASE("the servers leave most of a VM to the entry's own work")
{
  for (const std::int64_t memory : { 48, 160, 512 }) {
    for (const std::int64_t descriptors : { 400, 1024, 4100 }) {
      PlatformSettings platform;
      platform.memoryMb_ = memory;
      platform.maxDescriptors_ = descriptors;
      const auto callers = CallerLimits(platform, {});
      const auto peers = PeerLimits(platform, {});
      const auto probes = ProbeLimits(platform, {});
      INFO(memory << " MB, " << descriptors << " descriptors");
      CHECK(callers.maxConnections_ + peers.maxConnections_ +
              2 * probes.maxConnections_ <=
            static_cast<std::size_t>(descriptors - 150));
      CHECK(callers.maxBytesInFlight_ + peers.maxBytesInFlight_ +
              2 * probes.maxBytesInFlight_ <=
            static_cast<std::size_t>(memory) * 1024 * 1024 / 4);
      // The largest body of one caller fits while it is handled.
      CHECK(callers.maxBytesInFlight_ >= 8 * callers.maxBodyBytes_);
    }
  }
}

TEST_CASE("a limit that is met again and again is reported once in a while")
{
  LimitReports reports;
  const Instant start(Millis(1000));
  ServerCounts counts = { { "callers", {} } };
  auto& closed = counts[0].second[0];
  CHECK(reports.Collect(counts, start).empty());
  closed = 3;
  REQUIRE(reports.Collect(counts, start).size() == 1);
  closed = 8;
  CHECK(reports.Collect(counts, start + Millis(9000)).empty());
  const auto later = reports.Collect(counts, start + Millis(10000));
  REQUIRE(later.size() == 1);
  CHECK(later[0] == "server callers, limit connections, 5 times since the last "
                    "report");
  CHECK(reports.Collect(counts, start + Millis(30000)).empty());
}
