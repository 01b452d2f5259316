// Maintenance in virtual time: budgets, races, failures inside a wave.

#include <catch2/catch.hpp>

#include "virtual_fleet.h"

using namespace cuminbridge::forwarder;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kVms = 8;

std::string
NameVm(int aVm)
{
  return "10.0.0." + std::to_string(aVm + 1);
}

std::string
MakeTicket(int aNumber, int aRound, int aMinAvailable)
{
  std::string vms;
  for (int vm = 0; vm < kVms; ++vm) {
    vms += (vm > 0 ? ", \"" : "\"") + NameVm(vm) + "\"";
  }
  return "ticket = " + std::to_string(aNumber) + "\n[pool.a]\nvms = [" + vms +
         "]\nmin_available = " + std::to_string(aMinAvailable) +
         "\nround = " + std::to_string(aRound) + "\n[account.t]\nkeys = [\"" +
         HashKey("k") + "\"]\nshare = 1\nlimit = 40\n";
}

// Six entries, eight VMs in two racks, no maintenance asked for yet.
VirtualFleet
MakeFleet(std::uint64_t aSeed)
{
  VirtualFleet fleet(6, aSeed);
  for (std::size_t i = 0; i < 6; ++i) {
    fleet.Start(i);
  }
  for (int vm = 0; vm < kVms; ++vm) {
    fleet.AddVm(NameVm(vm), vm < 4 ? "rack-1" : "rack-2");
  }
  fleet.Run(seconds(10));
  fleet.File(0, MakeTicket(1, 0, 6));
  fleet.Run(seconds(3));
  REQUIRE(fleet.ReadyNodes() == 6);
  return fleet;
}

int
CountAllReboots(VirtualFleet& aFleet)
{
  int reboots = 0;
  for (int vm = 0; vm < kVms; ++vm) {
    reboots += aFleet.Vm(NameVm(vm)).reboots_;
  }
  return reboots;
}

int
CountRebooted(VirtualFleet& aFleet)
{
  int rebooted = 0;
  for (int vm = 0; vm < kVms; ++vm) {
    REQUIRE(aFleet.Vm(NameVm(vm)).reboots_ <= 1);
    rebooted += aFleet.Vm(NameVm(vm)).reboots_;
  }
  return rebooted;
}

void
RunWithWork(VirtualFleet& aFleet, int aSeconds)
{
  for (int i = 0; i < aSeconds * 10; ++i) {
    aFleet.Ask(static_cast<std::size_t>(i) % 6, "k");
    aFleet.Run(milliseconds(100));
  }
}

void
RequireNothingBroken(const VirtualFleet& aFleet)
{
  for (const std::string& what : aFleet.Broken()) {
    UNSCOPED_INFO(what);
  }
  REQUIRE(aFleet.Broken().empty());
}

} // namespace

TEST_CASE("a round reboots every VM once, within budget, and costs no request")
{
  VirtualFleet fleet = MakeFleet(1);
  fleet.runTime_ = milliseconds(700);
  fleet.File(0, MakeTicket(2, 1, 6));
  std::vector<RequestId> asked;
  for (int i = 0; i < 900; ++i) {
    asked.push_back(fleet.Ask(static_cast<std::size_t>(i) % 6, "k"));
    fleet.Run(milliseconds(100));
  }
  fleet.Run(seconds(2));
  REQUIRE(CountRebooted(fleet) == kVms);
  for (const RequestId id : asked) {
    REQUIRE(fleet.Request(id).isAnswered_);
  }
  RequireNothingBroken(fleet);
}

TEST_CASE("nothing is taken where the budget leaves no room")
{
  VirtualFleet fleet = MakeFleet(2);
  fleet.File(0, MakeTicket(2, 1, kVms));
  RunWithWork(fleet, 30);
  REQUIRE(CountRebooted(fleet) == 0);
  bool isTold = false;
  for (const VirtualNode& node : fleet.nodes_) {
    for (const WaveView& wave : ViewWaves(*node.entry_, fleet.Now())) {
      isTold |= wave.reason_.find("min_available") != std::string::npos;
    }
  }
  REQUIRE(isTold);
  RequireNothingBroken(fleet);
}

TEST_CASE("a round that is called off gives back what is not rebooted yet")
{
  for (const int round : { 0, 1 }) {
    VirtualFleet fleet = MakeFleet(6);
    fleet.runTime_ = seconds(2); // draining takes a while
    fleet.File(0, MakeTicket(2, 1, 6));
    RunWithWork(fleet, 60);
    fleet.File(0, MakeTicket(3, 2, 6));
    RunWithWork(fleet, 3);
    const int before = CountAllReboots(fleet);
    fleet.File(0, MakeTicket(4, round, 6));
    RunWithWork(fleet, 1);
    const int atOff = CountAllReboots(fleet);
    fleet.Run(seconds(30));
    REQUIRE(CountAllReboots(fleet) <= atOff + 1);
    REQUIRE(before <= atOff);
    for (const VirtualNode& node : fleet.nodes_) {
      REQUIRE(ViewWaves(*node.entry_, fleet.Now()).empty() == (round == 0));
      for (const PoolView& pool : ViewPools(*node.entry_, fleet.Now())) {
        for (const TargetView& target : pool.targets_) {
          REQUIRE(target.state_ == "live");
        }
      }
    }
    RequireNothingBroken(fleet);
  }
}

