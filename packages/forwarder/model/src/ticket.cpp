// Parses, checks and applies tickets.

#include <algorithm>
#include <cctype>
#include <set>

#include <boost/leaf/error.hpp>

#include "cuminbridge/model.h"

namespace cuminbridge::forwarder {

namespace leaf = boost::leaf;

namespace {

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxAddressLength = 64;
constexpr std::size_t kKeyHashLength = 71; // "sha256:" and 64 digits
constexpr std::int64_t kMaxTicketNumber = 1'000'000'000'000;
constexpr std::int64_t kMaxVms = 100'000;
constexpr std::int64_t kMaxShare = 1'000'000;
constexpr std::int64_t kMaxLimit = 1'000'000;

bool
IsName(std::string_view aText)
{
  if (aText.empty() || aText.size() > kMaxNameLength) {
    return false;
  }
  return std::all_of(aText.begin(), aText.end(), [](unsigned char aChar) {
    return std::isalnum(aChar) != 0 || aChar == '-' || aChar == '_';
  });
}

// True if the text has only characters of IPv4 and IPv6 addresses. A VM's
// address has no port. The form itself is not checked.
bool
IsAddress(std::string_view aText)
{
  if (aText.empty() || aText.size() > kMaxAddressLength) {
    return false;
  }
  return std::all_of(aText.begin(), aText.end(), [](unsigned char aChar) {
    return std::isxdigit(aChar) != 0 || aChar == '.' || aChar == ':';
  });
}

bool
IsKeyHash(std::string_view aText)
{
  if (aText.size() != kKeyHashLength || !aText.starts_with("sha256:")) {
    return false;
  }
  const std::string_view digits = aText.substr(7);
  return std::all_of(digits.begin(), digits.end(), [](unsigned char aChar) {
    return std::isdigit(aChar) != 0 || (aChar >= 'a' && aChar <= 'f');
  });
}

void
SortAndReportDuplicates(std::vector<std::string>& aValues,
                        TomlTable& aTable,
                        std::string_view aKey)
{
  std::sort(aValues.begin(), aValues.end());
  const auto duplicate = std::adjacent_find(aValues.begin(), aValues.end());
  if (duplicate != aValues.end()) {
    aTable.Report(aKey, "names " + *duplicate + " more than once");
  }
}

PoolConfig
ReadPool(const std::string& aName, TomlTable& aTable)
{
  PoolConfig pool;
  pool.name_ = aName;
  if (!IsName(aName)) {
    aTable.Report("", "a pool name is 1 to 64 letters, digits, '-' or '_'");
  }
  pool.vms_ = aTable.ReadStrings("vms");
  for (const std::string& vm : pool.vms_) {
    if (!IsAddress(vm)) {
      aTable.Report("vms", "'" + vm + "' is not an IP number");
    }
  }
  SortAndReportDuplicates(pool.vms_, aTable, "vms");
  pool.minAvailable_ =
    static_cast<int>(aTable.ReadInteger("min_available", 0, kMaxVms));
  if (pool.minAvailable_ > static_cast<int>(pool.vms_.size())) {
    aTable.Report("min_available", "is more than the pool has VMs");
  }
  pool.open_ = aTable.ReadBool("open", false);
  pool.round_ = aTable.ReadInteger("round", 0, kMaxTicketNumber, 0);
  const std::string scheduler = aTable.ReadString("scheduler", "cuminbridge");
  if (scheduler != "cuminbridge" && scheduler != "old") {
    aTable.Report("scheduler", "must be \"cuminbridge\" or \"old\"");
  }
  pool.scheduler_ =
    scheduler == "old" ? Scheduler::Old : Scheduler::Cuminbridge;
  aTable.ReportUnknownKeys();
  return pool;
}

AccountConfig
ReadAccount(const std::string& aName, TomlTable& aTable)
{
  AccountConfig account;
  account.name_ = aName;
  if (!IsName(aName)) {
    aTable.Report("", "an account name is 1 to 64 letters, digits, '-' or '_'");
  }
  account.keys_ = aTable.ReadStrings("keys");
  for (const std::string& key : account.keys_) {
    if (!IsKeyHash(key)) {
      // The message must not quote the value, which may be a clear key.
      aTable.Report("keys", "must be \"sha256:\" and 64 hex digits (a-f)");
    }
  }
  SortAndReportDuplicates(account.keys_, aTable, "keys");
  account.share_ = static_cast<int>(aTable.ReadInteger("share", 1, kMaxShare));
  account.limit_ = static_cast<int>(aTable.ReadInteger("limit", 0, kMaxLimit));
  aTable.ReportUnknownKeys();
  return account;
}

Ticket
ReadTicket(TomlTable& aTable)
{
  Ticket ticket;
  ticket.number_ = aTable.ReadInteger("ticket", 1, kMaxTicketNumber);
  ticket.places_["ticket"] = aTable.PlaceOf("ticket");
  for (auto& [name, table] : aTable.ReadTables("pool")) {
    ticket.pools_.push_back(ReadPool(name, table));
    ticket.places_["pool." + name] = table.PlaceOf("vms");
  }
  for (auto& [name, table] : aTable.ReadTables("account")) {
    ticket.accounts_.push_back(ReadAccount(name, table));
    ticket.places_["account." + name] = table.PlaceOf("keys");
  }
  aTable.ReportUnknownKeys();
  const std::size_t parts = ticket.pools_.size() + ticket.accounts_.size();
  if (parts == 0) {
    aTable.Report("", "names no pool and no account");
  }
  if (parts > kMaxTicketParts) {
    aTable.Report("",
                  "names more than " + std::to_string(kMaxTicketParts) +
                    " pools and accounts; file it as several tickets");
  }
  for (PoolConfig& pool : ticket.pools_) {
    pool.changedIn_ = ticket.number_;
  }
  for (AccountConfig& account : ticket.accounts_) {
    account.changedIn_ = ticket.number_;
  }
  return ticket;
}

Place
FindPlace(const Ticket& aTicket, const std::string& aKey)
{
  const auto found = aTicket.places_.find(aKey);
  return found == aTicket.places_.end() ? Place{} : found->second;
}

// Reports each value (a VM or a key) that would have two owners (pools or
// accounts) after the ticket. aParts are the pools or accounts of the ticket.
// A value may move away from its owner in the base if the ticket names that
// owner too, because it then restates all values of that owner. aOwnerOf gives
// the owner in the base, or "" if the value has none.
template<typename Parts, typename Values, typename OwnerOf>
void
CheckSingleOwner(const Parts& aParts,
                 const std::string& aPartKind,
                 const std::string& aValueKind,
                 const Ticket& aTicket,
                 Values aValues,
                 OwnerOf aOwnerOf,
                 Findings& aFindings)
{
  std::set<std::string> namedParts;
  for (const auto& part : aParts) {
    namedParts.insert(part.name_);
  }
  std::map<std::string, std::string> owners;
  for (const auto& part : aParts) {
    for (const std::string& value : aValues(part)) {
      const auto [owner, isNew] = owners.emplace(value, part.name_);
      std::string other = isNew ? aOwnerOf(value) : owner->second;
      const bool isMoveNamed = isNew && namedParts.contains(other);
      if (!other.empty() && other != part.name_ && !isMoveNamed) {
        Place place = FindPlace(aTicket, aPartKind + "." + part.name_);
        aFindings.push_back({ place,
                              aValueKind + " " + value + " is in " + aPartKind +
                                " " + other +
                                "; a move names both in one ticket" });
      }
    }
  }
}

} // namespace

leaf::result<Ticket>
ParseTicket(std::string_view aText)
{
  Findings findings;
  if (aText.size() > kMaxTicketBytes) {
    findings.push_back({ {}, "is longer than 512 KiB" });
    return leaf::new_error(findings);
  }
  auto table = TomlTable::Parse(aText, findings);
  if (!table) {
    return leaf::new_error(findings);
  }
  Ticket ticket = ReadTicket(*table);
  if (!findings.empty()) {
    return leaf::new_error(findings);
  }
  ticket.text_ = std::string(aText);
  ticket.digest_ = Sha256Hex(aText);
  return ticket;
}

Findings
CheckTicket(const Ticket& aTicket, const Config& aBase)
{
  Findings findings;
  CheckSingleOwner(
    aTicket.pools_,
    "pool",
    "VM",
    aTicket,
    [](const PoolConfig& aPool) -> const auto& { return aPool.vms_; },
    [&](const std::string& aVm) {
      const auto found = aBase.poolOfVm_.find(aVm);
      return found == aBase.poolOfVm_.end() ? std::string() : found->second;
    },
    findings);
  CheckSingleOwner(
    aTicket.accounts_,
    "account",
    "key",
    aTicket,
    [](const AccountConfig& aAccount) -> const auto& { return aAccount.keys_; },
    [&](const std::string& aKey) {
      const auto found = aBase.accountOfKey_.find(aKey);
      return found == aBase.accountOfKey_.end() ? std::string() : found->second;
    },
    findings);
  return findings;
}

ConfigPtr
ApplyTicket(const Ticket& aTicket, const Config& aBase)
{
  ConfigBuilder builder(aBase);
  builder.SetTicket(aTicket.number_, aTicket.digest_);
  for (const PoolConfig& pool : aTicket.pools_) {
    builder.SetPool(std::make_shared<const PoolConfig>(pool));
  }
  for (AccountConfig account : aTicket.accounts_) {
    const auto old = aBase.accounts_.find(account.name_);
    if (old != aBase.accounts_.end()) {
      const bool isLowered = account.limit_ < old->second->limit_;
      account.loweredIn_ =
        isLowered ? aTicket.number_ : old->second->loweredIn_;
    }
    builder.SetAccount(
      std::make_shared<const AccountConfig>(std::move(account)));
  }
  return builder.Build();
}

} // namespace cuminbridge::forwarder
