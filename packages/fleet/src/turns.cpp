// When the demand on each pool rises next.

#include "turns.h"

#include <algorithm>

namespace cuminbridge {

namespace {

// A first turn keeps this part of its pool busy; one large job stays below it.
constexpr double kFirstPart = 0.5;
// Later ones begin and end at these parts of the last one's mean: in between
// turns a queue asks about a hundredth of it.
constexpr double kBeginPart = 0.4;
constexpr double kEndPart = 0.2;
// Turns of one pool are no closer than this: a dip is not the end of one.
constexpr Millis kShortestPeriod(2000);

// The trend of the demand is taken over this time: shorter, and single jobs
// would show as a rise.
constexpr Millis kTrend(1000);

double
BeginThreshold(const PoolTurn& aTurn, std::int64_t aCapacityCpu)
{
  return aTurn.known_.meanCpu_ > 0
           ? kBeginPart * static_cast<double>(aTurn.known_.meanCpu_)
           : kFirstPart * static_cast<double>(aCapacityCpu);
}

void
Begin(PoolTurn& aTurn, const DemandSample& aSample)
{
  auto& known = aTurn.known_;
  known.period_ =
    HasHadTurn(aTurn)
      ? std::chrono::duration_cast<Millis>(aSample.at_ - known.began_)
      : Millis(0);
  known.began_ = aSample.at_;
  aTurn.isOn_ = true;
  aTurn.sum_ = 0;
  aTurn.count_ = 0;
}

// From the begins of all pools' first turns: they come one after the other.
std::optional<Millis>
PeriodOfRound(const std::map<std::string, PoolTurn>& aTurns, std::size_t aPools)
{
  std::optional<WallTime> first;
  std::optional<WallTime> last;
  std::size_t count = 0;
  for (const auto& [pool, turn] : aTurns) {
    if (!HasHadTurn(turn)) {
      continue;
    }
    ++count;
    first = std::min(first.value_or(turn.known_.began_), turn.known_.began_);
    last = std::max(last.value_or(turn.known_.began_), turn.known_.began_);
  }
  if (count < 2 || count < aPools) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Millis>(*last - *first) *
         static_cast<int>(count) / static_cast<int>(count - 1);
}

} // namespace

bool
HasHadTurn(const PoolTurn& aTurn)
{
  return aTurn.known_.began_ != WallTime();
}

bool
NoteDemand(PoolTurn& aTurn, const DemandSample& aSample)
{
  aTurn.recent_.push_back(aSample);
  while (aSample.at_ - aTurn.recent_.front().at_ > kTrend) {
    aTurn.recent_.pop_front();
  }
  const auto offered = static_cast<double>(aSample.offeredCpu_);
  if (!aTurn.isOn_) {
    const bool isRise = offered > BeginThreshold(aTurn, aSample.capacityCpu_);
    const bool isSameTurn =
      HasHadTurn(aTurn) && aSample.at_ - aTurn.known_.began_ < kShortestPeriod;
    if (!isRise || isSameTurn || aSample.capacityCpu_ == 0) {
      return false;
    }
    Begin(aTurn, aSample);
  }
  aTurn.sum_ += aSample.offeredCpu_;
  ++aTurn.count_;
  const auto mean = aTurn.sum_ / aTurn.count_;
  if (offered < kEndPart * static_cast<double>(mean)) {
    aTurn.isOn_ = false;
    aTurn.known_.meanCpu_ = mean;
    return true;
  }
  return aTurn.count_ == 1;
}

std::optional<WallTime>
NextTurn(const std::map<std::string, PoolTurn>& aTurns,
         const std::string& aPool,
         std::size_t aPools,
         WallTime aNow)
{
  const auto turn = aTurns.find(aPool);
  if (turn == aTurns.end() || !HasHadTurn(turn->second)) {
    return std::nullopt;
  }
  const auto& known = turn->second.known_;
  const auto period = known.period_.count() > 0
                        ? std::optional<Millis>(known.period_)
                        : PeriodOfRound(aTurns, aPools);
  if (!period || *period < kShortestPeriod) {
    return std::nullopt;
  }
  const auto next = known.began_ + *period;
  // One that did not come ends the pattern until the next one is seen.
  return next + kTurnDoubt < aNow ? std::nullopt : std::optional(next);
}

std::int64_t
ExpectedCpu(const std::map<std::string, PoolTurn>& aTurns,
            const std::string& aPool,
            std::size_t aPools,
            WallTime aNow,
            Millis aLead)
{
  const auto found = aTurns.find(aPool);
  if (found == aTurns.end()) {
    return 0;
  }
  const auto& turn = found->second;
  // What arrives has to be counted for a moment before it tells how much it is.
  const bool hasJustBegun =
    turn.isOn_ && aNow - turn.known_.began_ < kTurnDoubt;
  const auto next = NextTurn(aTurns, aPool, aPools, aNow);
  const bool isSoon = next && aNow >= *next - aLead;
  return hasJustBegun || isSoon ? turn.known_.meanCpu_ : 0;
}

std::int64_t
ExpectedRise(const PoolTurn& aTurn, Millis aAhead)
{
  if (aTurn.recent_.empty()) {
    return 0;
  }
  const auto& first = aTurn.recent_.front();
  const auto& last = aTurn.recent_.back();
  const auto time = std::chrono::duration_cast<Millis>(last.at_ - first.at_);
  const auto rise = last.offeredCpu_ - first.offeredCpu_;
  if (time < kTrend / 2 || rise <= 0) {
    return 0;
  }
  return std::min(last.offeredCpu_, rise * aAhead.count() / time.count());
}

} // namespace cuminbridge
