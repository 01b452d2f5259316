// The scheduling decisions, each on the load that it is made for, against its
// baseline.

#include <algorithm>

#include <catch2/catch.hpp>

#include "moves.h"
#include "pacing.h"
#include "placing.h"
#include "run_times.h"
#include "shares.h"
#include "waves.h"

using namespace cuminbridge;

namespace {

Candidate
MakeSite(std::int64_t aCpu)
{
  Candidate site;
  site.free_ = { aCpu, 100000, 8 };
  site.capacityCpu_ = 16000;
  return site;
}

using Chooser = int (*)(const Step&, const std::vector<Candidate>&);

// Places the items one after the other and counts those that fit.
int
CountPlaced(Chooser aChoose, std::vector<std::int64_t> aNeeds)
{
  std::vector<Candidate> sites(4, MakeSite(16000));
  int placed = 0;
  for (const auto cpu : aNeeds) {
    Step step;
    step.needs_.cpu_ = cpu;
    const int chosen = aChoose(step, sites);
    if (chosen != kNoCandidate) {
      sites[static_cast<std::size_t>(chosen)].free_.cpu_ -= cpu;
      ++placed;
    }
  }
  return placed;
}

PoolView
MakePool(const std::string& aName, int aIdle, Millis aIdleFor)
{
  PoolView pool;
  pool.name_ = aName;
  pool.isPastPeak_ = true;
  pool.size_ = aIdle + 2;
  pool.capacityCpu_ = pool.size_ * 16000;
  for (int number = 0; number < aIdle; ++number) {
    pool.idle_.push_back(
      { aName + "-" + std::to_string(number), aIdleFor, 16000 });
  }
  return pool;
}

} // namespace

TEST_CASE(
  "packing prefers tight targets and places no fewer items than first fit")
{
  // Small and wide items mixed, as in a demand peak of uneven steps.
  const std::vector<std::int64_t> needs = { 9000,  10000, 5000, 6000,
                                            11000, 12000, 7000, 4000 };
  CHECK(CountPlaced(ChooseTarget, needs) >= CountPlaced(ChooseFirstFit, needs));
  std::vector<Candidate> sites = { MakeSite(16000), MakeSite(6000) };
  Step step;
  step.needs_.cpu_ = 5000;
  CHECK(ChooseTarget(step, sites) == 1);
  CHECK(ChooseFirstFit(step, sites) == 0);
}

TEST_CASE("placement respects labels, free capacity and the limit per target")
{
  std::vector<Candidate> sites = { MakeSite(1000),
                                   MakeSite(16000),
                                   MakeSite(16000) };
  sites[1].isEligible_ = false;
  sites[2].sameStepRuns_ = 1;
  Step step;
  step.needs_.cpu_ = 2000;
  step.maxPerTarget_ = 1;
  CHECK(ChooseTarget(step, sites) == kNoCandidate);
  step.maxPerTarget_ = 2;
  CHECK(ChooseTarget(step, sites) == 2);
}

TEST_CASE("a target where the item failed is avoided")
{
  std::vector<Candidate> sites = { MakeSite(3000), MakeSite(16000) };
  sites[0].isAvoided_ = true;
  Step step;
  step.needs_.cpu_ = 2000;
  CHECK(ChooseTarget(step, sites) == 1);
}

TEST_CASE("least work first meets more objectives than first come first served")
{
  // One target and a queue at five times its mean: one long job, then many
  // short ones. Times are in ms.
  struct WaitingJob
  {
    SchedulingKey claim_;
    double time_;
    double objective_;
  };
  std::vector<WaitingJob> waiting;
  for (int number = 0; number < 12; ++number) {
    WaitingJob job;
    job.time_ = number == 0 ? 4000 : 400;
    job.objective_ = 1.6 * job.time_ + 600;
    job.claim_.work_ = job.time_;
    job.claim_.arrived_ = Instant(Millis(number));
    waiting.push_back(job);
  }
  const auto countInTime = [](const std::vector<WaitingJob>& aOrder) {
    double now = 0;
    int inTime = 0;
    for (const auto& job : aOrder) {
      now += job.time_;
      inTime += now <= job.objective_ ? 1 : 0;
    }
    return inTime;
  };
  auto ordered = waiting;
  std::sort(ordered.begin(),
            ordered.end(),
            [](const WaitingJob& aLeft, const WaitingJob& aRight) {
              return IsScheduledBefore(aLeft.claim_, aRight.claim_);
            });
  CHECK(countInTime(ordered) > countInTime(waiting));
}

