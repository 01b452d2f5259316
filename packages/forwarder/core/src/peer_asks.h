// Internal: peers that ask for permits or slots, and whose turn it is.

#ifndef cuminbridge_core_peer_asks_h
#define cuminbridge_core_peer_asks_h

#include <map>
#include <string>

#include "cuminbridge/core.h"

namespace cuminbridge::forwarder {

struct PeerAsk
{
  int count_ = 0; // still wanted
  TimePoint until_;
};

struct PeerAsks
{
  std::map<std::string, PeerAsk> byPeer_;
  std::string last_;        // served last; the next by id is next
  bool isGiveTurn_ = false; // what comes free goes to a peer, not to own work
};

// An ask counts for this long; a peer that still wants asks again.
inline constexpr Duration kAskLifetime = std::chrono::milliseconds(500);

inline void
DropOldAsks(PeerAsks& aAsks, TimePoint aNow)
{
  std::erase_if(aAsks.byPeer_,
                [&](const auto& aAsk) { return aAsk.second.until_ <= aNow; });
}

// Takes one from the ask of the peer whose turn it is. There must be an ask.
inline std::string
TakeNextAsk(PeerAsks& aAsks)
{
  auto ask = aAsks.byPeer_.upper_bound(aAsks.last_);
  if (ask == aAsks.byPeer_.end()) {
    ask = aAsks.byPeer_.begin();
  }
  aAsks.last_ = ask->first;
  if (--ask->second.count_ <= 0) {
    aAsks.byPeer_.erase(ask);
  }
  return aAsks.last_;
}

} // namespace cuminbridge::forwarder

#endif // cuminbridge_core_peer_asks_h
