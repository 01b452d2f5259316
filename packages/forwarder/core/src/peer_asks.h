// Internal: peers that ask for permits or slots, served in rotation.

#ifndef cuminbridge_core_peer_asks_h
#define cuminbridge_core_peer_asks_h

#include <map>
#include <string>

#include "cuminbridge/core.h"

namespace cuminbridge::forwarder {

struct PeerRequest
{
  int count_ = 0;   // permits or slots still wanted
  TimePoint until_; // the ask expires at this time
};

struct PeerRequests
{
  std::map<std::string, PeerRequest> byPeer_; // by member id
  std::string lastServed_; // the next higher id is served next
  // Does what is freed go to a peer, rather than to waiting requests here?
  // Toggled whenever something is freed, so that neither side starves.
  bool isPeerPreferred_ = false;
};

// An ask expires after this time; a peer that still needs more asks again.
inline constexpr Duration kAskLifetime = std::chrono::milliseconds(500);

inline void
DropExpiredAsks(PeerRequests& aAsks, TimePoint aNow)
{
  std::erase_if(aAsks.byPeer_, [&](const auto& aRequest) {
    return aRequest.second.until_ <= aNow;
  });
}

// Deducts one from the ask of the next peer in the rotation and returns its id.
// There must be an ask.
inline std::string
TakeNextAsk(PeerRequests& aAsks)
{
  auto ask = aAsks.byPeer_.upper_bound(aAsks.lastServed_);
  if (ask == aAsks.byPeer_.end()) {
    ask = aAsks.byPeer_.begin();
  }
  aAsks.lastServed_ = ask->first;
  if (--ask->second.count_ <= 0) {
    aAsks.byPeer_.erase(ask);
  }
  return aAsks.lastServed_;
}

} // namespace cuminbridge::forwarder

#endif // cuminbridge_core_peer_asks_h
