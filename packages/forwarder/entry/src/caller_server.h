// Internal: the listener for callers, and their connections.

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

  // Listens. Returns what went wrong, or nothing.
  std::string Start();

  // From now on every answer asks the caller to close its connection.
  void StartDraining() { isDraining_ = true; }

  // Accepts no new connections; those that are open are served on.
  void StopAccepting();

  bool IsEmpty() const { return sessions_.empty(); }

  // Closes connections that lie idle; the others close after their answer.
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
