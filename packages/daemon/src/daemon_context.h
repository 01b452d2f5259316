// Internal: what all components of a daemon share.

#ifndef cuminbridge_daemon_daemon_context_h
#define cuminbridge_daemon_daemon_context_h

#include "cuminbridge/adapter.h"

#include "cell_peers.h"
#include "tuning.h"

namespace cuminbridge {

struct DaemonContext
{
  boost::asio::io_context& io_;
  Clocks& clocks_;
  const PlatformSettings& settings_;
  const Tuning& tuning_;
  HttpClient& http_;
  StoreClient& store_;
  CellPeers& peers_;
};

Awaitable<void> Sleep(boost::asio::io_context& aIo, Millis aTime);

const char* DescribeStatus(StoreStatus aStatus); // for the log

// Where a daemon answers its peers, the other entries.
std::string PeerAddress(const PlatformSettings& aSettings);
// Answers with the term in which the process owns the cell, or 0: "/owner" for
// cell 0, "/owner/K" for cell K.
inline constexpr const char* kOwnerPath = "/owner";
std::string OwnerPath(int aCell);
// Answers with kStandbyReady if the process could own the fleet now.
inline constexpr const char* kStandbyPath = "/standby";
inline constexpr const char* kStandbyReady = "ready";
// An entry notifies the owner of each job or cancellation that it has stored,
// so that the owner does not wait for its watch of the store, which is the
// fallback. The body is the stored job, or the id of the cancelled one.
// "/K" behind the path names the cell; without it, it is that of the job's id.
inline constexpr const char* kNotifyJobPath = "/job";
inline constexpr const char* kNotifyCancelPath = "/cancel";
// The answer to kNotifyJobPath, and to kBacklogPath, holds the backlogs of the
// pools that are short; it is empty if none is.
inline constexpr const char* kBacklogPath = "/backlog";
// An entry notifies the owner of each job that it has refused, with the name of
// its pool, for operators.
inline constexpr const char* kNotifyRefusalPath = "/refused";
// An owner reports to the owner of cell K what its own cell has free.
inline constexpr const char* kCapacityPath = "/capacity";

} // namespace cuminbridge

#endif // cuminbridge_daemon_daemon_context_h
