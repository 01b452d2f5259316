// The project's own values in the store.

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
ReadIntake(const StoreReply& aFrom,
           JobsLoaded& aLoaded,
           std::vector<std::string>& aUnreadable)
{
  for (const auto& item : aFrom.items_) {
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
ReadProgress(const StoreReply& aFrom,
             JobsLoaded& aLoaded,
             std::vector<std::string>& aUnreadable)
{
  for (const auto& item : aFrom.items_) {
    if (auto record = DecodeProgress(item.value_)) {
      aLoaded.progress_[WithoutPrefix(item.key_, kProgressPrefix)] =
        std::move(*record);
    } else {
      aUnreadable.push_back(item.key_);
    }
  }
}

void
ReadWaves(const StoreReply& aFrom,
          JobsLoaded& aLoaded,
          std::vector<std::string>& aUnreadable)
{
  for (const auto& item : aFrom.items_) {
    try {
      const auto record = json::parse(item.value_);
      const auto number = WithoutPrefix(item.key_, kUpkeepPrefix);
      aLoaded.waves_[std::stoll(number)] = {
        WallTime(Millis(record.at("seen").get<std::int64_t>())),
        record.at("done").get<std::vector<std::string>>()
      };
    } catch (const std::exception&) {
      aUnreadable.push_back(item.key_);
    }
  }
}

// Rows of one key, each read by aRead.
template<typename Read>
void
ReadRows(const StoreReply& aFrom,
         std::vector<std::string>& aUnreadable,
         Read aRead)
{
  if (!aFrom.IsDone() || aFrom.items_.empty()) {
    return;
  }
  try {
    for (const auto& row : json::parse(aFrom.items_.front().value_)) {
      aRead(row);
    }
  } catch (const json::exception&) {
    aUnreadable.push_back(aFrom.items_.front().key_);
  }
}

} // namespace

std::string
WriteLastOwner(const LastOwner& aOwner)
{
  return std::to_string(aOwner.term_) + ' ' + aOwner.address_ + ' ' +
         std::to_string(aOwner.inheritedUntil_.time_since_epoch().count()) +
         (aOwner.hasHandedOver_ ? " handed-over" : "");
}

LastOwner
ReadLastOwner(const std::string& aText)
{
  LastOwner owner;
  std::string mark;
  std::int64_t until = 0;
  std::istringstream text(aText);
  text >> owner.term_ >> owner.address_ >> until >> mark;
  owner.inheritedUntil_ = WallTime(Millis(until));
  owner.hasHandedOver_ = mark == "handed-over";
  return owner;
}

EntryRecord
ReadEntry(const std::string& aText)
{
  EntryRecord entry;
  std::istringstream(aText) >> entry.cpuShare_ >> entry.address_;
  return entry;
}

std::string
WriteEntry(const EntryRecord& aEntry)
{
  return std::to_string(aEntry.cpuShare_) + ' ' + aEntry.address_;
}

std::string
WriteWaveRecord(const WaveRecord& aRecord)
{
  return json{
    { "seen", aRecord.firstSeenAt_.time_since_epoch().count() },
    { "done", aRecord.maintenanceBegun_ }
  }.dump();
}

std::string
WriteKnownTargets(const std::vector<StoredTarget>& aTargets)
{
  json rows = json::array();
  for (const auto& target : aTargets) {
    rows.push_back({ target.id_, target.address_, target.pool_ });
  }
  return rows.dump();
}

std::string
WriteKnownOrders(const std::vector<StoredOrder>& aOrders)
{
  json rows = json::array();
  for (const auto& order : aOrders) {
    rows.push_back({ order.vm_, order.at_.time_since_epoch().count() });
  }
  return rows.dump();
}

std::string
WriteKnownTurns(const std::vector<StoredDemandPeak>& aTurns)
{
  json rows = json::array();
  for (const auto& turn : aTurns) {
    rows.push_back({ turn.pool_,
                     turn.began_.time_since_epoch().count(),
                     turn.period_.count(),
                     turn.meanCpu_ });
  }
  return rows.dump();
}

JobsLoaded
ReadStoredFleet(const StoredFleet& aStored,
                std::vector<std::string>& aUnreadable)
{
  JobsLoaded loaded;
  ReadIntake(aStored.intake_, loaded, aUnreadable);
  ReadProgress(aStored.progress_, loaded, aUnreadable);
  ReadWaves(aStored.waves_, loaded, aUnreadable);
  ReadRows(aStored.targets_, aUnreadable, [&loaded](const json& aRow) {
    loaded.targets_.emplace_back(aRow.at(0).get<std::string>(),
                                 aRow.at(1).get<std::string>(),
                                 aRow.at(2).get<std::string>());
  });
  ReadRows(aStored.orders_, aUnreadable, [&loaded](const json& aRow) {
    loaded.orders_.push_back(
      { aRow.at(0).get<std::string>(),
        WallTime(Millis(aRow.at(1).get<std::int64_t>())) });
  });
  ReadRows(aStored.turns_, aUnreadable, [&loaded](const json& aRow) {
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
