// Starts the programs of the soak test and sends signals to them. Signals go
// only to the process ids of programs that were started here.

#ifndef cuminbridge_soak_processes_h
#define cuminbridge_soak_processes_h

#include <string>
#include <vector>

#include <sys/types.h>

namespace cuminbridge::soak {

class Process
{
public:
  // aCommand: the program and its arguments. Standard output and standard error
  // are appended to the file aLog.
  Process(std::vector<std::string> aCommand, std::string aLog);
  ~Process(); // kills a running process
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Start(); // does nothing while the process runs
  void Signal(int aSignal);
  void Kill(); // sends SIGKILL and waits for the exit
  bool IsRunning();
  pid_t Id() const { return id_; }           // 0 while it does not run
  int ExitCode() const { return exitCode_; } // of the last exit; -1: by signal

private:
  void RecordExit(int aStatus);

  std::vector<std::string> command_;
  std::string log_;
  pid_t id_ = 0; // 0 while the process does not run
  int exitCode_ = 0;
};

} // namespace cuminbridge::soak

#endif // cuminbridge_soak_processes_h
