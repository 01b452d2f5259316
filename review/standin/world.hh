// Stand-ins for the review's cases: the store of the platform (the project's
// own stand-in), its VM service, workers behind gates that can reset all
// connections, and a caller. All run in one process on loopback; the entries
// are separate processes.

#ifndef cuminbridge_review_world_hh
#define cuminbridge_review_world_hh

#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "cuminbridge/web.h"
#include "standin.h"

namespace review {

using cuminbridge::Awaitable;
using cuminbridge::HttpRequest;
using cuminbridge::HttpResponse;
using nlohmann::json;

//-----------------------------------------------------------------------------
// [SECTION] Record
//-----------------------------------------------------------------------------

// Writes what was sent, answered and run, with the time since the start in ms.
class Record
{
public:
  Record(cuminbridge::standin::Context& aContext, const std::string& aPath);
  void Add(const std::string& aLine);
  // A line about one run. Only the first few thousand are written.
  void AddRun(const std::string& aLine);

private:
  int runLines_ = 0;
  cuminbridge::standin::Context& context_;
  std::int64_t startedMs_;
  std::ofstream file_;
};

//-----------------------------------------------------------------------------
// [SECTION] Gate
//-----------------------------------------------------------------------------

// A TCP proxy in front of one worker, or between an entry and the store. While
// it is closed, open connections are reset and new ones are refused. With a
// rate, what it passes back to callers shares a link of that many bytes a
// second.
class Gate
{
public:
  Gate(boost::asio::io_context& aIo,
       std::string aListen,
       std::string aTo,
       std::int64_t aBytesPerSecond = 0);
  void Open();
  void Close();
  // While it is silent, nothing passes in either direction, and connections
  // stay open.
  void SetSilent(bool aIsSilent);

private:
  struct State;
  std::shared_ptr<State> state_;
};

//-----------------------------------------------------------------------------
// [SECTION] Workers and the VM service
//-----------------------------------------------------------------------------

struct Run
{
  std::int64_t number_ = 0;
  std::int64_t startedMs_ = 0;
  std::int64_t durationMs_ = 0; // 0: until it is stopped
  std::string how_;             // as which it ends by itself
};

struct End
{
  std::int64_t number_ = 0;
  std::string item_;
  std::int64_t run_ = 0;
  std::string how_;
  std::int64_t endedMs_ = 0;
};

// A VM and the worker that runs on it.
struct Vm
{
  std::string name_;
  std::string pool_;
  std::string rack_;
  std::string address_; // of the gate, as reported
  std::int64_t gpu_ = 0;
  std::unique_ptr<Gate> gate_;

  std::string state_ = "up"; // as listed: up, moving, upkeep, down
  std::int64_t backAtMs_ = 0;
  std::string id_; // of the worker; empty while there is none
  std::int64_t bornMs_ = 0;
  std::int64_t clockZeroMs_ = 0;
  std::int64_t sequence_ = 0;
  std::int64_t reportedMs_ = 0;
  std::int64_t token_ = 0;
  std::int64_t leaseUntilMs_ = 0; // on the worker's clock
  std::map<std::string, Run> runs_;
  std::map<std::string, std::int64_t> endedRun_; // highest, by item
  std::vector<End> ends_;                        // not yet acknowledged
  std::int64_t endCount_ = 0;
  std::set<std::int64_t> upkeeps_; // waves of which it has had its upkeep
};

// An order for a VM that the VM service took.
struct VmOrder
{
  std::int64_t atMs_ = 0;
  std::string vm_;
  std::string holder_;
  std::string token_;
};

struct VmSpec
{
  std::string pool_;
  std::int64_t gpu_ = 0;
};

class World
{
public:
  World(boost::asio::io_context& aIo,
        std::string aNetwork,
        const std::string& aRecord);

  // Starts the store, the VM service and one VM with a worker for each spec.
  // Exits with 2 if an address is not free.
  void Start(const std::vector<VmSpec>& aVms, const json& aConfig);

  // Opens a proxy to the store for each entry, at .201:7400 and so on, with the
  // rate of the entry's link; 0 for no limit.
  void OpenLinks(int aMbps);

  // The worker's process is killed; it starts again under its id at aBackAtMs.
  void Crash(Vm& aVm, std::int64_t aBackAtMs);
  // The proxy between an entry and the store.
  Gate& LinkOf(int aEntry)
  {
    return *links_.at(static_cast<std::size_t>(aEntry - 1));
  }
  std::int64_t UnixMs() const;
  // For this long, calls to the VM service are carried out and not answered.
  void SilenceVmService(std::int64_t aForMs);
  // Sets a key as the operator does.
  void Operate(const std::string& aKey, const json& aValue);

