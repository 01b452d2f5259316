// Callers of the soak test. They submit jobs through randomly chosen entries,
// cancel some, read job states, and record every answer to check it later.

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
  std::string path_; // such as "/quotes/00000000000000a1"
  bool isAccepted_ = false;
  bool mayBeAccepted_ = false; // accepted, or an attempt got no answer or 504
  bool isCancelAcked_ = false; // a cancel was answered with 200
  bool isCancelTried_ = false;
  std::string lastState_; // last state that was read; empty if none
};

class Callers
{
public:
  Callers(boost::asio::io_context& aIo,
          std::vector<std::string> aEntries,
          unsigned aSeed);

  Awaitable<void> SubmitOne(); // a new job, with retries
  // These two choose a job at random and do nothing if it is not accepted.
  Awaitable<void> CancelOne();
  Awaitable<void> ReadOne();
  // Polls all accepted jobs until each is in a final state, at most for aLimit.
  Awaitable<void> PollUntilFinal(Millis aLimit);

  // Violations, one line each. aStarted: ids of the jobs that began to run.
  std::vector<std::string> Violations(
    const std::set<std::string>& aStarted) const;
  std::string Summary() const;

private:
  Awaitable<HttpReply> Ask(const std::string& aMethod,
                           const std::string& aPath,
                           std::string aBody);
  Awaitable<void> Read(TrackedJob& aJob);
  TrackedJob* ChooseAccepted();

  boost::asio::io_context& io_;
  HttpClient http_;
  std::vector<std::string> entries_;
  std::mt19937 random_;
  std::map<std::string, TrackedJob> jobs_; // by id
  std::vector<std::string> violations_;
  int submitted_ = 0;
};

} // namespace cuminbridge::soak

#endif // cuminbridge_soak_callers_h
