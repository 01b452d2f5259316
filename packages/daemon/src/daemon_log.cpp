// The log of a daemon, as JSON lines by spdlog.

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

constexpr std::size_t kMaxQueuedLines = 4096;
constexpr std::size_t kLogThreads = 1;
// A pipe that poll() reports as writable takes at least this many bytes without
// blocking, by POSIX.
constexpr std::size_t kChunkBytes = 512;
// A reader that takes nothing for this long has stopped reading. From then on,
// lines are dropped without waiting, until it reads again.
constexpr int kWriteTimeoutMs = 50;

std::atomic<std::uint64_t> sDropped{ 0 };

// Writes to a file descriptor and waits at most kWriteTimeoutMs at a time for
// its reader, so that a shutdown also ends when nobody reads.
class BoundedWaitSink : public spdlog::sinks::base_sink<std::mutex>
{
public:
  explicit BoundedWaitSink(int aFileDescriptor)
    : fileDescriptor_(aFileDescriptor)
  {
  }

protected:
  void sink_it_(const spdlog::details::log_msg& aMessage) override
  {
    spdlog::memory_buf_t line;
    formatter_->format(aMessage, line);
    std::size_t done = 0;
    while (done < line.size()) {
      const auto part = std::min(kChunkBytes, line.size() - done);
      const auto written = IsWritable()
                             ? write(fileDescriptor_, line.data() + done, part)
                             : ssize_t(-1);
      if (written > 0) {
        done += static_cast<std::size_t>(written);
      } else if (errno != EINTR || !isReaderActive_) {
        ++sDropped;
        return;
      }
    }
  }
  void flush_() override {}

private:
  bool IsWritable()
  {
    pollfd descriptor{ fileDescriptor_, POLLOUT, 0 };
    errno = 0;
    isReaderActive_ =
      poll(&descriptor, 1, isReaderActive_ ? kWriteTimeoutMs : 0) > 0 &&
      (descriptor.revents & POLLOUT) != 0;
    return isReaderActive_;
  }

  int fileDescriptor_;
  bool isReaderActive_ = true;
};

struct TokenBucket
{
  LogLimits limits_;
  double tokens_ = LogLimits{}.burst_;
  Instant refilledAt_;
  std::uint64_t leftOut_ = 0;      // lines since the last one that was written
  std::uint64_t leftOutTotal_ = 0; // lines since the start
};

TokenBucket sBucket;

bool
TakeToken(TokenBucket& aBucket, Instant aNow)
{
  constexpr double kMillis = 1000;
  const auto elapsed =
    static_cast<double>((aNow - aBucket.refilledAt_).count());
  aBucket.refilledAt_ = aNow;
  aBucket.tokens_ =
    std::min(aBucket.limits_.burst_,
             aBucket.tokens_ + elapsed / kMillis * aBucket.limits_.perSecond_);
  if (aBucket.tokens_ < 1) {
    ++aBucket.leftOut_;
    ++aBucket.leftOutTotal_;
    return false;
  }
  aBucket.tokens_ -= 1;
  return true;
}

} // namespace

void
StartDaemonLog(const std::string& aName, int aFileDescriptor)
{
  spdlog::init_thread_pool(kMaxQueuedLines, kLogThreads);
  auto logger = std::make_shared<spdlog::async_logger>(
    "daemon",
    std::make_shared<BoundedWaitSink>(aFileDescriptor),
    spdlog::thread_pool(),
    spdlog::async_overflow_policy::overrun_oldest);
  // The pattern opens and closes a JSON object; each message is its remaining
  // fields.
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
  sBucket.limits_ = aLimits;
}

std::uint64_t
LinesLeftOut()
{
  const auto pool = spdlog::thread_pool();
  const std::uint64_t overrun = pool ? pool->overrun_counter() : 0;
  return sBucket.leftOutTotal_ + sDropped + overrun;
}

void
WriteLine(const LogLine& aLine, Instant aNow)
{
  if (!TakeToken(sBucket, aNow)) {
    return;
  }
  auto* logger = spdlog::default_logger_raw();
  if (sBucket.leftOut_ > 0) {
    logger->info(R"("event":"lines_left_out","count":{})", sBucket.leftOut_);
    sBucket.leftOut_ = 0;
  }
  // Only the detail can hold text from outside the process, so only it needs
  // escaping.
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