  std::vector<std::unique_ptr<Vm>>& Vms() { return vms_; }
  // The VM on whose worker an item runs, or null.
  Vm* FindVmOfItem(const std::string& aItem);
  int DoubleRuns() const { return doubleRuns_; }
  int Ends(const std::string& aHow) const;
  // Ends that workers have listed for longer than this without an
  // acknowledgement, and all that ended up to then.
  std::pair<int, int> Unacknowledged(std::int64_t aForMs) const;
  int StartsOf(const std::string& aJob) const;
  // Since when no run has been at work on any worker, or 0 if one is.
  std::int64_t IdleSinceMs() const { return idleSinceMs_; }
  bool HadUpkeep(const std::string& aVm, std::int64_t aWave) const;
  const std::vector<VmOrder>& Orders() const { return orders_; }
  // The value of a key as text, empty if it is missing.
  Awaitable<std::string> ReadKey(std::string aKey);
  // The number of the entry that owns the fleet, 0 if there is none.
  Awaitable<int> FindOwner();
  // Asks the script that started the entries to send SIGTERM to one of them
  // ("TERM"), or to start it again ("START").
  void ControlEntry(const std::string& aWhat, int aEntry);
  // When the entry was last told to end or to start.
  std::int64_t ControlledMs(int aEntry) const;
  // Writes that were refused as a value exceeded the store's limit.
  int OversizedWrites() const { return oversizedWrites_; }

  // A call of a client. The status is 0 if there was no answer within 3 s.
  Awaitable<std::pair<int, json>> Call(int aEntry,
                                       std::string aMethod,
                                       std::string aPath,
                                       json aBody = json());
  // The "state" of a job, or "" and the status.
  Awaitable<std::string> StateOf(int aEntry,
                                 std::string aQueue,
                                 std::string aJob);
  Awaitable<bool> WaitReady(int aEntries, std::int64_t aLimitMs);
  Awaitable<void> Pause(std::int64_t aMs);
  std::int64_t NowMs() const { return context_.NowMs(); }
  Record& Log() { return record_; }

private:
  Awaitable<HttpResponse> ServeStore(HttpRequest aRequest);
  Awaitable<HttpResponse> ServeVmService(HttpRequest aRequest);
  Awaitable<HttpResponse> ServeWorker(Vm& aVm, HttpRequest aRequest);
  HttpResponse Order(const HttpRequest& aRequest);
  HttpResponse ListVms() const;
  HttpResponse StartRun(Vm& aVm, const json& aBody);
  HttpResponse StopRun(Vm& aVm, const json& aBody);
  json Lists(const Vm& aVm) const;
  void Boot(Vm& aVm, std::string aId);
  void LoseRuns(Vm& aVm, const std::string& aWhy);
  void EndRun(Vm& aVm, const std::string& aItem, const std::string& aHow);
  void EndDueRuns(Vm& aVm);
  void Report(Vm& aVm);
  Awaitable<void> Simulate();
  std::int64_t ClockOf(const Vm& aVm) const;

  boost::asio::io_context& io_;
  cuminbridge::standin::Context context_;
  std::string network_;
  Record record_;
  cuminbridge::standin::Store store_;
  cuminbridge::HttpClient http_;
  std::vector<std::unique_ptr<cuminbridge::HttpServer>> servers_;
  std::vector<std::unique_ptr<Vm>> vms_;
  std::map<std::string, int> endsByKind_;
  int acknowledgedEnds_ = 0;
  std::map<std::string, int> startsByJob_;
  std::vector<VmOrder> orders_;
  std::vector<std::unique_ptr<Gate>> links_;
  std::int64_t idleSinceMs_ = 0;
  std::map<int, std::int64_t> controlledMs_;
  std::set<std::string> standbyPools_;
  std::int64_t vmServiceSilentUntilMs_ = 0;
  int doubleRuns_ = 0;
  int oversizedWrites_ = 0;
  int workers_ = 0;
};

// A queue of the configuration.
json QueueOf(const std::string& aName, const std::string& aPool);
json PoolOf(const std::string& aName, bool aIsStandby);
json ConfigOf(json aQueues, json aPools);

} // namespace review

#endif // cuminbridge_review_world_hh
