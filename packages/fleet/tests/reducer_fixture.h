// Delivers events to a Fleet one by one. Nothing is answered unless a test does
// it.

#ifndef cuminbridge_fleet_tests_reducer_fixture_h
#define cuminbridge_fleet_tests_reducer_fixture_h

#include "simulated_fleet.h"
#include "state.h"

namespace cuminbridge {

struct ReducerFixture
{
  static TargetReport MakeReport(const std::string& aId)
  {
    TargetReport report;
    report.id_ = report.address_ = aId;
    report.pool_ = "a";
    report.vm_ = "vm-" + aId;
    report.capacity_ = { 8000, 32000, 0 };
    report.startUnixMs_ = 5;
    report.clockMs_ = 100;
    return report;
  }

  void Deliver(const Event& aEvent) { fleet_.Handle(aEvent, now_); }

  // The configuration has the only pool "a".
  void UsePool(bool aRejectsOverload = true)
  {
    FleetConfig config;
    config.version_ = 1;
    config.pools_.push_back({ "a", aRejectsOverload, false });
    Deliver(ConfigSeen{ config });
  }

  // A renewal of the target has got no list.
  void FailRenewal(const std::string& aTarget, RenewalOutcome aOutcome)
  {
    RenewalAnswered renewal;
    renewal.target_ = aTarget;
    renewal.outcome_ = aOutcome;
    renewal.sentAt_ = now_;
    Deliver(renewal);
  }

  // The starts since the last call, while some time passes by aWait(time). Each
  // batch for the store is confirmed.
  template<typename Wait>
  std::vector<StartRun> CollectStarts(Wait aWait)
  {
    std::vector<StartRun> starts;
    for (int round = 0; round < 10; ++round) {
      for (const auto& effect : fleet_.TakeEffects()) {
        if (const auto* start = std::get_if<StartRun>(&effect)) {
          starts.push_back(*start);
        } else if (const auto* store = std::get_if<StoreProgress>(&effect)) {
          Deliver(ProgressStored{ store->batch_ });
        } else if (std::holds_alternative<StopRun>(effect)) {
          ++stops_;
        }
      }
      aWait(Millis(20));
    }
    return starts;
  }

  // A tick, with a confirmation that all submissions have been read.
  void AdvanceTime(Millis aTime, bool aIsSubmissionRead = true)
  {
    now_ += aTime;
    if (aIsSubmissionRead) {
      Deliver(SubmissionsRead{ now_ });
    }
    Deliver(Tick{ WallTime(now_.time_since_epoch()), kAlways });
  }

  // The number that the next call to the target has for its process.
  int ProcessOf(const std::string& aTarget) const
  {
    return fleet_.State().targets_.at(aTarget).process_;
  }

  // The target answers a renewal and lists these runs.
  void AnswerRenewal(const std::string& aTarget,
                     std::vector<RunningRun> aRunning,
                     std::vector<EndedRun> aEnded = {})
  {
    RenewalAnswered renewal;
    renewal.target_ = aTarget;
    renewal.outcome_ = RenewalOutcome::Answered;
    renewal.sentAt_ = now_;
    now_ += Millis(5);
    renewal.startUnixMs_ = 5;
    renewal.clockMs_ = 100;
    renewal.running_ = std::move(aRunning);
    renewal.ended_ = std::move(aEnded);
    Deliver(renewal);
  }

  template<typename EffectType>
  int CountEffects()
  {
    int count = 0;
    for (const auto& effect : fleet_.TakeEffects()) {
      count += std::holds_alternative<EffectType>(effect) ? 1 : 0;
    }
    return count;
  }

  int stops_ = 0; // that CollectStarts() has met
  Instant now_{ Millis(1000000) };
  Fleet fleet_{ FleetOptions{}, now_ };
};

} // namespace cuminbridge

#endif // cuminbridge_fleet_tests_reducer_fixture_h
