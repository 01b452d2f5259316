// A small HTTP server for stand-ins that answer with JSON. It calls one
// handler, on one thread.

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
  int delayMilliseconds_ = 0; // wait before answering
  bool isLost_ = false;       // close the connection without an answer
};

using StandinHandler = std::function<StandinAnswer(const StandinRequest&)>;

// Serves at "host:port" until SIGTERM or SIGINT. Returns the exit code: 1 if it
// can't listen.
int RunStandin(const std::string& aAddress, const StandinHandler& aHandler);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_testing_standin_server_h
