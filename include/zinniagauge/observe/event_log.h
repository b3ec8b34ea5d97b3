// Structured event lines on standard output, one JSON object each. Writers
// never wait for output: a thread of the log writes out the buffered lines.
// Lines that don't fit into the buffer are dropped, and their number is logged.
#ifndef ZINNIAGAUGE_OBSERVE_EVENT_LOG_H
#define ZINNIAGAUGE_OBSERVE_EVENT_LOG_H

#include "zinniagauge/board/error.h"
#include "zinniagauge/time/clock.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace zinniagauge {

/// Which events are logged.
enum class EventLevel : std::uint8_t {
  Calls,   ///< Also every decision about a call.
  Changes, ///< Only changes of the process's state.
};

/// One line that is being built.
struct EventLine {
  std::string Text;
};

/// Starts a line for \p event.
[[nodiscard]] EventLine eventLine(std::string_view event);

/// Adds a field. Text values are escaped, but keys are not. Durations are
/// written in milliseconds.
void add(EventLine &line, std::string_view key, std::string_view val);
void add(EventLine &line, std::string_view key, std::int64_t val);
void add(EventLine &line, std::string_view key, Duration val);

/// Adds the fields of \p err.
void add(EventLine &line, const Error &err);

/// The log of a process.
class EventLog {
public:
  /// Starts the writing thread.
  EventLog(std::string node, EventLevel level);
  EventLog(const EventLog &) = delete;
  EventLog &operator=(const EventLog &) = delete;
  /// Writes out the remaining lines, as far as standard output takes them, and
  /// stops the thread.
  ~EventLog();

  /// Whether lines about single calls are logged.
  [[nodiscard]] bool logsCalls() const noexcept {
    return Level.load(std::memory_order_relaxed) == EventLevel::Calls;
  }
  void setLevel(EventLevel level) noexcept { Level = level; }

  /// Buffers a finished line with the time and the node's name, or drops it if
  /// the buffer is full. Any thread may call it.
  void write(const EventLine &line);

  /// Lines dropped so far.
  [[nodiscard]] std::uint64_t dropped() const noexcept { return Dropped; }

private:
  void run();
  void writeOut(std::string_view text) const;

  std::string Node;
  std::atomic<EventLevel> Level;
  std::atomic<std::uint64_t> Dropped{0};
  std::mutex Mutex;
  std::condition_variable StopRequested;
  std::string Pending;
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_OBSERVE_EVENT_LOG_H
