// The guarantees of the specification, checked in virtual time.

#include <algorithm>
#include <numeric>

#include <catch2/catch.hpp>

#include "virtual_fleet.h"

using namespace cuminbridge::forwarder;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

// A ticket with one pool of five VMs and one account with this key and limit.
// An empty key gives an account without keys.
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
  fleet.RunFor(seconds(10));
  const auto filing = fleet.FileTicket(0, MakeTicket(1, aLimit));
  fleet.RunFor(seconds(3));
  REQUIRE(fleet.FilingAnswer(filing) != nullptr);
  REQUIRE(fleet.FilingAnswer(filing)->status_ == 201);
  REQUIRE(fleet.ReadyNodes() == 6);
  return fleet;
}

void
RequireNoViolations(const VirtualFleet& aFleet)
{
  for (const std::string& what : aFleet.Violations()) {
    UNSCOPED_INFO(what);
  }
  REQUIRE(aFleet.Violations().empty());
}

// Submits many requests at once at one entry.
void
SubmitBurst(VirtualFleet& aFleet, std::size_t aNode, int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    aFleet.SubmitRequest(aNode, "k");
  }
}

} // namespace

TEST_CASE("six entries form a fleet without help, and all become voters")
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
  RequireNoViolations(fleet);
}

TEST_CASE("an account reaches exactly its limit through any single entry")
{
  for (std::size_t node = 0; node < 6; ++node) {
    VirtualFleet fleet = MakeFleet(node + 1);
    SubmitBurst(fleet, node, 200);
    fleet.RunFor(seconds(2));
    REQUIRE(fleet.PeakRunningOf("t") == 12);
    RequireNoViolations(fleet);
  }
}

// An entry that is cut off or suspended does not hear of the withdrawal. It
// must stop by itself when its evidence of the configuration runs out.
TEST_CASE("a withdrawn key stops at all entries, also at isolated ones")
{
  VirtualFleet fleet = MakeFleet(2);
  fleet.nodes_[3].isCutFromPeers_ = true;
  fleet.nodes_[3].isCutFromStore_ = true;
  fleet.Pause(4, seconds(8));
  const auto filing = fleet.FileTicket(0, MakeTicket(2, 12, ""));
  for (int i = 0; i < 200; ++i) {
    fleet.SubmitRequest(static_cast<std::size_t>(i) % 6, "k");
    fleet.RunFor(milliseconds(100));
  }
  REQUIRE(fleet.FilingAnswer(filing)->status_ == 201);
  RequireNoViolations(fleet);
}

TEST_CASE(
  "requests run for an hour without the store, but no ticket is accepted")
{
  VirtualFleet fleet = MakeFleet(3);
  fleet.isStoreDown_ = true;
  fleet.RunFor(minutes(60));
  REQUIRE(fleet.ReadyNodes() == 6);
  SubmitBurst(fleet, 2, 50);
  fleet.RunFor(seconds(3));
  REQUIRE(fleet.PeakRunningOf("t") == 12);
  const auto filing = fleet.FileTicket(1, MakeTicket(2, 12, ""));
  fleet.RunFor(seconds(5));
  REQUIRE(fleet.FilingAnswer(filing)->status_ == 503);
  fleet.isStoreDown_ = false;
  fleet.RunFor(seconds(5));
  const auto again = fleet.FileTicket(1, MakeTicket(2, 12, ""));
  fleet.RunFor(seconds(5));
  REQUIRE(fleet.FilingAnswer(again)->status_ == 201);
  RequireNoViolations(fleet);
}

TEST_CASE("a minority without the store refuses requests, the rest serves")
{
  VirtualFleet fleet = MakeFleet(4);
  for (const std::size_t node : { 0U, 1U }) {
    fleet.nodes_[node].isCutFromPeers_ = true;
    fleet.nodes_[node].isCutFromStore_ = true;
  }
  fleet.RunFor(seconds(4));
  REQUIRE(fleet.ReadyNodes() == 4);
  const RequestId id = fleet.SubmitRequest(0, "k");
  fleet.RunFor(seconds(1));
  REQUIRE(fleet.Request(id).isNotRun_);
  RequireNoViolations(fleet);
}

