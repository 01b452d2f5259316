// Clocks, resources, work item names, and look-ups in the configuration.

#include <algorithm>
#include <charconv>
#include <ctime>
#include <tuple>

#include "cuminbridge/jobs.h"

namespace cuminbridge {

namespace {

Millis
ReadClock(clockid_t aClock)
{
  timespec now{};
  clock_gettime(aClock, &now);
  return std::chrono::duration_cast<Millis>(
    std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

// Consumes a number from the front of aText, and the '.' that must follow it.
// If aIsLast, the text must end after the number.
bool
TakeNumber(std::string_view& aText, int& aNumber, bool aIsLast)
{
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, aNumber);
  if (parsed.ec != std::errc() || aNumber < 0) {
    return false;
  }
  aText.remove_prefix(static_cast<std::size_t>(parsed.ptr - aText.data()));
  if (aIsLast) {
    return aText.empty();
  }
  if (aText.empty() || aText.front() != '.') {
    return false;
  }
  aText.remove_prefix(1);
  return true;
}

} // namespace

Instant
SystemClocks::Now() const
{
  return Instant(ReadClock(CLOCK_BOOTTIME));
}

WallTime
SystemClocks::TimeOfDay() const
{
  return WallTime(ReadClock(CLOCK_REALTIME));
}

Resources&
Resources::operator+=(const Resources& aOther)
{
  cpu_ += aOther.cpu_;
  memMb_ += aOther.memMb_;
  gpu_ += aOther.gpu_;
  return *this;
}

Resources&
Resources::operator-=(const Resources& aOther)
{
  cpu_ -= aOther.cpu_;
  memMb_ -= aOther.memMb_;
  gpu_ -= aOther.gpu_;
  return *this;
}

bool
Resources::Fits(const Resources& aFree) const
{
  return cpu_ <= aFree.cpu_ && memMb_ <= aFree.memMb_ && gpu_ <= aFree.gpu_;
}

bool
ItemName::operator<(const ItemName& aOther) const
{
  return std::tie(job_, occurrence_, step_, index_) <
         std::tie(aOther.job_, aOther.occurrence_, aOther.step_, aOther.index_);
}

std::string
FormatItem(const ItemName& aName)
{
  return aName.job_ + '.' + std::to_string(aName.occurrence_) + '.' +
         std::to_string(aName.step_) + '.' + std::to_string(aName.index_);
}

std::optional<ItemName>
ParseItem(std::string_view aText)
{
  const auto dot = aText.find('.');
  if (dot == std::string_view::npos || dot == 0) {
    return std::nullopt;
  }
  ItemName name;
  name.job_ = aText.substr(0, dot);
  aText.remove_prefix(dot + 1);
  if (!TakeNumber(aText, name.occurrence_, false) ||
      !TakeNumber(aText, name.step_, false) ||
      !TakeNumber(aText, name.index_, true)) {
    return std::nullopt;
  }
  return name;
}

const Queue*
FindQueue(const FleetConfig& aConfig,
          std::string_view aHost,
          std::string_view aPath)
{
  const Queue* found = nullptr;
  for (const auto& queue : aConfig.queues_) {
    if (queue.host_ == aHost &&
        aPath.substr(0, queue.prefix_.size()) ==
          std::string_view(queue.prefix_) &&
        (!found || queue.prefix_.size() > found->prefix_.size())) {
      found = &queue;
    }
  }
  return found;
}

namespace {

template<typename T>
const T*
FindByName(const std::vector<T>& aRows, std::string_view aName)
{
  const auto row = std::find_if(aRows.begin(), aRows.end(), [&](const T& aRow) {
    return aRow.name_ == aName;
  });
  return row == aRows.end() ? nullptr : &*row;
}

} // namespace

const Queue*
FindQueueByName(const FleetConfig& aConfig, std::string_view aName)
{
  return FindByName(aConfig.queues_, aName);
}

const Pool*
FindPool(const FleetConfig& aConfig, std::string_view aName)
{
  return FindByName(aConfig.pools_, aName);
}

const Account*
FindAccount(const FleetConfig& aConfig, std::string_view aName)
{
  return FindByName(aConfig.accounts_, aName);
}

const Account*
FindAccountByKey(const FleetConfig& aConfig, std::string_view aKey)
{
  for (const auto& account : aConfig.accounts_) {
    if (std::find(account.keys_.begin(), account.keys_.end(), aKey) !=
        account.keys_.end()) {
      return &account;
    }
  }
  return nullptr;
}

} // namespace cuminbridge
