// Divides the memory and the descriptors of a VM between its servers.

#include "door/door.h"

#include <algorithm>

namespace cuminbridge {

namespace {

constexpr std::int64_t kMb = 1024 * 1024;
constexpr std::uint64_t kMaxBody = 256 * 1024; // bytes of a request
constexpr std::uint64_t kMaxProbeBody = 1024;
// Descriptors that the platform keeps for files.
constexpr std::int64_t kFileDescriptors = 200;
constexpr std::int64_t kMostConnections = 2000;
constexpr std::int64_t kLeastConnections = 16;
constexpr std::int64_t kProbeConnections = 32;
// A connection that waits takes this much, mostly of what it has sent and
// nobody has read.
constexpr std::int64_t kConnectionBytes = 32 * 1024;
constexpr int kReceiveBuffer = 32 * 1024;
// Parts of the VM's memory and of its sockets.
constexpr std::int64_t kCallerBytesPart = 8;
constexpr std::int64_t kPeerBytesPart = 16;
constexpr std::int64_t kConnectionsBytesPart = 4;
constexpr std::int64_t kCallerSocketsPart = 2;
constexpr std::int64_t kPeerSocketsPart = 4;

std::int64_t
ShareConnections(const PlatformSettings& aPlatform, std::int64_t aSocketsPart)
{
  const auto sockets =
    std::max<std::int64_t>(aPlatform.maxDescriptors_ - kFileDescriptors, 0);
  const auto byMemory =
    aPlatform.memoryMb_ * kMb / kConnectionsBytesPart / kConnectionBytes;
  return std::clamp(std::min(sockets / aSocketsPart, byMemory),
                    kLeastConnections,
                    kMostConnections);
}

HttpServerOptions
CommonLimits(const DoorSettings& aSettings)
{
  HttpServerOptions options;
  options.maxBodyBytes_ = kMaxBody;
  options.maxHeadBytes_ = static_cast<std::uint32_t>(aSettings.headBytes_);
  options.maxHeadFields_ = static_cast<std::size_t>(aSettings.headFields_);
  options.requestTime_ = std::chrono::seconds(aSettings.requestSeconds_);
  options.minBytesPerSecond_ =
    static_cast<std::size_t>(aSettings.bodyBytesPerSecond_);
  options.answerTime_ = std::chrono::seconds(aSettings.answerSeconds_);
  options.idleTimeout_ = std::chrono::seconds(aSettings.idleSeconds_);
  options.receiveBufferBytes_ = kReceiveBuffer;
  return options;
}

} // namespace

HttpServerOptions
CallerLimits(const PlatformSettings& aPlatform, const DoorSettings& aSettings)
{
  auto options = CommonLimits(aSettings);
  options.maxBytesInFlight_ =
    static_cast<std::size_t>(aSettings.bytesInFlightMb_ > 0
                               ? aSettings.bytesInFlightMb_ * kMb
                               : aPlatform.memoryMb_ * kMb / kCallerBytesPart);
  options.maxConnections_ = static_cast<std::size_t>(
    aSettings.connections_ > 0
      ? aSettings.connections_
      : ShareConnections(aPlatform, kCallerSocketsPart));
  options.maxConnectionsPerPeer_ =
    static_cast<std::size_t>(aSettings.connectionsPerPeer_);
  return options;
}

HttpServerOptions
PeerLimits(const PlatformSettings& aPlatform, const DoorSettings& aSettings)
{
  auto options = CommonLimits(aSettings);
  options.maxBytesInFlight_ =
    static_cast<std::size_t>(aPlatform.memoryMb_ * kMb / kPeerBytesPart);
  options.maxConnections_ =
    static_cast<std::size_t>(ShareConnections(aPlatform, kPeerSocketsPart));
  return options;
}

HttpServerOptions
ProbeLimits(const PlatformSettings& /*aPlatform*/,
            const DoorSettings& aSettings)
{
  auto options = CommonLimits(aSettings);
  options.maxBodyBytes_ = kMaxProbeBody;
  options.maxBytesInFlight_ = static_cast<std::size_t>(kMb);
  options.maxConnections_ = static_cast<std::size_t>(kProbeConnections);
  return options;
}

std::vector<std::string>
LimitReports::Collect(const ServerCounts& aCounts, Instant aNow)
{
  std::vector<std::string> lines;
  for (const auto& [server, counts] : aCounts) {
    for (std::size_t cause = 0; cause < counts.size(); ++cause) {
      auto& reported = reported_[{ server, cause }];
      const bool isFirst = reported.count_ == 0;
      if (counts[cause] == reported.count_ ||
          (!isFirst && aNow - reported.at_ < kInterval)) {
        continue;
      }
      lines.push_back("server " + server + ", limit " +
                      NameOf(static_cast<LimitCause>(cause)) + ", " +
                      std::to_string(counts[cause] - reported.count_) +
                      " times since the last report");
      reported = { counts[cause], aNow };
    }
  }
  return lines;
}

} // namespace cuminbridge
