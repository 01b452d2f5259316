// Maintenance in virtual time: availability budgets, races, and failures during
// a wave. The virtual fleet checks at each reboot that the VM runs no request
// and that min_available VMs stay up.

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

// Six entries and eight VMs in two racks; no maintenance round is requested.
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
  fleet.RunFor(seconds(10));
  fleet.FileTicket(0, MakeTicket(1, 0, 6));
  fleet.RunFor(seconds(3));
  REQUIRE(fleet.ReadyNodes() == 6);
  return fleet;
}

// Reboots of all VMs, counting repeats.
int
CountAllReboots(VirtualFleet& aFleet)
{
  int reboots = 0;
  for (int vm = 0; vm < kVms; ++vm) {
    reboots += aFleet.Vm(NameVm(vm)).reboots_;
  }
  return reboots;
}

// VMs that were rebooted; fails if any was rebooted twice.
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

// Lets time pass with ten requests a second, spread over all entries.
void
RunWithRequests(VirtualFleet& aFleet, int aSeconds)
{
  for (int i = 0; i < aSeconds * 10; ++i) {
    aFleet.SubmitRequest(static_cast<std::size_t>(i) % 6, "k");
    aFleet.RunFor(milliseconds(100));
  }
}

void
RequireNoViolations(const VirtualFleet& aFleet)
{
  for (const std::string& what : aFleet.Violations()) {
    UNSCOPED_INFO(what);
  }
  REQUIRE(aFleet.Violations().empty());
}

} // namespace

TEST_CASE("a round reboots every VM once, within budget, and fails no request")
{
  VirtualFleet fleet = MakeFleet(1);
  fleet.runTime_ = milliseconds(700);
  fleet.FileTicket(0, MakeTicket(2, 1, 6));
  std::vector<RequestId> requests;
  for (int i = 0; i < 900; ++i) {
    requests.push_back(
      fleet.SubmitRequest(static_cast<std::size_t>(i) % 6, "k"));
    fleet.RunFor(milliseconds(100));
  }
  fleet.RunFor(seconds(2));
  REQUIRE(CountRebooted(fleet) == kVms);
  for (const RequestId id : requests) {
    REQUIRE(fleet.Request(id).isAnswered_);
  }
  RequireNoViolations(fleet);
}

TEST_CASE("no VM is taken for maintenance if the budget allows none")
{
  VirtualFleet fleet = MakeFleet(2);
  fleet.FileTicket(0, MakeTicket(2, 1, kVms));
  RunWithRequests(fleet, 30);
  REQUIRE(CountRebooted(fleet) == 0);
  bool isReasonShown = false;
  for (const VirtualNode& node : fleet.nodes_) {
    for (const WaveView& wave : ViewWaves(*node.entry_, fleet.Now())) {
      isReasonShown |= wave.reason_.find("min_available") != std::string::npos;
    }
  }
  REQUIRE(isReasonShown);
  RequireNoViolations(fleet);
}

TEST_CASE("a cancelled round returns the VMs that are not rebooted yet")
{
  for (const int round : { 0, 1 }) {
    VirtualFleet fleet = MakeFleet(6);
    fleet.runTime_ = seconds(2); // so that draining takes time
    fleet.FileTicket(0, MakeTicket(2, 1, 6));
    RunWithRequests(fleet, 60);
    fleet.FileTicket(0, MakeTicket(3, 2, 6));
    RunWithRequests(fleet, 3);
    const int before = CountAllReboots(fleet);
    fleet.FileTicket(0, MakeTicket(4, round, 6));
    RunWithRequests(fleet, 1);
    const int whenCancelled = CountAllReboots(fleet);
    fleet.RunFor(seconds(30));
    REQUIRE(CountAllReboots(fleet) <= whenCancelled + 1);
    REQUIRE(before <= whenCancelled);
    for (const VirtualNode& node : fleet.nodes_) {
      REQUIRE(ViewWaves(*node.entry_, fleet.Now()).empty() == (round == 0));
      for (const PoolView& pool : ViewPools(*node.entry_, fleet.Now())) {
        for (const TargetView& target : pool.targets_) {
          REQUIRE(target.state_ == "live");
        }
      }
    }
    RequireNoViolations(fleet);
  }
}

