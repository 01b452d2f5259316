// What refused callers are told.

#include <map>

#include <catch2/catch.hpp>

#include "admission/refusal.h"

using namespace cuminbridge;

namespace {

constexpr Instant kNow{ Millis(100000) };

} // namespace

TEST_CASE("a refused caller returns after as long as the outage has lasted")
{
  Refusals refusals;
  const auto tell = [&](RefusalCause aCause, Millis aLasted) {
    return RetryAfterOf(Refusals().Refuse(aCause, aLasted, kNow));
  };
  CHECK(tell(RefusalCause::StoreLost, Millis(600)) == "1");
  CHECK(tell(RefusalCause::StoreLost, Millis(2500)) == "3");
  CHECK(tell(RefusalCause::StoreLost, Millis(60000)) == "4");
  CHECK(tell(RefusalCause::NoConfiguration, Millis(1700)) == "2");
  // The store answers: only this call was refused.
  CHECK(tell(RefusalCause::StoreCallFailed, Millis(0)) == "1");
  const auto answer =
    refusals.Refuse(RefusalCause::StoreLost, Millis(2500), kNow);
  CHECK(answer.status_ == 503);
  CHECK(answer.body_.find("for 2500 ms") != std::string::npos);
}

TEST_CASE("callers who were refused in an outage do not return together")
{
  // 200 callers at one entry in the first 2 s of an outage. With the same
  // Retry-After for all, half of them return within one second.
  Refusals refusals;
  std::map<std::int64_t, int> perSecond;
  for (int caller = 0; caller < 200; ++caller) {
    const auto at = kNow + Millis(10 * caller);
    const auto lasted = Millis(600 + 10 * caller);
    const auto answer = refusals.Refuse(RefusalCause::StoreLost, lasted, at);
    const auto back =
      at + std::chrono::seconds(std::stoi(RetryAfterOf(answer)));
    ++perSecond[std::chrono::duration_cast<std::chrono::seconds>(
                  back.time_since_epoch())
                  .count()];
  }
  for (const auto& [second, callers] : perSecond) {
    CAPTURE(second);
    CHECK(callers <= 40); // 20 a second, and whole seconds
  }
}

TEST_CASE("refusals are counted by cause and pool")
{
  Refusals refusals;
  refusals.Refuse(RefusalCause::StoreLost, Millis(600), kNow);
  refusals.RefuseForPool("dispatch", Millis(1200));
  refusals.RefuseForPool("dispatch", Millis(1200));
  CHECK(refusals.Counts() ==
        RefusalCounts{ { { RefusalCause::StoreLost, "" }, 1 },
                       { { RefusalCause::PoolFull, "dispatch" }, 2 } });
  CHECK(RetryAfterOf(refusals.RefuseForPool("dispatch", Millis(1200))) == "2");
}
