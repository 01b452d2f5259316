// A randomized soak: entries and the platform's stand-in as real processes on
// loopback, a proxy between them, and faults from outside.
//
//   soak BUILD --first 1 --seeds 50 --seconds 20 --entries 4
//
// Each seed starts everything anew, disturbs links and processes in series that
// overlap, lets all heal, and then asks what became of every job. Prints one
// line for each seed; ends with 1 if any had a fault, and keeps its logs.

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

const std::string kPlatform = "127.0.61"; // the stand-in
const std::string kStores = "127.0.62";   // a link to the store for each entry
const std::string kTargets = "127.0.63";  // a link to each target
const std::string kEntries = "127.0.64";
constexpr int kVms = 8;
constexpr int kFirstVm = 11; // last number of the first target's address
constexpr Millis kStartLimit(20000);
constexpr Millis kSettleLimit(60000);

struct Options
{
  std::string build_;
  unsigned first_ = 1;
  unsigned seeds_ = 1;
  int seconds_ = 10;
  int entries_ = 4;
};

class Soak
{
public:
  Soak(const Options& aOptions, unsigned aSeed);

  std::vector<std::string> Run(); // its faults
  std::string Summary() const { return callers_.Summary(); }
  const std::string& Folder() const { return folder_; }

private:
  Awaitable<void> Play();
  Awaitable<bool> WaitUntilReady();
  Awaitable<void> KeepCalling();
  Awaitable<void> KeepDisturbing();
  Awaitable<void> EndEntry(std::size_t aEntry);
  Awaitable<void> PauseEntry(std::size_t aEntry);
  Awaitable<void> ChangeConfig();
  Awaitable<void> Judge();
  void DisturbLinks();
  void HealAll();
  void WriteSettings(int aEntry) const;
  Awaitable<void> Wait(Millis aTime);
  Millis DrawTime(int aLeast, int aMost);
  void Note(const std::string& aWhat);
  template<typename Task>
  void Spawn(Task aTask);

  Options options_;
  std::string folder_;
  std::mt19937 random_;
  asio::io_context io_{ 1 };
  HttpClient http_{ io_, HttpClientOptions{} };
  Process standin_;
  std::vector<std::unique_ptr<Process>> entries_;
  std::vector<std::unique_ptr<Link>> stores_;
  std::vector<std::unique_ptr<Link>> targets_;
  Callers callers_;
  std::ofstream notes_;
  std::vector<std::string> faults_;
  int configVersion_ = 3; // of the stand-in's first
  int tasks_ = 0;         // that still run
  bool isOver_ = false;   // no new faults
};

std::vector<std::string>
CallerAddresses(int aEntries)
{
  std::vector<std::string> addresses;
  for (int entry = 1; entry <= aEntries; ++entry) {
    addresses.push_back(kEntries + '.' + std::to_string(entry) + ":8340");
  }
  return addresses;
}

Soak::Soak(const Options& aOptions, unsigned aSeed)
  : options_(aOptions)
  , folder_("/tmp/cuminbridge-soak-" + std::to_string(getpid()) + '-' +
            std::to_string(aSeed))
  , random_(aSeed)
  , standin_(
      { aOptions.build_ + "/platform/platform_standin", kPlatform, kTargets },
      folder_ + "/standin.log")
  , callers_(io_, CallerAddresses(aOptions.entries_), aSeed)
{
  std::filesystem::create_directories(folder_);
  notes_.open(folder_ + "/faults.log");
  for (int entry = 1; entry <= aOptions.entries_; ++entry) {
    const auto number = std::to_string(entry);
    WriteSettings(entry);
    entries_.push_back(std::make_unique<Process>(
      std::vector<std::string>{ aOptions.build_ +
                                  "/packages/daemon/cuminbridge",
                                "--settings",
                                folder_ + "/entry-" + number + ".conf" },
      folder_ + "/entry-" + number + ".log"));
    stores_.push_back(std::make_unique<Link>(
      io_, kStores + '.' + number + ":7400", kPlatform + ".1:7400"));
  }
  for (int vm = 0; vm < kVms; ++vm) {
    const auto number = std::to_string(kFirstVm + vm);
    targets_.push_back(
      std::make_unique<Link>(io_,
                             kTargets + '.' + number + ":7500",
                             kPlatform + '.' + number + ":7500"));
  }
}

