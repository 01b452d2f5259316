// Creates the parts of an entry, runs them and shuts them down.

#include <boost/asio/signal_set.hpp>

#include "caller_server.h"
#include "entry_loop.h"
#include "log.h"
#include "operator_server.h"

namespace cuminbridge::forwarder {

namespace {

// Longest time that answers still being written may take after the reducer has
// asked the process to exit.
constexpr std::chrono::seconds kExitTimeout(5);

struct Process
{
  boost::asio::io_context io_{ 1 }; // one thread, so Asio can skip locking
  EntryLoop loop_;
  CallerServer callers_;
  OperatorServer operators_;
  boost::asio::signal_set signals_;
  Timer exitTimer_;
  bool isShutdownAsked_ = false;

  explicit Process(const Settings& aSettings)
    : loop_(io_, aSettings)
    , callers_(loop_)
    , operators_(loop_)
    , signals_(io_, SIGTERM, SIGINT)
    , exitTimer_(io_.get_executor())
  {
  }

  bool Start()
  {
    loop_.onStopAccepting_ = [this] { callers_.StopAccepting(); };
    loop_.onExit_ = [this] { Shutdown(); };
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
      if (isShutdownAsked_) {
        LogInfo("second signal",
                "exiting at once; requests in progress are aborted");
        io_.stop();
        return;
      }
      isShutdownAsked_ = true;
      callers_.StartDraining();
      loop_.Submit(ShutdownRequested{});
      WaitForSignal();
    });
  }

  void Shutdown()
  {
    LogInfo("leaving", "all requests are answered; closing connections");
    signals_.cancel();
    callers_.CloseAll();
    operators_.Stop();
    loop_.Stop();
    // Only answers that are still being written are left to wait for.
    exitTimer_.expires_after(kExitTimeout);
    exitTimer_.async_wait([this](const boost::system::error_code& aError) {
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
    // Leaves time for the closing handshakes with peers.
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
      LogInfo("started",
              "listening for callers, operators and peers; waiting for a "
              "configuration");
      process.io_.run();
    } else {
      code = 1;
    }
  }
  StopLog();
  return code;
}

} // namespace cuminbridge::forwarder
