// The cases of the review that are scripts.

#include "cases.hh"

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
WaveOf(const std::string& aVm, int aNumber = 1)
{
  json wave = { { "wave", aNumber }, { "duration_s", 24 }, { "max_count", 1 } };
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
// [SECTION] A job that has been repeated often
//-----------------------------------------------------------------------------

Awaitable<int>
RunRepeatedJob(World& aWorld, bool aHasTrouble)
{
  constexpr int kSteps = 5;
  constexpr int kItems = 32;
  constexpr int kRepeats = 400;
  constexpr int kFewRepeats = 6;
  constexpr std::int64_t kInterval = 100;
  constexpr std::int64_t kFor = 60000;
  constexpr std::int64_t kFinish = 14000; // finish_s
  auto repeated = BatchJob(20, kItems, 1000);
  for (int step = 1; step < kSteps; ++step) {
    auto next = repeated["steps"][0];
    next["after"] = json::array({ step - 1 });
    repeated["steps"].push_back(next);
  }
  repeated["repeat_count"] = aHasTrouble ? kRepeats : kFewRepeats;
  repeated["interval_ms"] = kInterval;
  repeated["first_run_ms"] = aWorld.UnixMs() + 500;
  const std::string job = "00000000000000d1";
  const auto first =
    co_await aWorld.Call(1, "POST", "/quotes/" + job, repeated);
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
  // Work of others follows.
  constexpr int kJobs = 8;
  const auto submission = BatchJob(50, 2000, 100);
  std::vector<std::string> others;
  for (int number = 0; number < kJobs; ++number) {
    others.push_back("00000000000001d" + std::to_string(number));
    const auto answer =
      co_await aWorld.Call(2, "POST", "/quotes/" + others.back(), submission);
    if (answer.first != 200) {
      co_return kCannotRun;
    }
  }
  const auto last = co_await WaitForState(
    aWorld, "quotes", others.back(), "completed", 2 * kFinish);
  state = co_await aWorld.StateOf(2, "quotes", job);
  int notStarted = 0;
  for (const auto& other : others) {
    notStarted += aWorld.StartsOf(other) == 0 ? 1 : 0;
  }
  const auto idle =
    aWorld.IdleSinceMs() > 0 ? aWorld.NowMs() - aWorld.IdleSinceMs() : 0;
  const auto [open, all] = aWorld.Unacknowledged(kFinish);
  aWorld.Log().Add(
    "the repeated job is shown as " + state + ", the last one as " + last +
    "; " + std::to_string(notStarted) + " of " + std::to_string(kJobs) +
    " jobs have not started; all workers idle for " + std::to_string(idle) +
    " ms; " + std::to_string(open) + " of " + std::to_string(all) +
    " ends are not taken note of after " + std::to_string(kFinish) + " ms");
  if (notStarted > 0 && idle > kFinish) {
    co_return kBroken;
  }
  co_return last == "completed" && state == "completed" ? kHeld : kCannotRun;
}

//-----------------------------------------------------------------------------
// [SECTION] Two holders order one VM
//-----------------------------------------------------------------------------

void
StartPoolWithStandby(World& aWorld)
{
  aWorld.Start({ { "dispatch" }, { "dispatch" }, { "admin" }, { "admin" } },
               ConfigOf({ QueueOf("quotes", "dispatch") },
                        { PoolOf("dispatch", false), PoolOf("admin", true) }));
}

Awaitable<bool>
WaitForOwner(World& aWorld, bool aIsFirst, std::int64_t aForMs)
{
  const auto until = aWorld.NowMs() + aForMs;
  while (aWorld.NowMs() < until) {
    const int owner = co_await aWorld.FindOwner();
    if (owner != 0 && (owner == 1) == aIsFirst) {
      aWorld.Log().Add("owner: entry " + std::to_string(owner));
      co_return true;
    }
    co_await aWorld.Pause(10);
  }
  co_return false;
}

// Waits until a wave is completed.
Awaitable<bool>
WaitForWave(World& aWorld, int aNumber, std::int64_t aForMs)
{
  const auto until = aWorld.NowMs() + aForMs;
  while (aWorld.NowMs() < until) {
    const auto status =
      co_await aWorld.ReadKey("status/wave/" + std::to_string(aNumber));
    if (status.find("completed") != std::string::npos) {
      co_return true;
    }
    co_await aWorld.Pause(100);
  }
  co_return false;
}

// Entry 1, which has more of a core than the others, is stopped and started
// again, as in a rolling restart.
Awaitable<bool>
Restart(World& aWorld)
{
  constexpr std::int64_t kExitTime = 2700;
  aWorld.ControlEntry("TERM", 1);
  const bool isTaken = co_await WaitForOwner(aWorld, false, 3000);
  co_await aWorld.Pause(kExitTime);
  aWorld.ControlEntry("START", 1);
  co_return isTaken;
}

// Orders for one VM by two holders within lease_ms, both of which had been in
// touch for contact_ms when the second one was sent.
int
CountTurns(World& aWorld)
{
  constexpr std::int64_t kLease = 3000;   // lease_ms
  constexpr std::int64_t kContact = 3000; // contact_ms
  int count = 0;
  const auto& orders = aWorld.Orders();
  const auto isInTouch = [&](const VmOrder& aOrder, std::int64_t aAtMs) {
    const int entry = aOrder.holder_.back() - '0';
    return aAtMs - aWorld.ControlledMs(entry) > kContact;
  };
  for (std::size_t later = 0; later < orders.size(); ++later) {
    for (std::size_t first = 0; first < later; ++first) {
      const auto& one = orders[first];
      const auto& two = orders[later];
      if (one.vm_ == two.vm_ && one.holder_ != two.holder_ &&
          two.atMs_ - one.atMs_ < kLease && isInTouch(one, two.atMs_) &&
          isInTouch(two, two.atMs_)) {
        ++count;
        aWorld.Log().Add("ONE: " + one.holder_ + " with token " + one.token_ +
                         " and " + two.holder_ + " with token " + two.token_ +
                         " ordered " + one.vm_ + " within " +
                         std::to_string(two.atMs_ - one.atMs_) +
                         " ms, both in touch");
      }
    }
  }
  return count;
}

Awaitable<int>
RunTwoHolders(World& aWorld, bool aHasTrouble)
{
  // Work that lasts fills the pool, so that more work needs one more VM.
  auto lasting = BatchJob(500, 4, 32000);
  lasting["spec"] = "lasts";
  lasting["steps"][0]["long_running"] = true;
  const auto fill =
    co_await aWorld.Call(1, "POST", "/quotes/00000000000000e1", lasting);
  if (fill.first != 200 || !co_await WaitForOwner(aWorld, true, 10000)) {
    co_return kCannotRun;
  }
  // Earlier orders of the first entry: two upkeeps, one after the other.
  aWorld.Operate("op/wave/1", WaveOf("vm-4", 1));
  if (!co_await WaitForWave(aWorld, 1, 10000)) {
    co_return kCannotRun;
  }
  aWorld.Operate("op/wave/2", WaveOf("vm-3", 2));
  if (!co_await WaitForWave(aWorld, 2, 10000)) {
    co_return kCannotRun;
  }
  co_await aWorld.Pause(4000);
  // After its first hand-over to the first entry, the second owner asks only
  // every 2 s whether that is back.
  if (aHasTrouble) {
    if (!co_await Restart(aWorld) ||
        !co_await WaitForOwner(aWorld, true, 8000)) {
      co_return kCannotRun;
    }
    co_await aWorld.Pause(5000);
  }
  const auto begin = aWorld.NowMs();
  if (aHasTrouble && !co_await Restart(aWorld)) {
    co_return kCannotRun;
  }
  constexpr std::int64_t kJobAt = 3800;
  co_await aWorld.Pause(begin + kJobAt - aWorld.NowMs());
  const auto submission = BatchJob(500, 1, 32000);
  const auto job =
    co_await aWorld.Call(2, "POST", "/quotes/00000000000000e2", submission);
  if (job.first != 200) {
    co_return kCannotRun;
  }
  if (!co_await WaitForOwner(aWorld, true, 3000)) {
    co_return kCannotRun;
  }
  co_await aWorld.Pause(200);
  aWorld.Operate("op/wave/3", WaveOf("vm-3", 3));
  co_await aWorld.Pause(10000);
  co_return CountTurns(aWorld) > 0 ? kBroken : kHeld;
}

//-----------------------------------------------------------------------------
// [SECTION] The owner is killed while many jobs wait
//-----------------------------------------------------------------------------

void
StartWithSlowLinks(World& aWorld)
{
  constexpr int kMbps = 10;
  aWorld.OpenLinks(kMbps);
  aWorld.Start(
    { { "planning" }, { "planning" }, { "planning" }, { "planning" } },
    ConfigOf({ QueueOf("rounds", "planning") }, { PoolOf("planning", false) }));
}

Awaitable<int>
RunBacklog(World& aWorld, bool aHasTrouble)
{
  constexpr int kJobs = 300;
  constexpr std::size_t kSpec = 4000;     // bytes, the most that is allowed
  constexpr std::int64_t kFinish = 14000; // finish_s
  constexpr std::int64_t kRestart = 600;
  constexpr std::int64_t kGap = 25; // between two submissions
  const auto full = BatchJob(12000, 8, 32000);
  const auto first =
    co_await aWorld.Call(1, "POST", "/rounds/00000000000000f0", full);
  if (first.first != 200 ||
      !co_await WaitForRun(aWorld, "00000000000000f0.0.0.0", 5000)) {
    co_return kCannotRun;
  }
  auto submission = BatchJob(300, 1, 8000);
  auto spec = submission["spec"].get<std::string>() + " ";
  spec.append(kSpec - spec.size(), 'x');
  submission["spec"] = spec;
  std::vector<std::string> jobs;
  for (int number = 0; number < kJobs; ++number) {
    const auto digits = std::to_string(1000 + number);
    const auto job = "0000000000001" + digits.substr(1);
    const auto answer = co_await aWorld.Call(
      number % kEntries + 1, "POST", "/rounds/" + job, submission);
    if (answer.first == 200) {
      jobs.push_back(job);
    }
    co_await aWorld.Pause(kGap);
  }
  aWorld.Log().Add(std::to_string(jobs.size()) + " jobs were accepted");
  if (aHasTrouble) {
    const int owner = co_await aWorld.FindOwner();
    aWorld.ControlEntry("KILL", owner);
    co_await aWorld.Pause(kRestart);
    aWorld.ControlEntry("START", owner);
  }
  const auto countStarted = [&] {
    int started = 0;
    for (const auto& job : jobs) {
      started += aWorld.StartsOf(job) > 0 ? 1 : 0;
    }
    return started;
  };
  const auto until = aWorld.NowMs() + 4 * kFinish;
  while (aWorld.NowMs() < until &&
         countStarted() < static_cast<int>(jobs.size())) {
    co_await aWorld.Pause(2000);
    aWorld.Log().Add("started: " + std::to_string(countStarted()) + " of " +
                     std::to_string(jobs.size()));
  }
  const auto idle =
    aWorld.IdleSinceMs() > 0 ? aWorld.NowMs() - aWorld.IdleSinceMs() : 0;
  const auto state =
    co_await WaitForState(aWorld, "rounds", jobs.back(), "completed", 3000);
  aWorld.Log().Add("started: " + std::to_string(countStarted()) + " of " +
                   std::to_string(jobs.size()) + "; all workers idle for " +
                   std::to_string(idle) + " ms; the last job is shown as " +
                   state);
  if (countStarted() < static_cast<int>(jobs.size()) && idle > kFinish) {
    co_return kBroken;
  }
  co_return state == "completed" ? kHeld : kCannotRun;
}

//-----------------------------------------------------------------------------
// [SECTION] An owner that is cut off from the store
//-----------------------------------------------------------------------------

void
StartEightWorkers(World& aWorld)
{
  aWorld.OpenLinks(0);
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

// The first worker crashes just before a heartbeat, so that its entry is
// removed before it is back, and it is back just before the second occurrence
// of a job is due. Meanwhile the owner is cut off from the store.
Awaitable<int>
RunCutOwner(World& aWorld, bool aHasTrouble)
{
  constexpr std::int64_t kInterval = 9000;
  constexpr std::int64_t kHeartbeat = 1500;
  constexpr std::int64_t kBeats = 6;
  constexpr std::int64_t kDown = 4300;
  constexpr std::int64_t kBackBefore = 20; // before the occurrence is due
  constexpr std::int64_t kCutBefore = 3600;
  constexpr std::int64_t kCut = 5500;
  constexpr std::int64_t kNearBeat = 1400; // after the last heartbeat
  auto& vm = *aWorld.Vms().front();
  const auto crashAt = vm.reportedMs_ + kBeats * kHeartbeat + kNearBeat;
  const auto due = crashAt + kDown + kBackBefore;
  auto timed = BatchJob(1500, 1, 8000);
  timed["repeat_count"] = 3;
  timed["first_run_ms"] = aWorld.UnixMs() + (due - kInterval - aWorld.NowMs());
  timed["interval_ms"] = kInterval;
  const std::string job = "00000000000000f1";
  const auto answer = co_await aWorld.Call(1, "POST", "/rounds/" + job, timed);
  if (answer.first != 200) {
    co_return kCannotRun;
  }
  if (aHasTrouble) {
    co_await aWorld.Pause(crashAt - aWorld.NowMs());
    aWorld.Crash(vm, due - kBackBefore);
    co_await aWorld.Pause(due - kCutBefore - aWorld.NowMs());
    const int owner = co_await aWorld.FindOwner();
    aWorld.Log().Add("entry " + std::to_string(owner) +
                     ", the owner, is cut off from the store for " +
                     std::to_string(kCut) + " ms");
    auto& link = aWorld.LinkOf(owner);
    link.SetSilent(true);
    co_await aWorld.Pause(kCut);
    link.SetSilent(false);
  }
  const auto state =
    co_await WaitForState(aWorld, "rounds", job, "completed", 40000);
  aWorld.Log().Add("double runs: " + std::to_string(aWorld.DoubleRuns()));
  if (aWorld.DoubleRuns() > 0) {
    co_return kBroken;
  }
  co_return state == "completed" ? kHeld : kCannotRun;
}

} // namespace

const std::map<std::string, Case>&
Cases()
{
  static const std::map<std::string, Case> kCases = {
    { "reset-worker", { StartSixWorkers, RunResetWorker } },
    { "repeated-job", { StartSixWorkers, RunRepeatedJob } },
    { "backlog", { StartWithSlowLinks, RunBacklog } },
    { "cut-owner", { StartEightWorkers, RunCutOwner } },
    { "two-holders", { StartPoolWithStandby, RunTwoHolders } },
    { "silent-vm-service", { StartPoolWithGpu, RunSilentVmService } },
  };
  return kCases;
}

} // namespace review
