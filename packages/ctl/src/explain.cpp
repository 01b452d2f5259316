// What became of a job, from the logs of all entries.

#include "explain.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <set>

#include <nlohmann/json.hpp>

#include "cuminbridge/ctl.h"

namespace cuminbridge {

using nlohmann::json;

namespace {

std::string
Text(const json& aLine, const char* aField)
{
  const auto found = aLine.find(aField);
  return found != aLine.end() && found->is_string() ? found->get<std::string>()
                                                    : std::string();
}

std::string
Readable(const json& aLine)
{
  std::string text = Text(aLine, "time") + ' ' + Text(aLine, "entry") + ' ' +
                     Text(aLine, "event");
  for (const auto* field : { "item", "target" }) {
    const auto value = Text(aLine, field);
    text += value.empty() ? "" : ' ' + value;
  }
  const auto detail = Text(aLine, "detail");
  return detail.empty() ? text : text + ": " + detail;
}

} // namespace

std::vector<std::string>
ExplainJob(const std::string& aJob, const std::vector<std::string>& aLines)
{
  std::vector<json> lines;
  std::set<std::string> targets;
  std::string first;
  std::string last;
  for (const auto& text : aLines) {
    auto line = json::parse(text, nullptr, false);
    if (!line.is_object()) {
      continue;
    }
    if (Text(line, "job") == aJob) {
      const auto time = Text(line, "time");
      first = first.empty() ? time : std::min(first, time);
      last = std::max(last, time);
      targets.insert(Text(line, "target"));
    }
    lines.push_back(std::move(line));
  }
  targets.erase("");
  std::vector<std::pair<std::string, std::string>> told;
  for (const auto& line : lines) {
    const auto time = Text(line, "time");
    const bool isBetween = !first.empty() && time >= first && time <= last;
    const bool isAboutTarget =
      Text(line, "job").empty() && targets.count(Text(line, "target")) != 0;
    const bool isAboutOwner = Text(line, "event").rfind("owner_", 0) == 0;
    if (Text(line, "job") == aJob ||
        (isBetween && (isAboutTarget || isAboutOwner))) {
      told.emplace_back(time, Readable(line));
    }
  }
  std::stable_sort(
    told.begin(), told.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first < aRight.first;
    });
  std::vector<std::string> texts;
  texts.reserve(told.size());
  for (auto& [time, text] : told) {
    texts.push_back(std::move(text));
  }
  return texts;
}

int
RunExplain(const std::vector<std::string>& aWords)
{
  if (aWords.size() < 2) {
    std::cerr << "usage: cuminbridgectl explain JOB FILE...\n";
    return ExitUsage;
  }
  std::vector<std::string> lines;
  for (std::size_t index = 1; index < aWords.size(); ++index) {
    std::ifstream file(aWords[index]);
    if (!file) {
      std::cerr << aWords[index] << ": can't be opened\n";
      return ExitUsage;
    }
    for (std::string line; std::getline(file, line);) {
      lines.push_back(std::move(line));
    }
  }
  const auto told = ExplainJob(aWords.front(), lines);
  for (const auto& text : told) {
    std::cout << text << "\n";
  }
  if (told.empty()) {
    std::cerr << "no line is about job " << aWords.front() << "\n";
    return ExitRefused;
  }
  return ExitDone;
}

} // namespace cuminbridge
