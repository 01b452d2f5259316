// Internal: checks a configuration before the operator sends it. Pure functions
// of decoded configurations, and the command around them.

#ifndef cuminbridge_ctl_config_check_h
#define cuminbridge_ctl_config_check_h

#include <string>
#include <vector>

#include "cuminbridge/jobs.h"

namespace cuminbridge {

enum class ConfigProblemKind
{
  Error,         // it names what does not exist, or holds an invalid value
  NeverMatches,  // no request can ever select the entry
  Contradiction, // two values can't both have their effect
};

struct ConfigProblem
{
  ConfigProblemKind kind_ = ConfigProblemKind::Error;
  std::string entry_; // as "queue quotes"
  std::string message_;

  bool operator==(const ConfigProblem&) const = default;
};

// All problems of a configuration, those of queues first.
std::vector<ConfigProblem> CheckConfig(const FleetConfig& aConfig);

// One line for each entry or value that aNew adds, removes or changes. API keys
// are counted, never shown.
std::vector<std::string> CompareConfigs(const FleetConfig& aInForce,
                                        const FleetConfig& aNew);

// "error: queue quotes: its pool 'p' does not exist"
std::string FormatProblem(const ConfigProblem& aProblem);

// The command "config check FILE [IN-FORCE-FILE]". Returns an ExitCode: Refused
// if there are problems.
int RunConfigCheck(const std::vector<std::string>& aWords);

} // namespace cuminbridge

#endif // cuminbridge_ctl_config_check_h
