// The promises of the brief, in virtual time.

#include <algorithm>
#include <numeric>

#include <catch2/catch.hpp>

#include "virtual_fleet.h"

using namespace cuminbridge::forwarder;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

// A ticket with one pool of five VMs and one account with key "k" and a limit.
std::string
MakeTicket(int aNumber, int aLimit, const std::string& aKey = "k")
{
  return "ticket = " + std::to_string(aNumber) +
         "\n[pool.a]\nvms = [\"10.0.0.1\", \"10.0.0.2\", \"10.0.0.3\", "
         "\"10.0.0.4\", \"10.0.0.5\"]\nmin_available = 4\n[account.t]\nkeys = "
         "[" +
         (aKey.empty() ? "" : "\"" + HashKey(aKey) + "\"") +
         "]\nshare = 1\nlimit = " + std::to_string(aLimit) + "\n";
}

// Six entries in three data centres, with ticket 1 in force.
VirtualFleet
MakeFleet(std::uint64_t aSeed, int aLimit = 12)
{
  VirtualFleet fleet(6, aSeed);
  for (std::size_t i = 0; i < 6; ++i) {
    fleet.Start(i);
  }
  fleet.Run(seconds(10));
  const auto filing = fleet.File(0, MakeTicket(1, aLimit));
  fleet.Run(seconds(3));
  REQUIRE(fleet.Filing(filing) != nullptr);
  REQUIRE(fleet.Filing(filing)->status_ == 201);
  REQUIRE(fleet.ReadyNodes() == 6);
  return fleet;
}

void
RequireNothingBroken(const VirtualFleet& aFleet)
{
  for (const std::string& what : aFleet.Broken()) {
    UNSCOPED_INFO(what);
  }
  REQUIRE(aFleet.Broken().empty());
}

// Work from one entry that would fill the limit many times over.
void
Burst(VirtualFleet& aFleet, std::size_t aNode, int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    aFleet.Ask(aNode, "k");
  }
}

} // namespace

TEST_CASE("six entries join by themselves and all vote")
{
  VirtualFleet fleet = MakeFleet(1);
  for (const VirtualNode& node : fleet.nodes_) {
    const InForceView view = ViewInForce(*node.entry_, fleet.Now());
    REQUIRE(view.number_ == 1);
    REQUIRE(view.members_.size() == 6);
    for (const MemberView& member : view.members_) {
      REQUIRE(member.member_.isVoter_);
    }
  }
  RequireNothingBroken(fleet);
}

TEST_CASE("an account alone reaches its limit from any one entry, and no more")
{
  for (std::size_t node = 0; node < 6; ++node) {
    VirtualFleet fleet = MakeFleet(node + 1);
    Burst(fleet, node, 200);
    fleet.Run(seconds(2));
    REQUIRE(fleet.MostRunningOf("t") == 12);
    RequireNothingBroken(fleet);
  }
}

TEST_CASE("a withdrawn key stops everywhere, cut off entries included")
{
  VirtualFleet fleet = MakeFleet(2);
  fleet.nodes_[3].isCutFromPeers_ = true;
  fleet.nodes_[3].isCutFromStore_ = true;
  fleet.Pause(4, seconds(8));
  const auto filing = fleet.File(0, MakeTicket(2, 12, ""));
  for (int i = 0; i < 200; ++i) {
    fleet.Ask(static_cast<std::size_t>(i) % 6, "k");
    fleet.Run(milliseconds(100));
  }
  REQUIRE(fleet.Filing(filing)->status_ == 201);
  RequireNothingBroken(fleet);
}

TEST_CASE("work goes on for hours without the store")
{
  VirtualFleet fleet = MakeFleet(3);
  fleet.isStoreDown_ = true;
  fleet.Run(minutes(60));
  REQUIRE(fleet.ReadyNodes() == 6);
  Burst(fleet, 2, 50);
  fleet.Run(seconds(3));
  REQUIRE(fleet.MostRunningOf("t") == 12);
  const auto filing = fleet.File(1, MakeTicket(2, 12, ""));
  fleet.Run(seconds(5));
  REQUIRE(fleet.Filing(filing)->status_ == 503);
  fleet.isStoreDown_ = false;
  fleet.Run(seconds(5));
  const auto again = fleet.File(1, MakeTicket(2, 12, ""));
  fleet.Run(seconds(5));
  REQUIRE(fleet.Filing(again)->status_ == 201);
  RequireNothingBroken(fleet);
}

