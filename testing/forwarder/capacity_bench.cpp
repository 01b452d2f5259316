// Measures what one entry costs as the fleet grows, for docs/CAPACITY.md.
//
//   capacity_bench          prints the table of that page
//   capacity_bench --check  checks the bounds on memory and frame size; these
//                           do not depend on the machine's speed
//
// For each fleet size it builds one entry with the state that it has in such a
// fleet, and measures the size of its state, the processor time of its events
// and the size of its frames.

#include <chrono>
#include <cstdio>
#include <cstring>
#include <string>

#include <malloc.h>

#include "agreement.h"
#include "coordinator.h"
#include "cuminbridge/wire.h"
#include "permits.h"

using namespace cuminbridge::forwarder;

namespace {

struct Size
{
  int vms_;
  int pools_;
  int accounts_;
  int entries_;
};

constexpr Size kSizes[] = {
  { 50, 5, 6, 6 },
  { 650, 10, 20, 12 },
  { 3250, 25, 60, 30 },
  { 13000, 57, 170, 60 },
};

constexpr int kEvents = 20000;
constexpr std::uint64_t kSelfIncarnation = 7;

std::size_t
HeapBytes()
{
  return mallinfo2().uordblks;
}

double
NowInNanoseconds()
{
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e9 +
         static_cast<double>(now.tv_nsec);
}

std::string
NameEntry(int aIndex)
{
  return "10.1." + std::to_string(aIndex / 200) + "." +
         std::to_string(1 + aIndex % 200) + ":7080";
}

ConfigPtr
MakeConfig(const Size& aSize)
{
  ConfigBuilder builder;
  builder.SetTicket(100, Sha256Hex("ticket"));
  std::vector<PoolConfig> pools(static_cast<std::size_t>(aSize.pools_));
  for (int vm = 0; vm < aSize.vms_; ++vm) {
    pools[static_cast<std::size_t>(vm % aSize.pools_)].vms_.push_back(
      "10.2." + std::to_string(vm / 200) + "." + std::to_string(1 + vm % 200));
  }
  for (std::size_t i = 0; i < pools.size(); ++i) {
    pools[i].name_ = "pool-" + std::to_string(i);
    pools[i].changedIn_ = 1;
    builder.SetPool(std::make_shared<const PoolConfig>(pools[i]));
  }
  for (int i = 0; i < aSize.accounts_; ++i) {
    AccountConfig account;
    account.name_ = "account-" + std::to_string(i);
    account.keys_ = { HashKey("key-" + std::to_string(i)) };
    account.limit_ = std::max(8, 8 * aSize.vms_ / aSize.accounts_);
    account.changedIn_ = 1;
    builder.SetAccount(std::make_shared<const AccountConfig>(account));
  }
  return builder.Build();
}

SnapshotPtr
MakeSnapshot(const Size& aSize, std::int64_t aRevision)
{
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->revision_ = aRevision;
  for (int i = 0; i < aSize.entries_; ++i) {
    snapshot->members_.push_back(
      { NameEntry(i), kSelfIncarnation, NameEntry(i), "dc", true });
  }
  snapshot->config_ = MakeConfig(aSize);
  return snapshot;
}

// One entry with a configuration in force, peers that it has heard and permits
// that it holds.
struct Bench
{
  Size size_;
  EntryPtr entry_;
  TimePoint now_{ std::chrono::hours(1) };
  Effects effects_;
  RequestId nextRequest_ = 1;

  explicit Bench(const Size& aSize)
    : size_(aSize)
  {
    EntryOptions options;
    options.self_ = {
      NameEntry(0), kSelfIncarnation, NameEntry(0), "dc", true
    };
    entry_ = MakeEntry(options, now_);
    Submit(Tick{});
    EventContext turn{ *entry_, now_, effects_ };
    Adopt(turn, MakeSnapshot(aSize, 10), "bench");
    for (int i = 1; i < aSize.entries_; ++i) {
      Submit(FromPeer(i, Heartbeat{}));
      Submit(FromPeer(i, HeartbeatAck{ 1, 10, 100, {} }));
    }
    LedgerUpdate note{ 5, 100, {} };
    for (int i = 0; i < aSize.accounts_; ++i) {
      const std::string name = "account-" + std::to_string(i);
      note.issued_[name] = 8;
      cuminbridge::forwarder::FindOrCreateAccount(*entry_, name).held_ = 8;
    }
    Submit(FromPeer(1, note));
  }

