// cuminbridge findings: all errors in a text, each with its place.
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
// Reading does not stop at the first error: a reader that fails adds a finding
// and returns a substitute value, so that one pass reports all errors.
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

// The position of a finding in a text. Line and column count from 1; 0 means
// that the finding is about the text as a whole.
struct Place
{
  int line_ = 0;
  int column_ = 0;
  std::string key_; // dotted, as "pool.windhoek-a.vms"; may be empty

  bool operator==(const Place&) const = default;
};

// One error, with a message that tells the user how to correct it.
struct Finding
{
  Place place_;
  std::string message_;

  bool operator==(const Finding&) const = default;
};

using Findings = std::vector<Finding>;

// One line for each finding, as "line 3, column 1, pool.a.vms: message".
std::string FormatFindings(const Findings& aFindings);

//-----------------------------------------------------------------------------
// [SECTION] Checked reading of TOML
//-----------------------------------------------------------------------------

// One table of a TOML text. Copies refer to the same text; the Findings given
// to Parse() must outlive all of them.
class TomlTable
{
public:
  // Returns nothing, and adds one finding, if the text is not valid TOML.
  static std::optional<TomlTable> Parse(std::string_view aText,
                                        Findings& aFindings);

  // Each reader marks its key as known. If the key is missing, it returns the
  // fallback; without a fallback the key is required and a finding is added.
  // Bounds are inclusive.
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
                                       bool aIsRequired = true);

  // The table under a key; nothing if the key is missing. Adds a finding if the
  // value is not a table.
  std::optional<TomlTable> ReadTable(std::string_view aKey);

  // The tables under a key with their names: "pool" gives "a" and "b" for
  // [pool.a] and [pool.b]. Empty if the key is missing.
  std::vector<std::pair<std::string, TomlTable>> ReadTables(
    std::string_view aKey);

  // Adds a finding for each key that no reader asked for, as a misspelt key
  // must not be treated like one that was left out.
  void ReportUnknownKeys();

  // Adds a finding about a key of this table, for the caller's own checks.
  void Report(std::string_view aKey, std::string aMessage);

  // The position of a key of this table, or of the table if the key is empty or
  // missing.
  Place PlaceOf(std::string_view aKey) const;

private:
  struct Impl;
  explicit TomlTable(std::shared_ptr<Impl> aImpl);

  std::shared_ptr<Impl> impl_;
};

} // namespace cuminbridge

#endif // cuminbridge_findings_h