TEST_CASE(
  "an entry replaced while the store is down gets its configuration from "
  "peers, and joins when the store is back")
{
  VirtualFleet fleet = MakeFleet(5);
  fleet.isStoreDown_ = true;
  fleet.RunFor(seconds(5));
  fleet.Start(2);
  fleet.RunFor(seconds(5));
  REQUIRE(ViewInForce(*fleet.nodes_[2].entry_, fleet.Now()).number_ == 1);
  REQUIRE(fleet.ReadyNodes() == 5);
  fleet.isStoreDown_ = false;
  fleet.RunFor(seconds(5));
  REQUIRE(fleet.ReadyNodes() == 6);
  RequireNoViolations(fleet);
}

// The number of answered requests for each node.
std::vector<int>
CountAnswered(const VirtualFleet& aFleet,
              const std::vector<std::vector<RequestId>>& aRequests)
{
  std::vector<int> answered;
  answered.reserve(aRequests.size());
  for (const auto& requests : aRequests) {
    answered.push_back(static_cast<int>(
      std::count_if(requests.begin(), requests.end(), [&](RequestId aId) {
        return aFleet.Request(aId).isAnswered_;
      })));
  }
  return answered;
}

// Submits requests at all nodes for 10 s. No node may get less than half of an
// equal share of the answers.
void
RequireFairShares(VirtualFleet& aFleet, int aRequestsPerStep)
{
  std::vector<std::vector<RequestId>> requests(6);
  for (int i = 0; i < 100; ++i) {
    for (std::size_t node = 0; node < 6; ++node) {
      for (int k = 0; k < aRequestsPerStep; ++k) {
        requests[node].push_back(aFleet.SubmitRequest(node, "k"));
      }
    }
    aFleet.RunFor(milliseconds(100));
  }
  const std::vector<int> answered = CountAnswered(aFleet, requests);
  const int total = std::accumulate(answered.begin(), answered.end(), 0);
  for (const int count : answered) {
    CAPTURE(count, total);
    REQUIRE(count * 12 >= total);
  }
}

TEST_CASE("slots move to the entries where requests wait")
{
  VirtualFleet fleet =
    MakeFleet(20, 100); // 5 VMs of 8 slots; slots are the bottleneck
  fleet.runTime_ = milliseconds(100);
  SubmitBurst(fleet, 2, 400);
  fleet.RunFor(seconds(1));
  REQUIRE(fleet.PeakRunningOf("t") == 40);
  RequireFairShares(fleet, 10);
  RequireNoViolations(fleet);
}

// Requests of a killed entry still run at the targets. If its permits came back
// before these end, the account would exceed its limit.
TEST_CASE("permits of a killed entry return only after its requests ended")
{
  VirtualFleet fleet = MakeFleet(6);
  fleet.runTime_ = milliseconds(2900);
  SubmitBurst(fleet, 3, 100);
  fleet.RunFor(seconds(1));
  REQUIRE(fleet.RunningOf("t") == 12);
  fleet.Kill(3);
  SubmitBurst(fleet, 0, 100);
  fleet.RunFor(seconds(30));
  fleet.runTime_ = milliseconds(500);
  SubmitBurst(fleet, 0, 100);
  fleet.RunFor(seconds(2));
  REQUIRE(fleet.RunningOf("t") >= 11);
  RequireNoViolations(fleet);
}

