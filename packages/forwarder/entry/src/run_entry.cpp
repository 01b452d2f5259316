// Putting an entry together and running it.

#include <boost/asio/signal_set.hpp>

#include "caller_server.h"
#include "entry_loop.h"
#include "log.h"
#include "operator_server.h"

namespace cuminbridge::forwarder {

namespace {

// After the reducer's last word, the time that answers on their way may take.
constexpr std::chrono::seconds kLastAnswersLimit(5);

struct Process
{
  boost::asio::io_context io_{ 1 }; // one thread: no locking inside
  EntryLoop loop_;
  CallerServer callers_;
  OperatorServer operators_;
  boost::asio::signal_set signals_;
  Timer lastTimer_;
  bool isAsked_ = false;

  explicit Process(const Settings& aSettings)
    : loop_(io_, aSettings)
    , callers_(loop_)
    , operators_(loop_)
    , signals_(io_, SIGTERM, SIGINT)
    , lastTimer_(io_.get_executor())
  {
  }

  bool Start()
  {
    loop_.onStopAccepting_ = [this] { callers_.StopAccepting(); };
    loop_.onExit_ = [this] { End(); };
    if (!loop_.Start()) {
      return false;
    }
    const std::string callers = callers_.Start();
    if (!callers.empty()) {
      LogError("can't listen for callers", callers);
      return false;
    }
    const std::string operators = operators_.Start();
    if (!operators.empty()) {
      LogError("can't listen for operators", operators);
      return false;
    }
    WaitForSignal();
    return true;
  }

  void WaitForSignal()
  {
    signals_.async_wait([this](const boost::system::error_code& aError, int) {
      if (aError) {
        return;
      }
      if (isAsked_) {
        LogInfo("second signal", "ending at once");
        io_.stop();
        return;
      }
      isAsked_ = true;
      callers_.StartDraining();
      loop_.Submit(ShutdownRequested{});
      WaitForSignal();
    });
  }

  void End()
  {
    LogInfo("leaving", "all requests are answered");
    signals_.cancel();
    callers_.CloseAll();
    operators_.Stop();
    loop_.Stop();
    // What still runs are answers being written; the rest is done.
    lastTimer_.expires_after(kLastAnswersLimit);
    lastTimer_.async_wait([this](const boost::system::error_code& aError) {
      if (!aError) {
        io_.stop();
      }
    });
    boost::asio::co_spawn(
      io_.get_executor(), StopWhenClosed(), [](std::exception_ptr) {});
  }

  Awaitable<void> StopWhenClosed()
  {
    Timer pause(io_.get_executor());
    while (!callers_.IsEmpty()) {
      pause.expires_after(std::chrono::milliseconds(10));
      co_await pause.async_wait(kAsTuple);
    }
    // Peers' closing handshakes get a moment, too.
    pause.expires_after(std::chrono::milliseconds(100));
    co_await pause.async_wait(kAsTuple);
    io_.stop();
  }
};

} // namespace

int
RunEntry(const Settings& aSettings)
{
  StartLog(aSettings.logLevel_, aSettings.options_.self_);
  int code = 0;
  {
    Process process(aSettings);
    if (process.Start()) {
      LogInfo("started", "waiting for a configuration");
      process.io_.run();
    } else {
      code = 1;
    }
  }
  StopLog();
  return code;
}

} // namespace cuminbridge::forwarder
