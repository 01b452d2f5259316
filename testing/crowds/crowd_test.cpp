// Crowds of clients that don't behave, against one entry and the platform's
// stand-in as processes on loopback.
//
//   crowd_test BUILD SORT
//
// Each door gets a crowd in turn: the callers' path, a path without a route and
// the ready address. No check depends on how fast the machine is: the entry
// lives and keeps its ownership, its memory and descriptors stay within the
// limits in its settings, a job that is handed in during the crowd completes,
// and an ordinary request is answered afterwards.

#include <filesystem>
#include <fstream>
#include <iostream>

#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "../soak/processes.h"
#include "crowd.h"
#include "usage.h"

namespace cuminbridge::crowds {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr const char* kNetwork = "127.0.44";
constexpr const char* kEntry = "127.0.44.101";
constexpr const char* kEntryHex = "652C007F";
constexpr int kClients = 450;
// Limits in the settings of the entry, and the bounds of the checks.
constexpr std::uint64_t kMemoryMb = 48;
constexpr std::uint64_t kDescriptors = 400;
constexpr std::uint64_t kKbPerMb = 1024;
constexpr std::chrono::seconds kPatience(60); // of a wait that never ends
constexpr int kOk = 200;

class CrowdTest
{
public:
  CrowdTest(const std::string& aBuild, Sort aSort);
  ~CrowdTest();

  bool Run(); // false if a check failed

private:
  void StartAll();
  void PlayDoor(const Door& aDoor);
  void SubmitUntilTaken(const std::string& aPath);
  HttpReply Ask(const std::string& aAddress, HttpCall aCall);
  HttpReply AskOnce(const std::string& aMethod,
                    const std::string& aPath,
                    std::string aBody);
  bool IsReady();
  void Check(bool aHolds, const std::string& aWhat);
  void Sample();
  std::string ReadLog() const;
  // Runs the clients until aIsDone; false if it never is.
  template<typename Predicate>
  bool Await(Predicate aIsDone);