TEST_CASE("a lowered limit is kept from the time that it is in force")
{
  VirtualFleet fleet = MakeFleet(7);
  fleet.runTime_ = milliseconds(800);
  for (std::size_t node = 0; node < 6; ++node) {
    SubmitBurst(fleet, node, 60);
  }
  fleet.RunFor(seconds(1));
  const auto filing = fleet.FileTicket(5, MakeTicket(2, 4));
  for (int i = 0; i < 100; ++i) {
    SubmitBurst(fleet, static_cast<std::size_t>(i) % 6, 2);
    fleet.RunFor(milliseconds(100));
  }
  REQUIRE(fleet.FilingAnswer(filing)->status_ == 201);
  REQUIRE(fleet.RunningOf("t") == 4);
  RequireNoViolations(fleet);
}

TEST_CASE("of tickets filed at once with one number, exactly one is accepted")
{
  VirtualFleet fleet = MakeFleet(8);
  std::vector<std::uint64_t> filings;
  filings.reserve(6);
  for (std::size_t node = 0; node < 6; ++node) {
    filings.push_back(
      fleet.FileTicket(node, MakeTicket(2, 20 + static_cast<int>(node))));
  }
  fleet.RunFor(seconds(10));
  int accepted = 0;
  for (const auto filing : filings) {
    REQUIRE(fleet.FilingAnswer(filing) != nullptr);
    accepted += fleet.FilingAnswer(filing)->status_ == 201 ? 1 : 0;
    const int status = fleet.FilingAnswer(filing)->status_;
    REQUIRE((status == 201 || status == 409));
  }
  REQUIRE(accepted == 1);
  RequireNoViolations(fleet);
}

// After a lost store answer the entry cannot know whether the ticket was
// stored. Its answer to the operator must still be true, and filing the ticket
// again must succeed without a second change.
TEST_CASE("a filing whose store answer is lost is resolved and stored once")
{
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    VirtualFleet fleet = MakeFleet(seed);
    fleet.faults_.storeAnswerLoss_ = 500;
    const auto filing = fleet.FileTicket(1, MakeTicket(2, 5));
    fleet.RunFor(seconds(25));
    fleet.faults_.storeAnswerLoss_ = 0;
    REQUIRE(fleet.FilingAnswer(filing) != nullptr);
    const int status = fleet.FilingAnswer(filing)->status_;
    const std::int64_t number = fleet.StoreNumber();
    fleet.RunFor(seconds(10));
    if (status == 201) {
      REQUIRE(number == 2);
    } else if (status == 503) {
      REQUIRE(fleet.StoreNumber() == 1);
    }
    const auto again = fleet.FileTicket(2, MakeTicket(2, 5));
    fleet.RunFor(seconds(10));
    const int second = fleet.FilingAnswer(again)->status_;
    REQUIRE((second == 200 || second == 201));
    RequireNoViolations(fleet);
  }
}

TEST_CASE(
  "two requests with one Idempotency-Key at two entries run at most once")
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    VirtualFleet fleet = MakeFleet(seed);
    for (int job = 0; job < 20; ++job) {
      fleet.SubmitRequest(seed % 6, "k", "job-" + std::to_string(job));
      fleet.SubmitRequest((seed + 2) % 6, "k", "job-" + std::to_string(job));
      fleet.RunFor(milliseconds(50));
    }
    fleet.RunFor(seconds(2));
    RequireNoViolations(fleet);
  }
}

// Claims are held in memory by the voters. Replaced entries lose theirs, and
// must collect them from the others before they vote.
TEST_CASE("a request with a used key does not run after entries are replaced")
{
  VirtualFleet fleet = MakeFleet(9);
  const RequestId first = fleet.SubmitRequest(0, "k", "pay");
  fleet.RunFor(seconds(1));
  REQUIRE(fleet.Request(first).isAnswered_);
  fleet.Start(0); // replaced by a process without state
  fleet.RunFor(seconds(15));
  fleet.Start(3);
  fleet.RunFor(seconds(15));
  for (std::size_t node = 0; node < 6; ++node) {
    const RequestId repeat = fleet.SubmitRequest(node, "k", "pay");
    fleet.RunFor(seconds(2));
    REQUIRE(fleet.Request(repeat).startCount_ == 0);
  }
  RequireNoViolations(fleet);
}

