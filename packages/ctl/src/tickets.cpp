// Commands of the forwarder: filing and showing tickets, and its state.

#include "tickets.h"

#include <chrono>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <boost/leaf/handle_errors.hpp>

#include "cuminbridge/ctl.h"
#include "cuminbridge/model.h"
#include "show.h"

namespace cuminbridge {

namespace leaf = boost::leaf;

namespace {

constexpr int kReadBackTries = 10;
constexpr std::chrono::milliseconds kReadBackPause(500);

// Finds out whether a ticket was accepted when the answer to its filing was
// lost: reads the ticket of that number and compares the digests.
int
ReadBack(const ControlOptions& aOptions, const forwarder::Ticket& aTicket)
{
  std::cerr << "no answer came to the filing; reading ticket "
            << aTicket.number_ << " back\n";
  for (int i = 0; i < kReadBackTries; ++i) {
    std::this_thread::sleep_for(kReadBackPause);
    const ControlReply reply =
      aOptions.client_.Get("/v1/tickets/" + std::to_string(aTicket.number_));
    if (reply.status_ != 200) {
      continue;
    }
    const bool isSame = reply.body_.value("digest", "") == aTicket.digest_;
    std::cout << (isSame ? "accepted\n" : "another ticket has that number\n");
    return isSame ? ExitDone : ExitRefused;
  }
  std::cerr << "the ticket has not been accepted so far; file it again to be "
               "sure: a ticket is never accepted twice\n";
  return ExitUnknown;
}

int
FileTicket(const ControlOptions& aOptions,
           const std::string& aPath,
           bool aCheckOnly)
{
  std::ifstream file(aPath);
  if (!file) {
    std::cerr << aPath << ": can't be opened\n";
    return ExitUsage;
  }
  std::stringstream text;
  text << file.rdbuf();
  return leaf::try_handle_all(
    [&]() -> leaf::result<int> {
      BOOST_LEAF_AUTO(ticket, forwarder::ParseTicket(text.str()));
      const ControlReply reply =
        aOptions.client_.File(ticket.text_, aCheckOnly);
      const bool isLost =
        reply.status_ == 504 || (reply.status_ == 0 && reply.body_.is_null());
      return isLost && !aCheckOnly ? ReadBack(aOptions, ticket)
                                   : Show(aOptions, reply);
    },
    [&](const Findings& aFindings) {
      std::cerr << aPath << ": refused\n" << FormatFindings(aFindings);
      return static_cast<int>(ExitRefused);
    },
    [&] { return static_cast<int>(ExitRefused); });
}

} // namespace

std::optional<int>
RunTicketCommand(const ControlOptions& aOptions,
                 const std::vector<std::string>& aWords)
{
  if (aWords.size() == 3 && aWords[0] == "ticket") {
    if (aWords[1] == "check" || aWords[1] == "file") {
      return FileTicket(aOptions, aWords[2], aWords[1] == "check");
    }
    if (aWords[1] == "show") {
      return Show(aOptions, aOptions.client_.Get("/v1/tickets/" + aWords[2]));
    }
  }
  if (aWords.size() == 1 && (aWords[0] == "in-force" || aWords[0] == "pools" ||
                             aWords[0] == "accounts" || aWords[0] == "waves")) {
    return Show(aOptions, aOptions.client_.Get("/v1/" + aWords[0]));
  }
  return std::nullopt;
}

} // namespace cuminbridge
