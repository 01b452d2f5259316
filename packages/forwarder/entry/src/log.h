// Internal: the log, JSON lines on standard output.

#ifndef cuminbridge_entry_log_h
#define cuminbridge_entry_log_h

#include "cuminbridge/core.h"

namespace cuminbridge::forwarder {

// Lines are written by a thread of the log's own. If the reader is too slow,
// the oldest lines are lost rather than the entry held up.
void StartLog(const std::string& aLevel, const Member& aSelf);
void StopLog();

void LogInfo(const std::string& aWhat, const std::string& aDetail);
void LogError(const std::string& aWhat, const std::string& aDetail);
void WriteDecision(const LogDecision& aDecision);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_entry_log_h
