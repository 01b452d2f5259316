// Internal: calls to the operators' interface of some entry.

#ifndef cuminbridge_ctl_control_client_h
#define cuminbridge_ctl_control_client_h

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace cuminbridge {

struct ControlReply
{
  int status_ = 0; // 0: no whole answer came
  nlohmann::json body_;
};

struct ControlClient
{
  std::vector<std::string> entries_; // host:port, tried in turn
  std::string credential_;

  // Reads a page from the first entry that answers.
  ControlReply Get(const std::string& aPath) const;

  // Files with the first entry that can be connected to. Never sends a ticket
  // a second time: after a lost answer, read the ticket back.
  ControlReply File(const std::string& aText, bool aCheckOnly) const;
};

struct ControlOptions
{
  ControlClient client_;
  std::string key_; // of a client account, for commands on jobs
  bool isJson_ = false;
};

} // namespace cuminbridge

#endif // cuminbridge_ctl_control_client_h
