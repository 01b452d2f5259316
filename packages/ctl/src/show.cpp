// Prints answers for operators.

#include "show.h"

#include <iostream>

#include "cuminbridge/ctl.h"

namespace cuminbridge {

using nlohmann::json;

namespace {

std::string
ToText(const json& aValue)
{
  return aValue.is_string() ? aValue.get<std::string>() : aValue.dump();
}

// Prints a list of objects as a table, with the keys of the first object as
// header. Of a nested list, only its length is shown.
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
ExitCodeFor(int aStatus)
{
  if (aStatus == 200 || aStatus == 201) {
    return ExitDone;
  }
  return aStatus == 0 || aStatus >= 500 ? ExitUnknown : ExitRefused;
}

} // namespace

int
Show(const ControlOptions& aOptions, const ControlReply& aReply)
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
  return ExitCodeFor(aReply.status_);
}

} // namespace cuminbridge
