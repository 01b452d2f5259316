// One entry VM's process: listeners, configuration, election, shutdown.

#include "cuminbridge/daemon.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>

#include "daemon_log.h"
#include "daemon_metrics.h"
#include "intake.h"
#include "owner.h"
#include "records.h"

namespace cuminbridge {

namespace asio = boost::asio;

namespace {

constexpr int kExitSettings = 2;
// A version is in force 2 s after its ack, with some calls lost.
constexpr Millis kConfigInterval(400);
// Without the store for this long an entry asks for no new connections.
constexpr Millis kStoreMissing(1500);
constexpr Millis kElectionWait(1500); // a silent watch is noticed after it
constexpr Millis kRetryPause(150);
constexpr Millis kDrainPause(50);
// Connections between requests are closed this long after SIGTERM: callers
// have been told to close them with each answer until then.
constexpr Millis kCloseIdleAfter(2500);
constexpr Millis kExitMargin(800); // before SIGKILL
constexpr const char* kMetricsPath = "/metrics";
constexpr std::uint64_t kMaxBody = 256 * 1024; // until a configuration tells

class Daemon
{
public:
  explicit Daemon(PlatformSettings aSettings);

  int Run();

private:
  Awaitable<void> PollConfig();
  Awaitable<void> Elect();
  Awaitable<bool> TakeOwnership(std::int64_t aLease, Instant aLeaseSent);
  Awaitable<void> Register();
  Awaitable<Millis> WaitForStronger();
  Awaitable<void> ShutDown();
  void WaitForSignals();
  Awaitable<HttpAnswer> TellReady(const HttpRequest& aRequest);
  Awaitable<HttpAnswer> AnswerCaller(const HttpRequest& aRequest);
  Awaitable<HttpAnswer> TellMetrics(const HttpRequest& aRequest);
  void TakeTold(const HttpRequest& aRequest);
  Awaitable<HttpAnswer> TellPeer(const HttpRequest& aRequest);
  bool IsReady() const;
  void Note(const char* aEvent, std::string aDetail);

