// Benchmark: the time that the owner's decisions take as the fleet grows.
//
//   fleet_bench            prints a table
//
// It passes or fails nothing, as times differ from machine to machine.
// docs/CAPACITY.md holds the results of a run.

#include <chrono>
#include <cstdio>

#include "simulated_fleet.h"

using namespace cuminbridge;

namespace {

constexpr int kTargetsPerPool = 64;
constexpr int kRounds = 200; // of each measured event

RenewalAnswered
MakeRenewalAnswer(int aTarget, Instant aNow)
{
  RenewalAnswered renewal;
  renewal.target_ = "t" + std::to_string(aTarget);
  renewal.outcome_ = RenewalOutcome::Answered;
  renewal.sentAt_ = aNow;
  renewal.startUnixMs_ = 1;
  renewal.clockMs_ = aNow.time_since_epoch().count();
  return renewal;
}

template<typename Work>
double
MeasureMicros(int aCount, Work aWork)
{
  const auto began = std::chrono::steady_clock::now();
  for (int round = 0; round < aCount; ++round) {
    aWork(round);
  }
  const std::chrono::duration<double, std::micro> took =
    std::chrono::steady_clock::now() - began;
  return took.count() / aCount;
}

void
Measure(int aTargets)
{
  Instant now(Millis(1000000));
  Fleet fleet(FleetOptions{}, now);
  FleetConfig config;
  config.version_ = 1;
  TargetsSeen seen;
  for (int number = 0; number < aTargets; ++number) {
    TargetReport report;
    report.id_ = "t" + std::to_string(number);
    report.address_ = "10.0.0.1:1";
    report.pool_ = "p" + std::to_string(number / kTargetsPerPool);
    report.vm_ = "vm" + std::to_string(number);
    report.rack_ = "r" + std::to_string(number / 8);
    report.capacity_ = { 64000, 131072, 0 };
    report.startUnixMs_ = 1;
    report.clockMs_ = now.time_since_epoch().count();
    seen.targets_.push_back(std::move(report));
    if (number % kTargetsPerPool == 0) {
      config.pools_.push_back(
        { "p" + std::to_string(number / kTargetsPerPool), true, false });
    }
  }
  fleet.Handle(ConfigSeen{ config }, now);
  fleet.Handle(JobsLoaded{}, now);
  const double listing =
    MeasureMicros(5, [&](int) { fleet.Handle(seen, now); });
  fleet.Handle(SubmissionsRead{ now }, now);
  fleet.Handle(Tick{}, now);
  for (int number = 0; number < aTargets; ++number) {
    fleet.Handle(MakeRenewalAnswer(number, now), now);
  }
  fleet.Handle(ProgressStored{ 1 }, now);
  fleet.TakeEffects();
  const int pools = static_cast<int>(config.pools_.size());
  const double submission = MeasureMicros(kRounds, [&](int aRound) {
    now += Millis(5);
    fleet.Handle(JobArrived{ MakeJob(MakeJobId(aRound),
                                     "p" + std::to_string(aRound % pools),
                                     { 6, 4 }) },
                 now);
    fleet.TakeEffects();
  });
  const double renewal = MeasureMicros(kRounds, [&](int aRound) {
    now += Millis(1);
    fleet.Handle(MakeRenewalAnswer(aRound % aTargets, now), now);
    fleet.TakeEffects();
  });
  const double tick = MeasureMicros(kRounds, [&](int) {
    now += Millis(10);
    fleet.Handle(SubmissionsRead{ now }, now);
    fleet.Handle(Tick{}, now);
    fleet.TakeEffects();
  });
  const auto record = EncodeJob(MakeJob(MakeJobId(1), "p0", { 6, 4 }));
  std::printf("| %6d | %3d | %9.0f | %7.1f | %8.1f | %7.1f | %4zu |\n",
              aTargets,
              pools,
              listing,
              submission,
              renewal,
              tick,
              record.size());
}

} // namespace

int
main()
{
  std::printf("| targets | pools | list us | job us | answer us | tick us | "
              "job bytes |\n| --- | --- | --- | --- | --- | --- | --- |\n");
  for (const int targets : { 50, 350, 3000, 13000 }) {
    Measure(targets);
  }
  return 0;
}
