// Internal: commands of the forwarder.

#ifndef cuminbridge_ctl_tickets_h
#define cuminbridge_ctl_tickets_h

#include <optional>
#include <string>
#include <vector>

#include "control_client.h"

namespace cuminbridge {

// Nothing if the words are no command of the forwarder.
std::optional<int> RunTicketCommand(const ControlOptions& aOptions,
                                    const std::vector<std::string>& aWords);

} // namespace cuminbridge

#endif // cuminbridge_ctl_tickets_h
