// Checked reading of TOML, on toml++.

#include <set>

#include <toml++/toml.h>

#include "cuminbridge/findings.h"

namespace cuminbridge {

struct TomlTable::Impl
{
  std::shared_ptr<toml::table> root_; // keeps every table below it alive
  toml::table* table_ = nullptr;
  std::string path_; // dotted; empty for the root table
  std::set<std::string, std::less<>> knownKeys_; // that a reader asked for
  Findings* findings_ = nullptr;

  const toml::node* Find(std::string_view aKey)
  {
    knownKeys_.emplace(aKey);
    return table_->get(aKey);
  }

  std::string PathOf(std::string_view aKey) const
  {
    if (path_.empty()) {
      return std::string(aKey);
    }
    if (aKey.empty()) {
      return path_;
    }
    return path_ + "." + std::string(aKey);
  }
};

namespace {

Place
MakePlace(const toml::node* aNode, std::string aPath)
{
  Place place;
  place.key_ = std::move(aPath);
  if (aNode != nullptr) {
    place.line_ = static_cast<int>(aNode->source().begin.line);
    place.column_ = static_cast<int>(aNode->source().begin.column);
  }
  return place;
}

} // namespace

TomlTable::TomlTable(std::shared_ptr<Impl> aImpl)
  : impl_(std::move(aImpl))
{
}

std::optional<TomlTable>
TomlTable::Parse(std::string_view aText, Findings& aFindings)
{
  auto impl = std::make_shared<Impl>();
  impl->findings_ = &aFindings;
  try {
    impl->root_ = std::make_shared<toml::table>(toml::parse(aText));
  } catch (const toml::parse_error& error) {
    Place place;
    place.line_ = static_cast<int>(error.source().begin.line);
    place.column_ = static_cast<int>(error.source().begin.column);
    aFindings.push_back(
      { place, "not TOML: " + std::string(error.description()) });
    return {};
  }
  impl->table_ = impl->root_.get();
  return TomlTable(std::move(impl));
}

Place
TomlTable::PlaceOf(std::string_view aKey) const
{
  const toml::node* node =
    aKey.empty() ? impl_->table_ : impl_->table_->get(aKey);
  if (node == nullptr) {
    node = impl_->table_;
  }
  return MakePlace(node, impl_->PathOf(aKey));
}

void
TomlTable::Report(std::string_view aKey, std::string aMessage)
{
  impl_->findings_->push_back({ PlaceOf(aKey), std::move(aMessage) });
}

std::int64_t
TomlTable::ReadInteger(std::string_view aKey,
                       std::int64_t aLeast,
                       std::int64_t aMost,
                       std::optional<std::int64_t> aFallback)
{
  const toml::node* node = impl_->Find(aKey);
  if (node == nullptr) {
    if (!aFallback) {
      Report(aKey, "is missing");
    }
    return aFallback.value_or(aLeast);
  }
  const auto value = node->value_exact<std::int64_t>();
  if (!value || *value < aLeast || *value > aMost) {
    Report(aKey,
           "must be a whole number from " + std::to_string(aLeast) + " to " +
             std::to_string(aMost));
    return aLeast;
  }
  return *value;
}

double
TomlTable::ReadNumber(std::string_view aKey,
                      double aLeast,
                      double aMost,
                      double aFallback)
{
  const toml::node* node = impl_->Find(aKey);
  if (node == nullptr) {
    return aFallback;
  }
  const auto value = node->value<double>();
  if (!value || !(*value >= aLeast) || !(*value <= aMost)) {
    Report(aKey,
           "must be a number from " + std::to_string(aLeast) + " to " +
             std::to_string(aMost));
    return aFallback;
  }
  return *value;
}

bool
TomlTable::ReadBool(std::string_view aKey, bool aFallback)
{
  const toml::node* node = impl_->Find(aKey);
  if (node == nullptr) {
    return aFallback;
  }
  const auto value = node->value_exact<bool>();
  if (!value) {
    Report(aKey, "must be true or false");
  }
  return value.value_or(aFallback);
}

std::string
TomlTable::ReadString(std::string_view aKey,
                      std::optional<std::string> aFallback)
{
  const toml::node* node = impl_->Find(aKey);
  if (node == nullptr) {
    if (!aFallback) {
      Report(aKey, "is missing");
    }
    return aFallback.value_or("");
  }
  const auto value = node->value_exact<std::string>();
  if (!value) {
    Report(aKey, "must be a string");
  }
  return value.value_or("");
}

std::vector<std::string>
TomlTable::ReadStrings(std::string_view aKey, bool aIsRequired)
{
  std::vector<std::string> strings;
  const toml::node* node = impl_->Find(aKey);
  if (node == nullptr) {
    if (aIsRequired) {
      Report(aKey, "is missing");
    }
    return strings;
  }
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    Report(aKey, "must be a list of strings");
    return strings;
  }
  for (const toml::node& element : *array) {
    const auto value = element.value_exact<std::string>();
    if (value) {
      strings.push_back(*value);
    } else {
      impl_->findings_->push_back({ MakePlace(&element, impl_->PathOf(aKey)),
                                    "must be a list of strings" });
    }
  }
  return strings;
}

std::optional<TomlTable>
TomlTable::ReadTable(std::string_view aKey)
{
  const toml::node* node = impl_->Find(aKey);
  if (node == nullptr) {
    return {};
  }
  if (!node->is_table()) {
    Report(aKey, "must be a table");
    return {};
  }
  auto impl = std::make_shared<Impl>();
  impl->root_ = impl_->root_;
  impl->table_ = impl_->table_->get(aKey)->as_table();
  impl->path_ = impl_->PathOf(aKey);
  impl->findings_ = impl_->findings_;
  return TomlTable(std::move(impl));
}

std::vector<std::pair<std::string, TomlTable>>
TomlTable::ReadTables(std::string_view aKey)
{
  std::vector<std::pair<std::string, TomlTable>> tables;
  auto parent = ReadTable(aKey);
  if (!parent) {
    return tables;
  }
  for (const auto& [key, node] : *parent->impl_->table_) {
    auto table = parent->ReadTable(key.str());
    if (table) {
      tables.emplace_back(std::string(key.str()), *table);
    }
  }
  return tables;
}

void
TomlTable::ReportUnknownKeys()
{
  for (const auto& [key, node] : *impl_->table_) {
    if (!impl_->knownKeys_.contains(key.str())) {
      Report(key.str(), "is not a known key here");
    }
  }
}

} // namespace cuminbridge
