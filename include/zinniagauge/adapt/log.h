// Logging with spdlog. A line is logged for each change of state, never for
// each request; frequent events are counted in the metrics instead.
#ifndef ZINNIAGAUGE_ADAPT_LOG_H
#define ZINNIAGAUGE_ADAPT_LOG_H

#include "zinniagauge/adapt/settings.h"
#include "zinniagauge/board/error.h"

#include <map>
#include <string>
#include <string_view>

namespace zinniagauge {

/// The content of one log line.
struct LogEntry {
  LogLevel Level = LogLevel::Info;
  Step FailedStep = Step::Settings;
  std::string_view Peer;    // Name or address of the other side; empty: none.
  std::string_view Message; // One sentence without a full stop.
};

/// Starts logging for the node \p vm in zone \p zone. Must be called once, from
/// main, before other threads start; lines logged earlier are dropped. Fails
/// with Unavailable if the log file can't be opened.
[[nodiscard]] Result<void> startLog(const LogSettings &set, std::string_view vm,
                                    std::string_view zone);

/// Writes the queued lines and stops logging; later lines are dropped.
void stopLog();

/// Logs a change of state. Any thread may call it. Never blocks on output: if
/// lines arrive faster than they can be written, the oldest are dropped.
void logChange(const LogEntry &line);

/// Logs an error that changed the state, with its step and peer.
void logError(const Error &err);

/// Formats \p line as a JSON object or plain text; \p utc is its time.
[[nodiscard]] std::string formatLine(LogFormat format, const LogEntry &line,
                                     std::string_view vm, std::string_view zone,
                                     std::string_view utc);

/// Remembers the last state of each peer so that only changes are logged. Not
/// thread-safe.
class StateLog {
public:
  explicit StateLog(Step step) : LoggedStep(step) {}

  /// Logs that \p peer is now in \p state, unless that was its last state.
  void logIfChanged(LogLevel level, std::string_view peer,
                    std::string_view state);

private:
  Step LoggedStep;
  std::map<std::string, std::string, std::less<>> LastStates; // Keyed by peer.
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_LOG_H
