// Internal: calls to the operators' HTTP interface of an entry.

#ifndef cuminbridge_ctl_control_client_h
#define cuminbridge_ctl_control_client_h

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace cuminbridge {

struct ControlReply
{
  int status_ = 0; // HTTP status; 0: no complete answer came
  nlohmann::json body_;
};

struct ControlClient
{
  std::vector<std::string> entries_; // host:port, tried in order
  std::string credential_;           // sent as bearer token

  // Gets a path from the first entry that answers.
  ControlReply Get(const std::string& aPath) const;

  // Files a ticket with the first entry that accepts a connection. Sends the
  // ticket only once: after a lost answer, read the ticket back to learn
  // whether it was accepted. If no entry accepts a connection, the body is
  // "unreached"; after a lost answer it is null.
  ControlReply File(const std::string& aText, bool aCheckOnly) const;
};

struct ControlOptions
{
  ControlClient client_;
  std::string key_;     // of a client account, for commands on jobs
  bool isJson_ = false; // print answers as JSON
};

} // namespace cuminbridge

#endif // cuminbridge_ctl_control_client_h
