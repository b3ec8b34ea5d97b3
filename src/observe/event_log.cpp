// Formats event lines and writes them out from a thread of their own.
#include "zinniagauge/observe/event_log.h"

#include <nlohmann/json.hpp>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>

namespace zinniagauge {

namespace {

/// How often lines are written out: long enough that the thread costs little
/// compared to handling calls, short enough that a killed process loses few
/// lines.
constexpr Duration FlushPeriod = std::chrono::milliseconds(200);

/// Limit of buffered bytes; with FlushPeriod it limits the output to 480 KB/s.
constexpr std::size_t MaxPendingBytes = std::size_t{96} << 10U;

/// How often the thread looks for the end of the process while standard output
/// takes nothing.
constexpr std::chrono::milliseconds WritablePeriod{50};

/// How long the end of the process waits for standard output.
constexpr Duration EndPatience = std::chrono::milliseconds(100);

/// Whether standard output takes PIPE_BUF bytes without blocking, within
/// WritablePeriod.
bool isWritable() noexcept {
  pollfd out{STDOUT_FILENO, POLLOUT, 0};
  return ::poll(&out, 1, static_cast<int>(WritablePeriod.count())) != 0;
}

bool needsEscape(std::string_view text) noexcept {
  return std::any_of(text.begin(), text.end(), [](unsigned char c) {
    return c < 0x20 || c == '"' || c == '\\' || c >= 0x7f;
  });
}

void appendText(std::string &out, std::string_view text) {
  if (needsEscape(text)) {
    out += nlohmann::json(text).dump(-1, ' ', true,
                                     nlohmann::json::error_handler_t::replace);
    return;
  }
  out.append("\"").append(text).append("\"");
}

} // namespace

EventLine eventLine(std::string_view event) {
  EventLine line;
  constexpr std::size_t TypicalLineBytes = 240;
  line.Text.reserve(TypicalLineBytes);
  add(line, "event", event);
  return line;
}

void add(EventLine &line, std::string_view key, std::string_view val) {
  line.Text.append(",\"").append(key).append("\":");
  appendText(line.Text, val);
}

void add(EventLine &line, std::string_view key, std::int64_t val) {
  line.Text.append(",\"").append(key).append("\":");
  line.Text.append(std::to_string(val));
}

void add(EventLine &line, std::string_view key, Duration val) {
  add(line, key,
      std::int64_t{
          std::chrono::duration_cast<std::chrono::milliseconds>(val).count()});
}

void add(EventLine &line, const Error &err) {
  add(line, "step", toString(err.FailedStep));
  add(line, "peer", err.Peer);
  add(line, "code", toString(err.Code));
  add(line, "detail", err.Detail);
}

EventLog::EventLog(std::string node, EventLevel level)
    : Node(std::move(node)), Level(level), Thread([this] { run(); }) {}

EventLog::~EventLog() {
  {
    const std::lock_guard<std::mutex> lk(Mutex);
    Stopping = true;
  }
  StopRequested.notify_one();
  Thread.join();
}

void EventLog::write(const EventLine &line) {
  const std::int64_t ms = wallNow().time_since_epoch().count();
  const std::lock_guard<std::mutex> lk(Mutex);
  if (Pending.size() + line.Text.size() > MaxPendingBytes) {
    ++Dropped;
    return;
  }
  Pending.append("{\"ms\":").append(std::to_string(ms));
  Pending.append(",\"node\":\"").append(Node).append("\"");
  Pending.append(line.Text).append("}\n");
}

/// Writes \p text to standard output. Gives up if that is closed, or if it
/// takes nothing while the process ends.
void EventLog::writeOut(std::string_view text) const {
  Time progress = monotonicNow();
  while (!text.empty()) {
    ssize_t n = 0;
    if (isWritable())
      n = ::write(STDOUT_FILENO, text.data(),
                  std::min<std::size_t>(text.size(), PIPE_BUF));
    if (n < 0 && errno != EINTR && errno != EAGAIN)
      return;
    if (n > 0) {
      text.remove_prefix(static_cast<std::size_t>(n));
      progress = monotonicNow();
    } else if (Stopping && monotonicNow() - progress > EndPatience) {
      return;
    }
  }
}

void EventLog::run() {
  std::uint64_t reported = 0;
  std::unique_lock<std::mutex> lk(Mutex);
  for (;;) {
    StopRequested.wait_for(lk, FlushPeriod, [this] { return Stopping.load(); });
    std::string out;
    out.swap(Pending);
    const bool end = Stopping;
    lk.unlock();
    if (const std::uint64_t lost = Dropped; lost != reported) {
      const std::int64_t ms = wallNow().time_since_epoch().count();
      out += "{\"ms\":" + std::to_string(ms) + ",\"node\":\"" + Node +
             "\",\"event\":\"log_lines_dropped\"," +
             "\"count\":" + std::to_string(lost - reported) + "}\n";
      reported = lost;
    }
    writeOut(out);
    if (end)
      return;
    lk.lock();
  }
}

} // namespace zinniagauge
