// Internal: the HTTP listener for callers, and their connections.

#ifndef cuminbridge_entry_caller_server_h
#define cuminbridge_entry_caller_server_h

#include <set>

#include "entry_loop.h"

namespace cuminbridge::forwarder {

struct CallerSession;

class CallerServer
{
public:
  explicit CallerServer(EntryLoop& aLoop);

  // Starts to listen. Returns an error message, or an empty string.
  std::string Start();

  // From now on every answer says "Connection: close".
  void StartDraining() { isDraining_ = true; }

  // Closes the listener. Open connections are still served.
  void StopAccepting();

  bool IsEmpty() const { return sessions_.empty(); }

  // Closes the listener and the connections that wait for a request. The other
  // connections close after their current answer.
  void CloseAll();

private:
  friend struct CallerSession;

  Awaitable<void> AcceptForEver();

  EntryLoop& loop_;
  Acceptor acceptor_;
  std::set<CallerSession*> sessions_;
  bool isDraining_ = false;
  bool isClosing_ = false;
};

} // namespace cuminbridge::forwarder

#endif // cuminbridge_entry_caller_server_h
