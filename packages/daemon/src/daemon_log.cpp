// JSON lines by spdlog.

#include "daemon_log.h"

#include <iostream>

#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

namespace cuminbridge {

namespace {

constexpr std::size_t kQueueLines = 4096;
constexpr std::size_t kLogThreads = 1;
constexpr std::chrono::seconds kFlushInterval(1);
// Lines a second, and at once. A busy owner writes some 400 a second.
constexpr double kLinesPerSecond = 800;
constexpr double kLineBurst = 2000;

struct Budget
{
  double tokens_ = kLineBurst;
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
    std::min(kLineBurst, aBudget.tokens_ + elapsed / kMillis * kLinesPerSecond);
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
StartDaemonLog(const std::string& aName)
{
  std::ios::sync_with_stdio(false);
  spdlog::init_thread_pool(kQueueLines, kLogThreads);
  auto logger = std::make_shared<spdlog::async_logger>(
    "daemon",
    std::make_shared<spdlog::sinks::ostream_sink_mt>(std::cout),
    spdlog::thread_pool(),
    spdlog::async_overflow_policy::overrun_oldest);
  // Each message is the rest of a JSON object.
  logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","entry":")" + aName +
                        R"(",%v})",
                      spdlog::pattern_time_type::utc);
  spdlog::set_default_logger(logger);
  logger->flush_on(spdlog::level::info);
}

void
StopDaemonLog()
{
  spdlog::shutdown();
}

std::uint64_t
LinesLeftOut()
{
  return sBudget.leftOutInAll_;
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
