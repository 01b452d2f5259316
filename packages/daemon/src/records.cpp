// The values of the project's own keys in the store.

#include "records.h"

#include <algorithm>
#include <sstream>

#include <nlohmann/json.hpp>

namespace cuminbridge {

using nlohmann::json;

namespace {

bool
HasPrefix(const std::string& aText, std::string_view aPrefix)
{
  return std::string_view(aText).substr(0, aPrefix.size()) == aPrefix;
}

std::string
WithoutPrefix(const std::string& aKey, std::string_view aPrefix)
{
  return aKey.substr(aPrefix.size());
}

void
DecodeSubmissions(const StoreReply& aReply,
                  JobsLoaded& aLoaded,
                  std::vector<std::string>& aUnreadable)
{
  for (const auto& item : aReply.items_) {
    if (HasPrefix(item.key_, kCancelPrefix)) {
      aLoaded.cancelled_.insert(WithoutPrefix(item.key_, kCancelPrefix));
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
      aLoaded.progress_[WithoutPrefix(item.key_, kProgressPrefix)] =
        std::move(*record);
    } else {
      aUnreadable.push_back(item.key_);
    }
  }
}

void
DecodeWaves(const StoreReply& aReply,
            JobsLoaded& aLoaded,
            std::vector<std::string>& aUnreadable)
{
  for (const auto& item : aReply.items_) {
    try {
      const auto record = json::parse(item.value_);
      const auto number = WithoutPrefix(item.key_, kMaintenancePrefix);
      aLoaded.waves_[std::stoll(number)] = {
        WallTime(Millis(record.at("seen").get<std::int64_t>())),
        record.at("done").get<std::vector<std::string>>()
      };
    } catch (const std::exception&) {
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
    const auto space = item.value_.find(' ');
    if (space == std::string::npos) {
      aUnreadable.push_back(item.key_);
      continue;
    }
    aLoaded.targets_.emplace_back(WithoutPrefix(item.key_, kTargetsPrefix),
                                  item.value_.substr(0, space),
                                  item.value_.substr(space + 1));
  }
}

// The value of one key, as a JSON list. Calls aDecodeRow for each row.
template<typename DecodeRow>
void
DecodeRows(const StoreReply& aReply,
           std::vector<std::string>& aUnreadable,
           DecodeRow aDecodeRow)
{
  if (!aReply.IsDone() || aReply.items_.empty()) {
    return;
  }
  try {
    for (const auto& row : json::parse(aReply.items_.front().value_)) {
      aDecodeRow(row);
    }
  } catch (const json::exception&) {
    aUnreadable.push_back(aReply.items_.front().key_);
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

EntryRecord
DecodeEntry(const std::string& aText)
{
  EntryRecord entry;
  std::istringstream(aText) >> entry.cpuShare_ >> entry.address_;
  return entry;
}

std::string
EncodeEntry(const EntryRecord& aEntry)
{
  return std::to_string(aEntry.cpuShare_) + ' ' + aEntry.address_;
}

std::string
EncodeWaveRecord(const WaveRecord& aRecord)
{
  return json{
    { "seen", aRecord.firstSeenAt_.time_since_epoch().count() },
    { "done", aRecord.maintenanceBegun_ }
  }.dump();
}

std::string
EncodeTarget(const StoredTarget& aTarget)
{
  return aTarget.address_ + ' ' + aTarget.pool_;
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

JobsLoaded
DecodeStoredFleet(const StoredFleet& aStored,
                  std::vector<std::string>& aUnreadable)
{
  JobsLoaded loaded;
  DecodeSubmissions(aStored.submissions_, loaded, aUnreadable);
  DecodeProgressRecords(aStored.progress_, loaded, aUnreadable);
  DecodeWaves(aStored.waves_, loaded, aUnreadable);
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
  auto next = aIsList ? std::max(aAfter, aReply.revision_) : aAfter;
  for (const auto& item : aReply.items_) {
    next = std::max(next, item.revision_);
  }
  return next;
}

} // namespace cuminbridge