TEST_CASE("an account within its share goes before one that exceeds its share")
{
  // A pool that runs ten jobs a second. Two accounts have a share of 5 jobs a
  // second each: one submits 30 a second, the other 5.
  const WallTime begin(Millis(1700000000000));
  ShareBucket usualBucket;
  ShareBucket heavyBucket;
  std::vector<SchedulingKey> all;
  for (int number = 0; number < 300; ++number) {
    const Millis at(number * 1000 / 30);
    SchedulingKey claim;
    claim.work_ = 100;
    claim.arrived_ = Instant(at);
    claim.isBeyondShare_ = !ConsumeShare(heavyBucket, 5, begin + at);
    all.push_back(claim);
    if (number % 6 == 0) {
      claim.isBeyondShare_ = !ConsumeShare(usualBucket, 5, begin + at);
      CHECK_FALSE(claim.isBeyondShare_);
      all.push_back(claim);
    }
  }
  const auto beyond =
    std::count_if(all.begin(), all.end(), [](const SchedulingKey& aClaim) {
      return aClaim.isBeyondShare_;
    });
  // Within the share: nearly ten seconds at 5 a second, and a burst of one
  // second.
  CHECK(beyond == 300 - 54);
  std::stable_sort(all.begin(), all.end(), IsScheduledBefore);
  // All that is within a share is served within the ten seconds.
  CHECK(std::all_of(
    all.begin(), all.begin() + 100, [](const SchedulingKey& aClaim) {
      return !aClaim.isBeyondShare_;
    }));
}

TEST_CASE("a share is not refilled by clocks that differ")
{
  const WallTime begin(Millis(1700000000000));
  ShareBucket bucket;
  CHECK(ConsumeShare(bucket, 1, begin + Millis(500)));
  CHECK_FALSE(ConsumeShare(bucket, 1, begin));
  CHECK_FALSE(ConsumeShare(bucket, 1, begin + Millis(900)));
  CHECK(ConsumeShare(bucket, 1, begin + Millis(1600)));
}

TEST_CASE("a pool lends its idle VMs although a little of its work waits")
{
  auto lender = MakePool("a", 10, Millis(5000));
  lender.waitingCpu_ = 2000; // an item that has just arrived
  auto flooded = MakePool("b", 0, Millis(0));
  flooded.waitingCpu_ = 500000;
  const auto moves = PlanMoves({ lender, flooded }, {});
  CHECK(moves.size() == 8);
  lender.idle_.clear();
  CHECK(PlanMoves({ lender, flooded }, {}).empty());
}

TEST_CASE("hopeless work within a share goes after other work beyond its share")
{
  SchedulingKey hopeless;
  hopeless.lateness_ = Lateness::Hopeless;
  SchedulingKey beyond;
  beyond.isBeyondShare_ = true;
  CHECK(IsScheduledBefore(beyond, hopeless));
  SchedulingKey late;
  late.lateness_ = Lateness::Late;
  CHECK(IsScheduledBefore(late, beyond));
}

TEST_CASE("urgent work goes first, hopeless work last")
{
  SchedulingKey urgent;
  urgent.work_ = 100;
  SchedulingKey later = urgent;
  later.priority_ = 1;
  later.work_ = 1;
  CHECK(IsScheduledBefore(urgent, later));
  SchedulingKey late = urgent;
  late.lateness_ = Lateness::Late;
  late.work_ = 1;
  CHECK(IsScheduledBefore(urgent, late));
  SchedulingKey hopeless = late;
  hopeless.lateness_ = Lateness::Hopeless;
  CHECK(IsScheduledBefore(late, hopeless));
}

TEST_CASE(
  "a pool with waiting work gets standby VMs before those of other pools")
{
  auto needy = MakePool("needy", 0, Millis(0));
  needy.waitingCpu_ = 40000;
  auto other = MakePool("other", 5, Millis(1000));
  auto standby = MakePool("standby", 2, Millis(0));
  standby.isStandby_ = true;
  const auto moves = PlanMoves({ needy, other, standby }, MoveOptions{});
  REQUIRE(moves.size() == 3);
  CHECK(moves[0] == Move{ "standby-0", "needy" });
  CHECK(moves[1] == Move{ "standby-1", "needy" });
  CHECK(moves[2].vm_.substr(0, 5) == "other");
}