// An entry is killed or paused every few seconds, so that the planner of the
// pool is lost in different states of a wave and another entry takes over.
TEST_CASE("the budget holds, and no request is cut, when the planner is lost")
{
  for (std::uint64_t seed = 1; seed <= 15; ++seed) {
    VirtualFleet fleet = MakeFleet(seed);
    fleet.runTime_ = milliseconds(300 + 100 * static_cast<int>(seed));
    fleet.FileTicket(0, MakeTicket(2, 1, 6));
    for (int failure = 0; failure < 6; ++failure) {
      RunWithRequests(fleet, 3 + static_cast<int>(seed % 5));
      const auto victim = (seed + static_cast<std::uint64_t>(failure)) % 6;
      if (failure % 2 == 0) {
        fleet.Start(victim);
      } else {
        fleet.Pause(victim, seconds(12));
      }
    }
    fleet.RunFor(seconds(120));
    REQUIRE(CountRebooted(fleet) == kVms);
    RequireNoViolations(fleet);
  }
}

// A killed entry cannot report the requests that it still runs on a VM. Its VMs
// may be rebooted only after the run limit, when these requests have ended.
TEST_CASE("a VM is not rebooted while requests of a lost entry may run")
{
  VirtualFleet fleet(6, 5);
  fleet.options_.runLimit_ = seconds(40);
  for (std::size_t i = 0; i < 6; ++i) {
    fleet.Start(i);
  }
  for (int vm = 0; vm < kVms; ++vm) {
    fleet.AddVm(NameVm(vm), "rack-1");
  }
  fleet.RunFor(seconds(60));
  fleet.FileTicket(0, MakeTicket(1, 0, 6));
  fleet.RunFor(seconds(5));
  fleet.runTime_ = seconds(38);
  for (int i = 0; i < 12; ++i) {
    fleet.SubmitRequest(3, "k");
  }
  fleet.RunFor(seconds(2));
  REQUIRE(fleet.RunningOf("t") == 12);
  fleet.Kill(3);
  fleet.FileTicket(0, MakeTicket(2, 1, 6));
  fleet.RunFor(seconds(180));
  REQUIRE(CountRebooted(fleet) == kVms);
  RequireNoViolations(fleet);
}

// Without the answer the planner cannot know whether its write took effect, and
// it must not reboot a VM a second time.
TEST_CASE("lost store answers and frames cause no second reboot")
{
  for (std::uint64_t seed = 1; seed <= 15; ++seed) {
    VirtualFleet fleet = MakeFleet(seed);
    fleet.FileTicket(0, MakeTicket(2, 1, 7));
    fleet.RunFor(seconds(2));
    fleet.faults_.storeAnswerLoss_ = 300;
    fleet.faults_.frameLoss_ = 100;
    RunWithRequests(fleet, 60);
    fleet.faults_.storeAnswerLoss_ = 0;
    fleet.faults_.frameLoss_ = 0;
    fleet.RunFor(seconds(120));
    REQUIRE(CountRebooted(fleet) == kVms);
    RequireNoViolations(fleet);
  }
}

TEST_CASE("a wave stops while a rack is lost, and continues afterwards")
{
  VirtualFleet fleet = MakeFleet(3);
  fleet.FileTicket(0, MakeTicket(2, 1, 6));
  RunWithRequests(fleet, 4);
  const int before = CountRebooted(fleet);
  for (int vm = 4; vm < kVms; ++vm) {
    if (fleet.Vm(NameVm(vm)).reboots_ == 0) {
      fleet.SetVm(NameVm(vm), VmStatus::Gone);
    }
  }
  fleet.RunFor(milliseconds(1100)); // the VM list lags by 1 s
  const int whenLossKnown = CountRebooted(fleet);
  fleet.RunFor(seconds(30));
  REQUIRE(CountRebooted(fleet) == whenLossKnown);
  for (int vm = 4; vm < kVms; ++vm) {
    fleet.SetVm(NameVm(vm), VmStatus::Live);
  }
  fleet.RunFor(seconds(120));
  REQUIRE(CountRebooted(fleet) == kVms);
  REQUIRE(before <= whenLossKnown);
}

TEST_CASE("no VM is taken for maintenance while the store is down")
{
  VirtualFleet fleet = MakeFleet(4);
  fleet.FileTicket(0, MakeTicket(2, 1, 6));
  fleet.RunFor(milliseconds(100));
  fleet.isStoreDown_ = true;
  RunWithRequests(fleet, 30);
  REQUIRE(CountRebooted(fleet) <= 1);
  fleet.isStoreDown_ = false;
  fleet.RunFor(seconds(120));
  REQUIRE(CountRebooted(fleet) == kVms);
  RequireNoViolations(fleet);
}