void
Soak::WriteSettings(int aEntry) const
{
  const auto number = std::to_string(aEntry);
  const auto ip = kEntries + '.' + number;
  std::ofstream file(folder_ + "/entry-" + number + ".conf");
  file << "node_name=entry-" << number << "\nip=" << ip
       << "\nzone=demo-a\nlisten.front=" << ip << ":8340\nlisten.ready=" << ip
       << ":8343\ninternal_ports=7000,7015\nadvice=" << kPlatform
       << ".3:7400\nplatform.address=" << kStores << '.' << number
       << ":7400\ncloud.address=" << kPlatform
       << ".2:7400\nbounds.migrate_s=0.4\n";
}

Awaitable<void>
Soak::Wait(Millis aTime)
{
  asio::steady_timer timer(io_, aTime);
  co_await timer.async_wait(asio::use_awaitable);
}

Millis
Soak::DrawTime(int aLeast, int aMost)
{
  return Millis(std::uniform_int_distribution<int>(aLeast, aMost)(random_));
}

void
Soak::Note(const std::string& aWhat)
{
  const auto now = SystemClocks().TimeOfDay().time_since_epoch().count();
  notes_ << now << ' ' << aWhat << std::endl;
}

template<typename Task>
void
Soak::Spawn(Task aTask)
{
  ++tasks_;
  asio::co_spawn(
    io_,
    [this, aTask]() -> Awaitable<void> {
      co_await aTask();
      --tasks_;
    },
    asio::detached);
}

//-----------------------------------------------------------------------------
// [SECTION] Faults
//-----------------------------------------------------------------------------

void
Soak::DisturbLinks()
{
  constexpr int kLongest = 4000; // ms; owners change and leases lapse meanwhile
  const auto trouble = static_cast<Trouble>(1 + random_() % 5);
  const auto time = DrawTime(200, kLongest);
  const auto disturb = [&](Link& aLink) {
    Note(std::string(NameOf(trouble)) + ' ' + aLink.Name() + " for " +
         std::to_string(time.count()));
    aLink.Disturb(trouble, time);
  };
  switch (random_() % 4) {
    case 0: // the store, for all
      for (auto& link : stores_) {
        disturb(*link);
      }
      break;
    case 1: // the store, for one entry
      disturb(*stores_[random_() % stores_.size()]);
      break;
    default:
      disturb(*targets_[random_() % targets_.size()]);
      disturb(*targets_[random_() % targets_.size()]);
  }
}

Awaitable<void>
Soak::EndEntry(std::size_t aEntry)
{
  const int signal = random_() % 2 == 0 ? SIGKILL : SIGTERM;
  Note((signal == SIGKILL ? "kill entry-" : "stop entry-") +
       std::to_string(aEntry + 1));
  entries_[aEntry]->Signal(signal);
  while (entries_[aEntry]->IsRunning()) {
    co_await Wait(Millis(20));
  }
  if (signal == SIGTERM && entries_[aEntry]->ExitCode() > 0) {
    faults_.push_back("entry-" + std::to_string(aEntry + 1) + " ended with " +
                      std::to_string(entries_[aEntry]->ExitCode()));
  }
  co_await Wait(DrawTime(50, 2000));
  entries_[aEntry]->Start();
}

Awaitable<void>
Soak::PauseEntry(std::size_t aEntry)
{
  Note("pause entry-" + std::to_string(aEntry + 1));
  entries_[aEntry]->Signal(SIGSTOP);
  co_await Wait(DrawTime(100, 5000));
  entries_[aEntry]->Signal(SIGCONT);
}

// A new version with another limit, as operators file them.
Awaitable<void>
Soak::ChangeConfig()
{
  HttpCall put;
  put.method_ = "POST";
  put.path_ = "/operator/limit";
  const int limit = 20000 + 10000 * static_cast<int>(random_() % 4);
  put.body_ =
    nlohmann::json{ { "version", ++configVersion_ }, { "cpu", limit } }.dump();
  Note("configuration " + put.body_);
  co_await http_.Call(kPlatform + ".1:7400", put);
}

Awaitable<void>
Soak::KeepDisturbing()
{
  const auto until =
    SystemClocks().Now() + std::chrono::seconds(options_.seconds_);
  while (SystemClocks().Now() < until) {
    const auto entry = random_() % entries_.size();
    switch (random_() % 6) {
      case 0:
        Spawn([this, entry] { return EndEntry(entry); });
        break;
      case 1:
        Spawn([this, entry] { return PauseEntry(entry); });
        break;
      case 2:
        Spawn([this] { return ChangeConfig(); });
        break;
      default:
        DisturbLinks();
    }
    co_await Wait(DrawTime(100, 1500));
  }
  isOver_ = true;
}

