// Answers with 503, and when their callers should return.

#include "refusal.h"

#include <algorithm>

namespace cuminbridge {

namespace {

constexpr int kUnavailable = 503;
constexpr Millis kSecond(1000);
constexpr Millis kShortestDelay(1000);
// Machines that are out of touch for longer are expected to be lost for good.
constexpr Millis kLongestDelay(4000);
// After an outage, one entry takes this many returning callers a second. Slow
// entries have an eighth of a core.
constexpr Millis kReturnSpacing(50);

std::string
Describe(RefusalCause aCause, Millis aLasted)
{
  const auto lasted = std::to_string(aLasted.count()) + " ms";
  switch (aCause) {
    case RefusalCause::NoConfiguration:
      return "no configuration yet; this entry started " + lasted + " ago";
    case RefusalCause::StoreLost:
      return "the store has not answered this entry for " + lasted;
    case RefusalCause::StoreCallFailed:
      return "the store did not carry this call out";
    case RefusalCause::CountTooOld:
      return "no recent count is known";
    case RefusalCause::PoolFull:
      return "the pool can't run the job in time";
  }
  return "";
}

} // namespace

const char*
NameOf(RefusalCause aCause)
{
  switch (aCause) {
    case RefusalCause::NoConfiguration:
      return "no_configuration";
    case RefusalCause::StoreLost:
      return "store_lost";
    case RefusalCause::StoreCallFailed:
      return "store_call_failed";
    case RefusalCause::CountTooOld:
      return "count_too_old";
    case RefusalCause::PoolFull:
      return "pool_full";
  }
  return "";
}

Millis
ExpectedOutage(Millis aLasted)
{
  return std::clamp(aLasted, kShortestDelay, kLongestDelay);
}

Instant
ReturnSlots::Take(Instant aEarliest, Millis aSpacing)
{
  const auto slot = std::max(next_, aEarliest);
  next_ = slot + aSpacing;
  return slot;
}

int
RetryAfterSeconds(Millis aDelay)
{
  return static_cast<int>(
    std::max<std::int64_t>(1, (aDelay + kSecond - Millis(1)) / kSecond));
}

namespace {

HttpResponse
MakeRefusal(RefusalCause aCause, Millis aLasted, Millis aDelay)
{
  HttpResponse answer;
  answer.status_ = kUnavailable;
  answer.body_ = FormatError(Describe(aCause, aLasted));
  answer.headers_.emplace_back("Retry-After",
                               std::to_string(RetryAfterSeconds(aDelay)));
  return answer;
}

} // namespace

std::string
RetryAfterOf(const HttpResponse& aRefusal)
{
  return aRefusal.headers_.empty() ? "" : aRefusal.headers_.back().second;
}

HttpResponse
Refusals::Refuse(RefusalCause aCause, Millis aLasted, Instant aNow)
{
  ++counts_[{ aCause, "" }];
  const bool isOutage = aCause == RefusalCause::StoreLost ||
                        aCause == RefusalCause::NoConfiguration;
  const auto delay =
    isOutage
      ? slots_.Take(aNow + ExpectedOutage(aLasted), kReturnSpacing) - aNow
      : kShortestDelay;
  return MakeRefusal(
    aCause, aLasted, std::chrono::duration_cast<Millis>(delay));
}

HttpResponse
Refusals::RefuseForPool(const std::string& aPool, Millis aDelay)
{
  ++counts_[{ RefusalCause::PoolFull, aPool }];
  return MakeRefusal(RefusalCause::PoolFull, Millis(0), aDelay);
}

} // namespace cuminbridge
