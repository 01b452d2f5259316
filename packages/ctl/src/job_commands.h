// Internal: commands on jobs and on the fleet.

#ifndef cuminbridge_ctl_job_commands_h
#define cuminbridge_ctl_job_commands_h

#include <nlohmann/json.hpp>

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

// Views of the same name from the owners of several cells, as one.
nlohmann::json MergeViews(const std::vector<nlohmann::json>& aParts);

} // namespace cuminbridge

#endif // cuminbridge_ctl_job_commands_h
