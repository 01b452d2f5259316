// The record of a refused job in the store.

#include "refusal_record.h"

#include <algorithm>
#include <sstream>

namespace cuminbridge {

namespace {

// Largest difference between the times of day of two entries.
constexpr Millis kClockSkew(500);

std::int64_t
ToMs(WallTime aTime)
{
  return aTime.time_since_epoch().count();
}

} // namespace

std::string
EncodeRefusal(const RefusalRecord& aRecord)
{
  return std::to_string(ToMs(aRecord.firstSentAt_)) + ' ' +
         std::to_string(ToMs(aRecord.refusedAt_)) + ' ' +
         std::to_string(ToMs(aRecord.returnAt_));
}

std::optional<RefusalRecord>
DecodeRefusal(const std::string& aText)
{
  std::istringstream in(aText);
  std::int64_t first = 0;
  std::int64_t refused = 0;
  std::int64_t back = 0;
  if (!(in >> first >> refused >> back)) {
    return std::nullopt;
  }
  return RefusalRecord{ WallTime(Millis(first)),
                        WallTime(Millis(refused)),
                        WallTime(Millis(back)) };
}

std::optional<RefusalState>
RefusalShownBy(const StoreReply& aReply, const std::string& aKey)
{
  for (const auto& item : aReply.items_) {
    if (item.key_ == aKey) {
      return item.revision_ == 0
               ? RefusalState{}
               : RefusalState{ item.revision_, DecodeRefusal(item.value_) };
    }
  }
  return std::nullopt;
}

bool
HasReturnedAsTold(const RefusalRecord& aRecord, WallTime aNow)
{
  return aNow + kClockSkew >= aRecord.returnAt_;
}

bool
OvertookAttempt(const RefusalRecord& aRecord, WallTime aBegan)
{
  return aRecord.refusedAt_ + kClockSkew >= aBegan;
}

} // namespace cuminbridge
