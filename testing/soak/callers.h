// Callers of the soak: they hand in jobs through any entry, cancel some, ask
// for their states, and remember what they were told.

#ifndef cuminbridge_soak_callers_h
#define cuminbridge_soak_callers_h

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cuminbridge/jobs.h"
#include "cuminbridge/web.h"

namespace cuminbridge::soak {

struct TrackedJob
{
  std::string path_; // as "/quotes/00000000000000a1"
  bool isAccepted_ = false;
  bool mayBeAccepted_ = false; // some attempt got no answer, or 504
  bool isCancelAcked_ = false;
  bool isCancelTried_ = false;
  std::string lastState_;
};

class Callers
{
public:
  Callers(boost::asio::io_context& aIo,
          std::vector<std::string> aEntries,
          unsigned aSeed);

  Awaitable<void> HandIn();    // one new job
  Awaitable<void> CancelOne(); // some accepted one
  Awaitable<void> ReadOne();
  // Asks for all accepted jobs until each has ended, or the time is over.
  Awaitable<void> Settle(Millis aLimit);

  // What must not be: one line each.
  std::vector<std::string> Faults(const std::set<std::string>& aStarted) const;
  std::string Summary() const;

private:
  Awaitable<HttpReply> Ask(const std::string& aMethod,
                           const std::string& aPath,
                           std::string aBody);
  Awaitable<void> Read(TrackedJob& aJob);
  TrackedJob* Choose();

  boost::asio::io_context& io_;
  HttpClient http_;
  std::vector<std::string> entries_;
  std::mt19937 random_;
  std::map<std::string, TrackedJob> jobs_; // by id
  std::vector<std::string> faults_;
  int handedIn_ = 0;
};

} // namespace cuminbridge::soak

#endif // cuminbridge_soak_callers_h
