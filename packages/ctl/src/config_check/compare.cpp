// What differs between two configurations.

#include <algorithm>

#include <fmt/format.h>

#include "config_check.h"

namespace cuminbridge {

namespace {

class Comparison
{
public:
  explicit Comparison(std::string aEntry)
    : entry_(std::move(aEntry))
  {
  }

  template<typename T>
  void Value(const char* aName, const T& aOld, const T& aNew)
  {
    if (!(aOld == aNew)) {
      lines_.push_back(
        fmt::format("{}: {} {} -> {}", entry_, aName, Show(aOld), Show(aNew)));
    }
  }

  void Keys(const std::vector<std::string>& aOld,
            const std::vector<std::string>& aNew)
  {
    const auto missing = [](const auto& aFrom, const auto& aIn) {
      return std::count_if(
        aFrom.begin(), aFrom.end(), [&](const std::string& aKey) {
          return std::find(aIn.begin(), aIn.end(), aKey) == aIn.end();
        });
    };
    const auto added = missing(aNew, aOld);
    const auto removed = missing(aOld, aNew);
    if (added + removed > 0) {
      lines_.push_back(fmt::format(
        "{}: API keys: {} added, {} removed", entry_, added, removed));
    }
  }

  std::vector<std::string> lines_;

private:
  template<typename T>
  static std::string Show(const T& aValue)
  {
    return fmt::format("{}", aValue);
  }
  static std::string Show(const Millis& aValue)
  {
    return fmt::format("{} ms", aValue.count());
  }
  static std::string Show(const Resources& aValue)
  {
    return fmt::format(
      "cpu {} memory {} gpu {}", aValue.cpu_, aValue.memMb_, aValue.gpu_);
  }

  std::string entry_;
};

void
CompareValues(Comparison& aTo, const Queue& aOld, const Queue& aNew)
{
  aTo.Value("host", aOld.host_, aNew.host_);
  aTo.Value("prefix", aOld.prefix_, aNew.prefix_);
  aTo.Value("pool", aOld.pool_, aNew.pool_);
  aTo.Value("priority", aOld.priority_, aNew.priority_);
  aTo.Value("attempts", aOld.attempts_, aNew.attempts_);
  aTo.Value("stretch", aOld.stretch_, aNew.stretch_);
  aTo.Value("allowance", aOld.allowance_, aNew.allowance_);
  aTo.Value("timeout", aOld.timeout_, aNew.timeout_);
  aTo.Value("public", aOld.isPublic_, aNew.isPublic_);
  aTo.Value("needs advice", aOld.needsAdvice_, aNew.needsAdvice_);
}

void
CompareValues(Comparison& aTo, const Pool& aOld, const Pool& aNew)
{
  aTo.Value("rejects overload", aOld.rejectsOverload_, aNew.rejectsOverload_);
  aTo.Value("standby", aOld.isStandby_, aNew.isStandby_);
}

void
CompareValues(Comparison& aTo, const Account& aOld, const Account& aNew)
{
  aTo.Keys(aOld.keys_, aNew.keys_);
  aTo.Value("weight", aOld.weight_, aNew.weight_);
  aTo.Value("limit", aOld.limit_, aNew.limit_);
}

template<typename T>
void
CompareRows(const char* aKind,
            const std::vector<T>& aOld,
            const std::vector<T>& aNew,
            std::vector<std::string>& aLines)
{
  const auto find = [](const std::vector<T>& aRows, const std::string& aName) {
    return std::find_if(aRows.begin(), aRows.end(), [&](const T& aRow) {
      return aRow.name_ == aName;
    });
  };
  for (const auto& row : aOld) {
    if (find(aNew, row.name_) == aNew.end()) {
      aLines.push_back(fmt::format("{} {}: removed", aKind, row.name_));
    }
  }
  for (const auto& row : aNew) {
    const auto before = find(aOld, row.name_);
    if (before == aOld.end()) {
      aLines.push_back(fmt::format("{} {}: added", aKind, row.name_));
      continue;
    }
    Comparison comparison(fmt::format("{} {}", aKind, row.name_));
    CompareValues(comparison, *before, row);
    aLines.insert(
      aLines.end(), comparison.lines_.begin(), comparison.lines_.end());
  }
}

} // namespace

std::vector<std::string>
CompareConfigs(const FleetConfig& aInForce, const FleetConfig& aNew)
{
  std::vector<std::string> lines;
  Comparison whole("configuration");
  whole.Value("version", aInForce.version_, aNew.version_);
  whole.Value("max body bytes", aInForce.maxBodyBytes_, aNew.maxBodyBytes_);
  lines = std::move(whole.lines_);
  CompareRows("queue", aInForce.queues_, aNew.queues_, lines);
  CompareRows("pool", aInForce.pools_, aNew.pools_, lines);
  CompareRows("account", aInForce.accounts_, aNew.accounts_, lines);
  return lines;
}

} // namespace cuminbridge
