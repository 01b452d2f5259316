// cuminbridge entry: the process between callers and targets.
//
//   auto settings = ParseSettings(text);   // a LEAF result, with Findings
//   int code = RunEntry(*settings);        // returns after a shutdown
//
// RunEntry() feeds what happens to the reducer of the core package and carries
// out its effects; every decision is made there, none here. It runs on one
// thread; SIGTERM or SIGINT asks for a graceful shutdown, a second one ends
// the process at once.

#ifndef cuminbridge_entry_h
#define cuminbridge_entry_h

#include "cuminbridge/core.h"

namespace cuminbridge::forwarder {

// What the settings file says. docs/forwarder/settings.md lists each key.
struct Settings
{
  EntryOptions options_; // id and peer address are the peers' listen address

  std::string callersListen_;   // host:port for callers
  std::string operatorsListen_; // host:port for operators
  std::string operatorsCredentialFile_;
  std::string peersCredentialFile_; // empty: peers show no credential

  std::vector<std::string> storeAddresses_;
  std::chrono::milliseconds storeTimeout_{ 1000 };
  std::string vmListAddress_; // empty: every VM counts as live
  std::chrono::milliseconds vmListInterval_{ 1000 };
  int targetPort_ = 0;

  std::size_t maxHeaderBytes_ = 16 * 1024;
  std::chrono::milliseconds headerTimeout_{ 10'000 }; // to read one head
  std::chrono::milliseconds idleTimeout_{ 60'000 };   // between requests
  std::chrono::milliseconds bodyTimeout_{ 30'000 };   // for each part of a body

  std::string logLevel_ = "info"; // trace, debug, info, warn, error
};

// Reads settings. On failure the LEAF error carries Findings, all of them.
boost::leaf::result<Settings> ParseSettings(std::string_view aText);

// Runs an entry until it is shut down. Returns the exit code: 0 after a
// graceful shutdown, 1 if it could not start.
int RunEntry(const Settings& aSettings);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_entry_h
