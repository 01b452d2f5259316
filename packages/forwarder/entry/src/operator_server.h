// Internal: the HTTP listener for operators, who file tickets and read the
// entry's state.

#ifndef cuminbridge_entry_operator_server_h
#define cuminbridge_entry_operator_server_h

#include "entry_loop.h"

namespace cuminbridge::forwarder {

class OperatorServer
{
public:
  explicit OperatorServer(EntryLoop& aLoop);

  // Starts to listen. Returns an error message, or an empty string.
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
