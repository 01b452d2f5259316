// The invariants under random sequences of failures, races and requests.
// rapidcheck shrinks a failing sequence; each fault found so is kept as a test
// in fleet_test.cpp. RC_PARAMS, set in CMakeLists.txt, fixes the seeds.

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "virtual_fleet.h"

using namespace cuminbridge::forwarder;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

enum class StepKind
{
  Work,       // requests of account t at one node
  KeyedWork,  // requests with the same Idempotency-Keys at several nodes
  Limit,      // a ticket with another limit
  SwapKey,    // a ticket that replaces the API key in use by the other one
  Kill,       // a process is killed and later started without state
  Pause,      // a process is suspended
  CutPeers,   // a node is cut off from its peers for a while
  Partition,  // two groups, only one of which has the store
  CutStore,   // a node is cut off from the store for a while
  StoreDown,  // the store is down for a while
  BadNetwork, // frames are lost and duplicated for a while
  BadStore,   // answers of the store are lost for a while
  BadTargets, // exchanges break for a while
  Stop,       // a graceful shutdown, and a new process after it
  Wait,
  Count
};

struct Step
{
  StepKind kind_ = StepKind::Wait;
  std::size_t node_ = 0;
  int size_ = 0; // 0 to 99; its unit (count or time) depends on kind_

  friend std::ostream& operator<<(std::ostream& aOut, const Step& aStep)
  {
    return aOut << "{" << static_cast<int>(aStep.kind_) << "," << aStep.node_
                << "," << aStep.size_ << "}";
  }
};

rc::Gen<Step>
AnyStep()
{
  return rc::gen::build<Step>(
    rc::gen::set(
      &Step::kind_,
      rc::gen::map(rc::gen::inRange(0, static_cast<int>(StepKind::Count)),
                   [](int aKind) { return static_cast<StepKind>(aKind); })),
    rc::gen::set(&Step::node_, rc::gen::inRange<std::size_t>(0, 6)),
    rc::gen::set(&Step::size_, rc::gen::inRange(0, 100)));
}

struct Runner
{
  VirtualFleet fleet_;
  int limit_ = 12;
  int key_ = 0;
  int keyedRequests_ = 0;

  explicit Runner(std::uint64_t aSeed)
    : fleet_(6, aSeed)
  {
    for (std::size_t i = 0; i < 6; ++i) {
      fleet_.Start(i);
    }
    fleet_.RunFor(seconds(10));
    FileTicket(0);
    fleet_.RunFor(seconds(2));
  }

  std::string Key() const { return "key-" + std::to_string(key_); }

  void FileTicket(std::size_t aNode)
  {
    const auto number = fleet_.StoreNumber() + 1;
    fleet_.FileTicket(
      aNode,
      "ticket = " + std::to_string(number) +
        "\n[pool.a]\nvms = [\"10.0.0.1\", \"10.0.0.2\", "
        "\"10.0.0.3\"]\nmin_available = 1\n[account.t]\nkeys = [\"" +
        HashKey(Key()) + "\"]\nshare = 1\nlimit = " + std::to_string(limit_) +
        "\n");
  }

  // Calls aUndo after aSize * 100 ms, while RunFor() runs.
  void ScheduleUndo(int aSize, std::function<void()> aUndo)
  {
    pendingUndos_.emplace_back(fleet_.Now() + milliseconds(100 * aSize),
                               std::move(aUndo));
  }

  void RunFor(Duration aTime)
  {
    const TimePoint end = fleet_.Now() + aTime;
    while (fleet_.Now() < end) {
      fleet_.RunFor(milliseconds(50));
      for (std::size_t i = 0; i < pendingUndos_.size(); ++i) {
        if (pendingUndos_[i].first <= fleet_.Now()) {
          pendingUndos_[i].second();
          pendingUndos_.erase(pendingUndos_.begin() +
                              static_cast<std::ptrdiff_t>(i--));
        }
      }
    }
  }

  void Execute(const Step& aStep);

  int LimitInForce() const
  {
    const auto accounts = ViewAccounts(*fleet_.nodes_[0].entry_, fleet_.Now());
    return accounts.empty() ? 0 : accounts.front().account_->limit_;
  }

private:
  std::vector<std::pair<TimePoint, std::function<void()>>> pendingUndos_;
};