TEST_CASE("planners lost at any moment never break the budget or a request")
{
  for (std::uint64_t seed = 1; seed <= 15; ++seed) {
    VirtualFleet fleet = MakeFleet(seed);
    fleet.runTime_ = milliseconds(300 + 100 * static_cast<int>(seed));
    fleet.File(0, MakeTicket(2, 1, 6));
    for (int turn = 0; turn < 6; ++turn) {
      RunWithWork(fleet, 3 + static_cast<int>(seed % 5));
      const auto victim = (seed + static_cast<std::uint64_t>(turn)) % 6;
      if (turn % 2 == 0) {
        fleet.Start(victim);
      } else {
        fleet.Pause(victim, seconds(12));
      }
    }
    fleet.Run(seconds(120));
    REQUIRE(CountRebooted(fleet) == kVms);
    RequireNothingBroken(fleet);
  }
}

TEST_CASE("a VM is not rebooted under the work of an entry that has gone")
{
  VirtualFleet fleet(6, 5);
  fleet.options_.runLimit_ = seconds(40);
  for (std::size_t i = 0; i < 6; ++i) {
    fleet.Start(i);
  }
  for (int vm = 0; vm < kVms; ++vm) {
    fleet.AddVm(NameVm(vm), "rack-1");
  }
  fleet.Run(seconds(60));
  fleet.File(0, MakeTicket(1, 0, 6));
  fleet.Run(seconds(5));
  fleet.runTime_ = seconds(38);
  for (int i = 0; i < 12; ++i) {
    fleet.Ask(3, "k");
  }
  fleet.Run(seconds(2));
  REQUIRE(fleet.RunningOf("t") == 12);
  fleet.Kill(3);
  fleet.File(0, MakeTicket(2, 1, 6));
  fleet.Run(seconds(180));
  REQUIRE(CountRebooted(fleet) == kVms);
  RequireNothingBroken(fleet);
}

TEST_CASE("lost answers of the store and of reboots repeat nothing")
{
  for (std::uint64_t seed = 1; seed <= 15; ++seed) {
    VirtualFleet fleet = MakeFleet(seed);
    fleet.File(0, MakeTicket(2, 1, 7));
    fleet.Run(seconds(2));
    fleet.trouble_.lostStoreAnswers_ = 300;
    fleet.trouble_.lossOfFrames_ = 100;
    RunWithWork(fleet, 60);
    fleet.trouble_.lostStoreAnswers_ = 0;
    fleet.trouble_.lossOfFrames_ = 0;
    fleet.Run(seconds(120));
    REQUIRE(CountRebooted(fleet) == kVms);
    RequireNothingBroken(fleet);
  }
}

TEST_CASE("a rack lost inside a wave stops it, and it goes on afterwards")
{
  VirtualFleet fleet = MakeFleet(3);
  fleet.File(0, MakeTicket(2, 1, 6));
  RunWithWork(fleet, 4);
  const int before = CountRebooted(fleet);
  for (int vm = 4; vm < kVms; ++vm) {
    if (fleet.Vm(NameVm(vm)).reboots_ == 0) {
      fleet.SetVm(NameVm(vm), VmStatus::Gone);
    }
  }
  fleet.Run(milliseconds(1100)); // the list lags by a second
  const int atKnown = CountRebooted(fleet);
  fleet.Run(seconds(30));
  REQUIRE(CountRebooted(fleet) == atKnown);
  for (int vm = 4; vm < kVms; ++vm) {
    fleet.SetVm(NameVm(vm), VmStatus::Live);
  }
  fleet.Run(seconds(120));
  REQUIRE(CountRebooted(fleet) == kVms);
  REQUIRE(before <= atKnown);
}

TEST_CASE("no VM is taken while the store is down")
{
  VirtualFleet fleet = MakeFleet(4);
  fleet.File(0, MakeTicket(2, 1, 6));
  fleet.Run(milliseconds(100));
  fleet.isStoreDown_ = true;
  RunWithWork(fleet, 30);
  REQUIRE(CountRebooted(fleet) <= 1);
  fleet.isStoreDown_ = false;
  fleet.Run(seconds(120));
  REQUIRE(CountRebooted(fleet) == kVms);
  RequireNothingBroken(fleet);
}
