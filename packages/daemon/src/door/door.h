// Internal: the limits of the servers of an entry, from the memory and the
// descriptors of its VM. They leave the larger part to the entry's own work.

#ifndef cuminbridge_daemon_door_door_h
#define cuminbridge_daemon_door_door_h

#include <string>
#include <utility>
#include <vector>

#include "cuminbridge/adapter.h"

namespace cuminbridge {

// The project's own settings of the door; see tuning.cpp for their meaning.
struct DoorSettings
{
  std::int64_t bytesInFlightMb_ = 0;
  std::int64_t connections_ = 0;
  std::int64_t connectionsPerPeer_ = 0;
  std::int64_t headBytes_ = 8192;
  std::int64_t headFields_ = 100;
  std::int64_t requestSeconds_ = 10;
  std::int64_t bodyBytesPerSecond_ = 16384;
  std::int64_t answerSeconds_ = 20;
  std::int64_t idleSeconds_ = 60;

  bool operator==(const DoorSettings&) const = default;
};

HttpServerOptions CallerLimits(const PlatformSettings& aPlatform,
                               const DoorSettings& aSettings);
// For the other entries and the operators' views.
HttpServerOptions PeerLimits(const PlatformSettings& aPlatform,
                             const DoorSettings& aSettings);
// For the readiness probe, and for the metrics: requests without a body.
HttpServerOptions ProbeLimits(const PlatformSettings& aPlatform,
                              const DoorSettings& aSettings);

// By the name of the server.
using ServerCounts = std::vector<std::pair<std::string, LimitCounts>>;

// Reports limits that were met, each cause of each server at most once in
// kInterval.
class LimitReports
{
public:
  static constexpr Millis kInterval{ 10000 };

  std::vector<std::string> Collect(const ServerCounts& aCounts, Instant aNow);

private:
  struct Reported
  {
    std::uint64_t count_ = 0;
    Instant at_;
  };

  std::map<std::pair<std::string, std::size_t>, Reported> reported_;
};

} // namespace cuminbridge

#endif // cuminbridge_daemon_door_door_h
