// The process of an entry VM: listeners, configuration, election, shutdown.

#include "cuminbridge/daemon.h"

#include <csignal>
#include <cstring>
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>

#include "build_info.h"
#include "caller_api.h"
#include "daemon_log.h"
#include "daemon_metrics.h"
#include "election.h"
#include "records.h"
#include "views.h"

namespace cuminbridge {

namespace asio = boost::asio;

namespace {

constexpr int kExitSettings = 2;
// A configuration version must be in force 2 s after its write was
// acknowledged, also when a watch of it is lost.
constexpr Millis kConfigWatchWait(700);
constexpr Millis kConfigRetry(150);
// An entry is not ready for callers once the store has not answered for this
// long.
constexpr Millis kStoreTimeout(1500);
constexpr Millis kDrainPollInterval(50);
// The listener for callers and its idle connections are closed this long after
// SIGTERM. Until then, each answer tells its caller to close the connection.
constexpr Millis kCloseIdleAfter(2500);
constexpr Millis kKillMargin(800); // the process ends this long before SIGKILL
constexpr const char* kMetricsPath = "/metrics";

std::string
ReadFile(const std::string& aPath, Findings& aFindings)
{
  std::ifstream file(aPath);
  if (!file) {
    aFindings.push_back({ {}, "the file can't be opened" });
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

// Returns the defaults if aPath is empty.
Tuning
ReadTuningFile(const std::string& aPath, Findings& aFindings)
{
  return aPath.empty() ? Tuning{}
                       : ReadTuning(ReadFile(aPath, aFindings), aFindings);
}

// Prints the findings on a settings file. Returns true if there are any.
bool
PrintFindings(const std::string& aPath, const Findings& aFindings)
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
  Awaitable<void> WatchConfig();
  void ApplyConfig(const StoreItem& aItem);
  Awaitable<void> ShutDown();
  void WaitForSignals();
  void ReloadTuning();
  Awaitable<HttpResponse> AnswerReadiness(const HttpRequest& aRequest);
  Awaitable<HttpResponse> AnswerCaller(const HttpRequest& aRequest);
  Awaitable<HttpResponse> AnswerMetrics(const HttpRequest& aRequest);
  Owner* FindOwner(const std::string& aPath, const std::string& aJob) const;
  bool HandlePeerNotification(const HttpRequest& aRequest,
                              HttpResponse& aAnswer);
  Awaitable<HttpResponse> AnswerPeer(const HttpRequest& aRequest);
  bool IsReady() const;
  ServerCounts CountLimits() const;
  void ReportLimits();
  void Log(const char* aEvent, std::string aDetail);

  SystemClocks clocks_;
  PlatformSettings settings_;
  std::string tuningPath_;
  Tuning tuning_;
  asio::io_context io_{ 1 };
  asio::signal_set signals_{ io_, SIGTERM, SIGHUP };
  HttpClient http_{ io_, HttpClientOptions{} };
  StoreClient store_{ http_, settings_.storeAddress_, clocks_ };
  CellPeers peers_{ io_, http_ };
  DaemonContext context_{ io_,   clocks_, settings_, tuning_,
                          http_, store_,  peers_ };
  CallerApi callerApi_{ context_ };
  Election election_{ context_, callerApi_ };
  HttpServer callerServer_;
  HttpServer readinessServer_;
  HttpServer peerServer_;
  HttpServer metricsServer_;
  DaemonMetrics metrics_;
  LimitReports limitReports_;
  Instant storeAnsweredAt_;
  std::int64_t configRevision_ = 0;
  bool isStopping_ = false;
};

// The second internal port; deploy/system.toml names the same port.
std::string
MetricsAddress(const PlatformSettings& aSettings)
{
  return aSettings.ip_ + ':' + std::to_string(aSettings.firstInternalPort_ + 1);
}

Daemon::Daemon(PlatformSettings aSettings,
               std::string aTuningPath,
               const Tuning& aTuning)
  : settings_(std::move(aSettings))
  , tuningPath_(std::move(aTuningPath))
  , tuning_(aTuning)
  , callerServer_(
      io_,
      CallerLimits(settings_, tuning_.door_),
      [this](const HttpRequest& aRequest) { return AnswerCaller(aRequest); })
  , readinessServer_(
      io_,
      ProbeLimits(settings_, tuning_.door_),
      [this](const HttpRequest& aRequest) { return AnswerReadiness(aRequest); })
  , peerServer_(
      io_,
      PeerLimits(settings_, tuning_.door_),
      [this](const HttpRequest& aRequest) { return AnswerPeer(aRequest); })
  , metricsServer_(
      io_,
      ProbeLimits(settings_, tuning_.door_),
      [this](const HttpRequest& aRequest) { return AnswerMetrics(aRequest); })
{
}

void
Daemon::Log(const char* aEvent, std::string aDetail)
{
  WriteLine({ aEvent, "", "", "", std::move(aDetail) }, clocks_.Now());
}

bool
Daemon::IsReady() const
{
  return !isStopping_ && callerApi_.Config().version_ > 0 &&
         peers_.Count() > 0 && clocks_.Now() - storeAnsweredAt_ < kStoreTimeout;
}

Awaitable<HttpResponse>
Daemon::AnswerReadiness(const HttpRequest& aRequest)
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
  const auto startedAt = clocks_.Now();
  auto answer = co_await callerApi_.Answer(aRequest);
  const auto elapsed = clocks_.Now() - startedAt;
  metrics_.answerQuantiles_.Add(elapsed);
  metrics_.answerHistogram_.Add(elapsed);
  co_return answer;
}

Awaitable<HttpResponse>
Daemon::AnswerMetrics(const HttpRequest& aRequest)
{
  constexpr int kNotFound = 404;
  HttpResponse answer;
  answer.contentType_ = "text/plain; version=0.0.4";
  if (aRequest.path_ != kMetricsPath) {
    answer.status_ = kNotFound;
    co_return answer;
  }
  answer.body_ = FormatMetrics(metrics_,
                               callerApi_,
                               store_.Calls(),
                               http_.GetTraffic(),
                               election_.CurrentOwners(),
                               clocks_.Now() - storeAnsweredAt_,
                               CountLimits());
  co_return answer;
}

ServerCounts
Daemon::CountLimits() const
{
  return { { "callers", callerServer_.Limits() },
           { "readiness", readinessServer_.Limits() },
           { "peers", peerServer_.Limits() },
           { "metrics", metricsServer_.Limits() } };
}

void
Daemon::ReportLimits()
{
  for (auto& report : limitReports_.Collect(CountLimits(), clocks_.Now())) {
    Log("limit_met", std::move(report));
  }
}

// The owner in this process of the cell that a path names as "/job/K", or of
// the job's own cell if it names none. Null if another owner may have taken
// over: it reads jobs and cancellations from the store.
Owner*
Daemon::FindOwner(const std::string& aPath, const std::string& aJob) const
{
  const auto slash = aPath.find('/', 1);
  const int cell = slash == std::string::npos
                     ? CellOf(aJob, peers_.Count())
                     : std::atoi(aPath.c_str() + slash + 1);
  auto* owner = election_.CurrentOwner(cell);
  return owner && owner->IsLeaseValid() ? owner : nullptr;
}

// Passes on a job, a cancellation or a report, and answers with the backlogs
// where they are asked for. False if the path is none of
// these.
bool
Daemon::HandlePeerNotification(const HttpRequest& aRequest,
                               HttpResponse& aAnswer)
{
  const auto path = aRequest.path_.substr(0, aRequest.path_.find('/', 1));
  if (path == kNotifyCancelPath) {
    if (auto* owner = FindOwner(aRequest.path_, aRequest.body_)) {
      owner->HandleCancel(aRequest.body_);
    }
  } else if (path == kNotifyJobPath) {
    auto job = DecodeJob(aRequest.body_);
    if (!job) {
      Log("record_unreadable", "job in a notification from another entry");
    } else if (auto* owner = FindOwner(aRequest.path_, job->id_)) {
      owner->HandleSubmittedJob(std::move(*job));
      if (tuning_.admission_ != AdmissionMode::Off) {
        aAnswer.body_ = owner->ShortBacklogsText();
      }
    }
  } else if (path == kBacklogPath) {
    if (auto* owner = FindOwner(aRequest.path_, "")) {
      aAnswer.body_ = owner->ShortBacklogsText();
    }
  } else if (path == kNotifyRefusalPath) {
    if (auto* owner = FindOwner(aRequest.path_, "")) {
      owner->NoteRefusal(aRequest.body_);
    }
  } else if (path == kCapacityPath) {
    const auto report = DecodeCapacity(aRequest.body_);
    auto* owner = FindOwner(aRequest.path_, "");
    if (report && owner) {
      owner->Handle(*report);
    }
  } else {
    return false;
  }
  return true;
}

// Answers notifications and questions from other entries, and the views that
// operators read.
Awaitable<HttpResponse>
Daemon::AnswerPeer(const HttpRequest& aRequest)
{
  constexpr int kNotFound = 404;
  HttpResponse answer;
  answer.contentType_ = "text/plain";
  if (HandlePeerNotification(aRequest, answer)) {
    co_return answer;
  }
  if (aRequest.path_ == kRelayPath) {
    co_return co_await callerApi_.AnswerRelayed(aRequest.body_);
  }
  if (aRequest.path_ == kStandbyPath) {
    answer.body_ = IsReady() ? kStandbyReady : "no";
    co_return answer;
  }
  if (aRequest.path_.rfind(kViewPrefix, 0) == 0) {
    const auto view =
      std::string_view(aRequest.path_).substr(std::strlen(kViewPrefix));
    co_return ShowView(
      view, callerApi_, peers_, election_.CurrentOwners(), settings_);
  }
  const auto cell = CellOfOwnerKey(
    std::string_view(aRequest.path_).substr(1)); // paths are like keys
  if (!cell) {
    answer.status_ = kNotFound;
    co_return answer;
  }
  const auto* owner = election_.CurrentOwner(*cell);
  answer.body_ = std::to_string(owner ? owner->Term() : 0);
  co_return answer;
}

void
Daemon::ApplyConfig(const StoreItem& aItem)
{
  if (aItem.isRemoved_ || aItem.revision_ <= configRevision_) {
    return;
  }
  configRevision_ = aItem.revision_;
  auto config = ReadConfig(aItem.value_);
  if (!config) {
    Log("config_unreadable",
        "configuration at store revision " + std::to_string(configRevision_) +
          " can't be decoded; the configuration in force stays");
    return;
  }
  Log("config_seen",
      "configuration version " + std::to_string(config->version_) +
        ", store revision " + std::to_string(configRevision_));
  for (auto* owner : election_.CurrentOwners()) {
    owner->Handle(ConfigSeen{ *config });
  }
  callerApi_.SetConfig(std::move(*config));
}

// Reads the configuration once, then watches it: it is too large to read again
// and again.
Awaitable<void>
Daemon::WatchConfig()
{
  bool isReached = false;
  bool mustRead = true;
  std::int64_t after = 0; // the watch reports changes after this revision
  while (!isStopping_) {
    StoreReply reply;
    const bool wasRead = mustRead;
    if (mustRead) {
      reply = co_await store_.Get(kConfigKey);
    } else {
      reply = co_await store_.Watch(kConfigKey, after, kConfigWatchWait);
    }
    const bool isNowReached = reply.IsDone() ||
                              reply.status_ == StoreStatus::Missing ||
                              reply.status_ == StoreStatus::Expired;
    if (isNowReached != isReached) {
      isReached = isNowReached;
      Log(isReached ? "store_reached" : "store_lost",
          std::string("reading the configuration: ") +
            DescribeStatus(reply.status_));
    }
    if (isNowReached) {
      storeAnsweredAt_ = clocks_.Now();
    }
    ReportLimits();
    for (const auto& item : reply.items_) {
      if (item.key_ == kConfigKey) {
        ApplyConfig(item);
      }
    }
    // A watch that failed may have had more changes to report than the link can
    // carry in time; a read returns only the last one.
    mustRead = !reply.IsDone() || configRevision_ == 0;
    if (reply.IsDone()) {
      after = NextWatchRevision(after, reply, wasRead);
    } else {
      co_await Sleep(io_, kConfigRetry);
    }
  }
}

Awaitable<void>
Daemon::ShutDown()
{
  isStopping_ = true;
  const auto startedAt = clocks_.Now();
  Log("stopping", "SIGTERM received");
  callerServer_.BeginDrain();
  co_await election_.Stop();
  const auto deadline = startedAt + settings_.shutdownLimit_ - kKillMargin;
  while (clocks_.Now() - startedAt < kCloseIdleAfter) {
    co_await Sleep(io_, kDrainPollInterval);
  }
  callerServer_.CloseIdle();
  while (!callerServer_.IsIdle() && clocks_.Now() < deadline) {
    co_await Sleep(io_, kDrainPollInterval);
  }
  Log("stopped", "");
  io_.stop();
}

// Only the project's own settings are read again. The platform's settings are
// read at the start only, as addresses don't change while a process lives.
void
Daemon::ReloadTuning()
{
  Findings findings;
  const auto tuning = ReadTuningFile(tuningPath_, findings);
  if (!findings.empty()) {
    Log("tuning_refused", FormatFindings(findings));
    return;
  }
  const auto changes = CompareTuning(tuning_, tuning);
  for (const auto& change : changes) {
    Log("tuning_changed", change);
  }
  if (changes.empty()) {
    Log("tuning_unchanged", "SIGHUP received; no setting has changed");
  }
  tuning_ = tuning;
  SetLogLimits(tuning_.log_);
  callerServer_.SetOptions(CallerLimits(settings_, tuning_.door_));
  readinessServer_.SetOptions(ProbeLimits(settings_, tuning_.door_));
  peerServer_.SetOptions(PeerLimits(settings_, tuning_.door_));
  metricsServer_.SetOptions(ProbeLimits(settings_, tuning_.door_));
  for (auto* owner : election_.CurrentOwners()) {
    owner->ApplyTuning();
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
  Log("started",
      "data centre " + settings_.dataCentre_ + ", version " + kBuildVersion +
        ", commit " + kBuildCommit);
  for (const auto& [server, address] :
       { std::pair(&callerServer_, settings_.callerAddress_),
         std::pair(&readinessServer_, settings_.readyAddress_),
         std::pair(&peerServer_, PeerAddress(settings_)),
         std::pair(&metricsServer_, MetricsAddress(settings_)) }) {
    const auto error = server->Open(address);
    if (!error.empty()) {
      std::cerr << error << "\n";
      StopDaemonLog();
      return 1;
    }
  }
  WaitForSignals();
  asio::co_spawn(io_, WatchConfig(), asio::detached);
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
  const bool isRefused = PrintFindings(path, findings);
  Findings tuningFindings;
  const auto tuning = ReadTuningFile(aArguments.tuningPath_, tuningFindings);
  if (PrintFindings(aArguments.tuningPath_, tuningFindings) || isRefused) {
    return kExitSettings;
  }
  if (aArguments.isCheckOnly_) {
    std::cout << "good\n";
    return 0;
  }
  return Daemon(std::move(settings), aArguments.tuningPath_, tuning).Run();
}

} // namespace cuminbridge
