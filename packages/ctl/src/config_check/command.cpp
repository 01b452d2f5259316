// The command "config check".

#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

#include "config_check.h"
#include "cuminbridge/adapter.h"
#include "cuminbridge/ctl.h"

namespace cuminbridge {

namespace {

// Nothing, with the reason on standard error, if the file holds no
// configuration.
std::optional<FleetConfig>
ReadConfigFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    std::cerr << aPath << ": can't be opened\n";
    return std::nullopt;
  }
  const std::string text{ std::istreambuf_iterator<char>(file), {} };
  const auto faults = FindConfigFaults(text);
  if (!faults.empty()) {
    std::cerr << aPath << ":\n" << FormatFindings(faults);
    return std::nullopt;
  }
  return ReadConfig(text);
}

} // namespace

int
RunConfigCheck(const std::vector<std::string>& aWords)
{
  if (aWords.size() < 2 || aWords.size() > 3 || aWords.front() != "check") {
    std::cerr << "usage: cuminbridgectl config check FILE [IN-FORCE-FILE]\n";
    return ExitUsage;
  }
  const auto config = ReadConfigFile(aWords[1]);
  if (!config) {
    return ExitRefused;
  }
  auto problems = CheckConfig(*config);
  if (aWords.size() == 3) {
    const auto inForce = ReadConfigFile(aWords[2]);
    if (!inForce) {
      return ExitRefused;
    }
    if (config->version_ <= inForce->version_) {
      problems.push_back({ ConfigProblemKind::Error,
                           "version",
                           "is not above the one in force, " +
                             std::to_string(inForce->version_) });
    }
    for (const auto& line : CompareConfigs(*inForce, *config)) {
      std::cout << "differs: " << line << "\n";
    }
  }
  for (const auto& problem : problems) {
    std::cout << FormatProblem(problem) << "\n";
  }
  std::cout << problems.size() << " problems\n";
  return problems.empty() ? ExitDone : ExitRefused;
}

} // namespace cuminbridge
