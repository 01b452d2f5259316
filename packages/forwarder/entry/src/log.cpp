// JSON log lines, written with spdlog.

#include "log.h"

#include <iostream>

#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

namespace cuminbridge::forwarder {

using nlohmann::json;

namespace {

constexpr std::size_t kQueueLines = 8192;
constexpr std::size_t kLogThreads = 1;
constexpr std::chrono::seconds kFlushInterval(1);

std::string
Dump(const json& aLine)
{
  // Text from callers may be invalid UTF-8; invalid bytes are replaced so that
  // the line stays valid JSON.
  return aLine.dump(-1, ' ', false, json::error_handler_t::replace);
}

void
Write(spdlog::level::level_enum aLevel,
      const std::string& aWhat,
      const std::string& aDetail)
{
  auto logger = spdlog::default_logger();
  if (logger->should_log(aLevel)) {
    const std::string line = Dump({ { "what", aWhat }, { "detail", aDetail } });
    logger->log(aLevel, "{}", std::string_view(line).substr(1));
  }
}

} // namespace

void
StartLog(const std::string& aLevel, const Member& aSelf)
{
  std::ios::sync_with_stdio(false);
  spdlog::init_thread_pool(kQueueLines, kLogThreads);
  auto logger = std::make_shared<spdlog::async_logger>(
    "entry",
    std::make_shared<spdlog::sinks::ostream_sink_mt>(std::cout),
    spdlog::thread_pool(),
    spdlog::async_overflow_policy::overrun_oldest);
  // Each message is a JSON object without its opening brace; the pattern puts
  // time, level and entry in front of it.
  logger->set_pattern(
    R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","entry":")" + aSelf.id_ +
      R"(",%v)",
    spdlog::pattern_time_type::utc);
  logger->set_level(spdlog::level::from_str(aLevel));
  spdlog::set_default_logger(logger);
  // Lines are flushed in batches to save system calls; errors at once.
  logger->flush_on(spdlog::level::err);
  spdlog::flush_every(kFlushInterval);
}

void
StopLog()
{
  spdlog::shutdown();
}

void
LogInfo(const std::string& aWhat, const std::string& aDetail)
{
  Write(spdlog::level::info, aWhat, aDetail);
}

void
LogError(const std::string& aWhat, const std::string& aDetail)
{
  Write(spdlog::level::err, aWhat, aDetail);
}

void
WriteDecision(const LogDecision& aDecision)
{
  auto logger = spdlog::default_logger_raw();
  if (!logger->should_log(spdlog::level::info)) {
    return;
  }
  if (!aDecision.target_.empty()) {
    // This line is written for every request, so it is formatted without a JSON
    // object. A placed request holds only validated names, which need no
    // escaping.
    logger->info(R"("what":"decision","request":{},"account":"{}","pool":"{}",)"
                 R"("target":"{}","why":"{}","weighed":{},"waited_ms":{}}})",
                 aDecision.request_,
                 aDecision.account_,
                 aDecision.pool_,
                 aDecision.target_,
                 aDecision.reason_,
                 aDecision.weighed_,
                 aDecision.waitedMilliseconds_);
    return;
  }
  const std::string line =
    Dump({ { "what", "decision" },
           { "request", aDecision.request_ },
           { "account", aDecision.account_ },
           { "pool", aDecision.pool_ },
           { "target", aDecision.target_ },
           { "why", aDecision.reason_ },
           { "weighed", aDecision.weighed_ },
           { "waited_ms", aDecision.waitedMilliseconds_ } });
  logger->info("{}", std::string_view(line).substr(1));
}

} // namespace cuminbridge::forwarder
