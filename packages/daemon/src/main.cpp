// The command line of cuminbridge.

#include <iostream>
#include <string>

#include <tclap/CmdLine.h>

#include "build_info.h"
#include "cuminbridge/daemon.h"

int
main(int argc, char** argv)
{
  constexpr int kExitUsage = 2;
  try {
    TCLAP::CmdLine command(
      "cuminbridge, an entry that accepts jobs from callers and, while it owns "
      "the fleet, runs them on targets. It keeps nothing on disk. SIGTERM "
      "shuts "
      "it down gracefully; SIGHUP reads the project's own settings "
      "again.\n\nExample: cuminbridge --settings entry.conf",
      ' ',
      std::string(cuminbridge::kBuildVersion) + ", commit " +
        cuminbridge::kBuildCommit);
    TCLAP::ValueArg<std::string> settings(
      "s",
      "settings",
      "the platform's settings file; without it, the environment names it",
      false,
      "",
      "FILE",
      command);
    TCLAP::ValueArg<std::string> tuning(
      "t",
      "tuning",
      "the project's own settings in TOML; without it, all have their defaults",
      false,
      "",
      "FILE",
      command);
    TCLAP::SwitchArg isCheckOnly(
      "",
      "check",
      "check both files and exit: 0 without faults, 2 with faults",
      command);
    TCLAP::SwitchArg printsDefaults(
      "",
      "print-defaults",
      "print the project's own settings with their defaults and exit",
      command);
    command.setExceptionHandling(false);
    command.parse(argc, argv);
    if (printsDefaults.getValue()) {
      std::cout << cuminbridge::FormatTuningDefaults();
      return 0;
    }
    cuminbridge::DaemonArguments arguments;
    arguments.settingsPath_ = settings.getValue();
    arguments.tuningPath_ = tuning.getValue();
    arguments.isCheckOnly_ = isCheckOnly.getValue();
    return cuminbridge::RunDaemon(arguments);
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.argId() << ": " << error.error() << "\n";
    return kExitUsage;
  }
}
