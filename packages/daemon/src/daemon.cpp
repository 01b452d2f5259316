// One entry VM's process: listeners, configuration, election, shutdown.

#include "cuminbridge/daemon.h"

#include <csignal>
#include <cstring>
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>

#include "daemon_log.h"
#include "daemon_metrics.h"
#include "election.h"
#include "intake.h"
#include "records.h"
#include "views.h"

namespace cuminbridge {

namespace asio = boost::asio;

namespace {

constexpr int kExitSettings = 2;
// A version is in force 2 s after its ack, with some calls lost.
constexpr Millis kConfigInterval(400);
// Without the store for this long an entry asks for no new connections.
constexpr Millis kStoreMissing(1500);
constexpr Millis kDrainPause(50);
// Connections between requests are closed this long after SIGTERM: callers
// have been told to close them with each answer until then.
constexpr Millis kCloseIdleAfter(2500);
constexpr Millis kExitMargin(800); // before SIGKILL
constexpr const char* kMetricsPath = "/metrics";
constexpr std::uint64_t kMaxBody = 256 * 1024; // until a configuration tells

std::string
ReadFile(const std::string& aPath, Findings& aFindings)
{
  std::ifstream file(aPath);
  if (!file) {
    aFindings.push_back({ {}, "can't be opened" });
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

// Without a path, the defaults.
Tuning
ReadTuningFile(const std::string& aPath, Findings& aFindings)
{
  return aPath.empty() ? Tuning{}
                       : ReadTuning(ReadFile(aPath, aFindings), aFindings);
}

// True if there was something to report.
bool
Report(const std::string& aPath, const Findings& aFindings)
{
  if (!aFindings.empty()) {
    std::cerr << aPath << ": refused\n" << FormatFindings(aFindings);
  }
  return !aFindings.empty();
}

class Daemon
{
public:
  Daemon(PlatformSettings aSettings,
         std::string aTuningPath,
         const Tuning& aTuning);

  int Run();

private:
  Awaitable<void> PollConfig();
  Awaitable<void> ShutDown();
  void WaitForSignals();
  void ReloadTuning();
  Awaitable<HttpResponse> TellReady(const HttpRequest& aRequest);
  Awaitable<HttpResponse> AnswerCaller(const HttpRequest& aRequest);
  Awaitable<HttpResponse> TellMetrics(const HttpRequest& aRequest);
  void TakeTold(Owner& aOwner, const HttpRequest& aRequest);
  Awaitable<HttpResponse> TellPeer(const HttpRequest& aRequest);
  bool IsReady() const;
  void Note(const char* aEvent, std::string aDetail);

  SystemClocks clocks_;
  PlatformSettings settings_;
  std::string tuningPath_;
  Tuning tuning_;
  asio::io_context io_{ 1 };
  asio::signal_set signals_{ io_, SIGTERM, SIGHUP };
  HttpClient http_{ io_, HttpClientOptions{} };
  StoreClient store_{ http_, settings_.storeAddress_, clocks_ };
  DaemonParts parts_{ io_, clocks_, settings_, tuning_, http_, store_ };
  Intake intake_{ parts_ };
  Election election_{ parts_, intake_ };
  HttpServer callers_;
  HttpServer readiness_;
  HttpServer peers_;
  HttpServer metricsServer_;
  DaemonMetrics metrics_;
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
  options.maxBodyBytes_ = kMaxBody;
  return options;
}

Daemon::Daemon(PlatformSettings aSettings,
               std::string aTuningPath,
               const Tuning& aTuning)
  : settings_(std::move(aSettings))
  , tuningPath_(std::move(aTuningPath))
  , tuning_(aTuning)
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

Awaitable<HttpResponse>
Daemon::TellReady(const HttpRequest& aRequest)
{
  constexpr int kNotFound = 404;
  constexpr int kUnavailable = 503;
  HttpResponse answer;
  if (aRequest.path_ != kReadyPath) {
    answer.status_ = kNotFound;
  } else if (!IsReady()) {
    answer.status_ = kUnavailable;
  }
  co_return answer;
}

Awaitable<HttpResponse>
Daemon::AnswerCaller(const HttpRequest& aRequest)
{
  const auto began = clocks_.Now();
  auto answer = co_await intake_.Answer(aRequest);
  const auto took = clocks_.Now() - began;
  metrics_.answers_.Add(took);
  metrics_.answersByTime_.Add(took);
  co_return answer;
}

Awaitable<HttpResponse>
Daemon::TellMetrics(const HttpRequest& aRequest)
{
  constexpr int kNotFound = 404;
  HttpResponse answer;
  answer.contentType_ = "text/plain; version=0.0.4";
  if (aRequest.path_ != kMetricsPath) {
    answer.status_ = kNotFound;
    co_return answer;
  }
  answer.body_ = FormatMetrics(metrics_,
                               intake_,
                               store_.Calls(),
                               election_.CurrentOwner(),
                               clocks_.Now() - storeSeen_);
  co_return answer;
}

// Another entry has stored a job or a cancellation.
void
Daemon::TakeTold(Owner& aOwner, const HttpRequest& aRequest)
{
  if (aRequest.path_ == kTellCancelPath) {
    aOwner.Handle(JobCancelled{ aRequest.body_ });
  } else if (auto job = DecodeJob(aRequest.body_)) {
    aOwner.Handle(JobArrived{ std::move(*job) });
  } else {
    Note("record_unreadable", "a job told by a peer");
  }
}

// The term in which this process owns the fleet, or 0.
Awaitable<HttpResponse>
Daemon::TellPeer(const HttpRequest& aRequest)
{
  constexpr int kNotFound = 404;
  HttpResponse answer;
  answer.contentType_ = "text/plain";
  auto* owner = election_.CurrentOwner();
  if (aRequest.path_ == kTellJobPath || aRequest.path_ == kTellCancelPath) {
    // An owner that may have a successor leaves new jobs to it.
    if (owner && owner->IsSure()) {
      TakeTold(*owner, aRequest);
    }
    co_return answer;
  }
  if (aRequest.path_ == kStandbyPath) {
    answer.body_ = IsReady() ? kStandbyReady : "no";
    co_return answer;
  }
  if (aRequest.path_.rfind(kViewPrefix, 0) == 0) {
    const auto view =
      std::string_view(aRequest.path_).substr(std::strlen(kViewPrefix));
    co_return ShowView(view, intake_, owner, settings_);
  }
  if (aRequest.path_ != kOwnerPath) {
    answer.status_ = kNotFound;
    co_return answer;
  }
  answer.body_ = std::to_string(owner ? owner->Term() : 0);
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
        if (auto* owner = election_.CurrentOwner()) {
          owner->Handle(ConfigSeen{ *config });
        }
        intake_.SetConfig(std::move(*config));
      } else {
        Note("config_unreadable", "at " + std::to_string(configRevision_));
      }
    }
    co_await Sleep(io_, kConfigInterval);
  }
}

Awaitable<void>
Daemon::ShutDown()
{
  isStopping_ = true;
  const auto began = clocks_.Now();
  Note("stopping", "SIGTERM");
  callers_.BeginDrain();
  co_await election_.Stop();
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

// The platform's settings are read at the start only: addresses don't change
// while a process lives.
void
Daemon::ReloadTuning()
{
  Findings findings;
  const auto tuning = ReadTuningFile(tuningPath_, findings);
  if (!findings.empty()) {
    Note("tuning_refused", FormatFindings(findings));
    return;
  }
  const auto changes = CompareTuning(tuning_, tuning);
  for (const auto& change : changes) {
    Note("tuning_changed", change);
  }
  if (changes.empty()) {
    Note("tuning_unchanged", "SIGHUP");
  }
  tuning_ = tuning;
  SetLogLimits(tuning_.log_);
  if (auto* owner = election_.CurrentOwner()) {
    owner->Retune();
  }
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
      ReloadTuning();
    }
    WaitForSignals();
  });
}

int
Daemon::Run()
{
  StartDaemonLog(settings_.name_);
  SetLogLimits(tuning_.log_);
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
  asio::co_spawn(io_, election_.Register(), asio::detached);
  asio::co_spawn(io_, election_.Run(), asio::detached);
  io_.run();
  StopDaemonLog();
  return 0;
}

} // namespace

int
RunDaemon(const DaemonArguments& aArguments)
{
  const std::string path = aArguments.settingsPath_.empty()
                             ? PlatformSettingsPath()
                             : aArguments.settingsPath_;
  Findings findings;
  const auto text = ReadFile(path, findings);
  auto settings = ReadPlatformSettings(text, findings);
  const bool isRefused = Report(path, findings);
  Findings inTuning;
  const auto tuning = ReadTuningFile(aArguments.tuningPath_, inTuning);
  if (Report(aArguments.tuningPath_, inTuning) || isRefused) {
    return kExitSettings;
  }
  if (aArguments.isCheckOnly_) {
    std::cout << "good\n";
    return 0;
  }
  return Daemon(std::move(settings), aArguments.tuningPath_, tuning).Run();
}

} // namespace cuminbridge
