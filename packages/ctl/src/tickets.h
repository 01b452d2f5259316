// Internal: commands of the forwarder.

#ifndef cuminbridge_ctl_tickets_h
#define cuminbridge_ctl_tickets_h

#include <optional>
#include <string>
#include <vector>

#include "control_client.h"

namespace cuminbridge {

// Returns an ExitCode, or nothing if the words are not a command of the
// forwarder.
std::optional<int> RunTicketCommand(const ControlOptions& aOptions,
                                    const std::vector<std::string>& aWords);

} // namespace cuminbridge

#endif // cuminbridge_ctl_tickets_h
