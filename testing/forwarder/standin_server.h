// A small JSON server for stand-ins: one handler, one thread.

#ifndef cuminbridge_testing_standin_server_h
#define cuminbridge_testing_standin_server_h

#include <functional>
#include <string>

namespace cuminbridge::forwarder {

struct StandinRequest
{
  std::string method_;
  std::string target_;
  std::string body_;
};

struct StandinAnswer
{
  int status_ = 200;
  std::string body_;
  int delayMilliseconds_ = 0;
  bool isLost_ = false; // close the connection instead of answering
};

using StandinHandler = std::function<StandinAnswer(const StandinRequest&)>;

// Serves until SIGTERM. Returns an exit code.
int RunStandin(const std::string& aAddress, const StandinHandler& aHandler);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_testing_standin_server_h