TEST_CASE("a minority without the store refuses, the rest goes on")
{
  VirtualFleet fleet = MakeFleet(4);
  for (const std::size_t node : { 0U, 1U }) {
    fleet.nodes_[node].isCutFromPeers_ = true;
    fleet.nodes_[node].isCutFromStore_ = true;
  }
  fleet.Run(seconds(4));
  REQUIRE(fleet.ReadyNodes() == 4);
  const RequestId id = fleet.Ask(0, "k");
  fleet.Run(seconds(1));
  REQUIRE(fleet.Request(id).isNotRun_);
  RequireNothingBroken(fleet);
}

TEST_CASE(
  "an entry replaced while the store is down has the configuration from "
  "peers, and joins when the store is back")
{
  VirtualFleet fleet = MakeFleet(5);
  fleet.isStoreDown_ = true;
  fleet.Run(seconds(5));
  fleet.Start(2);
  fleet.Run(seconds(5));
  REQUIRE(ViewInForce(*fleet.nodes_[2].entry_, fleet.Now()).number_ == 1);
  REQUIRE(fleet.ReadyNodes() == 5);
  fleet.isStoreDown_ = false;
  fleet.Run(seconds(5));
  REQUIRE(fleet.ReadyNodes() == 6);
  RequireNothingBroken(fleet);
}

// How many of each node's requests were answered.
std::vector<int>
CountAnswered(const VirtualFleet& aFleet,
              const std::vector<std::vector<RequestId>>& aAsked)
{
  std::vector<int> answered;
  answered.reserve(aAsked.size());
  for (const auto& asked : aAsked) {
    answered.push_back(static_cast<int>(
      std::count_if(asked.begin(), asked.end(), [&](RequestId aId) {
        return aFleet.Request(aId).isAnswered_;
      })));
  }
  return answered;
}

// Work at all nodes for 10 s: none may get less than half of an even part.
void
RequireEvenParts(VirtualFleet& aFleet, int aEachTenth)
{
  std::vector<std::vector<RequestId>> asked(6);
  for (int i = 0; i < 100; ++i) {
    for (std::size_t node = 0; node < 6; ++node) {
      for (int k = 0; k < aEachTenth; ++k) {
        asked[node].push_back(aFleet.Ask(node, "k"));
      }
    }
    aFleet.Run(milliseconds(100));
  }
  const std::vector<int> answered = CountAnswered(aFleet, asked);
  const int total = std::accumulate(answered.begin(), answered.end(), 0);
  for (const int count : answered) {
    CAPTURE(count, total);
    REQUIRE(count * 12 >= total);
  }
}

TEST_CASE("slots go where work waits, and come back when it waits elsewhere")
{
  VirtualFleet fleet = MakeFleet(20, 100); // 5 VMs of 8 slots: slots bind
  fleet.runTime_ = milliseconds(100);
  Burst(fleet, 2, 400);
  fleet.Run(seconds(1));
  REQUIRE(fleet.MostRunningOf("t") == 40);
  RequireEvenParts(fleet, 10);
  RequireNothingBroken(fleet);
}

TEST_CASE("a dead entry's permits come back, but not before its work ended")
{
  VirtualFleet fleet = MakeFleet(6);
  fleet.runTime_ = milliseconds(2900);
  Burst(fleet, 3, 100);
  fleet.Run(seconds(1));
  REQUIRE(fleet.RunningOf("t") == 12);
  fleet.Kill(3);
  Burst(fleet, 0, 100);
  fleet.Run(seconds(30));
  fleet.runTime_ = milliseconds(500);
  Burst(fleet, 0, 100);
  fleet.Run(seconds(2));
  REQUIRE(fleet.RunningOf("t") >= 11);
  RequireNothingBroken(fleet);
}

TEST_CASE("a lowered limit holds from when it is in force")
{
  VirtualFleet fleet = MakeFleet(7);
  fleet.runTime_ = milliseconds(800);
  for (std::size_t node = 0; node < 6; ++node) {
    Burst(fleet, node, 60);
  }
  fleet.Run(seconds(1));
  const auto filing = fleet.File(5, MakeTicket(2, 4));
  for (int i = 0; i < 100; ++i) {
    Burst(fleet, static_cast<std::size_t>(i) % 6, 2);
    fleet.Run(milliseconds(100));
  }
  REQUIRE(fleet.Filing(filing)->status_ == 201);
  REQUIRE(fleet.RunningOf("t") == 4);
  RequireNothingBroken(fleet);
}

