// Points in time and spans of time, without a source of either: decisions get
// the time as a value, so that tests can run them on a time of their own.
#ifndef ZINNIAGAUGE_TIME_CLOCK_H
#define ZINNIAGAUGE_TIME_CLOCK_H

#include <chrono>
#include <cstdint>

namespace zinniagauge {

/// A span of time in nanoseconds.
using Duration = std::chrono::nanoseconds;

/// A point on the monotonic clock of this VM; its epoch differs from VM to VM,
/// so a message never carries one without saying whose it is.
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// A point in civil time, in milliseconds since 1970. Only deadlines that
/// operators state use it; it may jump.
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

/// Reads the monotonic clock. Only programs and adapters call this; decisions
/// are handed the time.
[[nodiscard]] Time monotonicNow() noexcept;

/// Reads the clock that also counts the time for which the machine was
/// suspended. Ages that permission depends on are measured on it.
[[nodiscard]] Time bootNow() noexcept;

/// Reads the civil clock. Only programs and adapters call this.
[[nodiscard]] WallTime wallNow() noexcept;

/// The nanoseconds from the clock's epoch to \p t, for messages.
[[nodiscard]] constexpr std::int64_t toNanos(Time t) noexcept {
  return t.time_since_epoch().count();
}

/// The inverse of toNanos.
[[nodiscard]] constexpr Time fromNanos(std::int64_t n) noexcept {
  return Time(Duration(n));
}

} // namespace zinniagauge

#endif // ZINNIAGAUGE_TIME_CLOCK_H
