// JSON lines by spdlog.

#include "daemon_log.h"

#include <algorithm>
#include <atomic>
#include <cerrno>

#include <poll.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

namespace cuminbridge {

namespace {

constexpr std::size_t kQueueLines = 4096;
constexpr std::size_t kLogThreads = 1;
// Bytes that a pipe takes at once when it takes any, by POSIX.
constexpr std::size_t kPipePart = 512;
// A reader that takes nothing for this long is not reading; until it reads
// again, lines are dropped without waiting.
constexpr int kReaderPatienceMs = 50;

std::atomic<std::uint64_t> sDropped{ 0 };

// Writes to a file descriptor and never waits long: a shutdown must end also
// when nobody reads.
class PatientSink : public spdlog::sinks::base_sink<std::mutex>
{
public:
  explicit PatientSink(int aFile)
    : file_(aFile)
  {
  }

protected:
  void sink_it_(const spdlog::details::log_msg& aMessage) override
  {
    spdlog::memory_buf_t line;
    formatter_->format(aMessage, line);
    std::size_t done = 0;
    while (done < line.size()) {
      const auto part = std::min(kPipePart, line.size() - done);
      const auto written =
        IsWritable() ? write(file_, line.data() + done, part) : ssize_t(-1);
      if (written > 0) {
        done += static_cast<std::size_t>(written);
      } else if (errno != EINTR || !isRead_) {
        ++sDropped;
        return;
      }
    }
  }
  void flush_() override {}

private:
  bool IsWritable()
  {
    pollfd wanted{ file_, POLLOUT, 0 };
    errno = 0;
    isRead_ = poll(&wanted, 1, isRead_ ? kReaderPatienceMs : 0) > 0 &&
              (wanted.revents & POLLOUT) != 0;
    return isRead_;
  }

  int file_;
  bool isRead_ = true;
};

struct Budget
{
  LogLimits limits_;
  double tokens_ = LogLimits{}.burst_;
  Instant filled_;
  std::uint64_t leftOut_ = 0; // since the last line
  std::uint64_t leftOutInAll_ = 0;
};

Budget sBudget;

bool
Take(Budget& aBudget, Instant aNow)
{
  constexpr double kMillis = 1000;
  const auto elapsed = static_cast<double>((aNow - aBudget.filled_).count());
  aBudget.filled_ = aNow;
  aBudget.tokens_ =
    std::min(aBudget.limits_.burst_,
             aBudget.tokens_ + elapsed / kMillis * aBudget.limits_.perSecond_);
  if (aBudget.tokens_ < 1) {
    ++aBudget.leftOut_;
    ++aBudget.leftOutInAll_;
    return false;
  }
  aBudget.tokens_ -= 1;
  return true;
}

} // namespace

void
StartDaemonLog(const std::string& aName, int aFile)
{
  spdlog::init_thread_pool(kQueueLines, kLogThreads);
  auto logger = std::make_shared<spdlog::async_logger>(
    "daemon",
    std::make_shared<PatientSink>(aFile),
    spdlog::thread_pool(),
    spdlog::async_overflow_policy::overrun_oldest);
  // Each message is the rest of a JSON object.
  logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","entry":")" + aName +
                        R"(",%v})",
                      spdlog::pattern_time_type::utc);
  spdlog::set_default_logger(logger);
}

void
StopDaemonLog()
{
  spdlog::shutdown();
}

void
SetLogLimits(const LogLimits& aLimits)
{
  sBudget.limits_ = aLimits;
}

std::uint64_t
LinesLeftOut()
{
  const auto pool = spdlog::thread_pool();
  const std::uint64_t overrun = pool ? pool->overrun_counter() : 0;
  return sBudget.leftOutInAll_ + sDropped + overrun;
}

void
WriteLine(const LogLine& aLine, Instant aNow)
{
  if (!Take(sBudget, aNow)) {
    return;
  }
  auto* logger = spdlog::default_logger_raw();
  if (sBudget.leftOut_ > 0) {
    logger->info(R"("event":"lines_left_out","count":{})", sBudget.leftOut_);
    sBudget.leftOut_ = 0;
  }
  // Only details can hold text from outside, which needs escaping.
  const auto detail =
    nlohmann::json(aLine.detail_)
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  logger->info(
    R"("event":"{}","job":"{}","item":"{}","target":"{}","detail":{})",
    aLine.event_,
    aLine.job_,
    aLine.item_,
    aLine.target_,
    detail);
}

} // namespace cuminbridge