TEST_CASE("a leaving VM gets no new requests, also while the store is down")
{
  VirtualFleet fleet = MakeFleet(10);
  fleet.isStoreDown_ = true;
  fleet.SetVm("10.0.0.2", VmStatus::Leaving);
  for (int i = 0; i < 100; ++i) {
    fleet.SubmitRequest(static_cast<std::size_t>(i) % 6, "k");
    fleet.RunFor(milliseconds(100));
  }
  RequireNoViolations(fleet);
}

TEST_CASE("a graceful shutdown answers all requests and returns the permits")
{
  VirtualFleet fleet = MakeFleet(11);
  std::vector<RequestId> requests;
  requests.reserve(12);
  for (int i = 0; i < 12; ++i) {
    requests.push_back(fleet.SubmitRequest(0, "k"));
  }
  fleet.RunFor(milliseconds(300));
  fleet.Stop(0);
  fleet.RunFor(seconds(8));
  REQUIRE(fleet.nodes_[0].isExited_);
  for (const RequestId id : requests) {
    REQUIRE(fleet.Request(id).isAnswered_);
  }
  SubmitBurst(fleet, 1, 100);
  fleet.RunFor(seconds(2));
  REQUIRE(fleet.PeakRunningOf("t") == 12);
  RequireNoViolations(fleet);
}

TEST_CASE("an entry that missed a hundred tickets catches up")
{
  VirtualFleet fleet = MakeFleet(12);
  fleet.nodes_[5].isCutFromPeers_ = true;
  fleet.nodes_[5].isCutFromStore_ = true;
  for (int number = 2; number <= 101; ++number) {
    fleet.FileTicket(static_cast<std::size_t>(number) % 5,
                     MakeTicket(number, 10 + number % 5));
    fleet.RunFor(milliseconds(500));
  }
  REQUIRE(fleet.StoreNumber() == 101);
  fleet.nodes_[5].isCutFromPeers_ = false;
  fleet.RunFor(seconds(2));
  REQUIRE(ViewInForce(*fleet.nodes_[5].entry_, fleet.Now()).number_ == 101);
  RequireNoViolations(fleet);
}

// The majority is cut off from the store and serves on the agreement of its
// members. A change needs their majority before it is stored.
TEST_CASE("a minority with the store cannot change the configuration")
{
  VirtualFleet fleet = MakeFleet(14);
  for (std::size_t node = 2; node < 6; ++node) {
    fleet.nodes_[node].group_ = 1;
    fleet.nodes_[node].isCutFromStore_ = true;
  }
  const auto filing = fleet.FileTicket(0, MakeTicket(2, 12, ""));
  for (int i = 0; i < 300; ++i) {
    fleet.SubmitRequest(2 + static_cast<std::size_t>(i) % 4, "k");
    fleet.RunFor(milliseconds(100));
  }
  REQUIRE(fleet.FilingAnswer(filing)->status_ == 503);
  REQUIRE(fleet.ReadyNodes() == 6);
  RequireNoViolations(fleet);
}

// The ticket is stored, but the entry that filed it is killed and the store
// fails before the others can read it. They must obey the prepared change,
// because it may be in force.
TEST_CASE("a prepared change binds all entries when its outcome is unknown")
{
  VirtualFleet fleet = MakeFleet(15);
  for (std::size_t node = 0; node < 6; ++node) {
    SubmitBurst(fleet, node, 12);
  }
  fleet.RunFor(seconds(3));
  fleet.FileTicket(0, MakeTicket(2, 12, ""));
  while (fleet.StoreNumber() < 2) {
    fleet.RunFor(std::chrono::microseconds(100));
  }
  fleet.Kill(0);
  fleet.isStoreDown_ = true;
  for (int i = 0; i < 200; ++i) {
    fleet.SubmitRequest(1 + static_cast<std::size_t>(i) % 5, "k");
    fleet.RunFor(milliseconds(100));
  }
  REQUIRE(fleet.ReadyNodes() == 5);
  RequireNoViolations(fleet);
}

