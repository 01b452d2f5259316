// cuminbridge daemon: the process that runs on each entry VM of the users'
// platform.
//
//   DaemonArguments arguments;
//   arguments.settingsPath_ = "/etc/cuminbridge/settings.conf";
//   arguments.tuningPath_ = "/etc/cuminbridge/tuning.toml"; // may be empty
//   return cuminbridge::RunDaemon(arguments);
//
// Every process accepts jobs from callers and stores them in the platform's
// store. One process holds the lease on the fleet in that store and is the
// owner: it decides what runs where. When the owner fails, another process
// takes the lease and reads the state of the fleet from the store.
//
// Exit codes: 0 after SIGTERM or after a check without faults, 1 if an address
// can't be opened for listening, 2 if the settings have faults.

#ifndef cuminbridge_daemon_h
#define cuminbridge_daemon_h

#include <string>

namespace cuminbridge {

struct DaemonArguments
{
  std::string settingsPath_; // platform's settings; empty: path by environment
  std::string tuningPath_;   // project's own settings; empty: all defaults
  bool isCheckOnly_ = false; // reports faults in both files and starts nothing
};

int RunDaemon(const DaemonArguments& aArguments);

// The project's own settings in TOML, each with its meaning, range and default.
std::string FormatTuningDefaults();

} // namespace cuminbridge

#endif // cuminbridge_daemon_h
