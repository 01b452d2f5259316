// Formats findings as text.

#include "cuminbridge/findings.h"

namespace cuminbridge {

std::string
FormatFindings(const Findings& aFindings)
{
  std::string text;
  for (const Finding& finding : aFindings) {
    const Place& place = finding.place_;
    if (place.line_ > 0) {
      text += "line " + std::to_string(place.line_) + ", column " +
              std::to_string(place.column_) + ", ";
    }
    if (!place.key_.empty()) {
      text += place.key_ + ": ";
    }
    text += finding.message_ + "\n";
  }
  return text;
}

} // namespace cuminbridge
