// Problems of a configuration.

#include <algorithm>
#include <map>
#include <set>

#include "config_check.h"

namespace cuminbridge {

namespace {

using Kind = ConfigProblemKind;

// Callers may send a spec of this size with each job.
constexpr std::int64_t kMaxSpecBytes = 4000;

class Checker
{
public:
  explicit Checker(const FleetConfig& aConfig)
    : config_(aConfig)
  {
  }

  std::vector<ConfigProblem> Check()
  {
    CheckNames("queue", config_.queues_);
    CheckNames("pool", config_.pools_);
    CheckNames("account", config_.accounts_);
    for (const auto& queue : config_.queues_) {
      CheckQueue(queue);
    }
    CheckPools();
    for (const auto& account : config_.accounts_) {
      CheckAccount(account);
    }
    CheckKeys();
    if (config_.version_ <= 0) {
      Add(Kind::Error, "version", "must be above 0");
    }
    if (config_.maxBodyBytes_ > 0 && config_.maxBodyBytes_ < kMaxSpecBytes) {
      Add(Kind::Contradiction,
          "limits",
          "a request body of " + std::to_string(config_.maxBodyBytes_) +
            " bytes has no room for a job's spec of " +
            std::to_string(kMaxSpecBytes));
    }
    return std::move(problems_);
  }

private:
  void Add(Kind aKind, std::string aEntry, std::string aMessage)
  {
    problems_.push_back({ aKind, std::move(aEntry), std::move(aMessage) });
  }

  template<typename T>
  void CheckNames(const std::string& aKind, const std::vector<T>& aRows)
  {
    std::set<std::string> names;
    for (const auto& row : aRows) {
      if (row.name_.empty()) {
        Add(Kind::Error, aKind, "one has no name");
      } else if (!names.insert(row.name_).second) {
        Add(
          Kind::Error, aKind + ' ' + row.name_, "there is another of its name");
      }
    }
  }

  void CheckQueue(const Queue& aQueue)
  {
    const auto entry = "queue " + aQueue.name_;
    CheckMatch(aQueue, entry);
    const auto* pool = FindPool(config_, aQueue.pool_);
    if (!pool) {
      Add(Kind::Error, entry, "its pool '" + aQueue.pool_ + "' does not exist");
    } else if (pool->isStandby_) {
      Add(Kind::Contradiction,
          entry,
          "its pool '" + aQueue.pool_ +
            "' is on standby: its jobs never start");
    }
    if (aQueue.priority_ < 0) {
      Add(Kind::Error, entry, "its priority is below 0");
    }
    if (aQueue.attempts_ < 1) {
      Add(Kind::Error, entry, "its jobs have no attempt");
    }
    if (aQueue.allowance_ < Millis(0) || aQueue.timeout_ < Millis(0)) {
      Add(Kind::Error, entry, "a time is below 0");
    }
    if (aQueue.stretch_ < 0) {
      Add(Kind::Error, entry, "its stretch is below 0");
    } else if (aQueue.stretch_ < 1 && aQueue.allowance_ <= Millis(0)) {
      Add(Kind::Contradiction,
          entry,
          "its objective is shorter than the run time: every job is late");
    }
  }

  // Whether some request selects the queue. Of queues with the same host and
  // prefix, the first one is selected.
  void CheckMatch(const Queue& aQueue, const std::string& aEntry)
  {
    if (aQueue.prefix_.empty() || aQueue.prefix_.front() != '/') {
      Add(Kind::NeverMatches, aEntry, "its prefix does not begin with '/'");
      return;
    }
    if (aQueue.host_.empty() || aQueue.host_.find(':') != std::string::npos) {
      Add(Kind::NeverMatches,
          aEntry,
          "its host '" + aQueue.host_ + "' is empty or has a port");
      return;
    }
    if (aQueue.prefix_.find('?') != std::string::npos) {
      Add(Kind::NeverMatches, aEntry, "its prefix holds a query");
      return;
    }
    const auto* found = FindQueue(config_, aQueue.host_, aQueue.prefix_);
    if (found && found != &aQueue) {
      Add(Kind::NeverMatches,
          aEntry,
          "queue " + found->name_ + " before it has the same host and prefix");
    }
    const bool hasKeys = std::any_of(
      config_.accounts_.begin(),
      config_.accounts_.end(),
      [](const Account& aAccount) { return !aAccount.keys_.empty(); });
    if (!aQueue.isPublic_ && !hasKeys) {
      Add(Kind::NeverMatches,
          aEntry,
          "it needs an API key, and no account has one");
    }
  }

  void CheckPools()
  {
    std::string standby;
    for (const auto& pool : config_.pools_) {
      const auto entry = "pool " + pool.name_;
      if (pool.isStandby_ && !standby.empty()) {
        Add(Kind::Contradiction, entry, standby + " is on standby too");
      }
      if (pool.isStandby_) {
        standby = entry;
        continue;
      }
      const bool isUsed = std::any_of(
        config_.queues_.begin(),
        config_.queues_.end(),
        [&](const Queue& aQueue) { return aQueue.pool_ == pool.name_; });
      if (!isUsed) {
        Add(Kind::NeverMatches, entry, "no queue uses it");
      }
    }
  }

  void CheckAccount(const Account& aAccount)
  {
    const auto entry = "account " + aAccount.name_;
    const auto& limit = aAccount.limit_;
    if (aAccount.keys_.empty()) {
      Add(Kind::NeverMatches, entry, "it has no API key");
    }
    if (limit.cpu_ < 0 || limit.memMb_ < 0 || limit.gpu_ < 0) {
      Add(Kind::Error, entry, "a limit is below 0");
    }
    if (aAccount.weight_ < 0) {
      Add(Kind::Error, entry, "its weight is below 0");
    } else if (aAccount.weight_ == 0) {
      Add(Kind::Contradiction,
          entry,
          "its weight is 0: it has no share, yet its keys are accepted");
    }
  }

  void CheckKeys()
  {
    std::map<std::string, std::string> owners; // account, by key
    for (const auto& account : config_.accounts_) {
      const auto entry = "account " + account.name_;
      for (const auto& key : account.keys_) {
        const auto [owner, isNew] = owners.emplace(key, account.name_);
        if (key.empty()) {
          Add(Kind::NeverMatches, entry, "one of its keys is empty");
        } else if (!isNew && owner->second == account.name_) {
          Add(Kind::Error, entry, "it has one of its keys twice");
        } else if (!isNew) {
          Add(Kind::NeverMatches,
              entry,
              "one of its keys belongs to account " + owner->second +
                " before it");
        }
      }
    }
  }

  const FleetConfig& config_;
  std::vector<ConfigProblem> problems_;
};

} // namespace

std::vector<ConfigProblem>
CheckConfig(const FleetConfig& aConfig)
{
  return Checker(aConfig).Check();
}

std::string
FormatProblem(const ConfigProblem& aProblem)
{
  const char* kind = aProblem.kind_ == Kind::Error          ? "error"
                     : aProblem.kind_ == Kind::NeverMatches ? "never matches"
                                                            : "contradiction";
  return std::string(kind) + ": " + aProblem.entry_ + ": " + aProblem.message_;
}

} // namespace cuminbridge
