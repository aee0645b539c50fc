#include "node/log.h"

#include <event2/event.h>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <future>
#include <nlohmann/json.hpp>
#include <string>
#include <system_error>
#include <thread>
#include <unordered_map>

#include "runtime/clock.h"

namespace flamingoyoke {
namespace {

constexpr Duration kRepeatWindow = std::chrono::seconds(5);
// Bounds the memory used by messages that contain changing values.
constexpr std::size_t kMaxTrackedLines = 256;
// Capacity of the queue to the writer thread, about 0.2 MB. A full queue drops
// its oldest lines.
constexpr std::size_t kLogQueueCapacity = 512;

// Set before the tasks start and read-only afterwards.
LogFormat log_format = LogFormat::kText;

auto ToSpdlog(LogLevel level) -> spdlog::level::level_enum {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::err;
}

auto FromLibeventSeverity(int severity) -> LogLevel {
  switch (severity) {
    case EVENT_LOG_DEBUG:
      return LogLevel::kDebug;
    case EVENT_LOG_MSG:
      return LogLevel::kInfo;
    case EVENT_LOG_WARN:
      return LogLevel::kWarning;
    default:
      return LogLevel::kError;
  }
}

struct Repeat {
  TimePoint last_written;
  unsigned skipped = 0;
};

// Returns the number of suppressed repeats to report with this line, or -1 if
// this line is itself suppressed.
auto CountRepeat(const std::string& line) -> int {
  // Thread-local, so that no lock is needed.
  thread_local std::unordered_map<std::string, Repeat> repeats;
  const auto now = Now();
  const auto found = repeats.find(line);
  if (found != repeats.end() &&
      now - found->second.last_written < kRepeatWindow) {
    ++found->second.skipped;
    return -1;
  }
  if (repeats.size() >= kMaxTrackedLines) {
    repeats.clear();
  }
  auto& repeat = repeats[line];
  const auto skipped = static_cast<int>(repeat.skipped);
  repeat = {now, 0};
  return skipped;
}

}  // namespace

auto ConfigureLog(LogLevel min_level, LogFormat format) -> void {
  // These hold for the loggers that StartLogWriter creates, too.
  spdlog::set_level(ToSpdlog(min_level));
  spdlog::flush_on(spdlog::level::debug);
  spdlog::set_pattern(
      format == LogFormat::kJson ? "%v" : "%Y-%m-%dT%H:%M:%S.%e%z %l %v");
  spdlog::set_default_logger(spdlog::stdout_logger_st("startup"));
  log_format = format;
  // By default, libevent writes to standard error, which blocks the task if
  // nobody reads it.
  event_set_log_callback([](int severity, const char* message) {
    Log(Part::kNode, FromLibeventSeverity(severity),
        std::string("libevent: ") + message);
  });
}

auto StartLogWriter() -> void {
  spdlog::init_thread_pool(kLogQueueCapacity, 1);
  spdlog::set_default_logger(
      spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>("flamingoyoke"));
}

auto StopLog(Duration timeout) -> bool {
  event_set_log_callback([](int, const char*) {});
  std::promise<void> written;
  auto is_written = written.get_future();
  try {
    std::thread([written = std::move(written)]() mutable {
      spdlog::shutdown();
      written.set_value();
    }).detach();
  } catch (const std::system_error&) {
    return false;
  }
  return is_written.wait_for(timeout) == std::future_status::ready;
}

auto Log(Part part, LogLevel level, std::string_view message) -> void {
  const auto spdlog_level = ToSpdlog(level);
  if (!spdlog::should_log(spdlog_level)) {
    return;
  }
  auto line = std::string(ToName(part)) + ": " + std::string(message);
  const auto skipped = CountRepeat(line);
  if (skipped < 0) {
    return;
  }
  if (skipped > 0) {
    line += " (" + std::to_string(skipped) + " repeats not shown)";
  }
  if (log_format == LogFormat::kText) {
    spdlog::log(spdlog_level, "{}", line);
    return;
  }
  const nlohmann::json record = {{"time_ms", WallClockMs()},
                                 {"level", ToName(level)},
                                 {"part", ToName(part)},
                                 {"message", line}};
  spdlog::log(
      spdlog_level, "{}",
      record.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}  // namespace flamingoyoke