TEST_CASE("operators race: one ticket of a number is accepted, no more")
{
  VirtualFleet fleet = MakeFleet(8);
  std::vector<std::uint64_t> filings;
  filings.reserve(6);
  for (std::size_t node = 0; node < 6; ++node) {
    filings.push_back(
      fleet.File(node, MakeTicket(2, 20 + static_cast<int>(node))));
  }
  fleet.Run(seconds(10));
  int accepted = 0;
  for (const auto filing : filings) {
    REQUIRE(fleet.Filing(filing) != nullptr);
    accepted += fleet.Filing(filing)->status_ == 201 ? 1 : 0;
    const int status = fleet.Filing(filing)->status_;
    REQUIRE((status == 201 || status == 409));
  }
  REQUIRE(accepted == 1);
  RequireNothingBroken(fleet);
}

TEST_CASE("a filing whose answer is lost is settled, never accepted twice")
{
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    VirtualFleet fleet = MakeFleet(seed);
    fleet.trouble_.lostStoreAnswers_ = 500;
    const auto filing = fleet.File(1, MakeTicket(2, 5));
    fleet.Run(seconds(25));
    fleet.trouble_.lostStoreAnswers_ = 0;
    REQUIRE(fleet.Filing(filing) != nullptr);
    const int status = fleet.Filing(filing)->status_;
    const std::int64_t number = fleet.StoreNumber();
    fleet.Run(seconds(10));
    if (status == 201) {
      REQUIRE(number == 2);
    } else if (status == 503) {
      REQUIRE(fleet.StoreNumber() == 1);
    }
    const auto again = fleet.File(2, MakeTicket(2, 5));
    fleet.Run(seconds(10));
    const int second = fleet.Filing(again)->status_;
    REQUIRE((second == 200 || second == 201));
    RequireNothingBroken(fleet);
  }
}

TEST_CASE("one Idempotency-Key at two entries at once runs at most once")
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    VirtualFleet fleet = MakeFleet(seed);
    for (int job = 0; job < 20; ++job) {
      fleet.Ask(seed % 6, "k", "job-" + std::to_string(job));
      fleet.Ask((seed + 2) % 6, "k", "job-" + std::to_string(job));
      fleet.Run(milliseconds(50));
    }
    fleet.Run(seconds(2));
    RequireNothingBroken(fleet);
  }
}

TEST_CASE("a keyed job is not run again after its entry and others are gone")
{
  VirtualFleet fleet = MakeFleet(9);
  const RequestId first = fleet.Ask(0, "k", "pay");
  fleet.Run(seconds(1));
  REQUIRE(fleet.Request(first).isAnswered_);
  fleet.Start(0); // replaced, empty
  fleet.Run(seconds(15));
  fleet.Start(3);
  fleet.Run(seconds(15));
  for (std::size_t node = 0; node < 6; ++node) {
    const RequestId repeat = fleet.Ask(node, "k", "pay");
    fleet.Run(seconds(2));
    REQUIRE(fleet.Request(repeat).begun_ == 0);
  }
  RequireNothingBroken(fleet);
}

TEST_CASE("a leaving VM gets no new work")
{
  VirtualFleet fleet = MakeFleet(10);
  fleet.isStoreDown_ = true;
  fleet.SetVm("10.0.0.2", VmStatus::Leaving);
  for (int i = 0; i < 100; ++i) {
    fleet.Ask(static_cast<std::size_t>(i) % 6, "k");
    fleet.Run(milliseconds(100));
  }
  RequireNothingBroken(fleet);
}

TEST_CASE("a graceful shutdown answers all, gives permits back and leaves")
{
  VirtualFleet fleet = MakeFleet(11);
  std::vector<RequestId> asked;
  asked.reserve(12);
  for (int i = 0; i < 12; ++i) {
    asked.push_back(fleet.Ask(0, "k"));
  }
  fleet.Run(milliseconds(300));
  fleet.Stop(0);
  fleet.Run(seconds(8));
  REQUIRE(fleet.nodes_[0].isExited_);
  for (const RequestId id : asked) {
    REQUIRE(fleet.Request(id).isAnswered_);
  }
  Burst(fleet, 1, 100);
  fleet.Run(seconds(2));
  REQUIRE(fleet.MostRunningOf("t") == 12);
  RequireNothingBroken(fleet);
}

TEST_CASE("an entry that missed a hundred tickets catches up")
{
  VirtualFleet fleet = MakeFleet(12);
  fleet.nodes_[5].isCutFromPeers_ = true;
  fleet.nodes_[5].isCutFromStore_ = true;
  for (int number = 2; number <= 101; ++number) {
    fleet.File(static_cast<std::size_t>(number) % 5,
               MakeTicket(number, 10 + number % 5));
    fleet.Run(milliseconds(500));
  }
  REQUIRE(fleet.StoreNumber() == 101);
  fleet.nodes_[5].isCutFromPeers_ = false;
  fleet.Run(seconds(2));
  REQUIRE(ViewInForce(*fleet.nodes_[5].entry_, fleet.Now()).number_ == 101);
  RequireNothingBroken(fleet);
}

