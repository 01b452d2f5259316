// Internal: settings of the project's own, in TOML. All of them have defaults.
//
//   Findings findings;
//   auto tuning = ReadTuning(text, findings);
//
// None of them touches what owners have to agree on, such as how long leases
// last: entries may run with different ones.

#ifndef cuminbridge_daemon_tuning_h
#define cuminbridge_daemon_tuning_h

#include "cuminbridge/findings.h"
#include "cuminbridge/fleet.h"

#include "daemon_log.h"

namespace cuminbridge {

struct Tuning
{
  FleetOptions fleet_;
  LogLimits log_;
};

// A finding for each value that is out of its range or of another type, and for
// each key that is not known. What has a finding keeps its default.
Tuning ReadTuning(std::string_view aText, Findings& aFindings);

// One line for each setting that differs, as "fleet.run_wait_ms 400 -> 300".
std::vector<std::string> CompareTuning(const Tuning& aOld, const Tuning& aNew);

} // namespace cuminbridge

#endif // cuminbridge_daemon_tuning_h
