// A loopback proxy: TCP links that can be delayed, held up, silenced or reset.
//
//   Link link(io, "127.0.62.1:7400", "127.0.61.1:7400");
//   link.Open();
//   link.Disturb({ Trouble::HoldAnswers }, Millis(1500));
//
// Held bytes are not lost: they arrive once the trouble is over, as TCP would
// deliver them, so a held order is carried out late.

#ifndef cuminbridge_soak_links_h
#define cuminbridge_soak_links_h

#include <memory>
#include <string>

#include "cuminbridge/jobs.h"
#include "cuminbridge/web.h"

namespace cuminbridge::soak {

enum class Trouble
{
  None,
  Delay,        // each part takes kDelay more
  HoldRequests, // one way: nothing reaches the far side
  HoldAnswers,  // one way: nothing comes back
  Silence,      // both
  Reset,        // connections are reset, new ones too
};

inline constexpr Millis kDelay(120);

const char* NameOf(Trouble aTrouble);

class Link
{
public:
  Link(boost::asio::io_context& aIo, std::string aNear, std::string aFar);
  ~Link();

  void Open(); // throws if the near address is taken
  // Until the time is over, or until the next call.
  void Disturb(Trouble aTrouble, Millis aTime);
  void Heal();
  const std::string& Name() const;

private:
  struct State;
  std::shared_ptr<State> state_;
};

} // namespace cuminbridge::soak

#endif // cuminbridge_soak_links_h
