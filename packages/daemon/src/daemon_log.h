// Internal: the log of a daemon, as JSON lines.

#ifndef cuminbridge_daemon_log_h
#define cuminbridge_daemon_log_h

#include <string>

#include "cuminbridge/fleet.h"

namespace cuminbridge {

// More lines are left out, and counted in the next one.
struct LogLimits
{
  double perSecond_ = 800; // a busy owner of 50 targets writes some 400
  double burst_ = 2000;    // lines at once

  bool operator==(const LogLimits&) const = default;
};

constexpr int kStandardOutput = 1;

// Lines are written to a file descriptor by a thread of their own. While nobody
// reads they are dropped: neither a caller of WriteLine() nor a shutdown waits.
void StartDaemonLog(const std::string& aName, int aFile = kStandardOutput);
void StopDaemonLog();

void SetLogLimits(const LogLimits& aLimits);
void WriteLine(const LogLine& aLine, Instant aNow);

// All lines left out since the start, for whichever reason.
std::uint64_t LinesLeftOut();

} // namespace cuminbridge

#endif // cuminbridge_daemon_log_h
