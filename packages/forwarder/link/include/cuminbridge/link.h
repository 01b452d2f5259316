// cuminbridge link: WebSocket connections between entries, with websocketpp.
//
//   PeerLinks links(io, options, [](std::string bytes) { ... });
//   std::string error = links.Listen();   // empty: success
//   links.SetPeers({ "10.0.0.2:7000" });  // connect, and reconnect with
//   back-off links.Send("10.0.0.2:7000", bytes);   // false: dropped
//
// Each entry connects to every other one. It sends only on the connections
// that it opened and only reads from those that it accepted. Frames for a link
// that is down are dropped, not queued: every message between entries is either
// repeated by its sender or soon out of date.
//
// This header includes no websocketpp header and uses nothing newer than C++17,
// because websocketpp 0.8 does not compile as C++20. Not thread-safe: use it on
// the thread that runs the io_context.

#ifndef cuminbridge_link_h
#define cuminbridge_link_h

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace cuminbridge::forwarder {

struct LinkOptions
{
  std::string listenAddress_;     // "host:port" with an IP number
  std::string credential_;        // shared by all entries; empty: not checked
  std::size_t maxFrameBytes_ = 0; // a larger frame closes the connection
  std::size_t maxBufferedBytes_ = 4 * 1024 * 1024; // unsent; more is dropped
};

// Counts since the process started.
struct LinkCounts
{
  std::uint64_t sentFrames_ = 0;
  std::uint64_t sentBytes_ = 0;
  std::uint64_t droppedFrames_ =
    0; // link down, its buffer full, or send failed
  std::uint64_t receivedFrames_ = 0;
  std::uint64_t receivedBytes_ = 0;
};

class PeerLinks
{
public:
  using FrameHandler = std::function<void(std::string aBytes)>;

  PeerLinks(boost::asio::io_context& aIo,
            LinkOptions aOptions,
            FrameHandler aOnFrame);
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  // Starts to accept connections of peers. Returns an error message, or "".
  std::string Listen();

  // Connects to each of these addresses, reconnects when a link goes down, and
  // closes all other links.
  void SetPeers(const std::vector<std::string>& aAddresses);

  // Sends a frame if the link is open; else drops it and returns false. If the
  // address is unknown, starts to connect to it, so that later frames pass.
  bool Send(const std::string& aAddress, const std::string& aBytes);

  // Closes the listener and all links. Call it before the io_context ends.
  void Close();

  LinkCounts Counts() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace cuminbridge::forwarder

#endif // cuminbridge_link_h