void
Runner::Execute(const Step& aStep)
{
  const std::size_t node = aStep.node_;
  VirtualNode& state = fleet_.nodes_[node];
  switch (aStep.kind_) {
    case StepKind::Work:
      for (int i = 0; i < aStep.size_ / 2; ++i) {
        fleet_.SubmitRequest(node, Key(), "", i % 3 == 0);
      }
      break;
    case StepKind::KeyedWork:
      for (int i = 0; i < 3; ++i) {
        const std::string job = "job-" + std::to_string(keyedRequests_ / 2);
        fleet_.SubmitRequest(
          (node + static_cast<std::size_t>(i)) % 6, Key(), job);
        ++keyedRequests_;
      }
      break;
    case StepKind::Limit:
      limit_ = 1 + aStep.size_ / 5;
      FileTicket(node);
      break;
    case StepKind::SwapKey:
      key_ = 1 - key_;
      FileTicket(node);
      break;
    case StepKind::Kill:
      fleet_.Kill(node);
      ScheduleUndo(aStep.size_, [this, node] { fleet_.Start(node); });
      break;
    case StepKind::Pause:
      fleet_.Pause(node, milliseconds(200 * aStep.size_));
      break;
    case StepKind::CutPeers:
      state.isCutFromPeers_ = true;
      ScheduleUndo(2 * aStep.size_,
                   [&state] { state.isCutFromPeers_ = false; });
      break;
    case StepKind::Partition:
      for (std::size_t i = 0; i <= node; ++i) {
        fleet_.nodes_[i].group_ = 1;
        fleet_.nodes_[i].isCutFromStore_ = true;
      }
      ScheduleUndo(2 * aStep.size_, [this] {
        for (VirtualNode& each : fleet_.nodes_) {
          each.group_ = 0;
          each.isCutFromStore_ = false;
        }
      });
      break;
    case StepKind::CutStore:
      state.isCutFromStore_ = true;
      ScheduleUndo(2 * aStep.size_,
                   [&state] { state.isCutFromStore_ = false; });
      break;
    case StepKind::StoreDown:
      fleet_.isStoreDown_ = true;
      ScheduleUndo(aStep.size_, [this] { fleet_.isStoreDown_ = false; });
      break;
    case StepKind::BadNetwork:
      fleet_.faults_.frameLoss_ = 3 * aStep.size_;
      fleet_.faults_.frameDuplication_ = 200;
      ScheduleUndo(50, [this] {
        fleet_.faults_.frameLoss_ = 0;
        fleet_.faults_.frameDuplication_ = 0;
      });
      break;
    case StepKind::BadStore:
      fleet_.faults_.storeAnswerLoss_ = 7 * aStep.size_;
      ScheduleUndo(50, [this] { fleet_.faults_.storeAnswerLoss_ = 0; });
      break;
    case StepKind::BadTargets:
      fleet_.faults_.brokenExchanges_ = 3 * aStep.size_;
      fleet_.faults_.unstartedExchanges_ = 2 * aStep.size_;
      ScheduleUndo(20, [this] {
        fleet_.faults_.brokenExchanges_ = 0;
        fleet_.faults_.unstartedExchanges_ = 0;
      });
      break;
    case StepKind::Stop:
      if (state.isAlive_) {
        fleet_.Stop(node);
        ScheduleUndo(100, [this, node] { fleet_.Start(node); });
      }
      break;
    case StepKind::Wait:
    case StepKind::Count:
      RunFor(milliseconds(50 * aStep.size_));
      break;
  }
  RunFor(milliseconds(100));
}

} // namespace

// Each sequence mixes faults, requests and tickets. After it, no invariant may
// be violated, all six entries must be ready again, and no permit may be lost.
TEST_CASE("invariants hold under random failures, and the fleet recovers")
{
  const bool isGood = rc::check([] {
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    const auto steps = *rc::gen::container<std::vector<Step>>(AnyStep());
    Runner runner(seed);
    runner.fleet_.runTime_ = milliseconds(50 + seed % 2900);
    for (const Step& step : steps) {
      runner.Execute(step);
    }
    // All faults end within 20 s. Then removed members have to join again.
    runner.RunFor(seconds(90));
    for (const std::string& what : runner.fleet_.Violations()) {
      RC_LOG() << what << "\n";
    }
    RC_ASSERT(runner.fleet_.Violations().empty());
    RC_ASSERT(runner.fleet_.ReadyNodes() == 6U);
    // No permit is lost: a single account must reach its whole limit again.
    runner.fleet_.runTime_ = milliseconds(500);
    runner.FileTicket(0);
    runner.RunFor(seconds(5));
    for (int i = 0; i < 100; ++i) {
      runner.fleet_.SubmitRequest(0, runner.Key());
    }
    runner.fleet_.ResetPeakRunning();
    runner.RunFor(seconds(2));
    RC_ASSERT(runner.fleet_.PeakRunningOf("t") == runner.LimitInForce());
  });
  REQUIRE(isGood);
}
