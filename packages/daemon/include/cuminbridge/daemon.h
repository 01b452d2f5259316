// cuminbridge daemon: one entry VM's process on the users' platform.
//
//   return cuminbridge::RunDaemon("/etc/cuminbridge/settings.conf");
//
// Every process takes callers' jobs and keeps them in the platform's store. One
// of them holds the store's lease of the fleet and is its owner: it decides
// what runs where. When it is lost, another takes over from the store.
//
// Exit codes: 0 after SIGTERM, 2 if the settings have faults.

#ifndef cuminbridge_daemon_h
#define cuminbridge_daemon_h

#include <string>

namespace cuminbridge {

int RunDaemon(const std::string& aSettingsPath);

} // namespace cuminbridge

#endif // cuminbridge_daemon_h
