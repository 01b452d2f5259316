// cuminbridge findings: what is wrong in a text, all of it, with its place.
//
// Typical use, for a ticket or a settings file:
//
//   Findings findings;
//   auto table = TomlTable::Parse(text, findings);
//   if (table) {
//     auto number = table->ReadInteger("ticket", 1, kMaxTicket);
//     table->ReportUnknownKeys();
//   }
//   if (!findings.empty()) { ... show FormatFindings(findings) ... }
//
// Nothing stops at the first fault: a reader that fails adds a finding and
// returns its fallback, so that one pass tells the user everything.
//
// Index of this file:
//   [SECTION] Findings
//   [SECTION] Checked reading of TOML

#ifndef cuminbridge_findings_h
#define cuminbridge_findings_h

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cuminbridge {

//-----------------------------------------------------------------------------
// [SECTION] Findings
//-----------------------------------------------------------------------------

// Where something was found in a text. Line and column count from 1; 0 means
// that the finding is about the text as a whole.
struct Place
{
  int line_ = 0;
  int column_ = 0;
  std::string key_; // dotted, as "pool.windhoek-a.vms"

  bool operator==(const Place&) const = default;
};

// One thing that is wrong, said so that the reader can put it right.
struct Finding
{
  Place place_;
  std::string message_;

  bool operator==(const Finding&) const = default;
};

using Findings = std::vector<Finding>;

// "line 3, column 1, pool.a.vms: message", one line for each finding.
std::string FormatFindings(const Findings& aFindings);

//-----------------------------------------------------------------------------
// [SECTION] Checked reading of TOML
//-----------------------------------------------------------------------------

// One table of a TOML text. Copies refer to the same text; the Findings given
// to Parse() must outlive all of them.
class TomlTable
{
public:
  // Nothing, and one finding, if the text is not TOML.
  static std::optional<TomlTable> Parse(std::string_view aText,
                                        Findings& aFindings);

  // Each reader marks its key as known. Without a fallback the key is needed,
  // and a finding says so when it is missing.
  std::int64_t ReadInteger(std::string_view aKey,
                           std::int64_t aLeast,
                           std::int64_t aMost,
                           std::optional<std::int64_t> aFallback = {});
  double ReadNumber(std::string_view aKey,
                    double aLeast,
                    double aMost,
                    double aFallback);
  bool ReadBool(std::string_view aKey, bool aFallback);
  std::string ReadString(std::string_view aKey,
                         std::optional<std::string> aFallback = {});
  std::vector<std::string> ReadStrings(std::string_view aKey,
                                       bool aIsNeeded = true);

  // The table under a key, if there is one.
  std::optional<TomlTable> ReadTable(std::string_view aKey);

  // The tables under a key by their names, as [pool.a] and [pool.b] are under
  // "pool". Empty if the key is missing.
  std::vector<std::pair<std::string, TomlTable>> ReadTables(
    std::string_view aKey);

  // Adds a finding for each key that no reader asked for: a misspelt key must
  // not be taken for one that was left out.
  void ReportUnknownKeys();

  // Adds a finding about a key of this table, for checks of the caller's own.
  void Report(std::string_view aKey, std::string aMessage);

  // Where a key of this table stands; an empty key asks for the table itself.
  Place PlaceOf(std::string_view aKey) const;

private:
  struct Impl;
  explicit TomlTable(std::shared_ptr<Impl> aImpl);

  std::shared_ptr<Impl> impl_;
};

} // namespace cuminbridge

#endif // cuminbridge_findings_h
