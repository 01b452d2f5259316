// The history of a job, from the logs of all entries.

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

// Returns the value of a field; empty if it is missing or not a string.
std::string
StringField(const json& aLine, const char* aField)
{
  const auto found = aLine.find(aField);
  return found != aLine.end() && found->is_string() ? found->get<std::string>()
                                                    : std::string();
}

std::string
FormatLine(const json& aLine)
{
  std::string text = StringField(aLine, "time") + ' ' +
                     StringField(aLine, "entry") + ' ' +
                     StringField(aLine, "event");
  for (const auto* field : { "item", "target" }) {
    const auto value = StringField(aLine, field);
    text += value.empty() ? "" : ' ' + value;
  }
  const auto detail = StringField(aLine, "detail");
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
    if (StringField(line, "job") == aJob) {
      const auto time = StringField(line, "time");
      first = first.empty() ? time : std::min(first, time);
      last = std::max(last, time);
      targets.insert(StringField(line, "target"));
    }
    lines.push_back(std::move(line));
  }
  targets.erase("");
  std::vector<std::pair<std::string, std::string>> selected; // by time
  for (const auto& line : lines) {
    const auto time = StringField(line, "time");
    const bool isDuringJob = !first.empty() && time >= first && time <= last;
    const bool isAboutTarget = StringField(line, "job").empty() &&
                               targets.count(StringField(line, "target")) != 0;
    const bool isAboutOwner =
      StringField(line, "event").rfind("owner_", 0) == 0;
    if (StringField(line, "job") == aJob ||
        (isDuringJob && (isAboutTarget || isAboutOwner))) {
      selected.emplace_back(time, FormatLine(line));
    }
  }
  std::stable_sort(selected.begin(),
                   selected.end(),
                   [](const auto& aLeft, const auto& aRight) {
                     return aLeft.first < aRight.first;
                   });
  std::vector<std::string> texts;
  texts.reserve(selected.size());
  for (auto& [time, text] : selected) {
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
  const auto history = ExplainJob(aWords.front(), lines);
  for (const auto& text : history) {
    std::cout << text << "\n";
  }
  if (history.empty()) {
    std::cerr << "no log line is about job " << aWords.front() << "\n";
    return ExitRefused;
  }
  return ExitDone;
}

} // namespace cuminbridge
