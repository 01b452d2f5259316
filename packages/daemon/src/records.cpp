// The values of the project's own keys in the store.

#include "records.h"

#include <algorithm>
#include <sstream>

#include <nlohmann/json.hpp>

namespace cuminbridge {

using nlohmann::json;

namespace {

// In a load record, the time of the count. No queue has this name.
constexpr const char* kLoadTime = "";
constexpr const char* kMovedPrefix = "cell ";
constexpr const char* kSilent = " silent"; // ends the record of such a target

// What follows the last '/': the id in a key.
std::string
LastPart(const std::string& aKey)
{
  return aKey.substr(aKey.rfind('/') + 1);
}

bool
Contains(const std::string& aKey, std::string_view aPart)
{
  return aKey.find(aPart) != std::string::npos;
}

// Whether the reply is an entry's answer to kOwnerPath.
bool
NamesTerm(const HttpReply& aReply)
{
  constexpr int kOk = 200;
  const auto& text = aReply.body_;
  return aReply.IsAnswered() && aReply.status_ == kOk && !text.empty() &&
         text.find_first_not_of("0123456789") == std::string::npos;
}

void
DecodeSubmissions(const StoreReply& aReply,
                  JobsLoaded& aLoaded,
                  std::vector<std::string>& aUnreadable)
{
  for (const auto& item : aReply.items_) {
    if (Contains(item.key_, kCancelPrefix)) {
      aLoaded.cancelled_.insert(LastPart(item.key_));
    } else if (DecodeMovedJob(item.value_) || item.value_ == kEndedJob) {
      continue; // see DecodeMovedJobs(); the end is in the progress record
    } else if (auto job = DecodeJob(item.value_)) {
      aLoaded.jobs_.push_back(std::move(*job));
    } else {
      aUnreadable.push_back(item.key_);
    }
  }
}

void
DecodeProgressRecords(const StoreReply& aReply,
                      JobsLoaded& aLoaded,
                      std::vector<std::string>& aUnreadable)
{
  for (const auto& item : aReply.items_) {
    if (auto record = DecodeProgress(item.value_)) {
      aLoaded.progress_[LastPart(item.key_)] = std::move(*record);
    } else {
      aUnreadable.push_back(item.key_);
    }
  }
}

void
DecodeTargets(const StoreReply& aReply,
              JobsLoaded& aLoaded,
              std::vector<std::string>& aUnreadable)
{
  for (const auto& item : aReply.items_) {
    auto text = item.value_;
    const std::string_view silent = kSilent;
    const bool isSilent = text.ends_with(silent);
    if (isSilent) {
      text.resize(text.size() - silent.size());
    }
    const auto space = text.find(' ');
    if (space == std::string::npos) {
      aUnreadable.push_back(item.key_);
      continue;
    }
    aLoaded.targets_.emplace_back(LastPart(item.key_),
                                  text.substr(0, space),
                                  text.substr(space + 1),
                                  isSilent);
  }
}

// Each value is a JSON list. Calls aDecodeRow for each row.
template<typename DecodeRow>
void
DecodeRows(const StoreReply& aReply,
           std::vector<std::string>& aUnreadable,
           DecodeRow aDecodeRow)
{
  if (!aReply.IsDone()) {
    return;
  }
  for (const auto& item : aReply.items_) {
    try {
      for (const auto& row : json::parse(item.value_)) {
        aDecodeRow(row);
      }
    } catch (const json::exception&) {
      aUnreadable.push_back(item.key_);
    }
  }
}

} // namespace

std::string
EncodeOwnerRecord(const OwnerRecord& aOwner)
{
  return std::to_string(aOwner.term_) + ' ' + aOwner.address_ + ' ' +
         std::to_string(aOwner.inheritedUntil_.time_since_epoch().count()) +
         (aOwner.hasHandedOver_ ? " handed-over" : "");
}

OwnerRecord
DecodeOwnerRecord(const std::string& aText)
{
  OwnerRecord owner;
  std::string suffix;
  std::int64_t until = 0;
  std::istringstream text(aText);
  text >> owner.term_ >> owner.address_ >> until >> suffix;
  owner.inheritedUntil_ = WallTime(Millis(until));
  owner.hasHandedOver_ = suffix == "handed-over";
  return owner;
}

PreviousOwner
ReadPreviousOwner(const OwnerRecord& aOwner, const HttpReply& aReply)
{
  if (aOwner.hasHandedOver_ || aOwner.address_.empty()) {
    return PreviousOwner::HandedOver;
  }
  return NamesTerm(aReply) && aReply.body_ != std::to_string(aOwner.term_)
           ? PreviousOwner::Ended
           : PreviousOwner::Unknown;
}

EntryRecord
DecodeEntry(const std::string& aText)
{
  EntryRecord entry;
  std::istringstream text(aText);
  double linkMbps = 0;
  text >> entry.cpuShare_ >> entry.address_;
  if (text >> linkMbps) {
    entry.linkMbps_ = linkMbps;
  }
  return entry;
}

std::string
EncodeEntry(const EntryRecord& aEntry)
{
  return std::to_string(aEntry.cpuShare_) + ' ' + aEntry.address_ + ' ' +
         std::to_string(aEntry.linkMbps_);
}

std::string
EncodeWaveRecord(const CellWaveRecord& aRecord)
{
  json record = { { "seen",
                    aRecord.record_.firstSeenAt_.time_since_epoch().count() },
                  { "done", aRecord.record_.maintenanceBegun_ } };
  if (aRecord.isCompleted_) {
    record["completed"] = true;
  }
  return record.dump();
}

std::map<std::int64_t, CellWaveRecord>
DecodeWaveRecords(const StoreReply& aReply,
                  int aCell,
                  std::vector<std::string>& aUnreadable)
{
  std::map<std::int64_t, CellWaveRecord> waves;
  for (const auto& item : aReply.items_) {
    try {
      const auto name =
        item.key_.substr(std::string_view(kMaintenancePrefix).size());
      const auto slash = name.find('/');
      const int cell =
        slash == std::string::npos ? 0 : std::stoi(name.substr(slash + 1));
      const auto wave = std::stoll(name.substr(0, slash));
      if (cell != aCell) {
        continue;
      }
      const auto record = json::parse(item.value_);
      waves[wave] = { { WallTime(Millis(record.at("seen").get<std::int64_t>())),
                        record.at("done").get<std::vector<std::string>>() },
                      record.value("completed", false) };
    } catch (const std::exception&) {
      aUnreadable.push_back(item.key_);
    }
  }
  return waves;
}

std::string
EncodeMovedJob(int aCell)
{
  return kMovedPrefix + std::to_string(aCell);
}

std::optional<int>
DecodeMovedJob(std::string_view aText)
{
  const std::string_view prefix = kMovedPrefix;
  if (aText.substr(0, prefix.size()) != prefix) {
    return std::nullopt;
  }
  return std::atoi(std::string(aText.substr(prefix.size())).c_str());
}

std::map<std::string, int>
DecodeMovedJobs(const StoreReply& aSubmissions)
{
  std::map<std::string, int> moved;
  for (const auto& item : aSubmissions.items_) {
    if (const auto cell = DecodeMovedJob(item.value_)) {
      moved[LastPart(item.key_)] = *cell;
    }
  }
  return moved;
}

std::string
EncodeCapacity(const PeerCapacitySeen& aReport)
{
  return json{
    { "cell", aReport.cell_ },
    { "free", aReport.freeCpu_ },
    { "offered", aReport.offeredCpu_ }
  }.dump();
}

std::optional<PeerCapacitySeen>
DecodeCapacity(const std::string& aText)
{
  try {
    const auto body = json::parse(aText);
    return PeerCapacitySeen{
      body.at("cell").get<int>(),
      body.at("free").get<std::map<std::string, std::int64_t>>(),
      body.at("offered").get<std::map<std::string, std::int64_t>>()
    };
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string
EncodeLoad(const LoadRecord& aLoad)
{
  // Earlier versions read a flat object of numbers.
  json record = aLoad.waiting_;
  record[kLoadTime] = aLoad.countedAt_.time_since_epoch().count();
  return record.dump();
}

LoadRecord
DecodeLoad(const std::string& aText)
{
  LoadRecord load;
  try {
    const auto record = json::parse(aText);
    for (const auto& [queue, value] : record.items()) {
      if (queue == kLoadTime) {
        load.countedAt_ = WallTime(Millis(value.get<std::int64_t>()));
      } else {
        load.waiting_[queue] = value.get<int>();
      }
    }
  } catch (const json::exception&) {
    return {};
  }
  return load;
}

CellKeys::CellKeys(int aCell)
  : cell_(aCell)
  , prefix_(aCell == 0 ? "" : "cell/" + std::to_string(aCell) + '/')
{
}

std::string
CellKeys::WithNumber(std::string aKey) const
{
  return cell_ == 0 ? aKey : aKey + '/' + std::to_string(cell_);
}

std::string
CellKeys::Owner() const
{
  return WithNumber(kOwnerKey);
}

std::string
CellKeys::Load() const
{
  return WithNumber(kLoadPrefix);
}

std::string
CellKeys::Maintenance(std::int64_t aWave) const
{
  return WithNumber(kMaintenancePrefix + std::to_string(aWave));
}

std::optional<int>
CellOfOwnerKey(std::string_view aKey)
{
  const std::string_view owner = kOwnerKey;
  if (aKey == owner) {
    return 0;
  }
  if (aKey.size() < owner.size() + 2 || aKey.substr(0, owner.size()) != owner ||
      aKey[owner.size()] != '/') {
    return std::nullopt;
  }
  return std::atoi(std::string(aKey.substr(owner.size() + 1)).c_str());
}

std::string
EncodeTarget(const StoredTarget& aTarget)
{
  return aTarget.address_ + ' ' + aTarget.pool_ +
         (aTarget.isSilent_ ? kSilent : "");
}

std::string
EncodeVmOrders(const std::vector<StoredOrder>& aOrders)
{
  json rows = json::array();
  for (const auto& order : aOrders) {
    rows.push_back({ order.vm_, order.at_.time_since_epoch().count() });
  }
  return rows.dump();
}

std::string
EncodeDemandPeaks(const std::vector<StoredDemandPeak>& aPeaks)
{
  json rows = json::array();
  for (const auto& peak : aPeaks) {
    rows.push_back({ peak.pool_,
                     peak.began_.time_since_epoch().count(),
                     peak.period_.count(),
                     peak.meanCpu_ });
  }
  return rows.dump();
}

int
NewestOrderSlot(const StoreReply& aOrders)
{
  int slot = 0;
  std::int64_t newest = 0;
  for (const auto& item : aOrders.items_) {
    const auto slash = item.key_.rfind('/');
    if (slash != std::string::npos && item.revision_ > newest) {
      newest = item.revision_;
      slot = std::atoi(item.key_.c_str() + slash + 1);
    }
  }
  return slot;
}

JobsLoaded
DecodeStoredFleet(const StoredFleet& aStored,
                  int aCell,
                  std::vector<std::string>& aUnreadable)
{
  JobsLoaded loaded;
  DecodeSubmissions(aStored.submissions_, loaded, aUnreadable);
  DecodeProgressRecords(aStored.progress_, loaded, aUnreadable);
  for (const auto& [wave, record] :
       DecodeWaveRecords(aStored.waves_, aCell, aUnreadable)) {
    loaded.waves_[wave] = record.record_;
  }
  DecodeTargets(aStored.targets_, loaded, aUnreadable);
  DecodeRows(aStored.oldTargets_, aUnreadable, [&loaded](const json& aRow) {
    loaded.targets_.emplace_back(aRow.at(0).get<std::string>(),
                                 aRow.at(1).get<std::string>(),
                                 aRow.at(2).get<std::string>());
  });
  DecodeRows(aStored.vmOrders_, aUnreadable, [&loaded](const json& aRow) {
    loaded.orders_.push_back(
      { aRow.at(0).get<std::string>(),
        WallTime(Millis(aRow.at(1).get<std::int64_t>())) });
  });
  DecodeRows(aStored.demandPeaks_, aUnreadable, [&loaded](const json& aRow) {
    loaded.demandPeaks_.push_back(
      { aRow.at(0).get<std::string>(),
        WallTime(Millis(aRow.at(1).get<std::int64_t>())),
        Millis(aRow.at(2).get<std::int64_t>()),
        aRow.at(3).get<std::int64_t>() });
  });
  return loaded;
}

std::int64_t
NextWatchRevision(std::int64_t aAfter, const StoreReply& aReply, bool aIsList)
{
  if (aIsList) {
    return std::max(aAfter, aReply.revision_);
  }
  auto next = aAfter;
  for (const auto& item : aReply.items_) {
    next = std::max(next, item.revision_);
  }
  return next;
}

bool
ReportsAllChanges(const StoreReply& aReply)
{
  // Below the limits of a list, which are 500 items and 1 MB.
  constexpr std::size_t kMaxItems = 400;
  constexpr std::size_t kMaxBytes = 600000; // of values
  std::size_t bytes = 0;
  for (const auto& item : aReply.items_) {
    bytes += item.value_.size();
  }
  return aReply.IsDone() && aReply.items_.size() <= kMaxItems &&
         bytes <= kMaxBytes;
}

} // namespace cuminbridge
