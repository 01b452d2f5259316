// A loopback proxy for TCP connections that can be delayed, blocked, reset or
// refused.
// The near address is the one where it listens, the far address the one that it
// connects to.
//
//   Link link(io, "127.0.62.1:7400", "127.0.61.1:7400");
//   link.Open();
//   link.InjectFault(LinkFault::HoldAnswers, Millis(1500));
//
// Held bytes are not lost: they arrive once the fault is over, as TCP would
// deliver them, so a request that was held is carried out late.

#ifndef cuminbridge_soak_links_h
#define cuminbridge_soak_links_h

#include <memory>
#include <string>

#include "cuminbridge/jobs.h"
#include "cuminbridge/web.h"

namespace cuminbridge::soak {

enum class LinkFault
{
  None,
  Delay,        // each read is forwarded kDelay later
  HoldRequests, // nothing reaches the far side
  HoldAnswers,  // nothing comes back from the far side
  Silence,      // nothing passes in either direction
  Reset,        // open connections are reset, and new ones at once
  Refuse,       // nothing listens, and open connections are reset
  Vanish,       // silence, after which all connections are reset
};

inline constexpr Millis kDelay(120);

const char* NameOf(LinkFault aFault);

class Link
{
public:
  Link(boost::asio::io_context& aIo, std::string aNear, std::string aFar);
  ~Link();

  void Open(); // starts to listen; throws if the near address is in use
  // Applies the fault for aTime, or until the next call of these two.
  void InjectFault(LinkFault aFault, Millis aTime);
  void ClearFault();
  const std::string& Name() const; // the near address

private:
  struct State;
  std::shared_ptr<State> state_;
};

} // namespace cuminbridge::soak

#endif // cuminbridge_soak_links_h
