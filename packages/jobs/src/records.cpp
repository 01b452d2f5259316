// Stored records as JSON. The field names are short because a record is written
// for each job and for each batch of ended runs.

#include <nlohmann/json.hpp>

#include "cuminbridge/jobs.h"

namespace cuminbridge {

using nlohmann::json;

namespace {

// Writes a field only if it differs from its default, as most steps use few.
template<typename T>
void
Put(json& aObject, const char* aKey, const T& aValue, const T& aDefault = T{})
{
  if (aValue != aDefault) {
    aObject[aKey] = aValue;
  }
}

template<typename T>
T
Get(const json& aObject, const char* aKey, T aDefault = T{})
{
  const auto found = aObject.find(aKey);
  return found == aObject.end() ? aDefault : found->get<T>();
}

json
WriteStep(const Step& aStep)
{
  json row = { { "n", aStep.count_ } };
  Put(row, "cpu", aStep.needs_.cpu_);
  Put(row, "mem", aStep.needs_.memMb_);
  Put(row, "gpu", aStep.needs_.gpu_);
  Put(row, "est", aStep.estimate_.count());
  Put(row, "after", aStep.after_);
  Put(row, "checkpointing", aStep.isCheckpointing_);
  Put(row, "gang", aStep.isGang_);
  Put(row, "rack", aStep.prefersSameRack_);
  Put(row, "spec", aStep.isSpeculative_);
  Put(row, "lasting", aStep.isLongRunning_);
  Put(row, "filler", aStep.isFiller_);
  Put(row, "label", aStep.label_);
  Put(row, "data", aStep.dataRack_);
  Put(row, "per_target", aStep.maxPerTarget_);
  Put(row, "away", aStep.maxUnavailable_);
  Put(row, "latency", aStep.targetLatency_.count());
  Put(row, "image", aStep.image_);
  return row;
}

Step
ReadStep(const json& aRow)
{
  Step step;
  step.count_ = aRow.at("n").get<int>();
  step.needs_.cpu_ = Get<std::int64_t>(aRow, "cpu");
  step.needs_.memMb_ = Get<std::int64_t>(aRow, "mem");
  step.needs_.gpu_ = Get<std::int64_t>(aRow, "gpu");
  step.estimate_ = Millis(Get<std::int64_t>(aRow, "est"));
  step.after_ = Get<std::vector<int>>(aRow, "after");
  step.isCheckpointing_ = Get<bool>(aRow, "checkpointing");
  step.isGang_ = Get<bool>(aRow, "gang");
  step.prefersSameRack_ = Get<bool>(aRow, "rack");
  step.isSpeculative_ = Get<bool>(aRow, "spec");
  step.isLongRunning_ = Get<bool>(aRow, "lasting");
  step.isFiller_ = Get<bool>(aRow, "filler");
  step.label_ = Get<std::string>(aRow, "label");
  step.dataRack_ = Get<std::string>(aRow, "data");
  step.maxPerTarget_ = Get<int>(aRow, "per_target");
  step.maxUnavailable_ = Get<int>(aRow, "away");
  step.targetLatency_ = Millis(Get<std::int64_t>(aRow, "latency"));
  step.image_ = Get<std::string>(aRow, "image");
  return step;
}

WallTime
ReadTime(const json& aObject, const char* aKey)
{
  return WallTime(Millis(Get<std::int64_t>(aObject, aKey)));
}

json
WriteCrashes(const std::vector<Crash>& aCrashes)
{
  json rows = json::array();
  for (const auto& crash : aCrashes) {
    rows.push_back(
      { crash.target_, crash.run_, static_cast<int>(crash.kind_) });
  }
  return rows;
}

std::vector<Crash>
ReadCrashes(const json& aRows)
{
  std::vector<Crash> crashes;
  for (const auto& row : aRows) {
    const int kind = row.at(2).get<int>();
    crashes.push_back(
      { row.at(0).get<std::string>(),
        row.at(1).get<std::int64_t>(),
        kind < 0 || kind > static_cast<int>(CrashKind::Unreached)
          ? CrashKind::Uncertain
          : static_cast<CrashKind>(kind) });
  }
  return crashes;
}

json
WriteLateStarts(const std::vector<UnansweredStart>& aStarts)
{
  json rows = json::array();
  for (const auto& start : aStarts) {
    rows.push_back({ start.target_, start.until_.time_since_epoch().count() });
  }
  return rows;
}

std::vector<UnansweredStart>
ReadLateStarts(const json& aRows)
{
  std::vector<UnansweredStart> starts;
  for (const auto& row : aRows) {
    starts.push_back({ row.at(0).get<std::string>(),
                       WallTime(Millis(row.at(1).get<std::int64_t>())) });
  }
  return starts;
}

} // namespace

std::string
EncodeJob(const Job& aJob)
{
  json steps = json::array();
  for (const auto& step : aJob.steps_) {
    steps.push_back(WriteStep(step));
  }
  json record = { { "id", aJob.id_ },
                  { "queue", aJob.queue_ },
                  { "pool", aJob.pool_ },
                  { "account", aJob.account_ },
                  { "spec", aJob.spec_ },
                  { "priority", aJob.priority_ },
                  { "attempts", aJob.attempts_ },
                  { "stretch", aJob.stretch_ },
                  { "allowance", aJob.allowance_.count() },
                  { "accepted", aJob.accepted_.time_since_epoch().count() },
                  { "steps", std::move(steps) } };
  Put(record, "repeats", aJob.repeats_);
  Put(record, "interval", aJob.interval_.count());
  Put(record, "first", aJob.firstRun_.time_since_epoch().count());
  return record.dump();
}

std::optional<Job>
DecodeJob(std::string_view aText)
{
  try {
    const auto record = json::parse(aText);
    Job job;
    job.id_ = record.at("id").get<std::string>();
    job.queue_ = record.at("queue").get<std::string>();
    job.pool_ = record.at("pool").get<std::string>();
    job.account_ = record.at("account").get<std::string>();
    job.spec_ = record.at("spec").get<std::string>();
    job.priority_ = record.at("priority").get<int>();
    job.attempts_ = record.at("attempts").get<int>();
    job.stretch_ = record.at("stretch").get<double>();
    job.allowance_ = Millis(record.at("allowance").get<std::int64_t>());
    job.accepted_ = ReadTime(record, "accepted");
    job.firstRun_ = ReadTime(record, "first");
    job.interval_ = Millis(Get<std::int64_t>(record, "interval"));
    job.repeats_ = Get<int>(record, "repeats");
    for (const auto& row : record.at("steps")) {
      job.steps_.push_back(ReadStep(row));
    }
    return job;
  } catch (const json::exception&) {
    return std::nullopt; // the caller logs the key of the record
  }
}

std::string
EncodeProgress(const Progress& aProgress)
{
  json items = json::array();
  for (const auto& item : aProgress.items_) {
    json row = { item.occurrence_,     item.step_,       item.index_,
                 item.isDone_ ? 1 : 0, item.failedRuns_, item.run_,
                 item.checkpoint_,     item.target_ };
    // Columns at the end are left out while they are empty.
    if (!item.crashes_.empty() || !item.lateStarts_.empty()) {
      row.push_back(WriteCrashes(item.crashes_));
    }
    if (!item.lateStarts_.empty()) {
      row.push_back(WriteLateStarts(item.lateStarts_));
    }
    items.push_back(std::move(row));
  }
  json record = { { "state", static_cast<int>(aProgress.state_) },
                  { "changed", aProgress.changed_.time_since_epoch().count() },
                  { "items", std::move(items) } };
  if (!aProgress.doneOccurrences_.empty()) {
    record["done"] = aProgress.doneOccurrences_;
  }
  return record.dump();
}

std::optional<Progress>
DecodeProgress(std::string_view aText)
{
  constexpr std::size_t kCrashesColumn = 8;
  constexpr std::size_t kLateStartsColumn = 9;
  try {
    const auto record = json::parse(aText);
    Progress progress;
    const int state = record.at("state").get<int>();
    if (state < 0 || state > static_cast<int>(JobState::Cancelled)) {
      return std::nullopt;
    }
    progress.state_ = static_cast<JobState>(state);
    progress.changed_ = ReadTime(record, "changed");
    const auto done = record.find("done"); // absent in older records
    if (done != record.end()) {
      progress.doneOccurrences_ = done->get<std::vector<std::pair<int, int>>>();
    }
    for (const auto& row : record.at("items")) {
      ItemProgress item;
      item.occurrence_ = row.at(0).get<int>();
      item.step_ = row.at(1).get<int>();
      item.index_ = row.at(2).get<int>();
      item.isDone_ = row.at(3).get<int>() != 0;
      item.failedRuns_ = row.at(4).get<std::vector<std::int64_t>>();
      item.run_ = row.at(5).get<std::int64_t>();
      item.checkpoint_ = row.at(6).get<std::string>();
      item.target_ = row.at(7).get<std::string>();
      if (row.size() > kCrashesColumn) { // absent in older records
        item.crashes_ = ReadCrashes(row.at(kCrashesColumn));
      }
      if (row.size() > kLateStartsColumn) { // likewise
        item.lateStarts_ = ReadLateStarts(row.at(kLateStartsColumn));
      }
      progress.items_.push_back(std::move(item));
    }
    return progress;
  } catch (const json::exception&) {
    return std::nullopt; // the caller logs the key of the record
  }
}

} // namespace cuminbridge
