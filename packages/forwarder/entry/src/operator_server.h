// Internal: the listener for operators: filing tickets and reading back.

#ifndef cuminbridge_entry_operator_server_h
#define cuminbridge_entry_operator_server_h

#include "entry_loop.h"

namespace cuminbridge::forwarder {

class OperatorServer
{
public:
  explicit OperatorServer(EntryLoop& aLoop);

  // Listens. Returns what went wrong, or nothing.
  std::string Start();

  void Stop();

private:
  Awaitable<void> AcceptForEver();
  Awaitable<void> Serve(Stream aStream);

  EntryLoop& loop_;
  Acceptor acceptor_;
};

} // namespace cuminbridge::forwarder

#endif // cuminbridge_entry_operator_server_h
