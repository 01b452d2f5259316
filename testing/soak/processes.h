// Programs that the soak starts, and the signals it sends them: by their ids,
// and to no others.

#ifndef cuminbridge_soak_processes_h
#define cuminbridge_soak_processes_h

#include <string>
#include <vector>

#include <sys/types.h>

namespace cuminbridge::soak {

class Process
{
public:
  // The first of the command is the program; both outputs go to aLog.
  Process(std::vector<std::string> aCommand, std::string aLog);
  ~Process(); // kills it
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Start(); // nothing if it runs
  void Signal(int aSignal);
  void Kill(); // and waits for its end
  bool IsRunning();
  int ExitCode() const { return exitCode_; } // of its last end; -1 by a signal

private:
  void TakeEnd(int aStatus);

  std::vector<std::string> command_;
  std::string log_;
  pid_t id_ = 0; // 0 while it does not run
  int exitCode_ = 0;
};

} // namespace cuminbridge::soak

#endif // cuminbridge_soak_processes_h
