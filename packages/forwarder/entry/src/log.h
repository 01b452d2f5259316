// Internal: the log, written as JSON lines to standard output.

#ifndef cuminbridge_entry_log_h
#define cuminbridge_entry_log_h

#include "cuminbridge/core.h"

namespace cuminbridge::forwarder {

// Lines are written by a separate thread. If the reader of standard output is
// too slow, the oldest queued lines are dropped, so that logging never blocks
// the entry.
void StartLog(const std::string& aLevel, const Member& aSelf);
void StopLog();

// aWhat is the name of the event, aDetail a text for operators.
void LogInfo(const std::string& aWhat, const std::string& aDetail);
void LogError(const std::string& aWhat, const std::string& aDetail);
void WriteDecision(const LogDecision& aDecision);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_entry_log_h