void
Soak::HealAll()
{
  for (auto* links : { &stores_, &targets_ }) {
    for (auto& link : *links) {
      link->Heal();
    }
  }
  for (auto& entry : entries_) {
    entry->Signal(SIGCONT);
    entry->Start();
  }
  Note("all healed");
}

//-----------------------------------------------------------------------------
// [SECTION] A run
//-----------------------------------------------------------------------------

Awaitable<void>
Soak::KeepCalling()
{
  while (!isOver_) {
    Spawn([this] { return callers_.HandIn(); });
    if (random_() % 8 == 0) {
      Spawn([this] { return callers_.CancelOne(); });
    }
    Spawn([this] { return callers_.ReadOne(); });
    co_await Wait(DrawTime(20, 200));
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
        kEntries + '.' + std::to_string(entry) + ":8343", call);
    }
  }
  co_return true;
}

Awaitable<void>
Soak::Judge()
{
  HttpCall call;
  call.path_ = "/judge";
  const auto reply = co_await http_.Call(kPlatform + ".2:7400", call);
  const auto body = nlohmann::json::parse(reply.body_, nullptr, false);
  if (!body.is_object()) {
    faults_.emplace_back("the stand-in gave no judgement");
    co_return;
  }
  for (const auto& fault : body.at("faults")) {
    faults_.push_back(fault.get<std::string>());
  }
  for (auto& fault :
       callers_.Faults(body.at("started").get<std::set<std::string>>())) {
    faults_.push_back(std::move(fault));
  }
}

Awaitable<void>
Soak::Play()
{
  if (!co_await WaitUntilReady()) {
    faults_.emplace_back("the entries were not ready in time");
    co_return;
  }
  Spawn([this] { return KeepCalling(); });
  Spawn([this] { return KeepDisturbing(); });
  while (tasks_ > 0) {
    co_await Wait(Millis(20));
  }
  HealAll();
  co_await callers_.Settle(kSettleLimit);
  co_await Judge();
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
      co_await Play();
      isDone = true;
    },
    asio::detached);
  while (!isDone) {
    io_.run_one();
  }
  return faults_;
}

Options
ReadOptions(int aCount, char** aArguments)
{
  TCLAP::CmdLine command("soak: faults from outside, by seed", ' ', "1");
  TCLAP::ValueArg<unsigned> first("", "first", "seed", false, 1, "N", command);
  TCLAP::ValueArg<unsigned> seeds(
    "", "seeds", "how many", false, 1, "N", command);
  TCLAP::ValueArg<int> seconds(
    "", "seconds", "of faults a seed", false, 10, "N", command);
  TCLAP::ValueArg<int> entries(
    "", "entries", "processes of the system", false, 4, "N", command);
  TCLAP::UnlabeledValueArg<std::string> build(
    "build", "build folder", true, "", "BUILD", command);
  command.parse(aCount, aArguments);
  return { build.getValue(),
           first.getValue(),
           seeds.getValue(),
           seconds.getValue(),
           entries.getValue() };
}

int
RunSoak(const Options& aOptions)
{
  int bad = 0;
  for (unsigned seed = aOptions.first_;
       seed < aOptions.first_ + aOptions.seeds_;
       ++seed) {
    Soak soak(aOptions, seed);
    const auto faults = soak.Run();
    std::cout << "seed " << seed << ": " << soak.Summary() << ", "
              << faults.size() << " faults" << std::endl;
    for (const auto& fault : faults) {
      std::cout << "  " << fault << std::endl;
    }
    if (faults.empty()) {
      std::filesystem::remove_all(soak.Folder());
    } else {
      std::cout << "  logs: " << soak.Folder() << std::endl;
      ++bad;
    }
  }
  std::cout << aOptions.seeds_ << " seeds, " << bad << " with a fault"
            << std::endl;
  return bad > 0 ? 1 : 0;
}

} // namespace

} // namespace cuminbridge::soak

int
main(int argc, char** argv)
{
  return cuminbridge::soak::RunSoak(cuminbridge::soak::ReadOptions(argc, argv));
}