TEST_CASE("a rising offered load moves VMs in before anything waits")
{
  auto rising = MakePool("rising", 0, Millis(0));
  rising.offeredCpu_ = 60000; // of 32000 that it has
  auto standby = MakePool("standby", 8, Millis(0));
  standby.isStandby_ = true;
  const auto moves = PlanMoves({ rising, standby }, MoveOptions{});
  CHECK(moves.size() == 3); // 60000 / 0.8 - 32000 = 43000
}

TEST_CASE("VMs being moved in are counted, and a pool keeps its last ones")
{
  auto needy = MakePool("needy", 0, Millis(0));
  needy.waitingCpu_ = 16000;
  needy.incomingCpu_ = 16000;
  auto other = MakePool("other", 5, Millis(1000));
  CHECK(PlanMoves({ needy, other }, MoveOptions{}).empty());
  needy.incomingCpu_ = 0;
  other.size_ = 2;
  CHECK(PlanMoves({ needy, other }, MoveOptions{}).empty());
}

TEST_CASE("a pool gets VMs for items that may not share one")
{
  // 32 items of a long-running step, at most one on each target, in a pool of a
  // few VMs with free capacity: nothing moved, and some items never ran.
  auto narrow = MakePool("narrow", 2, Millis(0));
  narrow.waitingCpu_ = 3000;
  auto standby = MakePool("standby", 8, Millis(0));
  standby.isStandby_ = true;
  CHECK(PlanMoves({ narrow, standby }, MoveOptions{}).empty());
  narrow.lackingVms_ = 3;
  CHECK(PlanMoves({ narrow, standby }, MoveOptions{}).size() == 3);
}

TEST_CASE("VMs that stay idle are parked once their pool had a demand peak")
{
  auto idle = MakePool("idle", 4, Millis(9000));
  auto standby = MakePool("standby", 0, Millis(0));
  standby.isStandby_ = true;
  CHECK(PlanMoves({ idle, standby }, MoveOptions{}).size() == 4);
  idle.isPastPeak_ = false;
  CHECK(PlanMoves({ idle, standby }, MoveOptions{}).empty());
}

TEST_CASE("a wave takes idle VMs at once and cordons others when it is behind")
{
  WaveView wave;
  wave.total_ = 4;
  wave.maxDown_ = 2;
  wave.duration_ = Millis(20000);
  for (int number = 0; number < 4; ++number) {
    WaveVm vm;
    vm.name_ = std::to_string(number);
    vm.isUp_ = true;
    vm.runs_ = number;
    wave.waiting_.push_back(vm);
  }
  const auto plan = PlanWave(wave);
  CHECK(plan.maintenance_ == std::vector<std::string>{ "0" });
  wave.age_ = Millis(15000);
  const auto late = PlanWave(wave);
  CHECK(late.cordon_.size() == 3);
  CHECK(late.cordon_.front() == "1");
}

TEST_CASE("a wave leaves idle VMs for a demand peak that comes with it")
{
  // 150 VMs in 27 s, 60 at once, all idle when the wave begins.
  WaveView wave;
  wave.total_ = 150;
  wave.maxDown_ = 60;
  wave.duration_ = Millis(27000);
  for (int number = 0; number < wave.total_; ++number) {
    WaveVm vm;
    vm.name_ = std::to_string(number);
    vm.isUp_ = true;
    wave.waiting_.push_back(vm);
  }
  // Maintenance of a VM takes 2 s. Counts the VMs that are down in each second,
  // and the seconds until maintenance has begun on all.
  std::vector<int> begun;
  int most = 0;
  while (!wave.waiting_.empty()) {
    const auto count = begun.size();
    wave.age_ = Millis(1000 * static_cast<int>(count));
    wave.down_ =
      (count > 0 ? begun[count - 1] : 0) + (count > 1 ? begun[count - 2] : 0);
    const auto taken = static_cast<int>(PlanWave(wave).maintenance_.size());
    wave.waiting_.resize(wave.waiting_.size() -
                         static_cast<std::size_t>(taken));
    begun.push_back(taken);
    most = std::max(most, wave.down_ + taken);
    REQUIRE(begun.size() < 27);
  }
  CHECK(most < wave.maxDown_);
  CHECK(begun.size() <= 27 / 2);
}