TEST_CASE("a minority with the store can't change what a majority serves on")
{
  VirtualFleet fleet = MakeFleet(14);
  for (std::size_t node = 2; node < 6; ++node) {
    fleet.nodes_[node].group_ = 1;
    fleet.nodes_[node].isCutFromStore_ = true;
  }
  const auto filing = fleet.File(0, MakeTicket(2, 12, ""));
  for (int i = 0; i < 300; ++i) {
    fleet.Ask(2 + static_cast<std::size_t>(i) % 4, "k");
    fleet.Run(milliseconds(100));
  }
  REQUIRE(fleet.Filing(filing)->status_ == 503);
  REQUIRE(fleet.ReadyNodes() == 6);
  RequireNothingBroken(fleet);
}

TEST_CASE("a change that may have come binds all, its filer and store lost")
{
  VirtualFleet fleet = MakeFleet(15);
  for (std::size_t node = 0; node < 6; ++node) {
    Burst(fleet, node, 12);
  }
  fleet.Run(seconds(3));
  fleet.File(0, MakeTicket(2, 12, ""));
  while (fleet.StoreNumber() < 2) {
    fleet.Run(std::chrono::microseconds(100));
  }
  fleet.Kill(0);
  fleet.isStoreDown_ = true;
  for (int i = 0; i < 200; ++i) {
    fleet.Ask(1 + static_cast<std::size_t>(i) % 5, "k");
    fleet.Run(milliseconds(100));
  }
  REQUIRE(fleet.ReadyNodes() == 5);
  RequireNothingBroken(fleet);
}

TEST_CASE("idle permits are spread, so that one lost entry costs its part only")
{
  VirtualFleet fleet = MakeFleet(18);
  fleet.Run(seconds(10));
  for (const VirtualNode& node : fleet.nodes_) {
    REQUIRE(ViewAccounts(*node.entry_, fleet.Now()).front().held_ == 2);
  }
  fleet.Kill(0);
  Burst(fleet, 4, 100);
  fleet.Run(seconds(2));
  REQUIRE(fleet.MostRunningOf("t") == 10);
  RequireNothingBroken(fleet);
}

TEST_CASE("permits go round: no entry with work waiting starves")
{
  VirtualFleet fleet = MakeFleet(19);
  fleet.runTime_ = milliseconds(100);
  RequireEvenParts(fleet, 4);
  RequireNothingBroken(fleet);
}

TEST_CASE("the permits of a lost entry wait for the run limit")
{
  VirtualFleet fleet(6, 16);
  fleet.options_.runLimit_ = seconds(40);
  for (std::size_t i = 0; i < 6; ++i) {
    fleet.Start(i);
  }
  fleet.Run(seconds(10));
  fleet.File(0, MakeTicket(1, 12));
  fleet.Run(seconds(3));
  fleet.runTime_ = seconds(38);
  Burst(fleet, 3, 12);
  fleet.Run(seconds(1));
  REQUIRE(fleet.RunningOf("t") == 12);
  fleet.Kill(3);
  for (int i = 0; i < 300; ++i) {
    fleet.Ask(static_cast<std::size_t>(i) % 3, "k");
    fleet.Run(milliseconds(200));
  }
  REQUIRE(fleet.RunningOf("t") > 0);
  RequireNothingBroken(fleet);
}

TEST_CASE("an entry that was taken out comes back with no permits")
{
  VirtualFleet fleet = MakeFleet(17);
  Burst(fleet, 0, 12);
  fleet.Run(seconds(3));
  fleet.nodes_[0].isCutFromPeers_ = true;
  fleet.nodes_[0].isCutFromStore_ = true;
  fleet.Run(seconds(40));
  fleet.nodes_[0].isCutFromPeers_ = false;
  fleet.nodes_[0].isCutFromStore_ = false;
  fleet.runTime_ = seconds(2);
  for (int i = 0; i < 100; ++i) {
    Burst(fleet, static_cast<std::size_t>(i) % 6, 4);
    fleet.Run(milliseconds(100));
  }
  REQUIRE(fleet.MostRunningOf("t") == 12);
  RequireNothingBroken(fleet);
}

