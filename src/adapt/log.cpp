// Formats log lines and writes them by spdlog's asynchronous logger.

#include "zinniagauge/adapt/log.h"

#include "zinniagauge/time/clock.h"

#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <array>
#include <cstdio>
#include <ctime>

namespace zinniagauge {

namespace {

/// Maximum number of lines queued for the writing thread.
constexpr std::size_t MaxQueuedLines = 4096;

/// The state of logging that spdlog does not hold. Set by main before any other
/// thread starts, so reading it needs no lock.
struct LogState {
  std::shared_ptr<spdlog::logger> Logger;
  LogFormat Format = LogFormat::Json;
  std::string Vm;
  std::string Zone;
};

LogState &logState() {
  static LogState st;
  return st;
}

spdlog::level::level_enum levelOf(LogLevel level) noexcept {
  switch (level) {
  case LogLevel::Debug:
    return spdlog::level::debug;
  case LogLevel::Info:
    return spdlog::level::info;
  case LogLevel::Warn:
    return spdlog::level::warn;
  case LogLevel::Error:
    break;
  }
  return spdlog::level::err;
}

std::string_view nameOf(LogLevel level) noexcept {
  constexpr std::array<std::string_view, 4> Names = {"debug", "info", "warn",
                                                     "error"};
  return Names[static_cast<std::size_t>(level)];
}

/// Formats a time such as "2026-12-04T08:00:00.123Z".
std::string utcText(WallTime t) {
  const auto secs = std::chrono::floor<std::chrono::seconds>(t);
  const std::time_t unixsecs = std::chrono::system_clock::to_time_t(secs);
  std::tm tm{};
  ::gmtime_r(&unixsecs, &tm);
  std::array<char, 40> buf{};
  const std::size_t n =
      std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%S", &tm);
  const auto ms = static_cast<int>((t - secs).count());
  std::snprintf(buf.data() + n, buf.size() - n, ".%03dZ", ms);
  return buf.data();
}

spdlog::sink_ptr makeSink(const LogSettings &set) {
  if (set.File.empty())
    return std::make_shared<spdlog::sinks::stderr_sink_mt>();
  return std::make_shared<spdlog::sinks::basic_file_sink_mt>(set.File);
}

} // namespace

std::string formatLine(LogFormat format, const LogEntry &line,
                       std::string_view vm, std::string_view zone,
                       std::string_view utc) {
  if (format == LogFormat::Json) {
    nlohmann::ordered_json doc = {{"time", utc},
                                  {"level", nameOf(line.Level)},
                                  {"node", vm},
                                  {"zone", zone},
                                  {"step", toString(line.FailedStep)},
                                  {"peer", line.Peer},
                                  {"message", line.Message}};
    return doc.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  }
  std::string text(utc);
  text.append(" ").append(nameOf(line.Level));
  text.append(" ").append(vm).append(" ").append(zone);
  text.append(" ").append(toString(line.FailedStep));
  if (!line.Peer.empty())
    text.append(" at ").append(line.Peer);
  return text.append(": ").append(line.Message);
}

Result<void> startLog(const LogSettings &set, std::string_view vm,
                      std::string_view zone) {
  LogState &st = logState();
  try {
    spdlog::init_thread_pool(MaxQueuedLines, 1);
    st.Logger = std::make_shared<spdlog::async_logger>(
        "zinniagauge", makeSink(set), spdlog::thread_pool(),
        spdlog::async_overflow_policy::overrun_oldest);
  } catch (const spdlog::spdlog_ex &ex) {
    return fail({ErrorCode::Unavailable, Step::Settings, set.File, ex.what()});
  }
  st.Logger->set_pattern("%v");
  st.Logger->set_level(levelOf(set.Level));
  st.Logger->flush_on(spdlog::level::debug);
  st.Format = set.Format;
  st.Vm = vm;
  st.Zone = zone;
  return {};
}

void stopLog() {
  logState().Logger.reset();
  spdlog::shutdown();
}

void logChange(const LogEntry &line) {
  const LogState &st = logState();
  const auto level = levelOf(line.Level);
  if (!st.Logger || !st.Logger->should_log(level))
    return;
  const std::string text =
      formatLine(st.Format, line, st.Vm, st.Zone, utcText(wallNow()));
  st.Logger->log(level, spdlog::string_view_t(text));
}

void logError(const Error &err) {
  const std::string text =
      std::string(toString(err.Code)) +
      (err.Detail.empty() ? std::string() : ": " + err.Detail);
  logChange({LogLevel::Error, err.FailedStep, err.Peer, text});
}

void StateLog::logIfChanged(LogLevel level, std::string_view peer,
                            std::string_view state) {
  const auto it = LastStates.find(peer);
  if (it != LastStates.end() && it->second == state)
    return;
  const std::string text = it == LastStates.end()
                               ? std::string(state)
                               : it->second + " -> " + std::string(state);
  LastStates.insert_or_assign(std::string(peer), std::string(state));
  logChange({level, LoggedStep, peer, text});
}

} // namespace zinniagauge
