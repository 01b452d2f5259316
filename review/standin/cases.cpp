// The cases of the review that are scripts.

#include "cases.h"

namespace review {

namespace {

// Asks for the state of a job every half second until it is aWanted or aForMs
// are over. Returns the last state.
Awaitable<std::string>
WaitForState(World& aWorld,
             std::string aQueue,
             std::string aJob,
             std::string aWanted,
             std::int64_t aForMs)
{
  constexpr std::int64_t kInterval = 500;
  const auto until = aWorld.NowMs() + aForMs;
  std::string state;
  int entry = 0;
  while (true) {
    entry = entry % kEntries + 1;
    state = co_await aWorld.StateOf(entry, aQueue, aJob);
    if (state == aWanted || aWorld.NowMs() > until) {
      co_return state;
    }
    co_await aWorld.Pause(kInterval);
  }
}

// Waits until an item runs on some worker. Null if it does not.
Awaitable<Vm*>
WaitForRun(World& aWorld, std::string aItem, std::int64_t aForMs)
{
  const auto until = aWorld.NowMs() + aForMs;
  while (aWorld.NowMs() < until) {
    if (auto* vm = aWorld.FindVmOfItem(aItem)) {
      co_return vm;
    }
    co_await aWorld.Pause(10);
  }
  co_return nullptr;
}

// A job of one step, whose runs take aTakesMs.
json
BatchJob(std::int64_t aTakesMs, int aCount, int aCpu, int aGpu = 0)
{
  json step = { { "count", aCount },
                { "cpu", aCpu },
                { "mem_mb", 256 },
                { "estimate_ms", aTakesMs } };
  if (aGpu > 0) {
    step["gpu"] = aGpu;
  }
  json job = { { "spec", "done=" + std::to_string(aTakesMs) } };
  job["steps"] = json::array({ std::move(step) });
  return job;
}

// A wave of one VM.
json
WaveOf(const std::string& aVm)
{
  json wave = { { "wave", 1 }, { "duration_s", 24 }, { "max_count", 1 } };
  wave["machines"] = json::array({ aVm });
  return wave;
}

//-----------------------------------------------------------------------------
// [SECTION] Connections to a worker are reset
//-----------------------------------------------------------------------------

void
StartSixWorkers(World& aWorld)
{
  aWorld.Start(
    { { "dispatch" },
      { "dispatch" },
      { "dispatch" },
      { "dispatch" },
      { "dispatch" },
      { "dispatch" } },
    ConfigOf({ QueueOf("quotes", "dispatch") }, { PoolOf("dispatch", false) }));
}

Awaitable<int>
RunResetWorker(World& aWorld, bool aHasTrouble)
{
  const std::string job = "00000000000000a1";
  constexpr std::int64_t kCut = 5000;
  const auto submission = BatchJob(9000, 6, 12000);
  const auto [status, body] =
    co_await aWorld.Call(1, "POST", "/quotes/" + job, submission);
  auto* vm = co_await WaitForRun(aWorld, job + ".0.0.0", 10000);
  if (status != 200 || !vm) {
    co_return kCannotRun;
  }
  co_await aWorld.Pause(2000);
  if (aHasTrouble) {
    aWorld.Log().Add("proxy: resets all connections to " + vm->id_ + " for " +
                     std::to_string(kCut) + " ms; the worker runs on");
    vm->gate_->Close();
    co_await aWorld.Pause(kCut);
    vm->gate_->Open();
    aWorld.Log().Add("proxy: forwards to " + vm->id_ + " again");
  }
  const auto state =
    co_await WaitForState(aWorld, "quotes", job, "completed", 40000);
  aWorld.Log().Add("double runs: " + std::to_string(aWorld.DoubleRuns()));
  if (aWorld.DoubleRuns() > 0) {
    co_return kBroken;
  }
  co_return state == "completed" ? kHeld : kCannotRun;
}

//-----------------------------------------------------------------------------
// [SECTION] Workers crash under a sound work item
//-----------------------------------------------------------------------------

void
StartEightWorkers(World& aWorld)
{
  aWorld.Start(
    { { "planning" },
      { "planning" },
      { "planning" },
      { "planning" },
      { "planning" },
      { "planning" },
      { "planning" },
      { "planning" } },
    ConfigOf({ QueueOf("rounds", "planning") }, { PoolOf("planning", false) }));
}

Awaitable<int>
RunCrashes(World& aWorld, bool aHasTrouble)
{
  const std::string job = "00000000000000b1";
  const std::string item = job + ".0.0.0";
  constexpr int kCrashes = 3;
  constexpr std::int64_t kDown = 4500;
  constexpr std::int64_t kGap = 8000;
  const auto submission = BatchJob(12000, 1, 7700);
  const auto [status, body] =
    co_await aWorld.Call(1, "POST", "/rounds/" + job, submission);
  if (status != 200) {
    co_return kCannotRun;
  }
  for (int crash = 0; aHasTrouble && crash < kCrashes; ++crash) {
    auto* vm = co_await WaitForRun(aWorld, item, 15000);
    if (!vm) {
      co_return kCannotRun;
    }
    co_await aWorld.Pause(kGap);
    if (vm->runs_.count(item) == 0) {
      co_return kCannotRun;
    }
    aWorld.Crash(*vm, kDown);
  }
  const auto until = aWorld.NowMs() + 30000;
  std::string state;
  while (aWorld.NowMs() < until && state != "completed" && state != "failed") {
    state = co_await WaitForState(aWorld, "rounds", job, "completed", 0);
    co_await aWorld.Pause(500);
  }
  aWorld.Log().Add(
    "runs that ended as failed: " + std::to_string(aWorld.Ends("failed")) +
    "; attempts allowed: 3; state shown: " + state);
  if (state == "failed" && aWorld.Ends("failed") == 0) {
    co_return kBroken;
  }
  co_return state == "completed" ? kHeld : kCannotRun;
}

//-----------------------------------------------------------------------------
// [SECTION] The VM service does not answer during a wave
//-----------------------------------------------------------------------------

void
StartPoolWithGpu(World& aWorld)
{
  constexpr std::int64_t kGpus = 4;
  aWorld.Start(
    { { "planning" }, { "planning" }, { "planning", kGpus }, { "planning" } },
    ConfigOf({ QueueOf("rounds", "planning") }, { PoolOf("planning", false) }));
}

Awaitable<int>
RunSilentVmService(World& aWorld, bool aHasTrouble)
{
  constexpr std::int64_t kSilent = 5000;
  constexpr std::int64_t kFinish = 14000; // finish_s
  const auto submission = BatchJob(500, 1, 4000, 1);
  // A first job shows that such jobs are served.
  const auto first =
    co_await aWorld.Call(1, "POST", "/rounds/00000000000000c1", submission);
  const auto before = co_await WaitForState(
    aWorld, "rounds", "00000000000000c1", "completed", 15000);
  if (first.first != 200 || before != "completed") {
    co_return kCannotRun;
  }
  co_await aWorld.Pause(1500);
  if (aHasTrouble) {
    aWorld.SilenceVmService(kSilent);
  }
  aWorld.Operate("op/wave/1", WaveOf("vm-3"));
  co_await aWorld.Pause(16000); // the VM is back, and the service answers again
  const bool hadUpkeep = aWorld.HadUpkeep("vm-3", 1);
  const std::string job = "00000000000000c2";
  const auto second =
    co_await aWorld.Call(2, "POST", "/rounds/" + job, submission);
  if (second.first != 200 || !hadUpkeep) {
    co_return kCannotRun;
  }
  const auto state =
    co_await WaitForState(aWorld, "rounds", job, "completed", kFinish + 16000);
  aWorld.Log().Add("job " + job + " is shown as " + state +
                   "; starts: " + std::to_string(aWorld.StartsOf(job)));
  co_return state == "completed" ? kHeld : kBroken;
}

//-----------------------------------------------------------------------------
// [SECTION] A large job
//-----------------------------------------------------------------------------

Awaitable<int>
RunLargeJob(World& aWorld, bool aHasTrouble)
{
  constexpr int kSteps = 5;
  constexpr int kItems = 10000; // the most that is accepted in one step
  constexpr std::int64_t kFor = 70000;
  constexpr std::int64_t kFinish = 14000; // finish_s
  auto large = BatchJob(50, aHasTrouble ? kItems : 100, 100);
  for (int step = 1; step < kSteps; ++step) {
    auto next = large["steps"][0];
    next["after"] = json::array({ step - 1 });
    large["steps"].push_back(next);
  }
  const std::string job = "00000000000000d1";
  const auto first = co_await aWorld.Call(1, "POST", "/quotes/" + job, large);
  if (first.first != 200) {
    co_return kCannotRun;
  }
  const auto until = aWorld.NowMs() + kFor;
  std::string state;
  while (aWorld.NowMs() < until && aWorld.OversizedWrites() == 0 &&
         state != "completed") {
    co_await aWorld.Pause(2000);
    state = co_await aWorld.StateOf(2, "quotes", job);
    aWorld.Log().Add("starts: " + std::to_string(aWorld.StartsOf(job)) +
                     ", done: " + std::to_string(aWorld.Ends("done")));
  }
  const auto submission = BatchJob(500, 2, 1000);
  const std::string small = "00000000000000d2";
  const auto second =
    co_await aWorld.Call(2, "POST", "/quotes/" + small, submission);
  if (second.first != 200) {
    co_return kCannotRun;
  }
  const auto last =
    co_await WaitForState(aWorld, "quotes", small, "completed", 2 * kFinish);
  state = co_await aWorld.StateOf(2, "quotes", job);
  aWorld.Log().Add("the large job is shown as " + state +
                   ", the small one as " + last +
                   "; starts: " + std::to_string(aWorld.StartsOf(job)) +
                   " and " + std::to_string(aWorld.StartsOf(small)));
  co_return last == "completed" && state == "completed" ? kHeld : kBroken;
}

} // namespace

const std::map<std::string, Case>&
Cases()
{
  static const std::map<std::string, Case> kCases = {
    { "reset-worker", { StartSixWorkers, RunResetWorker } },
    { "crashes", { StartEightWorkers, RunCrashes } },
    { "large-job", { StartSixWorkers, RunLargeJob } },
    { "silent-vm-service", { StartPoolWithGpu, RunSilentVmService } },
  };
  return kCases;
}

} // namespace review
