// Internal: the log of a daemon, as JSON lines.

#ifndef cuminbridge_daemon_log_h
#define cuminbridge_daemon_log_h

#include <string>

#include "cuminbridge/fleet.h"

namespace cuminbridge {

// Rate limit of the log. Lines beyond it are left out, and the next line that
// is written is preceded by their count.
struct LogLimits
{
  double perSecond_ = 800; // a busy owner of 50 targets writes some 400
  double burst_ = 2000;    // lines at once

  bool operator==(const LogLimits&) const = default;
};

constexpr int kStandardOutput = 1;

// Lines are written to a file descriptor by a thread of their own. While nobody
// reads from it they are dropped, so that neither a caller of WriteLine() nor a
// shutdown blocks.
void StartDaemonLog(const std::string& aName,
                    int aFileDescriptor = kStandardOutput);
void StopDaemonLog();

void SetLogLimits(const LogLimits& aLimits);
void WriteLine(const LogLine& aLine, Instant aNow);

// Number of lines lost since the start: beyond the rate limit, beyond the
// queue, or without a reader.
std::uint64_t LinesLeftOut();

} // namespace cuminbridge

#endif // cuminbridge_daemon_log_h
