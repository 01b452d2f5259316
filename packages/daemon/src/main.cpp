// The command line of cuminbridge.

#include <iostream>

#include <tclap/CmdLine.h>

#include "cuminbridge/daemon.h"

int
main(int argc, char** argv)
{
  constexpr int kExitUsage = 2;
  try {
    TCLAP::CmdLine command(
      "cuminbridge, an entry that takes callers' jobs and, when it owns the "
      "fleet, runs them on targets. It keeps nothing on disk and shuts down "
      "gracefully on SIGTERM.\n\nExample: cuminbridge --settings entry.conf",
      ' ',
      CUMINBRIDGE_VERSION);
    TCLAP::ValueArg<std::string> settings(
      "s",
      "settings",
      "the platform's settings file; without it, the environment names it",
      false,
      "",
      "FILE",
      command);
    command.setExceptionHandling(false);
    command.parse(argc, argv);
    return cuminbridge::RunDaemon(settings.getValue());
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.argId() << ": " << error.error() << "\n";
    return kExitUsage;
  }
}
