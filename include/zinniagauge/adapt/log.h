// Log lines by spdlog: one for each change of state, never one for each
// request. What happens often is counted instead.
#ifndef ZINNIAGAUGE_ADAPT_LOG_H
#define ZINNIAGAUGE_ADAPT_LOG_H

#include "zinniagauge/adapt/settings.h"
#include "zinniagauge/board/error.h"

#include <map>
#include <string>
#include <string_view>

namespace zinniagauge {

/// One line, before it is written.
struct LogEntry {
  LogLevel Level = LogLevel::Info;
  Step At = Step::Settings;
  std::string_view Peer;    // Name or address; empty if none is involved.
  std::string_view Message; // One sentence without a full stop.
};

/// Starts logging for the node \p vm of zone \p zone. Call it once, in main;
/// lines logged before are dropped. Fails with Unavailable if the log's file
/// can't be opened.
[[nodiscard]] Result<void> startLog(const LogSettings &set, std::string_view vm,
                                    std::string_view zone);

/// Writes out what is left and ends logging.
void stopLog();

/// Logs a change of state. Never waits: if lines come faster than they can be
/// written, the oldest are dropped.
void logChange(const LogEntry &line);

/// Logs an error that changed the state.
void logError(const Error &err);

/// \p line as it is written: a JSON object or plain text.
[[nodiscard]] std::string formatLine(LogFormat format, const LogEntry &line,
                                     std::string_view vm, std::string_view zone,
                                     std::string_view utc);

/// Remembers the state of each subject, so that only changes are logged. For
/// one thread.
class StateLog {
public:
  explicit StateLog(Step at) : LoggedStep(at) {}

  /// Logs that \p peer is now \p state, unless it was that already.
  void logIfChanged(LogLevel level, std::string_view peer,
                    std::string_view state);

private:
  Step LoggedStep;
  std::map<std::string, std::string, std::less<>> LastStates; // By peer.
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_LOG_H
