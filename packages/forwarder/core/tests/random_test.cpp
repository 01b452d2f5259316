// The promises under random sequences of failures, races and work. A failing
// sequence is shrunk by rapidcheck; what it found is kept as a test in
// fleet_test.cpp. Seeds are fixed by RC_PARAMS, set in CMakeLists.txt.

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "virtual_fleet.h"

using namespace cuminbridge::forwarder;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

enum class StepKind
{
  Work,       // requests of account t at a node
  KeyedWork,  // the same Idempotency-Key at two nodes
  Limit,      // a ticket with another limit
  SwapKey,    // a ticket that withdraws the key in use and gives the other
  Kill,       // a process dies and starts again, empty, after a while
  Pause,      // a process stands still
  CutPeers,   // a node loses its peers for a while
  Partition,  // two groups, only one of which has the store
  CutStore,   // a node loses the store for a while
  StoreDown,  // all lose the store for a while
  BadNetwork, // frames are lost and repeated for a while
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
  int size_ = 0; // 0 to 99: how much, or how long

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
  int jobs_ = 0;

  explicit Runner(std::uint64_t aSeed)
    : fleet_(6, aSeed)
  {
    for (std::size_t i = 0; i < 6; ++i) {
      fleet_.Start(i);
    }
    fleet_.Run(seconds(10));
    FileTicket(0);
    fleet_.Run(seconds(2));
  }

  std::string Key() const { return "key-" + std::to_string(key_); }

  void FileTicket(std::size_t aNode)
  {
    const auto number = fleet_.StoreNumber() + 1;
    fleet_.File(aNode,
                "ticket = " + std::to_string(number) +
                  "\n[pool.a]\nvms = [\"10.0.0.1\", \"10.0.0.2\", "
                  "\"10.0.0.3\"]\nmin_available = 1\n[account.t]\nkeys = [\"" +
                  HashKey(Key()) +
                  "\"]\nshare = 1\nlimit = " + std::to_string(limit_) + "\n");
  }

  // Undoes something after a while of 0 to 10 s.
  void Later(int aSize, std::function<void()> aUndo)
  {
    later_.emplace_back(fleet_.Now() + milliseconds(100 * aSize),
                        std::move(aUndo));
  }

  void Pass(Duration aTime)
  {
    const TimePoint end = fleet_.Now() + aTime;
    while (fleet_.Now() < end) {
      fleet_.Run(milliseconds(50));
      for (std::size_t i = 0; i < later_.size(); ++i) {
        if (later_[i].first <= fleet_.Now()) {
          later_[i].second();
          later_.erase(later_.begin() + static_cast<std::ptrdiff_t>(i--));
        }
      }
    }
  }

  void Take(const Step& aStep);

  int LimitInForce() const
  {
    const auto accounts = ViewAccounts(*fleet_.nodes_[0].entry_, fleet_.Now());
    return accounts.empty() ? 0 : accounts.front().account_->limit_;
  }

private:
  std::vector<std::pair<TimePoint, std::function<void()>>> later_;
};

void
Runner::Take(const Step& aStep)
{
  const std::size_t node = aStep.node_;
  VirtualNode& state = fleet_.nodes_[node];
  switch (aStep.kind_) {
    case StepKind::Work:
      for (int i = 0; i < aStep.size_ / 2; ++i) {
        fleet_.Ask(node, Key(), "", i % 3 == 0);
      }
      break;
    case StepKind::KeyedWork:
      for (int i = 0; i < 3; ++i) {
        const std::string job = "job-" + std::to_string(jobs_ / 2);
        fleet_.Ask((node + static_cast<std::size_t>(i)) % 6, Key(), job);
        ++jobs_;
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
      Later(aStep.size_, [this, node] { fleet_.Start(node); });
      break;
    case StepKind::Pause:
      fleet_.Pause(node, milliseconds(200 * aStep.size_));
      break;
    case StepKind::CutPeers:
      state.isCutFromPeers_ = true;
      Later(2 * aStep.size_, [&state] { state.isCutFromPeers_ = false; });
      break;
    case StepKind::Partition:
      for (std::size_t i = 0; i <= node; ++i) {
        fleet_.nodes_[i].group_ = 1;
        fleet_.nodes_[i].isCutFromStore_ = true;
      }
      Later(2 * aStep.size_, [this] {
        for (VirtualNode& each : fleet_.nodes_) {
          each.group_ = 0;
          each.isCutFromStore_ = false;
        }
      });
      break;
    case StepKind::CutStore:
      state.isCutFromStore_ = true;
      Later(2 * aStep.size_, [&state] { state.isCutFromStore_ = false; });
      break;
    case StepKind::StoreDown:
      fleet_.isStoreDown_ = true;
      Later(aStep.size_, [this] { fleet_.isStoreDown_ = false; });
      break;
    case StepKind::BadNetwork:
      fleet_.trouble_.lossOfFrames_ = 3 * aStep.size_;
      fleet_.trouble_.repeatsOfFrames_ = 200;
      Later(50, [this] {
        fleet_.trouble_.lossOfFrames_ = 0;
        fleet_.trouble_.repeatsOfFrames_ = 0;
      });
      break;
    case StepKind::BadStore:
      fleet_.trouble_.lostStoreAnswers_ = 7 * aStep.size_;
      Later(50, [this] { fleet_.trouble_.lostStoreAnswers_ = 0; });
      break;
    case StepKind::BadTargets:
      fleet_.trouble_.brokenExchanges_ = 3 * aStep.size_;
      fleet_.trouble_.unbegunExchanges_ = 2 * aStep.size_;
      Later(20, [this] {
        fleet_.trouble_.brokenExchanges_ = 0;
        fleet_.trouble_.unbegunExchanges_ = 0;
      });
      break;
    case StepKind::Stop:
      if (state.isAlive_) {
        fleet_.Stop(node);
        Later(100, [this, node] { fleet_.Start(node); });
      }
      break;
    case StepKind::Wait:
    case StepKind::Count:
      Pass(milliseconds(50 * aStep.size_));
      break;
  }
  Pass(milliseconds(100));
}

} // namespace

TEST_CASE("no promise breaks under random failures, and the fleet recovers")
{
  const bool isGood = rc::check([] {
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    const auto steps = *rc::gen::container<std::vector<Step>>(AnyStep());
    Runner runner(seed);
    runner.fleet_.runTime_ = milliseconds(50 + seed % 2900);
    for (const Step& step : steps) {
      runner.Take(step);
    }
    // All troubles end by themselves within 20 s; members come back after.
    runner.Pass(seconds(90));
    for (const std::string& what : runner.fleet_.Broken()) {
      RC_LOG() << what << "\n";
    }
    RC_ASSERT(runner.fleet_.Broken().empty());
    RC_ASSERT(runner.fleet_.ReadyNodes() == 6U);
    // No permit was lost for good: an account alone gets its whole limit again.
    runner.fleet_.runTime_ = milliseconds(500);
    runner.FileTicket(0);
    runner.Pass(seconds(5));
    for (int i = 0; i < 100; ++i) {
      runner.fleet_.Ask(0, runner.Key());
    }
    runner.fleet_.ForgetMostRunning();
    runner.Pass(seconds(2));
    RC_ASSERT(runner.fleet_.MostRunningOf("t") == runner.LimitInForce());
  });
  REQUIRE(isGood);
}
