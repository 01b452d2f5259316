// cuminbridge entry: the process that forwards callers' requests to targets.
//
//   auto settings = ParseSettings(text);   // a LEAF result, with Findings
//   int code = RunEntry(*settings);        // returns after a shutdown
//
// RunEntry() passes each event (request, peer frame, store answer, tick) to the
// reducer of the core package and carries out the effects that it returns. All
// decisions are made in the reducer; this package does the I/O. Everything runs
// on one thread. SIGTERM or SIGINT starts a graceful shutdown; a second signal
// ends the process at once.

#ifndef cuminbridge_entry_h
#define cuminbridge_entry_h

#include "cuminbridge/core.h"

namespace cuminbridge::forwarder {

// Contents of the settings file. docs/forwarder/settings.md lists each key.
struct Settings
{
  EntryOptions options_; // self_.id_ and self_.peerAddress_: listen.peers

  std::string callersListen_;   // IP:port of the listener for callers
  std::string operatorsListen_; // IP:port of the listener for operators
  std::string operatorsCredentialFile_;
  std::string peersCredentialFile_; // empty: peers send no credential

  std::vector<std::string> storeAddresses_; // IP:port each, at least one
  std::chrono::milliseconds storeTimeout_{ 1000 };
  std::string vmListAddress_; // IP:port; empty: every VM counts as live
  std::chrono::milliseconds vmListInterval_{ 1000 };
  int targetPort_ = 0; // the same port on every target VM

  std::size_t maxHeaderBytes_ = 16 * 1024;
  std::chrono::milliseconds headerTimeout_{ 10'000 }; // for one request header
  std::chrono::milliseconds idleTimeout_{ 60'000 };   // between requests
  std::chrono::milliseconds bodyTimeout_{ 30'000 };   // for each part of a body

  std::string logLevel_ = "info"; // trace, debug, info, warn, error
};

// Parses settings. On failure the LEAF error carries Findings with every fault
// of the text, not just the first one.
boost::leaf::result<Settings> ParseSettings(std::string_view aText);

// Runs an entry until it is shut down. Returns the exit code: 0 after a
// graceful shutdown, 1 if it could not start.
int RunEntry(const Settings& aSettings);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_entry_h