TEST_CASE("a wave cordons no more busy VMs than it is behind")
{
  WaveView wave;
  wave.total_ = 100;
  wave.maxDown_ = 50;
  wave.duration_ = Millis(20000);
  wave.age_ = Millis(500);
  for (int number = 0; number < wave.total_; ++number) {
    WaveVm vm;
    vm.name_ = std::to_string(number);
    vm.isUp_ = true;
    vm.runs_ = 1;
    wave.waiting_.push_back(vm);
  }
  CHECK(PlanWave(wave).cordon_.size() <= 8);
  wave.age_ = Millis(10000);
  CHECK(PlanWave(wave).cordon_.size() == 51);
}

TEST_CASE("a wave takes fewer VMs at once while room is scarce, and is in time")
{
  // 150 VMs in 26 s, 60 at once, all busy for 2 s after they are cordoned.
  // Maintenance takes 2 s. Steps of 1 s.
  const auto play = [](bool aIsScarce) {
    WaveView wave;
    wave.total_ = 150;
    wave.maxDown_ = 60;
    wave.duration_ = Millis(26000);
    wave.isRoomScarce_ = aIsScarce;
    for (int number = 0; number < wave.total_; ++number) {
      WaveVm vm;
      vm.name_ = std::to_string(number);
      vm.isUp_ = true;
      vm.runs_ = 2;
      wave.waiting_.push_back(vm);
    }
    std::vector<int> begun;
    int mostAway = 0; // cordoned or down
    while (!wave.waiting_.empty() && begun.size() < 60) {
      const auto count = begun.size();
      wave.age_ = Millis(1000 * static_cast<int>(count));
      wave.down_ =
        (count > 0 ? begun[count - 1] : 0) + (count > 1 ? begun[count - 2] : 0);
      const auto plan = PlanWave(wave);
      std::erase_if(wave.waiting_, [&](const WaveVm& aVm) {
        return std::count(plan.maintenance_.begin(),
                          plan.maintenance_.end(),
                          aVm.name_) != 0;
      });
      int cordoned = 0;
      for (auto& vm : wave.waiting_) {
        vm.isCordoned_ =
          vm.isCordoned_ ||
          std::count(plan.cordon_.begin(), plan.cordon_.end(), vm.name_) != 0;
        vm.runs_ -= vm.isCordoned_ && vm.runs_ > 0 ? 1 : 0;
        cordoned += vm.isCordoned_ ? 1 : 0;
      }
      begun.push_back(static_cast<int>(plan.maintenance_.size()));
      mostAway = std::max(mostAway, cordoned + wave.down_ + begun.back());
    }
    return std::make_pair(mostAway, begun.size());
  };
  const auto [usual, usualSeconds] = play(false);
  const auto [scarce, scarceSeconds] = play(true);
  CHECK(scarce < usual);
  CHECK(usualSeconds < 26);
  CHECK(scarceSeconds < 26 - 2);
}

TEST_CASE("a wave never has more VMs down than it may")
{
  WaveView wave;
  wave.total_ = 3;
  wave.maxDown_ = 1;
  wave.down_ = 1;
  for (int number = 0; number < 3; ++number) {
    WaveVm vm;
    vm.name_ = std::to_string(number);
    vm.isUp_ = true;
    wave.waiting_.push_back(vm);
  }
  CHECK(PlanWave(wave).maintenance_.empty());
  wave.down_ = 0;
  CHECK(PlanWave(wave).maintenance_.size() == 1);
}

TEST_CASE("the pace of fillers falls at once and rises slowly")
{
  CHECK(NextPace(100, 0.9) < 50);
  CHECK(NextPace(10, 2.0) == 0);
  CHECK(NextPace(0, 0.3) > 0);
  CHECK(NextPace(0, 0.3) <= 10);
  CHECK(NextPace(50, 0.7) == 50);
}

TEST_CASE("learned run times are closer than the callers' estimates")
{
  RunTimes times;
  double estimateError = 0;
  double learnedError = 0;
  // Estimates that are up to four times too high or too low.
  const std::vector<double> factors = { 0.25, 4, 0.5, 2, 1, 3, 0.4 };
  for (int round = 0; round < 20; ++round) {
    for (std::size_t index = 0; index < factors.size(); ++index) {
      const Millis taken(600 + static_cast<std::int64_t>(index) * 30);
      const Millis estimate(static_cast<std::int64_t>(
        static_cast<double>(taken.count()) * factors[index]));
      if (round > 5) {
        estimateError +=
          static_cast<double>(std::abs((estimate - taken).count()));
        learnedError += static_cast<double>(
          std::abs((times.Expect(estimate) - taken).count()));
      }
      times.Learn(estimate, taken);
    }
  }
  CHECK(learnedError < estimateError / 3);
}
