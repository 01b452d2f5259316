// Internal: the log of a daemon, as JSON lines on standard output.

#ifndef cuminbridge_daemon_log_h
#define cuminbridge_daemon_log_h

#include <string>

#include "cuminbridge/fleet.h"

namespace cuminbridge {

// Lines are written by a thread of their own and never wait for the reader; the
// oldest are dropped while it does not read.
void StartDaemonLog(const std::string& aName);
void StopDaemonLog();

// One line, unless too many were written in the last second. Lines that were
// left out are counted in the next one.
void WriteLine(const LogLine& aLine, Instant aNow);

// All lines left out since the start.
std::uint64_t LinesLeftOut();

} // namespace cuminbridge

#endif // cuminbridge_daemon_log_h
