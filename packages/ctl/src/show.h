// Internal: prints answers for operators.

#ifndef cuminbridge_ctl_show_h
#define cuminbridge_ctl_show_h

#include "control_client.h"

namespace cuminbridge {

// Prints an answer, as JSON or as lines and tables. Returns the ExitCode for
// its status.
int Show(const ControlOptions& aOptions, const ControlReply& aReply);

} // namespace cuminbridge

#endif // cuminbridge_ctl_show_h