TEST_CASE("idle permits are spread, so that a lost entry costs only its share")
{
  VirtualFleet fleet = MakeFleet(18);
  fleet.RunFor(seconds(10));
  for (const VirtualNode& node : fleet.nodes_) {
    REQUIRE(ViewAccounts(*node.entry_, fleet.Now()).front().held_ == 2);
  }
  fleet.Kill(0);
  SubmitBurst(fleet, 4, 100);
  fleet.RunFor(seconds(2));
  REQUIRE(fleet.PeakRunningOf("t") == 10);
  RequireNoViolations(fleet);
}

TEST_CASE("permits rotate: no entry with waiting requests starves")
{
  VirtualFleet fleet = MakeFleet(19);
  fleet.runTime_ = milliseconds(100);
  RequireFairShares(fleet, 4);
  RequireNoViolations(fleet);
}

TEST_CASE("permits of a lost entry are reissued only after the run limit")
{
  VirtualFleet fleet(6, 16);
  fleet.options_.runLimit_ = seconds(40);
  for (std::size_t i = 0; i < 6; ++i) {
    fleet.Start(i);
  }
  fleet.RunFor(seconds(10));
  fleet.FileTicket(0, MakeTicket(1, 12));
  fleet.RunFor(seconds(3));
  fleet.runTime_ = seconds(38);
  SubmitBurst(fleet, 3, 12);
  fleet.RunFor(seconds(1));
  REQUIRE(fleet.RunningOf("t") == 12);
  fleet.Kill(3);
  for (int i = 0; i < 300; ++i) {
    fleet.SubmitRequest(static_cast<std::size_t>(i) % 3, "k");
    fleet.RunFor(milliseconds(200));
  }
  REQUIRE(fleet.RunningOf("t") > 0);
  RequireNoViolations(fleet);
}

// An isolated entry is removed and its permits are issued to others. If it kept
// them on its return, the account could exceed its limit.
TEST_CASE("an entry that was removed returns without permits")
{
  VirtualFleet fleet = MakeFleet(17);
  SubmitBurst(fleet, 0, 12);
  fleet.RunFor(seconds(3));
  fleet.nodes_[0].isCutFromPeers_ = true;
  fleet.nodes_[0].isCutFromStore_ = true;
  fleet.RunFor(seconds(40));
  fleet.nodes_[0].isCutFromPeers_ = false;
  fleet.nodes_[0].isCutFromStore_ = false;
  fleet.runTime_ = seconds(2);
  for (int i = 0; i < 100; ++i) {
    SubmitBurst(fleet, static_cast<std::size_t>(i) % 6, 4);
    fleet.RunFor(milliseconds(100));
  }
  REQUIRE(fleet.PeakRunningOf("t") == 12);
  RequireNoViolations(fleet);
}

// After a member is lost the coordinator counts all permits. A transfer that is
// in flight during the count must neither be missed nor counted twice.
TEST_CASE("an audit counts permits correctly while entries request them")
{
  for (std::uint64_t seed = 1; seed <= 150; ++seed) {
    VirtualFleet fleet = MakeFleet(seed);
    fleet.runTime_ = milliseconds(40);
    fleet.faults_.maxFrameDelayMs_ = 300;
    fleet.Kill(5);
    for (int i = 0; i < 900; ++i) {
      SubmitBurst(fleet, static_cast<std::size_t>(i / 10) % 5, 8);
      fleet.RunFor(milliseconds(20));
    }
    fleet.faults_.maxFrameDelayMs_ = 0;
    fleet.RunFor(seconds(10)); // an audit under load may have to be repeated
    fleet.runTime_ = seconds(1);
    for (std::size_t node = 0; node < 5; ++node) {
      SubmitBurst(fleet, node, 30);
    }
    fleet.RunFor(seconds(3));
    REQUIRE(fleet.PeakRunningOf("t") == 12);
    RequireNoViolations(fleet);
  }
}

