// The command line of cuminbridge_forwarder.

#include <chrono>
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/leaf/handle_errors.hpp>
#include <tclap/CmdLine.h>

#include "cuminbridge/entry.h"

namespace {

namespace leaf = boost::leaf;

constexpr int kExitRefused = 1;
constexpr int kExitUsage = 2;

int
Run(const std::string& aPath, bool aCheckOnly)
{
  std::ifstream file(aPath);
  if (!file) {
    std::cerr << aPath << ": the settings file can't be opened\n";
    return kExitUsage;
  }
  std::stringstream text;
  text << file.rdbuf();
  return leaf::try_handle_all(
    [&]() -> leaf::result<int> {
      BOOST_LEAF_AUTO(settings,
                      cuminbridge::forwarder::ParseSettings(text.str()));
      if (aCheckOnly) {
        std::cout << aPath << ": good\n";
        return 0;
      }
      // A restarted process at the same address must have a higher incarnation
      // than the one before it.
      const auto now = std::chrono::system_clock::now().time_since_epoch();
      settings.options_.self_.incarnation_ = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(now).count());
      settings.options_.randomSeed_ = settings.options_.self_.incarnation_;
      return cuminbridge::forwarder::RunEntry(settings);
    },
    [&](const cuminbridge::Findings& aFindings) {
      std::cerr << aPath << ": refused\n"
                << cuminbridge::FormatFindings(aFindings);
      return kExitRefused;
    },
    [&] {
      std::cerr << aPath << ": refused\n";
      return kExitRefused;
    });
}

} // namespace

int
main(int argc, char** argv)
{
  try {
    TCLAP::CmdLine command(
      "cuminbridge, an entry between callers and their targets. It reads its "
      "settings once, keeps nothing on disk, and shuts down gracefully on "
      "SIGTERM.\n\nExample: cuminbridge --settings entry.toml --check",
      ' ',
      CUMINBRIDGE_VERSION);
    TCLAP::ValueArg<std::string> settings(
      "s", "settings", "settings file, in TOML", true, "", "FILE", command);
    TCLAP::SwitchArg check(
      "c", "check", "check the settings, print all findings and exit", command);
    command.setExceptionHandling(false);
    command.parse(argc, argv);
    return Run(settings.getValue(), check.getValue());
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.argId() << ": " << error.error() << "\n";
    return kExitUsage;
  }
}