  SystemClocks clocks_;
  PlatformSettings settings_;
  asio::io_context io_{ 1 };
  asio::signal_set signals_{ io_, SIGTERM, SIGHUP };
  HttpClient http_{ io_, HttpClientOptions{} };
  StoreClient store_{ http_, settings_.storeAddress_, clocks_ };
  DaemonParts parts_{ io_, clocks_, settings_, http_, store_ };
  Intake intake_{ parts_ };
  HttpServer callers_;
  HttpServer readiness_;
  HttpServer peers_;
  HttpServer metricsServer_;
  DaemonMetrics metrics_;
  std::shared_ptr<Owner> owner_;
  Instant storeSeen_;
  std::int64_t configRevision_ = 0;
  bool isStopping_ = false;
};

// The second of the internal ports; deploy/system.toml names it too.
std::string
MetricsAddress(const PlatformSettings& aSettings)
{
  return aSettings.ip_ + ':' + std::to_string(aSettings.firstInternalPort_ + 1);
}

HttpServerOptions
MakeServerOptions()
{
  HttpServerOptions options;
  options.maxBody_ = kMaxBody;
  return options;
}

Daemon::Daemon(PlatformSettings aSettings)
  : settings_(std::move(aSettings))
  , callers_(
      io_,
      MakeServerOptions(),
      [this](const HttpRequest& aRequest) { return AnswerCaller(aRequest); })
  , readiness_(
      io_,
      MakeServerOptions(),
      [this](const HttpRequest& aRequest) { return TellReady(aRequest); })
  , peers_(io_,
           MakeServerOptions(),
           [this](const HttpRequest& aRequest) { return TellPeer(aRequest); })
  , metricsServer_(
      io_,
      MakeServerOptions(),
      [this](const HttpRequest& aRequest) { return TellMetrics(aRequest); })
{
}

void
Daemon::Note(const char* aEvent, std::string aDetail)
{
  WriteLine({ aEvent, "", "", "", std::move(aDetail) }, clocks_.Now());
}

bool
Daemon::IsReady() const
{
  return !isStopping_ && intake_.Config().version_ > 0 &&
         clocks_.Now() - storeSeen_ < kStoreMissing;
}

Awaitable<HttpAnswer>
Daemon::TellReady(const HttpRequest& aRequest)
{
  constexpr int kNotFound = 404;
  constexpr int kUnavailable = 503;
  HttpAnswer answer;
  if (aRequest.path_ != kReadyPath) {
    answer.status_ = kNotFound;
  } else if (!IsReady()) {
    answer.status_ = kUnavailable;
  }
  co_return answer;
}

Awaitable<HttpAnswer>
Daemon::AnswerCaller(const HttpRequest& aRequest)
{
  const auto began = clocks_.Now();
  auto answer = co_await intake_.Answer(aRequest);
  metrics_.answers_.Add(clocks_.Now() - began);
  co_return answer;
}

Awaitable<HttpAnswer>
Daemon::TellMetrics(const HttpRequest& aRequest)
{
  constexpr int kNotFound = 404;
  HttpAnswer answer;
  answer.type_ = "text/plain; version=0.0.4";
  if (aRequest.path_ != kMetricsPath) {
    answer.status_ = kNotFound;
    co_return answer;
  }
  const bool isOwner = owner_ && !owner_->HasEnded();
  answer.body_ = FormatMetrics(metrics_,
                               intake_,
                               store_.Calls(),
                               isOwner ? owner_.get() : nullptr,
                               clocks_.Now() - storeSeen_);
  co_return answer;
}

// Another entry has stored a job or a cancellation.
void
Daemon::TakeTold(const HttpRequest& aRequest)
{
  if (aRequest.path_ == kTellCancelPath) {
    owner_->Handle(JobCancelled{ aRequest.body_ });
  } else if (auto job = DecodeJob(aRequest.body_)) {
    owner_->Handle(JobArrived{ std::move(*job) });
  } else {
    Note("record_unreadable", "a job told by a peer");
  }
}

// The term in which this process owns the fleet, or 0.
Awaitable<HttpAnswer>
Daemon::TellPeer(const HttpRequest& aRequest)
{
  constexpr int kNotFound = 404;
  HttpAnswer answer;
  answer.type_ = "text/plain";
  const bool isOwner = owner_ && !owner_->HasEnded();
  if (aRequest.path_ == kTellJobPath || aRequest.path_ == kTellCancelPath) {
    // An owner that may have a successor leaves new jobs to it.
    if (isOwner && owner_->IsSure()) {
      TakeTold(aRequest);
    }
    co_return answer;
  }
  if (aRequest.path_ != kOwnerPath) {
    answer.status_ = kNotFound;
    co_return answer;
  }
  answer.body_ = std::to_string(isOwner ? owner_->Term() : 0);
  co_return answer;
}

Awaitable<void>
Daemon::PollConfig()
{
  bool isReached = false;
  while (!isStopping_) {
    const auto reply = co_await store_.Get(kConfigKey);
    const bool isNowReached =
      reply.IsDone() || reply.status_ == StoreStatus::Missing;
    if (isNowReached != isReached) {
      isReached = isNowReached;
      Note(isReached ? "store_reached" : "store_lost",
           "status " + std::to_string(static_cast<int>(reply.status_)));
    }
    if (isNowReached) {
      storeSeen_ = clocks_.Now();
    }
    if (reply.IsDone() && reply.items_.front().revision_ > configRevision_) {
      configRevision_ = reply.items_.front().revision_;
      if (auto config = ReadConfig(reply.items_.front().value_)) {
        Note("config_seen",
             "version " + std::to_string(config->version_) + " at " +
               std::to_string(configRevision_));
        if (owner_) {
          owner_->Handle(ConfigSeen{ *config });
        }
        intake_.SetConfig(std::move(*config));
      } else {
        Note("config_unreadable", "at " + std::to_string(configRevision_));
      }
    }
    co_await Sleep(io_, kConfigInterval);
  }
}

Awaitable<bool>
Daemon::TakeOwnership(std::int64_t aLease, Instant aLeaseSent)
{
  const auto term = co_await store_.Get(kTermKey);
  if (!term.IsDone() && term.status_ != StoreStatus::Missing) {
    co_return false;
  }
  const auto last = co_await store_.Get(kLastOwnerKey);
  if (!last.IsDone() && last.status_ != StoreStatus::Missing) {
    co_return false;
  }
  const int number =
    term.IsDone() ? std::atoi(term.items_.front().value_.c_str()) + 1 : 1;
  StoreWrite write;
  write.conditions_.push_back({ kOwnerKey, 0 });
  write.conditions_.push_back(
    { kTermKey, term.IsDone() ? term.items_.front().revision_ : 0 });
  write.puts_.push_back({ kOwnerKey, PeerAddress(settings_), aLease });
  write.puts_.push_back({ kTermKey, std::to_string(number), 0 });
  write.puts_.push_back({ kChainKey, "0", 0 });
  // Before it knows what became of the last owner: the longest possible.
  const FleetOptions options;
  const LastOwner self{ number,
                        PeerAddress(settings_),
                        clocks_.TimeOfDay() + options.ownerAllowance_ +
                          2 * options.targetLease_,
                        false };
  write.puts_.push_back({ kLastOwnerKey, WriteLastOwner(self), 0 });
  const auto reply = co_await store_.Write(write);
  if (!reply.IsDone() || isStopping_) {
    co_return false;
  }
  Ownership ownership;
  ownership.token_ = reply.revision_;
  ownership.lease_ = aLease;
  ownership.term_ = number;
  if (last.IsDone()) {
    ownership.former_ = last.items_.front().value_;
  }
  ownership.validUntil_ = aLeaseSent + kOwnerLease;
  owner_ = std::make_shared<Owner>(parts_, ownership, intake_.Config());
  intake_.SetOwner(owner_);
  owner_->Begin();
  co_return true;
}

// Tells the other entries how strong this one is.
Awaitable<void>
Daemon::Register()
{
  StoreWrite write;
  write.puts_.push_back({ kEntriesPrefix + settings_.name_,
                          std::to_string(settings_.cpuShare_),
                          0 });
  while (!isStopping_) {
    const auto reply = co_await store_.Write(write);
    if (reply.IsDone()) {
      co_return;
    }
    co_await Sleep(io_, kRetryPause);
  }
}

// How long to leave the fleet to entries with more of a core than this one.
Awaitable<Millis>
Daemon::WaitForStronger()
{
  constexpr double kLongest = 300; // ms; a stronger one begins within 50
  const auto reply = co_await store_.List(kEntriesPrefix);
  double strongest = settings_.cpuShare_;
  for (const auto& item : reply.items_) {
    strongest = std::max(strongest, std::atof(item.value_.c_str()));
  }
  co_return Millis(static_cast<std::int64_t>(
    kLongest * (1 - settings_.cpuShare_ / std::max(strongest, 0.01))));
}

Awaitable<void>
Daemon::Elect()
{
  while (!isStopping_) {
    if (owner_ && !owner_->HasEnded()) {
      co_await Sleep(io_, kRetryPause);
      continue;
    }
    if (owner_) {
      intake_.SetOwner(nullptr);
      owner_.reset();
    }
    const auto current = co_await store_.Get(kOwnerKey);
    if (current.IsDone()) {
      intake_.SetOwnerAddress(current.items_.front().value_);
      co_await store_.Watch(kOwnerKey, current.revision_, kElectionWait);
      continue;
    }
    if (current.status_ != StoreStatus::Missing ||
        intake_.Config().version_ == 0) {
      co_await Sleep(io_, kRetryPause);
      continue;
    }
    if (const auto pause = co_await WaitForStronger(); pause.count() > 0) {
      co_await Sleep(io_, pause);
      const auto again = co_await store_.Get(kOwnerKey);
      if (again.status_ != StoreStatus::Missing) {
        continue;
      }
    }
    const auto sent = clocks_.Now();
    const auto lease = co_await store_.OpenLease(kOwnerLease);
    if (!lease.IsDone()) {
      co_await Sleep(io_, kRetryPause);
      continue;
    }
    if (!co_await TakeOwnership(lease.revision_, sent)) {
      // Also ends a key that an unanswered write may have created.
      co_await store_.EndLease(lease.revision_);
    }
  }
}

Awaitable<void>
Daemon::ShutDown()
{
  isStopping_ = true;
  const auto began = clocks_.Now();
  Note("stopping", "SIGTERM");
  callers_.BeginDrain();
  if (owner_ && !owner_->HasEnded()) {
    co_await owner_->HandOver();
  }
  intake_.SetOwner(nullptr);
  const auto last = began + settings_.stopLimit_ - kExitMargin;
  while (clocks_.Now() - began < kCloseIdleAfter) {
    co_await Sleep(io_, kDrainPause);
  }
  callers_.CloseIdle();
  while (!callers_.IsIdle() && clocks_.Now() < last) {
    co_await Sleep(io_, kDrainPause);
  }
  Note("stopped", "");
  io_.stop();
}

void
Daemon::WaitForSignals()
{
  signals_.async_wait([this](boost::system::error_code aError, int aSignal) {
    if (aError) {
      return;
    }
    if (aSignal == SIGTERM) {
      if (!isStopping_) {
        asio::co_spawn(io_, ShutDown(), asio::detached);
      }
    } else {
      // All that the settings hold is read at the start of a process.
      Note("settings_unchanged", "SIGHUP");
    }
    WaitForSignals();
  });
}

int
Daemon::Run()
{
  StartDaemonLog(settings_.name_);
  Note("started", settings_.dataCentre_);
  for (const auto& [server, address] :
       { std::pair(&callers_, settings_.callerAddress_),
         std::pair(&readiness_, settings_.readyAddress_),
         std::pair(&peers_, PeerAddress(settings_)),
         std::pair(&metricsServer_, MetricsAddress(settings_)) }) {
    const auto error = server->Open(address);
    if (!error.empty()) {
      std::cerr << error << "\n";
      StopDaemonLog();
      return 1;
    }
  }
  WaitForSignals();
  asio::co_spawn(io_, PollConfig(), asio::detached);
  asio::co_spawn(io_, Register(), asio::detached);
  asio::co_spawn(io_, Elect(), asio::detached);
  io_.run();
  StopDaemonLog();
  return 0;
}

} // namespace

int
RunDaemon(const std::string& aSettingsPath)
{
  const std::string path =
    aSettingsPath.empty() ? PlatformSettingsPath() : aSettingsPath;
  std::ifstream file(path);
  if (!file) {
    std::cerr << path << ": can't be opened\n";
    return kExitSettings;
  }
  std::stringstream text;
  text << file.rdbuf();
  Findings findings;
  auto settings = ReadPlatformSettings(text.str(), findings);
  if (!findings.empty()) {
    std::cerr << path << ": refused\n" << FormatFindings(findings);
    return kExitSettings;
  }
  return Daemon(std::move(settings)).Run();
}

} // namespace cuminbridge