  void Submit(const Event& aEvent)
  {
    effects_.clear();
    Reduce(*entry_, aEvent, now_, effects_);
  }

  PeerFrame FromPeer(int aPeer, PeerMessage aMessage) const
  {
    return { NameEntry(aPeer),
             kSelfIncarnation,
             NameEntry(aPeer),
             "dc",
             std::move(aMessage) };
  }

  RequestArrived NextRequest()
  {
    const RequestId id = nextRequest_++;
    RequestArrived arrived;
    arrived.id_ = id;
    arrived.pool_ = "pool-" + std::to_string(id % size_.pools_);
    arrived.keyHash_ = keys_[id % static_cast<std::size_t>(size_.accounts_)];
    arrived.replayable_ = true;
    return arrived;
  }

  std::vector<std::string> keys_ = MakeKeys(size_.accounts_);

  static std::vector<std::string> MakeKeys(int aAccounts)
  {
    std::vector<std::string> keys;
    keys.reserve(static_cast<std::size_t>(aAccounts));
    for (int i = 0; i < aAccounts; ++i) {
      keys.push_back(HashKey("key-" + std::to_string(i)));
    }
    return keys;
  }
};

// The mean processor time of one call, in nanoseconds, over aTimes calls.
template<typename Work>
double
Measure(int aTimes, Work aWork)
{
  const double from = NowInNanoseconds();
  for (int i = 0; i < aTimes; ++i) {
    aWork();
  }
  return (NowInNanoseconds() - from) / aTimes;
}

std::size_t
FrameBytes(const PeerMessage& aMessage)
{
  const Member self{ NameEntry(0), kSelfIncarnation, NameEntry(0), "dc", true };
  return EncodeFrame(self, aMessage).size();
}

struct Result
{
  std::size_t stateBytes_;
  double requestNanoseconds_;
  double tickNanoseconds_;
  double beatNanoseconds_; // a heartbeat and its answer, with encoding
  double ticketNanoseconds_;
  std::size_t idleBeatBytes_; // a heartbeat without account use
  std::size_t busyBeatBytes_; // with the use of all accounts
  std::size_t ackBytes_;
  std::size_t ticketBytes_; // a ticket that changes one pool
  std::size_t wholeBytes_;  // the whole configuration
  double framesAnInterval_; // heartbeats and answers, sent and received
};

double
MeasureRequest(Bench& aBench)
{
  return Measure(kEvents, [&] {
    const RequestArrived arrived = aBench.NextRequest();
    aBench.Submit(arrived);
    ExchangeEnded ended;
    ended.id_ = arrived.id_;
    aBench.Submit(ended);
  });
}

double
MeasureBeat(Bench& aBench)
{
  const Member self{ NameEntry(0), kSelfIncarnation, NameEntry(0), "dc", true };
  Heartbeat beat;
  beat.sequence_ = 1;
  return Measure(kEvents / 10, [&] {
    const std::string bytes = EncodeFrame(self, beat);
    const auto frame = DecodeFrame(bytes);
    aBench.Submit(aBench.FromPeer(1, frame.value().message_));
    aBench.Submit(aBench.FromPeer(1, HeartbeatAck{ 1, 10, 100, {} }));
  });
}

// The frame with a ticket that changes one pool, as the entry sends it at which
// the ticket was filed.
ConfigReply
MakeTicketNews(const Size& aSize, std::int64_t aRevision, std::int64_t aNumber)
{
  PoolConfig pool = *MakeConfig(aSize)->pools_.at("pool-0");
  pool.changedIn_ = aNumber;
  ConfigReply news;
  news.inForce_.revision_ = aRevision;
  news.inForce_.number_ = aNumber;
  news.inForce_.sinceNumber_ = aNumber - 1;
  news.inForce_.digest_ = Sha256Hex("next");
  news.inForce_.members_ = MakeSnapshot(aSize, 1)->members_;
  news.inForce_.pools_.push_back(std::move(pool));
  return news;
}

Result
Run(const Size& aSize)
{
  Result result{};
  const std::size_t before = HeapBytes();
  Bench bench(aSize);
  result.stateBytes_ = HeapBytes() - before;
  result.idleBeatBytes_ = FrameBytes(Heartbeat{ 1000, {} });
  result.requestNanoseconds_ = MeasureRequest(bench);
  bench.now_ += std::chrono::milliseconds(10);
  result.tickNanoseconds_ = Measure(kEvents / 10, [&] {
    bench.now_ += std::chrono::microseconds(1);
    bench.Submit(Tick{});
  });
  result.beatNanoseconds_ = MeasureBeat(bench);

  // The longest heartbeat: it reports as many accounts as it may.
  Heartbeat busy;
  for (int i = 0; i < aSize.accounts_; ++i) {
    FindOrCreateAccount(*bench.entry_, "account-" + std::to_string(i))
      .waiting_ = 1000;
  }
  busy.accounts_ = ReportAccountUse(*bench.entry_);
  result.busyBeatBytes_ = FrameBytes(busy);
  result.ackBytes_ = FrameBytes(HeartbeatAck{ 1000, 10, 100, {} });
  result.ticketBytes_ = FrameBytes(MakeTicketNews(aSize, 11, 101));
  result.wholeBytes_ =
    FrameBytes(ConfigReply{ MakeDelta(*MakeSnapshot(aSize, 1), -1), {} });
  std::int64_t revision = 10;
  constexpr int kTickets = 50;
  std::vector<ConfigReply> news;
  for (int i = 0; i < kTickets; ++i) {
    ++revision;
    news.push_back(MakeTicketNews(aSize, revision, 90 + revision));
  }
  std::size_t next = 0;
  result.ticketNanoseconds_ =
    Measure(kTickets, [&] { bench.Submit(bench.FromPeer(1, news[next++])); });
  result.framesAnInterval_ = 4.0 * (aSize.entries_ - 1);
  return result;
}

void
Print(const Size& aSize, const Result& aResult)
{
  std::printf("| %5d | %2d | %3d | %2d | %7zu | %5.0f | %6.1f | %5.1f | %6.2f "
              "| %5zu | %6zu | %4zu | %6zu | %7zu |\n",
              aSize.vms_,
              aSize.pools_,
              aSize.accounts_,
              aSize.entries_,
              aResult.stateBytes_ / 1024,
              aResult.requestNanoseconds_,
              aResult.tickNanoseconds_ / 1000,
              aResult.beatNanoseconds_ / 1000,
              aResult.ticketNanoseconds_ / 1e6,
              aResult.idleBeatBytes_,
              aResult.busyBeatBytes_,
              aResult.ackBytes_,
              aResult.ticketBytes_,
              aResult.wholeBytes_);
}

// Checks against half of each bound (64 MiB of state, kMaxFrameBytes for a
// frame), so that the other half remains as reserve. Returns the number of
// violations.
int
Check(const Result& aLargest)
{
  constexpr std::size_t kStateBound = 64ULL * 1024 * 1024 / 2;
  int violations = 0;
  if (aLargest.stateBytes_ > kStateBound) {
    std::printf("FAILED: state of %zu bytes\n", aLargest.stateBytes_);
    ++violations;
  }
  if (aLargest.wholeBytes_ > kMaxFrameBytes / 2) {
    std::printf("FAILED: configuration of %zu bytes\n", aLargest.wholeBytes_);
    ++violations;
  }
  return violations;
}

} // namespace

int
main(int argc, char** argv)
{
  const bool isCheck = argc > 1 && std::strcmp(argv[1], "--check") == 0;
  if (isCheck) {
    return Check(Run(kSizes[std::size(kSizes) - 1]));
  }
  std::printf("| VMs | pools | accounts | entries | state KiB | request ns | "
              "tick us | heartbeat us | ticket ms | idle beat B | busy beat B "
              "| ack B | ticket B | whole B |\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | "
              "--- | --- | --- | --- |\n");
  for (const Size& size : kSizes) {
    Print(size, Run(size));
  }
  return 0;
}
