// Internal: what every part of a daemon works with.

#ifndef cuminbridge_daemon_parts_h
#define cuminbridge_daemon_parts_h

#include "cuminbridge/adapter.h"

#include "tuning.h"

namespace cuminbridge {

struct DaemonParts
{
  boost::asio::io_context& io_;
  Clocks& clocks_;
  const PlatformSettings& settings_;
  const Tuning& tuning_;
  HttpClient& http_;
  StoreClient& store_;
};

Awaitable<void> Sleep(boost::asio::io_context& aIo, Millis aTime);

// Where a daemon answers its peers.
std::string PeerAddress(const PlatformSettings& aSettings);
// Tells the term in which a process owns the fleet, or 0.
inline constexpr const char* kOwnerPath = "/owner";
// Tells whether a process could own the fleet now: kStandbyReady if so.
inline constexpr const char* kStandbyPath = "/standby";
inline constexpr const char* kStandbyReady = "ready";
// An entry tells the owner at once what it has stored; the owner's watch is the
// fallback. The body is a stored job, or the id of a cancelled one.
inline constexpr const char* kTellJobPath = "/job";
inline constexpr const char* kTellCancelPath = "/cancel";

} // namespace cuminbridge

#endif // cuminbridge_daemon_parts_h
