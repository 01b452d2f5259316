// The command line of cuminbridgectl.

#include "cuminbridge/ctl.h"

#include <fstream>
#include <iostream>
#include <string_view>

#include <tclap/CmdLine.h>

#include "config_check/config_check.h"
#include "explain.h"
#include "job_commands.h"
#include "tickets.h"

namespace cuminbridge {

namespace {

const char* const kHelp =
  "cuminbridgectl, the operators' command line. Commands on jobs, through the "
  "internal address of any entry:\n"
  "  job submit QUEUE FILE [ID]  submit a job, in TOML\n"
  "  job read QUEUE ID           show its state\n"
  "  job cancel QUEUE ID         cancel it\n"
  "  job list QUEUE              show how many jobs wait\n"
  "  fleet queues|pools|load|accounts|waves|evacuations|owner\n"
  "                              show this part of the fleet's state\n"
  "  explain JOB FILE...         show a job's history, from the entries' logs\n"
  "  config check FILE [IN-FORCE-FILE]\n"
  "                              check a configuration before it is sent\n"
  "Commands of the forwarder, through its operators' address:\n"
  "  ticket check|file FILE, ticket show N, in-force, pools, accounts, waves\n"
  "Exit codes: 0 done, 1 refused, 2 usage, 3 unreachable or unknown.\n\n"
  "Example: cuminbridgectl -e 10.0.0.1:7000 -k caller.key job submit quotes "
  "job.toml";

// Returns the first line of a file; empty if the file can't be read.
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
  // These only read files: unlike the other commands, they take no entry and no
  // credential.
  if (aCount >= 2 && std::string_view(aArguments[1]) == "explain") {
    return RunExplain({ aArguments + 2, aArguments + aCount });
  }
  if (aCount >= 2 && std::string_view(aArguments[1]) == "config") {
    return RunConfigCheck({ aArguments + 2, aArguments + aCount });
  }
  try {
    TCLAP::CmdLine command(kHelp, ' ', CUMINBRIDGE_VERSION);
    TCLAP::MultiArg<std::string> entries(
      "e", "entry", "an entry's address", true, "HOST:PORT", command);
    TCLAP::ValueArg<std::string> credential(
      "c",
      "credential-file",
      "file with the operators' credential, for commands of the forwarder",
      false,
      "",
      "FILE",
      command);
    TCLAP::ValueArg<std::string> key(
      "k",
      "key-file",
      "file with a client account's key, for commands on jobs",
      false,
      "",
      "FILE",
      command);
    TCLAP::SwitchArg isJson("j", "json", "print JSON", command);
    TCLAP::UnlabeledMultiArg<std::string> words(
      "command", "the command and its arguments", true, "COMMAND", command);
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
