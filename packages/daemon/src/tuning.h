// Internal: the project's own settings, in TOML. All of them have defaults.
//
//   Findings findings;
//   auto tuning = ReadTuning(text, findings);
//
// None of them changes what owners have to agree on, such as the length of
// leases, so entries may run with different settings.

#ifndef cuminbridge_daemon_tuning_h
#define cuminbridge_daemon_tuning_h

#include "cuminbridge/findings.h"
#include "cuminbridge/fleet.h"

#include "daemon_log.h"
#include "door/door.h"

namespace cuminbridge {

enum class AdmissionMode
{
  Off,
  Log, // decides and logs, but refuses no job
  On,
};

struct Tuning
{
  FleetOptions fleet_;
  AdmissionMode admission_ = AdmissionMode::Off;
  LogLimits log_;
  DoorSettings door_;
};

// Adds a finding for each value that is out of its range or of the wrong type,
// and for each unknown key. A setting with a finding keeps its default.
Tuning ReadTuning(std::string_view aText, Findings& aFindings);

// One line for each setting that differs, as "fleet.run_wait_ms 400 -> 300".
std::vector<std::string> CompareTuning(const Tuning& aOld, const Tuning& aNew);

} // namespace cuminbridge

#endif // cuminbridge_daemon_tuning_h
