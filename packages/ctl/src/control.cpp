// The command line of cuminbridgectl.

#include "cuminbridge/ctl.h"

#include <fstream>
#include <iostream>
#include <string_view>

#include <tclap/CmdLine.h>

#include "explain.h"
#include "job_commands.h"
#include "tickets.h"

namespace cuminbridge {

namespace {

const char* const kHelp =
  "cuminbridgectl, the operators' command line. Commands on jobs, through the "
  "internal address of any entry:\n"
  "  job submit QUEUE FILE [ID]  hand in a job, in TOML\n"
  "  job read QUEUE ID           its state\n"
  "  job cancel QUEUE ID         cancel it\n"
  "  job list QUEUE              how many wait\n"
  "  fleet queues|pools|accounts|waves|owner\n"
  "                              what the owner of the fleet knows\n"
  "  explain JOB FILE...         what became of a job, from the entries' logs\n"
  "Commands of the forwarder, through its operators' address:\n"
  "  ticket check|file FILE, ticket show N, in-force, pools, accounts, waves\n"
  "Exit codes: 0 done, 1 refused, 2 usage, 3 unreachable or unknown.\n\n"
  "Example: cuminbridgectl -e 10.0.0.1:7000 -k caller.key job submit quotes "
  "job.toml";

// The first line of a file; empty without one.
std::string
ReadSecret(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::string secret;
  std::getline(file, secret);
  return secret;
}

int
RunCommand(const ControlOptions& aOptions,
           const std::vector<std::string>& aWords)
{
  for (const auto run : { RunJobCommand, RunTicketCommand }) {
    if (const auto code = run(aOptions, aWords)) {
      return *code;
    }
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
    TCLAP::MultiArg<std::string> entries(
      "e", "entry", "an entry's address", true, "HOST:PORT", command);
    TCLAP::ValueArg<std::string> credential(
      "c",
      "credential-file",
      "file with the operators' credential, for the forwarder",
      false,
      "",
      "FILE",
      command);
    TCLAP::ValueArg<std::string> key("k",
                                     "key-file",
                                     "file with a client account's key",
                                     false,
                                     "",
                                     "FILE",
                                     command);
    TCLAP::SwitchArg isJson("j", "json", "print JSON", command);
    TCLAP::UnlabeledMultiArg<std::string> words(
      "command", "what to do", true, "COMMAND", command);
    command.setExceptionHandling(false);
    command.parse(aCount, aArguments);
    ControlOptions options;
    options.client_.entries_ = entries.getValue();
    options.client_.credential_ = ReadSecret(credential.getValue());
    options.key_ = ReadSecret(key.getValue());
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
