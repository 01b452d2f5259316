// Randomized soak test. Entries and the platform's stand-in run as real
// processes on loopback, with a proxy between them, while faults are injected
// from outside.
//
//   soak BUILD --first 1 --seeds 50 --seconds 20 --entries 4
//
// Each seed starts all processes afresh, injects overlapping faults into links
// and processes, clears them, and then checks what became of every job. Prints
// one line for each seed. Exits with 1 if a seed had a violation, and keeps the
// logs of such seeds.

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include "callers.h"
#include "links.h"
#include "processes.h"

namespace cuminbridge::soak {

namespace asio = boost::asio;

namespace {

constexpr int kVms = 8;
constexpr int kFirstVm = 11; // last number of the first target's address
constexpr int kHighestLimit = 50000; // of the client account
constexpr Millis kStartLimit(20000);
constexpr Millis kFinalStateLimit(60000);

// A fault of a target that the stand-in can be ordered to make.
struct TargetFault
{
  const char* name_; // as the stand-in calls it
  int leastMs_;
  int mostMs_;
  bool isCrash_;
};

// Leases lapse within the longer ones, and entries of targets in the store.
const TargetFault kTargetFaults[] = { { "restart", 300, 3000, true },
                                      { "replace", 1000, 6000, true },
                                      { "freeze", 500, 6000, false },
                                      { "silence", 3500, 8000, false } };

struct Options
{
  std::string build_;  // build folder
  std::string daemon_; // the daemon's program
  unsigned first_ = 1; // first seed
  unsigned seeds_ = 1; // number of seeds
  int seconds_ = 10;   // time of fault injection for each seed
  int entries_ = 4;    // number of entries
};

// The loopback addresses of one soak. A listening socket keeps other soaks away
// from them, so that several can run at once.
class Network
{
public:
  explicit Network(asio::io_context& aIo); // throws if none is free

  // The first three numbers of the addresses of each kind.
  std::string platform_; // the platform's stand-in
  std::string stores_;   // one link to the store for each entry
  std::string targets_;  // one link to each target
  std::string entries_;

private:
  asio::ip::tcp::acceptor lock_;
};

Network::Network(asio::io_context& aIo)
  : lock_(aIo)
{
  constexpr int kLast = 250;
  for (int number = 1; number <= kLast; ++number) {
    const auto base = "127." + std::to_string(number) + '.';
    const auto endpoint = ReadEndpoint(base + "60.1:7400");
    boost::system::error_code error;
    lock_.open(endpoint.protocol());
    lock_.bind(endpoint, error);
    if (!error) {
      lock_.listen(1, error);
    }
    if (!error) {
      platform_ = base + "61";
      stores_ = base + "62";
      targets_ = base + "63";
      entries_ = base + "64";
      return;
    }
    lock_.close();
  }
  throw std::runtime_error("no loopback network is free for the soak");
}

class Soak
{
public:
  Soak(const Options& aOptions, unsigned aSeed);

  std::vector<std::string> Run(); // returns the violations, one line each
  std::string Summary() const { return callers_.Summary(); }
  const std::string& Folder() const { return folder_; }

private:
  Awaitable<void> RunScenario();
  Awaitable<bool> WaitUntilReady();
  Awaitable<void> RunCallers();
  Awaitable<void> InjectFaults();
  Awaitable<void> RestartEntry(std::size_t aEntry);
  Awaitable<void> PauseEntry(std::size_t aEntry);
  Awaitable<void> ChangeConfig(int aLimit); // of the client account
  Awaitable<void> BreakTarget();
  Awaitable<void> Order(std::string aHost,
                        std::string aPath,
                        std::string aBody);
  Awaitable<void> CollectViolations();
  void InjectLinkFaults();
  void ClearFaults();
  void WriteSettings(int aEntry) const;
  Awaitable<void> Wait(Millis aTime);
  Millis RandomTime(int aLeast, int aMost);
  int RandomLimit();
  void LogFault(const std::string& aWhat);
  template<typename Task>
  void Spawn(Task aTask);

