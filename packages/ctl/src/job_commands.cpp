// Commands on jobs and on the fleet.

#include "job_commands.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <random>
#include <set>
#include <sstream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "cuminbridge/adapter.h"
#include "cuminbridge/ctl.h"
#include "show.h"

namespace cuminbridge {

using nlohmann::json;

namespace {

constexpr int kOk = 200;
constexpr int kMisdirectedRequest = 421; // the answer names the owner
constexpr std::int64_t kMaxNumber = 1000000000000;

// Where the entry that was asked takes jobs of a queue.
struct QueueLocation
{
  std::string entry_; // the entry's address for callers
  std::string host_;
  std::string prefix_;
};

HttpReply
CallOnce(const std::string& aAddress, HttpCall aCall)
{
  boost::asio::io_context io;
  HttpClient http(io, HttpClientOptions{});
  HttpReply reply;
  bool isDone = false;
  boost::asio::co_spawn(
    io,
    [&]() -> Awaitable<void> {
      reply = co_await http.Call(aAddress, std::move(aCall));
      isDone = true;
    },
    boost::asio::detached);
  while (!isDone) {
    io.run_one();
  }
  return reply;
}

ControlReply
ToReply(const HttpReply& aReply)
{
  ControlReply reply;
  reply.status_ = aReply.IsAnswered() ? aReply.status_ : 0;
  reply.body_ = aReply.body_.empty()
                  ? json::object()
                  : json::parse(aReply.body_, nullptr, false);
  return reply;
}

std::optional<QueueLocation>
FindQueueLocation(const ControlOptions& aOptions, const std::string& aQueue)
{
  const auto reply = aOptions.client_.Get("/v1/queues");
  if (reply.status_ != kOk || !reply.body_.is_object()) {
    std::cerr << "no entry could be reached\n";
    return std::nullopt;
  }
  for (const auto& row : reply.body_.at("queues")) {
    if (row.at("queue") == aQueue) {
      return QueueLocation{ reply.body_.at("callers").get<std::string>(),
                            row.at("host").get<std::string>(),
                            row.at("prefix").get<std::string>() };
    }
  }
  std::cerr << "no queue is named " << aQueue
            << "; 'fleet queues' lists them\n";
  return std::nullopt;
}

int
CallQueue(const ControlOptions& aOptions,
          const std::string& aMethod,
          const std::string& aQueue,
          const std::string& aId,
          std::string aBody = "")
{
  const auto location = FindQueueLocation(aOptions, aQueue);
  if (!location) {
    return ExitUnknown;
  }
  auto call = MakeCallerCall(
    aMethod, location->host_, aOptions.key_, location->prefix_ + aId);
  call.body_ = std::move(aBody);
  const auto reply = ToReply(CallOnce(location->entry_, std::move(call)));
  if (aMethod == "POST" && reply.status_ == kOk) {
    std::cout << "accepted " << aId << "\n";
    return ExitDone;
  }
  return Show(aOptions, reply);
}

std::string
MakeRandomId()
{
  constexpr int kDigits = 16;
  std::random_device random;
  std::string id;
  for (int digit = 0; digit < kDigits; ++digit) {
    id += "0123456789abcdef"[random() % 16];
  }
  return id;
}

int
Submit(const ControlOptions& aOptions,
       const std::string& aQueue,
       const std::string& aPath,
       const std::string& aId)
{
  std::ifstream file(aPath);
  if (!file) {
    std::cerr << aPath << ": can't be opened\n";
    return ExitUsage;
  }
  std::stringstream text;
  text << file.rdbuf();
  Findings findings;
  const auto job = ReadJobFile(text.str(), findings);
  if (!findings.empty()) {
    std::cerr << aPath << ": refused\n" << FormatFindings(findings);
    return ExitRefused;
  }
  return CallQueue(aOptions, "POST", aQueue, aId, FormatSubmission(job));
}

// The addresses of the owners of all cells, each once.
std::set<std::string>
FindOwners(const ControlOptions& aOptions)
{
  std::set<std::string> owners;
  const auto reply = aOptions.client_.Get("/v1/owners");
  if (reply.status_ == kOk && reply.body_.is_object()) {
    for (const auto& row : reply.body_.value("owners", json::array())) {
      owners.insert(row.value("address", ""));
    }
    owners.erase("");
  }
  return owners;
}

// Shows a view of the fleet: of every entry, or of the owners of all cells.
int
ShowFleet(const ControlOptions& aOptions, const std::string& aView)
{
  std::vector<json> parts;
  ControlReply reply;
  for (const auto& address : FindOwners(aOptions)) {
    ControlClient owner;
    owner.entries_ = { address };
    auto part = owner.Get("/v1/" + aView);
    if (part.status_ == kOk) {
      parts.push_back(part.body_);
      reply = std::move(part);
    }
  }
  if (parts.empty()) {
    return Show(aOptions, aOptions.client_.Get("/v1/" + aView));
  }
  reply.body_ = MergeViews(parts);
  return Show(aOptions, reply);
}

Step
ReadStep(TomlTable& aTable)
{
  const auto number = [&aTable](const char* aKey) {
    return aTable.ReadInteger(aKey, 0, kMaxNumber, 0);
  };
  Step step;
  step.count_ = static_cast<int>(aTable.ReadInteger("count", 1, 10000));
  step.needs_ = { number("cpu_millis"), number("memory_mb"), number("gpus") };
  step.estimate_ = Millis(number("estimate_ms"));
  for (const auto& earlier : aTable.ReadStrings("after", false)) {
    step.after_.push_back(std::atoi(earlier.c_str()) - 1);
  }
  step.isCheckpointing_ = aTable.ReadBool("checkpointing", false);
  step.isGang_ = aTable.ReadBool("gang", false);
  step.prefersSameRack_ = aTable.ReadBool("same_rack", false);
  step.isSpeculative_ = aTable.ReadBool("speculative", false);
  step.isLongRunning_ = aTable.ReadBool("lasting", false);
  step.isFiller_ = aTable.ReadBool("filler", false);
  step.label_ = aTable.ReadString("label", "");
  step.dataRack_ = aTable.ReadString("data_rack", "");
  step.maxPerTarget_ = static_cast<int>(number("max_per_target"));
  step.maxUnavailable_ = static_cast<int>(number("max_unavailable"));
  step.targetLatency_ = Millis(number("target_latency_ms"));
  step.image_ = aTable.ReadString("image", "");
  aTable.ReportUnknownKeys();
  return step;
}

// Adds a row of one cell to those of others: amounts of the same pool or
// account add up, any other row is a row of its own.
void
MergeRow(json& aRows, const json& aRow)
{
  // Several queues may have the same pool.
  const char* key = aRow.contains("queue")     ? nullptr
                    : aRow.contains("pool")    ? "pool"
                    : aRow.contains("account") ? "account"
                                               : nullptr;
  for (auto& row : aRows) {
    if (!key || row.value(key, "") != aRow.value(key, "")) {
      continue;
    }
    for (const auto& [name, value] : aRow.items()) {
      if (value.is_number() && name.rfind("longest_", 0) == 0) {
        row[name] = std::max(row[name].get<double>(), value.get<double>());
        continue;
      }
      // Limits are those of the whole fleet in every cell.
      if (value.is_number_integer() && name.rfind("limit_", 0) != 0) {
        row[name] = row[name].get<std::int64_t>() + value.get<std::int64_t>();
      } else if (value.is_number_float()) {
        row[name] = row[name].get<double>() + value.get<double>();
      }
    }
    return;
  }
  aRows.push_back(aRow);
}

} // namespace

Job
ReadJobFile(std::string_view aText, Findings& aFindings)
{
  Job job;
  auto table = TomlTable::Parse(aText, aFindings);
  if (!table) {
    return job;
  }
  job.spec_ = table->ReadString("spec");
  job.repeats_ = static_cast<int>(table->ReadInteger("repeats", 0, 1000000, 0));
  job.interval_ = Millis(table->ReadInteger("interval_ms", 0, kMaxNumber, 0));
  job.firstRun_ = WallTime(
    Millis(table->ReadInteger("first_run_unix_ms", 0, 100 * kMaxNumber, 0)));
  auto steps = table->ReadTables("step");
  std::sort(
    steps.begin(), steps.end(), [](const auto& aLeft, const auto& aRight) {
      return std::atoi(aLeft.first.c_str()) < std::atoi(aRight.first.c_str());
    });
  for (auto& [name, step] : steps) {
    job.steps_.push_back(ReadStep(step));
    const auto index = static_cast<int>(job.steps_.size()) - 1;
    if (name != std::to_string(index + 1)) {
      step.Report("", "steps must be numbered [step.1], [step.2] and so on");
    }
    for (const int earlier : job.steps_.back().after_) {
      if (earlier < 0 || earlier >= index) {
        step.Report("after", "must list numbers of earlier steps, as [\"1\"]");
      }
    }
  }
  if (steps.empty()) {
    table->Report("step", "a job needs at least [step.1]");
  }
  table->ReportUnknownKeys();
  return job;
}

json
MergeViews(const std::vector<json>& aParts)
{
  json merged = aParts.front();
  for (auto& [name, rows] : merged.items()) {
    if (rows.is_array()) {
      rows = json::array();
    }
  }
  for (const auto& part : aParts) {
    for (const auto& [name, rows] : part.items()) {
      if (!rows.is_array() || !merged[name].is_array()) {
        continue;
      }
      for (const auto& row : rows) {
        MergeRow(merged[name], row);
      }
    }
  }
  return merged;
}

std::optional<int>
RunJobCommand(const ControlOptions& aOptions,
              const std::vector<std::string>& aWords)
{
  constexpr std::size_t kSubmitWords = 4; // with an id there is one more
  if (aWords.size() == 2 && aWords[0] == "fleet") {
    return ShowFleet(aOptions, aWords[1]);
  }
  if (aWords.size() < 3 || aWords[0] != "job") {
    return std::nullopt;
  }
  const auto& command = aWords[1];
  const auto& queue = aWords[2];
  if (command == "submit" && aWords.size() >= kSubmitWords &&
      aWords.size() <= kSubmitWords + 1) {
    const auto id =
      aWords.size() > kSubmitWords ? aWords[kSubmitWords] : MakeRandomId();
    return Submit(aOptions, queue, aWords[3], id);
  }
  if (command == "list" && aWords.size() == 3) {
    return CallQueue(aOptions, "GET", queue, "");
  }
  if ((command == "read" || command == "cancel") &&
      aWords.size() == kSubmitWords) {
    return CallQueue(
      aOptions, command == "read" ? "GET" : "DELETE", queue, aWords[3]);
  }
  return std::nullopt;
}

} // namespace cuminbridge
