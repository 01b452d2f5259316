// Commands, their output and their exit codes.

#include "cuminbridge/ctl.h"

#include <chrono>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <boost/leaf/handle_errors.hpp>
#include <tclap/CmdLine.h>

#include "control_client.h"
#include "cuminbridge/model.h"
#include "explain.h"

namespace cuminbridge {

namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

constexpr int kReadBackTries = 10;
constexpr std::chrono::milliseconds kReadBackPause(500);

const char* const kHelp =
  "cuminbridgectl, the operators' command line. Commands:\n"
  "  ticket check FILE   say what filing would do, change nothing\n"
  "  ticket file FILE    file a ticket and wait until it is in force\n"
  "  ticket show N       show an accepted ticket\n"
  "  in-force            the ticket in force, at each entry\n"
  "  pools               pools, their VMs and what they run\n"
  "  accounts               accounts, their limits and what they run\n"
  "  explain JOB FILE... what became of a job, from the entries' logs\n"
  "  waves               maintenance: what is taken, what waits, and why\n"
  "Exit codes: 0 done, 1 refused, 2 usage, 3 unreachable or unknown.\n\n"
  "Example: cuminbridgectl -e 10.0.0.1:9080 -c operator.key ticket file "
  "7.toml";

struct Options
{
  ControlClient client_;
  bool isJson_ = false;
};

//-----------------------------------------------------------------------------
// [SECTION] Showing
//-----------------------------------------------------------------------------

std::string
ToText(const json& aValue)
{
  return aValue.is_string() ? aValue.get<std::string>() : aValue.dump();
}

// A list of objects as a table; nested lists are counted, not shown.
void
PrintTable(const json& aRows)
{
  if (aRows.empty()) {
    std::cout << "none\n";
    return;
  }
  std::vector<std::vector<std::string>> lines(1);
  for (const auto& [key, value] : aRows.front().items()) {
    lines.front().push_back(key);
  }
  for (const json& row : aRows) {
    std::vector<std::string> line;
    for (const auto& [key, value] : row.items()) {
      line.push_back(value.is_array() ? std::to_string(value.size())
                                      : ToText(value));
    }
    lines.push_back(std::move(line));
  }
  std::vector<std::size_t> widths(lines.front().size(), 0);
  for (const auto& line : lines) {
    for (std::size_t i = 0; i < widths.size() && i < line.size(); ++i) {
      widths[i] = std::max(widths[i], line[i].size());
    }
  }
  for (const auto& line : lines) {
    for (std::size_t i = 0; i < line.size(); ++i) {
      const std::size_t width = i < widths.size() ? widths[i] : 0;
      std::cout << line[i] << std::string(width + 2 - line[i].size(), ' ');
    }
    std::cout << "\n";
  }
}

void
Print(const json& aBody)
{
  for (const auto& [key, value] : aBody.items()) {
    if (!value.is_array()) {
      std::cout << key << ": " << ToText(value) << "\n";
    }
  }
  for (const auto& [key, value] : aBody.items()) {
    if (value.is_array() && !value.empty() && value.front().is_object()) {
      std::cout << key << ":\n";
      PrintTable(value);
    }
  }
}

int
CodeOf(int aStatus)
{
  if (aStatus == 200 || aStatus == 201) {
    return ExitDone;
  }
  return aStatus == 0 || aStatus >= 500 ? ExitUnknown : ExitRefused;
}

int
Show(const Options& aOptions, const ControlReply& aReply)
{
  if (aReply.status_ == 0) {
    std::cerr << "no entry could be reached\n";
    return ExitUnknown;
  }
  if (aOptions.isJson_) {
    std::cout << aReply.body_.dump() << "\n";
  } else {
    Print(aReply.body_);
  }
  return CodeOf(aReply.status_);
}

//-----------------------------------------------------------------------------
// [SECTION] Filing
//-----------------------------------------------------------------------------

// The answer to a filing was lost: the ticket itself tells what became of it.
int
ReadBack(const Options& aOptions, const Ticket& aTicket)
{
  std::cerr << "the answer was lost; reading ticket " << aTicket.number_
            << " back\n";
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
  std::cerr << "it has not been accepted so far; file it again to be sure: "
               "a ticket is never accepted twice\n";
  return ExitUnknown;
}

int
FileTicket(const Options& aOptions, const std::string& aPath, bool aCheckOnly)
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
      BOOST_LEAF_AUTO(ticket, ParseTicket(text.str()));
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

int
RunCommand(const Options& aOptions, const std::vector<std::string>& aWords)
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
  std::cerr << "no such command; try --help\n";
  return ExitUsage;
}

} // namespace

int
RunControl(int aCount, char** aArguments)
{
  // Reads files only, and so needs neither an entry nor a credential.
  if (aCount >= 2 && std::string_view(aArguments[1]) == "explain") {
    return RunExplain({ aArguments + 2, aArguments + aCount });
  }
  try {
    TCLAP::CmdLine command(kHelp, ' ', CUMINBRIDGE_VERSION);
    TCLAP::MultiArg<std::string> entries("e",
                                         "entry",
                                         "an entry's operators' address",
                                         true,
                                         "HOST:PORT",
                                         command);
    TCLAP::ValueArg<std::string> credential("c",
                                            "credential-file",
                                            "file with the operators' "
                                            "credential",
                                            true,
                                            "",
                                            "FILE",
                                            command);
    TCLAP::SwitchArg isJson("j", "json", "print JSON", command);
    TCLAP::UnlabeledMultiArg<std::string> words(
      "command", "what to do", true, "COMMAND", command);
    command.setExceptionHandling(false);
    command.parse(aCount, aArguments);
    Options options;
    options.client_.entries_ = entries.getValue();
    std::ifstream file(credential.getValue());
    std::getline(file, options.client_.credential_);
    options.isJson_ = isJson.getValue();
    return RunCommand(options, words.getValue());
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.argId() << ": " << error.error() << "\n";
    return ExitUsage;
  }
}

} // namespace cuminbridge
