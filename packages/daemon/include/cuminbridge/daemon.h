// cuminbridge daemon: one entry VM's process on the users' platform.
//
//   DaemonArguments arguments;
//   arguments.settingsPath_ = "/etc/cuminbridge/settings.conf";
//   arguments.tuningPath_ = "/etc/cuminbridge/tuning.toml"; // may be empty
//   return cuminbridge::RunDaemon(arguments);
//
// Every process takes callers' jobs and keeps them in the platform's store. One
// of them holds the store's lease of the fleet and is its owner: it decides
// what runs where. When it is lost, another takes over from the store.
//
// Exit codes: 0 after SIGTERM, 1 if it can't listen, 2 if the settings have
// faults.

#ifndef cuminbridge_daemon_h
#define cuminbridge_daemon_h

#include <string>

namespace cuminbridge {

struct DaemonArguments
{
  std::string settingsPath_; // of the platform's settings; else by environment
  std::string tuningPath_;   // of the project's own settings; else defaults
  bool isCheckOnly_ = false; // says what is wrong with both, starts nothing
};

int RunDaemon(const DaemonArguments& aArguments);

// The project's own settings in TOML, each with its range and default.
std::string FormatTuningDefaults();

} // namespace cuminbridge

#endif // cuminbridge_daemon_h