  asio::io_context io_{ 1 };
  Sort sort_;
  std::string folder_;
  soak::Process standin_;
  soak::Process entry_;
  pid_t entryId_ = 0;
  Usage peak_;
  int jobs_ = 0;
  bool isGood_ = true;
};

CrowdTest::CrowdTest(const std::string& aBuild, Sort aSort)
  : sort_(aSort)
  , folder_("/tmp/cuminbridge-crowds-" + std::to_string(getpid()))
  , standin_({ aBuild + "/platform/platform_standin", kNetwork },
             folder_ + "/standin.log")
  , entry_({ aBuild + "/packages/daemon/cuminbridge",
             "--settings",
             folder_ + "/entry.conf" },
           folder_ + "/entry.log")
{
  std::filesystem::create_directories(folder_);
  std::ofstream(folder_ + "/entry.conf")
    << "node_name=entry-1\nip=" << kEntry
    << "\nzone=demo-a\nlisten.front=" << kEntry
    << ":8340\nlisten.ready=" << kEntry
    << ":8343\ninternal_ports=7000,7015\nadvice=" << kNetwork
    << ".3:7400\nplatform.address=" << kNetwork
    << ".1:7400\ncloud.address=" << kNetwork
    << ".2:7400\nbounds.migrate_s=0.4\nlimits.memory_mb=" << kMemoryMb
    << "\nlimits.max_fds=" << kDescriptors << "\n";
}

CrowdTest::~CrowdTest()
{
  entry_.Kill();
  standin_.Kill();
  if (isGood_) {
    std::filesystem::remove_all(folder_);
  } else {
    std::cout << "logs in " << folder_ << std::endl;
  }
}

void
CrowdTest::Check(bool aHolds, const std::string& aWhat)
{
  std::cout << (aHolds ? "good: " : "FAILED: ") << aWhat << std::endl;
  isGood_ = isGood_ && aHolds;
}

void
CrowdTest::Sample()
{
  const auto now = ReadUsage(entryId_, kEntryHex);
  peak_.memoryKb_ =
    std::max({ peak_.memoryKb_, now.memoryKb_, ReadStatus(entryId_, "VmHWM") });
  peak_.descriptors_ = std::max(peak_.descriptors_, now.descriptors_);
}

template<typename Predicate>
bool
CrowdTest::Await(Predicate aIsDone)
{
  constexpr milliseconds kStep(20);
  const auto end = std::chrono::steady_clock::now() + kPatience;
  while (!aIsDone()) {
    if (std::chrono::steady_clock::now() > end || !entry_.IsRunning()) {
      return false;
    }
    io_.restart();
    io_.run_for(kStep);
    Sample();
  }
  return true;
}

HttpReply
CrowdTest::Ask(const std::string& aAddress, HttpCall aCall)
{
  HttpReply reply;
  bool isOver = false;
  HttpClientOptions options;
  options.connectTimeout_ = kPatience;
  HttpClient client(io_, options); // each call has a connection of its own
  asio::co_spawn(
    io_,
    [&]() -> Awaitable<void> {
      reply = co_await client.Call(aAddress, std::move(aCall));
      isOver = true;
    },
    asio::detached);
  while (!isOver) {
    io_.restart();
    io_.run_one();
  }
  return reply;
}

HttpReply
CrowdTest::AskOnce(const std::string& aMethod,
                   const std::string& aPath,
                   std::string aBody)
{
  HttpCall call;
  call.method_ = aMethod;
  call.path_ = aPath;
  call.body_ = std::move(aBody);
  call.limit_ = kPatience;
  call.headers_ = { { "Host", "demo.example" }, { "X-Api-Key", "demo-key" } };
  return Ask(std::string(kEntry) + ":8340", std::move(call));
}

bool
CrowdTest::IsReady()
{
  HttpCall call;
  call.path_ = "/readiness";
  call.limit_ = kPatience;
  return Ask(std::string(kEntry) + ":8343", std::move(call)).status_ == kOk;
}

std::string
CrowdTest::ReadLog() const
{
  std::stringstream text;
  text << std::ifstream(folder_ + "/entry.log").rdbuf();
  return text.str();
}

void
CrowdTest::StartAll()
{
  standin_.Start();
  entry_.Start();
  entryId_ = entry_.Id();
  Check(Await([&] {
          return IsReady() &&
                 ReadLog().find("owner_began") != std::string::npos;
        }),
        "the entry is ready and owns the fleet");
}

void
CrowdTest::SubmitUntilTaken(const std::string& aPath)
{
  // A caller that is refused, or whose connection breaks, tries again.
  const std::string job =
    R"({"spec":"takes=100","steps":[{"count":2,"cpu":100,"estimate_ms":100}]})";
  Check(Await([&] { return AskOnce("POST", aPath, job).status_ == kOk; }),
        "a job that is handed in during the crowd is taken");
  Check(Await([&] {
          return AskOnce("GET", aPath, "").body_ == R"({"state":"completed"})";
        }),
        "it completes");
}

void
CrowdTest::PlayDoor(const Door& aDoor)
{
  constexpr int kIdSize = 16;
  const auto number = std::to_string(++jobs_);
  const auto job =
    "/quotes/" + std::string(kIdSize - number.size(), '0') + number;
  std::cout << kSortNames[static_cast<int>(sort_)] << " at the " << aDoor.name_
            << std::endl;
  peak_ = {};
  Crowd crowd(io_, sort_, aDoor, kClients);
  crowd.Come();
  Await([&] { return crowd.IsSettled(); });
  SubmitUntilTaken(job);
  crowd.Leave();
  Await([&] { return crowd.IsGone(); });
  Check(entry_.IsRunning() && entry_.Id() == entryId_, "the entry lives");
  Check(peak_.memoryKb_ <= kMemoryMb * kKbPerMb,
        "memory " + std::to_string(peak_.memoryKb_ / kKbPerMb) + " MB of " +
          std::to_string(kMemoryMb));
  Check(peak_.descriptors_ <= kDescriptors,
        "descriptors " + std::to_string(peak_.descriptors_) + " of " +
          std::to_string(kDescriptors));
  Check(AskOnce("GET", job, "").status_ == kOk,
        "an ordinary request is answered afterwards");
  Check(IsReady(), "the entry is ready afterwards");
  Check(ReadLog().find("owner_ended") == std::string::npos,
        "the entry has kept its ownership");
}

bool
CrowdTest::Run()
{
  const auto front = std::string(kEntry) + ":8340";
  StartAll();
  for (const auto& door :
       { Door{ "callers' path", front, "/quotes/00000000000000f1" },
         Door{ "path without a route", front, "/nowhere/00000000000000f1" },
         Door{
           "ready address", std::string(kEntry) + ":8343", "/readiness" } }) {
    if (entry_.IsRunning()) {
      PlayDoor(door);
    }
  }
  return isGood_;
}

} // namespace

} // namespace cuminbridge::crowds

int
main(int argc, char** argv)
{
  using namespace cuminbridge::crowds;
  constexpr int kExitUsage = 2;
  const auto* const name = std::find(std::begin(kSortNames),
                                     std::end(kSortNames),
                                     std::string(argc == 3 ? argv[2] : ""));
  if (name == std::end(kSortNames)) {
    std::cerr << "usage: crowd_test BUILD SORT\n";
    return kExitUsage;
  }
  const auto sort = static_cast<Sort>(name - std::begin(kSortNames));
  return CrowdTest(argv[1], sort).Run() ? 0 : 1;
}
