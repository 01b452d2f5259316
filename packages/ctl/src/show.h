// Internal: answers as tables and lines.

#ifndef cuminbridge_ctl_show_h
#define cuminbridge_ctl_show_h

#include "control_client.h"

namespace cuminbridge {

// Prints an answer; returns the exit code that goes with it.
int Show(const ControlOptions& aOptions, const ControlReply& aReply);

} // namespace cuminbridge

#endif // cuminbridge_ctl_show_h
