// cuminbridge link: connections between entries, over websocketpp.
//
//   PeerLinks links(io, options, [](std::string bytes) { ... });
//   std::string trouble = links.Listen();     // empty if it went well
//   links.Keep({ "10.0.0.2:7000" });          // dial, and dial again for ever
//   links.Send("10.0.0.2:7000", bytes);       // false: dropped, no open link
//
// Each entry dials each other one and sends on the connection it dialled; what
// it accepts it only reads. Frames are not kept for a link that is down: every
// message between entries is either repeated by its sender or out of date soon.
//
// This header holds no websocketpp and nothing newer than C++17, because
// websocketpp 0.8 does not compile as C++20. Use it on the thread that runs
// the io_context.

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
  std::string listenAddress_;     // "host:port", by IP number
  std::string credential_;        // shared by all entries; empty: none asked
  std::size_t maxFrameBytes_ = 0; // larger frames end the connection
  std::size_t maxBufferedBytes_ = 4 * 1024 * 1024; // then frames are dropped
};

// Counts since the start.
struct LinkCounts
{
  std::uint64_t sentFrames_ = 0;
  std::uint64_t sentBytes_ = 0;
  std::uint64_t droppedFrames_ = 0; // no open link, or its buffer full
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

  // Accepts connections of peers. Returns what went wrong, or nothing.
  std::string Listen();

  // Keeps a link to each of these addresses and closes all others.
  void Keep(const std::vector<std::string>& aAddresses);

  // Sends a frame if the link is open. An unknown address is dialled, for the
  // frames that follow.
  bool Send(const std::string& aAddress, const std::string& aBytes);

  // Closes everything. Call it before the io_context ends.
  void Close();

  LinkCounts Counts() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace cuminbridge::forwarder

#endif // cuminbridge_link_h