  Options options_;
  std::string folder_;
  std::mt19937 random_;
  asio::io_context io_{ 1 };
  Network network_{ io_ };
  HttpClient http_{ io_, HttpClientOptions{} };
  Process standin_;
  std::vector<std::unique_ptr<Process>> entries_;
  std::vector<std::unique_ptr<Link>> stores_;
  std::vector<std::unique_ptr<Link>> targets_;
  Callers callers_;
  std::ofstream faultLog_;
  std::vector<std::string> violations_;
  int configVersion_ = 3; // the version that the stand-in starts with
  int runningTasks_ = 0;
  bool isInjectionOver_ = false; // no new faults or submissions
};

std::vector<std::string>
CallerAddresses(const Network& aNetwork, int aEntries)
{
  std::vector<std::string> addresses;
  for (int entry = 1; entry <= aEntries; ++entry) {
    addresses.push_back(aNetwork.entries_ + '.' + std::to_string(entry) +
                        ":8340");
  }
  return addresses;
}

Soak::Soak(const Options& aOptions, unsigned aSeed)
  : options_(aOptions)
  , folder_("/tmp/cuminbridge-soak-" + std::to_string(getpid()) + '-' +
            std::to_string(aSeed))
  , random_(aSeed)
  , standin_({ aOptions.build_ + "/platform/platform_standin",
               network_.platform_,
               network_.targets_,
               std::to_string(aSeed) },
             folder_ + "/standin.log")
  , callers_(io_, CallerAddresses(network_, aOptions.entries_), aSeed)
{
  std::filesystem::create_directories(folder_);
  faultLog_.open(folder_ + "/faults.log");
  for (int entry = 1; entry <= aOptions.entries_; ++entry) {
    const auto number = std::to_string(entry);
    WriteSettings(entry);
    entries_.push_back(std::make_unique<Process>(
      std::vector<std::string>{ aOptions.daemon_,
                                "--settings",
                                folder_ + "/entry-" + number + ".conf" },
      folder_ + "/entry-" + number + ".log"));
    stores_.push_back(
      std::make_unique<Link>(io_,
                             network_.stores_ + '.' + number + ":7400",
                             network_.platform_ + ".1:7400"));
  }
  for (int vm = 0; vm < kVms; ++vm) {
    const auto number = std::to_string(kFirstVm + vm);
    targets_.push_back(
      std::make_unique<Link>(io_,
                             network_.targets_ + '.' + number + ":7500",
                             network_.platform_ + '.' + number + ":7500"));
  }
}

void
Soak::WriteSettings(int aEntry) const
{
  const auto number = std::to_string(aEntry);
  const auto ip = network_.entries_ + '.' + number;
  std::ofstream file(folder_ + "/entry-" + number + ".conf");
  file << "node_name=entry-" << number << "\nip=" << ip
       << "\nzone=demo-a\nlisten.front=" << ip << ":8340\nlisten.ready=" << ip
       << ":8343\ninternal_ports=7000,7015\nadvice=" << network_.platform_
       << ".3:7400\nplatform.address=" << network_.stores_ << '.' << number
       << ":7400\ncloud.address=" << network_.platform_
       << ".2:7400\nbounds.migrate_s=0.4\n";
}

Awaitable<void>
Soak::Wait(Millis aTime)
{
  asio::steady_timer timer(io_, aTime);
  co_await timer.async_wait(asio::use_awaitable);
}

Millis
Soak::RandomTime(int aLeast, int aMost)
{
  return Millis(std::uniform_int_distribution<int>(aLeast, aMost)(random_));
}

int
Soak::RandomLimit()
{
  constexpr int kStep = 10000;
  return kHighestLimit - kStep * static_cast<int>(random_() % 4);
}

void
Soak::LogFault(const std::string& aWhat)
{
  const auto now = SystemClocks().TimeOfDay().time_since_epoch().count();
  faultLog_ << now << ' ' << aWhat << std::endl;
}

template<typename Task>
void
Soak::Spawn(Task aTask)
{
  ++runningTasks_;
  asio::co_spawn(
    io_,
    [this, aTask]() -> Awaitable<void> {
      co_await aTask();
      --runningTasks_;
    },
    asio::detached);
}

//-----------------------------------------------------------------------------
// [SECTION] Faults
//-----------------------------------------------------------------------------

void
Soak::InjectLinkFaults()
{
  // Long enough that leases lapse and the owner changes.
  constexpr int kLongestMs = 4000;
  const auto fault = static_cast<LinkFault>(1 + random_() % 6);
  const auto time = RandomTime(200, kLongestMs);
  const auto inject = [&](Link& aLink) {
    LogFault(std::string(NameOf(fault)) + ' ' + aLink.Name() + " for " +
             std::to_string(time.count()) + " ms");
    aLink.InjectFault(fault, time);
  };
  const auto injectIntoSeveralTargets = [&] {
    for (auto& link : targets_) {
      if (random_() % 2 == 0) {
        inject(*link);
      }
    }
  };
  switch (random_() % 6) {
    case 0: // all entries' links to the store
      for (auto& link : stores_) {
        inject(*link);
      }
      break;
    case 1: // one entry's link to the store
      inject(*stores_[random_() % stores_.size()]);
      break;
    case 2: // a rack is cut off
      injectIntoSeveralTargets();
      break;
    case 3: // a data centre is cut off, with the links to the store from there
      injectIntoSeveralTargets();
      for (std::size_t entry = random_() % 2; entry < stores_.size();
           entry += 2) {
        inject(*stores_[entry]);
      }
      break;
    default: // links to two targets, or twice the same one
      inject(*targets_[random_() % targets_.size()]);
      inject(*targets_[random_() % targets_.size()]);
  }
}

Awaitable<void>
Soak::RestartEntry(std::size_t aEntry)
{
  const int signal = random_() % 2 == 0 ? SIGKILL : SIGTERM;
  LogFault((signal == SIGKILL ? "kill entry-" : "stop entry-") +
           std::to_string(aEntry + 1));
  entries_[aEntry]->Signal(signal);
  while (entries_[aEntry]->IsRunning()) {
    co_await Wait(Millis(20));
  }
  if (signal == SIGTERM && entries_[aEntry]->ExitCode() > 0) {
    violations_.push_back("entry-" + std::to_string(aEntry + 1) +
                          " exited after SIGTERM with code " +
                          std::to_string(entries_[aEntry]->ExitCode()));
  }
  co_await Wait(RandomTime(50, 2000));
  entries_[aEntry]->Start();
}

Awaitable<void>
Soak::PauseEntry(std::size_t aEntry)
{
  LogFault("pause entry-" + std::to_string(aEntry + 1));
  entries_[aEntry]->Signal(SIGSTOP);
  co_await Wait(RandomTime(100, 5000));
  entries_[aEntry]->Signal(SIGCONT);
}

// An order of an operator, which the stand-in carries out.
Awaitable<void>
Soak::Order(std::string aHost, std::string aPath, std::string aBody)
{
  LogFault(aPath + ' ' + aBody);
  HttpCall call;
  call.method_ = "POST";
  call.path_ = std::move(aPath);
  call.body_ = std::move(aBody);
  co_await http_.Call(network_.platform_ + aHost + ":7400", std::move(call));
}

// Files a new configuration version with another limit.
Awaitable<void>
Soak::ChangeConfig(int aLimit)
{
  const nlohmann::json order = { { "version", ++configVersion_ },
                                 { "cpu", aLimit } };
  co_await Order(".1", "/operator/limit", order.dump());
}

Awaitable<void>
Soak::BreakTarget()
{
  const auto& fault = kTargetFaults[random_() % std::size(kTargetFaults)];
  const auto vm = random_() % kVms;
  const auto time = RandomTime(fault.leastMs_, fault.mostMs_);
  if (fault.isCrash_) {
    // The process alone ends, or all of its VM.
    targets_[vm]->InjectFault(
      random_() % 2 == 0 ? LinkFault::Refuse : LinkFault::Vanish, time);
  }
  const nlohmann::json order = { { "machine", "vm-" + std::to_string(vm + 1) },
                                 { "fault", fault.name_ },
                                 { "ms", time.count() } };
  co_await Order(".2", "/operator/target", order.dump());
}

Awaitable<void>
Soak::InjectFaults()
{
  const auto until =
    SystemClocks().Now() + std::chrono::seconds(options_.seconds_);
  while (SystemClocks().Now() < until) {
    const auto entry = random_() % entries_.size();
    switch (random_() % 9) {
      case 0:
        Spawn([this, entry] { return RestartEntry(entry); });
        break;
      case 1:
        Spawn([this, entry] { return PauseEntry(entry); });
        break;
      case 2:
        Spawn([this] { return ChangeConfig(RandomLimit()); });
        break;
      case 3:
      case 4:
      case 5:
        Spawn([this] { return BreakTarget(); });
        break;
      default:
        InjectLinkFaults();
    }
    co_await Wait(RandomTime(100, 1500));
  }
  isInjectionOver_ = true;
}

void
Soak::ClearFaults()
{
  for (auto* links : { &stores_, &targets_ }) {
    for (auto& link : *links) {
      link->ClearFault();
    }
  }
  for (auto& entry : entries_) {
    entry->Signal(SIGCONT);
    entry->Start();
  }
  LogFault("all faults cleared");
}

//-----------------------------------------------------------------------------
// [SECTION] Scenario
//-----------------------------------------------------------------------------

Awaitable<void>
Soak::RunCallers()
{
  while (!isInjectionOver_) {
    Spawn([this] { return callers_.SubmitOne(); });
    if (random_() % 8 == 0) {
      Spawn([this] { return callers_.CancelOne(); });
    }
    Spawn([this] { return callers_.ReadOne(); });
    co_await Wait(RandomTime(20, 200));
  }
}

Awaitable<bool>
Soak::WaitUntilReady()
{
  const auto until = SystemClocks().Now() + kStartLimit;
  for (int entry = 1; entry <= options_.entries_; ++entry) {
    HttpReply reply;
    while (!reply.IsAnswered() || reply.status_ != 200) {
      if (SystemClocks().Now() > until) {
        co_return false;
      }
      co_await Wait(Millis(50));
      HttpCall call;
      call.path_ = "/readiness";
      reply = co_await http_.Call(
        network_.entries_ + '.' + std::to_string(entry) + ":8343", call);
    }
  }
  co_return true;
}

Awaitable<void>
Soak::CollectViolations()
{
  HttpCall call;
  call.path_ = "/judge";
  const auto reply = co_await http_.Call(network_.platform_ + ".2:7400", call);
  const auto body = nlohmann::json::parse(reply.body_, nullptr, false);
  if (!body.is_object()) {
    violations_.emplace_back(
      "the stand-in did not answer /judge with a JSON object");
    co_return;
  }
  for (const auto& violation : body.at("faults")) {
    violations_.push_back(violation.get<std::string>());
  }
  for (auto& violation :
       callers_.Violations(body.at("started").get<std::set<std::string>>())) {
    violations_.push_back(std::move(violation));
  }
}

Awaitable<void>
Soak::RunScenario()
{
  if (!co_await WaitUntilReady()) {
    violations_.emplace_back("the entries were not ready in time");
    co_return;
  }
  Spawn([this] { return RunCallers(); });
  Spawn([this] { return InjectFaults(); });
  while (runningTasks_ > 0) {
    co_await Wait(Millis(20));
  }
  ClearFaults();
  // The lowest limit alone would keep the backlog waiting for longer.
  co_await ChangeConfig(kHighestLimit);
  co_await callers_.PollUntilFinal(kFinalStateLimit);
  co_await CollectViolations();
}

std::vector<std::string>
Soak::Run()
{
  standin_.Start();
  for (auto& links : { &stores_, &targets_ }) {
    for (auto& link : *links) {
      link->Open();
    }
  }
  for (auto& entry : entries_) {
    entry->Start();
  }
  bool isDone = false;
  asio::co_spawn(
    io_,
    [&]() -> Awaitable<void> {
      co_await RunScenario();
      isDone = true;
    },
    asio::detached);
  while (!isDone) {
    io_.run_one();
  }
  return violations_;
}

Options
ReadOptions(int aCount, char** aArguments)
{
  TCLAP::CmdLine command(
    "soak: injects random faults, by seed, and checks every job", ' ', "1");
  TCLAP::ValueArg<unsigned> first(
    "", "first", "first seed", false, 1, "N", command);
  TCLAP::ValueArg<unsigned> seeds(
    "", "seeds", "number of seeds", false, 1, "N", command);
  TCLAP::ValueArg<int> seconds("",
                               "seconds",
                               "seconds of fault injection for each seed",
                               false,
                               10,
                               "N",
                               command);
  TCLAP::ValueArg<int> entries(
    "", "entries", "number of entry processes", false, 4, "N", command);
  TCLAP::ValueArg<std::string> daemon("",
                                      "daemon",
                                      "the daemon's program (of BUILD)",
                                      false,
                                      "",
                                      "FILE",
                                      command);
  TCLAP::UnlabeledValueArg<std::string> build(
    "build", "build folder", true, "", "BUILD", command);
  command.parse(aCount, aArguments);
  return { build.getValue(),
           daemon.isSet() ? daemon.getValue()
                          : build.getValue() + "/packages/daemon/cuminbridge",
           first.getValue(),
           seeds.getValue(),
           seconds.getValue(),
           entries.getValue() };
}

int
RunSoak(const Options& aOptions)
{
  int failedSeeds = 0;
  for (unsigned seed = aOptions.first_;
       seed < aOptions.first_ + aOptions.seeds_;
       ++seed) {
    Soak soak(aOptions, seed);
    const auto violations = soak.Run();
    std::cout << "seed " << seed << ": " << soak.Summary() << ", "
              << violations.size() << " violations" << std::endl;
    for (const auto& violation : violations) {
      std::cout << "  " << violation << std::endl;
    }
    if (violations.empty()) {
      std::filesystem::remove_all(soak.Folder());
    } else {
      std::cout << "  logs: " << soak.Folder() << std::endl;
      ++failedSeeds;
    }
  }
  std::cout << aOptions.seeds_ << " seeds, " << failedSeeds
            << " with a violation" << std::endl;
  return failedSeeds > 0 ? 1 : 0;
}

} // namespace

} // namespace cuminbridge::soak

int
main(int argc, char** argv)
{
  try {
    return cuminbridge::soak::RunSoak(
      cuminbridge::soak::ReadOptions(argc, argv));
  } catch (const std::exception& failure) {
    std::cerr << "soak: " << failure.what() << std::endl;
    return 2;
  }
}