TEST_CASE("a VM that fails all its requests is ejected, and taken back later")
{
  VirtualFleet fleet = MakeFleet(21);
  fleet.runTime_ = milliseconds(20);
  fleet.Vm("10.0.0.2").isFailing_ = true;
  for (int i = 0; i < 500; ++i) {
    fleet.SubmitRequest(static_cast<std::size_t>(i) % 6, "k");
    fleet.RunFor(milliseconds(20));
  }
  // Each of six entries sees five failures, then probes after 2, 4 and 8 s.
  REQUIRE(fleet.Vm("10.0.0.2").startCount_ <= 6 * (5 + 3));
  fleet.Vm("10.0.0.2").isFailing_ = false;
  const int before = fleet.Vm("10.0.0.2").startCount_;
  for (int i = 0; i < 1500; ++i) {
    fleet.SubmitRequest(static_cast<std::size_t>(i) % 6, "k");
    fleet.RunFor(milliseconds(20));
  }
  REQUIRE(fleet.Vm("10.0.0.2").startCount_ - before >= 100);
  RequireNoViolations(fleet);
}

TEST_CASE("requests that fail on every VM do not eject the whole pool")
{
  VirtualFleet fleet = MakeFleet(22);
  fleet.runTime_ = milliseconds(20);
  for (int vm = 1; vm <= 5; ++vm) {
    fleet.Vm("10.0.0." + std::to_string(vm)).isFailing_ = true;
  }
  for (int i = 0; i < 300; ++i) {
    const RequestId id =
      fleet.SubmitRequest(static_cast<std::size_t>(i) % 6, "k");
    fleet.RunFor(milliseconds(50));
    REQUIRE(fleet.Request(id).isAnswered_);
  }
  for (const VirtualNode& node : fleet.nodes_) {
    int ejected = 0;
    for (const PoolView& pool : ViewPools(*node.entry_, fleet.Now())) {
      for (const TargetView& target : pool.targets_) {
        ejected += target.state_ == "ejected" ? 1 : 0;
      }
    }
    REQUIRE(ejected <= 1); // ejectShare_ (0.34) of five VMs, rounded down
  }
  RequireNoViolations(fleet);
}

TEST_CASE("ten thousand waiting requests are cancelled within 100 ms")
{
  VirtualFleet fleet = MakeFleet(23);
  fleet.runTime_ = seconds(2);
  std::vector<RequestId> requests;
  requests.reserve(10000);
  for (int i = 0; i < 10000; ++i) {
    requests.push_back(fleet.SubmitRequest(0, "k"));
  }
  fleet.RunFor(seconds(1));
  for (const RequestId id : requests) {
    fleet.Cancel(id);
  }
  const RequestId last = fleet.SubmitRequest(0, "k");
  fleet.RunFor(milliseconds(100));
  const auto counts = ViewCounts(*fleet.nodes_[0].entry_);
  REQUIRE(counts.at("requests_cancelled") == 10000 - 12);
  REQUIRE(counts.at("requests_waiting") == 1);
  fleet.RunFor(seconds(3));
  REQUIRE(fleet.Request(last).isAnswered_);
  RequireNoViolations(fleet);
}

// Found by random_test.cpp: the first attempt broke, the retry found no free
// target in time, and the request was refused as "not run" although its first
// attempt may have run.
TEST_CASE("a request that may have run is not refused as not run")
{
  VirtualFleet fleet = MakeFleet(13);
  fleet.runTime_ = milliseconds(2500);
  fleet.faults_.brokenExchanges_ = 1000;
  const RequestId id = fleet.SubmitRequest(0, "k", "", true);
  for (int vm = 1; vm <= 5; ++vm) {
    fleet.SetVm("10.0.0." + std::to_string(vm), VmStatus::Leaving);
  }
  fleet.RunFor(seconds(15));
  REQUIRE(fleet.Request(id).startCount_ == 1);
  REQUIRE(fleet.Request(id).isUnknown_);
  RequireNoViolations(fleet);
}