TEST_CASE("an audit counts right while permits want to move")
{
  for (std::uint64_t seed = 1; seed <= 150; ++seed) {
    VirtualFleet fleet = MakeFleet(seed);
    fleet.runTime_ = milliseconds(40);
    fleet.trouble_.slowestFrame_ = 300;
    fleet.Kill(5);
    for (int i = 0; i < 900; ++i) {
      Burst(fleet, static_cast<std::size_t>(i / 10) % 5, 8);
      fleet.Run(milliseconds(20));
    }
    fleet.trouble_.slowestFrame_ = 0;
    fleet.Run(seconds(10)); // an audit under load may have to be done again
    fleet.runTime_ = seconds(1);
    for (std::size_t node = 0; node < 5; ++node) {
      Burst(fleet, node, 30);
    }
    fleet.Run(seconds(3));
    REQUIRE(fleet.MostRunningOf("t") == 12);
    RequireNothingBroken(fleet);
  }
}

TEST_CASE("a VM that fails all it starts is left out, and taken back")
{
  VirtualFleet fleet = MakeFleet(21);
  fleet.runTime_ = milliseconds(20);
  fleet.Vm("10.0.0.2").isFailing_ = true;
  for (int i = 0; i < 500; ++i) {
    fleet.Ask(static_cast<std::size_t>(i) % 6, "k");
    fleet.Run(milliseconds(20));
  }
  // Five failures at each of six entries, and a few probes of 2, 4, 8 s.
  REQUIRE(fleet.Vm("10.0.0.2").begun_ <= 6 * (5 + 3));
  fleet.Vm("10.0.0.2").isFailing_ = false;
  const int before = fleet.Vm("10.0.0.2").begun_;
  for (int i = 0; i < 1500; ++i) {
    fleet.Ask(static_cast<std::size_t>(i) % 6, "k");
    fleet.Run(milliseconds(20));
  }
  REQUIRE(fleet.Vm("10.0.0.2").begun_ - before >= 100);
  RequireNothingBroken(fleet);
}

TEST_CASE("work that fails everywhere does not empty the pool")
{
  VirtualFleet fleet = MakeFleet(22);
  fleet.runTime_ = milliseconds(20);
  for (int vm = 1; vm <= 5; ++vm) {
    fleet.Vm("10.0.0." + std::to_string(vm)).isFailing_ = true;
  }
  for (int i = 0; i < 300; ++i) {
    const RequestId id = fleet.Ask(static_cast<std::size_t>(i) % 6, "k");
    fleet.Run(milliseconds(50));
    REQUIRE(fleet.Request(id).isAnswered_);
  }
  for (const VirtualNode& node : fleet.nodes_) {
    int ejected = 0;
    for (const PoolView& pool : ViewPools(*node.entry_, fleet.Now())) {
      for (const TargetView& target : pool.targets_) {
        ejected += target.state_ == "ejected" ? 1 : 0;
      }
    }
    REQUIRE(ejected <= 1); // a third of five
  }
  RequireNothingBroken(fleet);
}

TEST_CASE("ten thousand waiting requests are cancelled at once")
{
  VirtualFleet fleet = MakeFleet(23);
  fleet.runTime_ = seconds(2);
  std::vector<RequestId> asked;
  asked.reserve(10000);
  for (int i = 0; i < 10000; ++i) {
    asked.push_back(fleet.Ask(0, "k"));
  }
  fleet.Run(seconds(1));
  for (const RequestId id : asked) {
    fleet.Cancel(id);
  }
  const RequestId last = fleet.Ask(0, "k");
  fleet.Run(milliseconds(100));
  const auto counts = ViewCounts(*fleet.nodes_[0].entry_);
  REQUIRE(counts.at("requests_cancelled") == 10000 - 12);
  REQUIRE(counts.at("requests_waiting") == 1);
  fleet.Run(seconds(3));
  REQUIRE(fleet.Request(last).isAnswered_);
  RequireNothingBroken(fleet);
}

// Found by random_test.cpp: a try that broke, a retry that found no place in
// time, and the refusal said "not run".
TEST_CASE("a request that may have run is not refused as not run")
{
  VirtualFleet fleet = MakeFleet(13);
  fleet.runTime_ = milliseconds(2500);
  fleet.trouble_.brokenExchanges_ = 1000;
  const RequestId id = fleet.Ask(0, "k", "", true);
  for (int vm = 1; vm <= 5; ++vm) {
    fleet.SetVm("10.0.0." + std::to_string(vm), VmStatus::Leaving);
  }
  fleet.Run(seconds(15));
  REQUIRE(fleet.Request(id).begun_ == 1);
  REQUIRE(fleet.Request(id).isUnknown_);
  RequireNothingBroken(fleet);
}
