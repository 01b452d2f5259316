// Internal: commands on jobs and on the fleet.

#ifndef cuminbridge_ctl_job_commands_h
#define cuminbridge_ctl_job_commands_h

#include "cuminbridge/findings.h"
#include "cuminbridge/jobs.h"

#include "control_client.h"

namespace cuminbridge {

// Returns an ExitCode, or nothing if the words are not a command on jobs or on
// the fleet.
std::optional<int> RunJobCommand(const ControlOptions& aOptions,
                                 const std::vector<std::string>& aWords);

// Reads a job in TOML, with a table for each step: [step.1], [step.2] and so
// on. Adds a finding for each fault.
Job ReadJobFile(std::string_view aText, Findings& aFindings);

} // namespace cuminbridge

#endif // cuminbridge_ctl_job_commands_h
