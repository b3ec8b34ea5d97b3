// Types for points in time and spans of time, and functions that read the
// clocks. Decisions receive the time as an argument, so that tests can run them
// on simulated time.
#ifndef ZINNIAGAUGE_TIME_CLOCK_H
#define ZINNIAGAUGE_TIME_CLOCK_H

#include <chrono>
#include <cstdint>

namespace zinniagauge {

/// A span of time in nanoseconds.
using Duration = std::chrono::nanoseconds;

/// A point on the monotonic clock of this VM. The epoch differs between VMs, so
/// a message that carries such a time also says which VM's clock it is from.
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// A point in wall-clock time, in milliseconds since 1970. It may jump, so it
/// is used only for deadlines that operators set.
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

/// Reads the monotonic clock. Only programs and adapters call this; decisions
/// receive the time as an argument.
[[nodiscard]] Time monotonicNow() noexcept;

/// Reads the clock that, unlike the monotonic clock, also counts the time for
/// which the machine was suspended. It measures the age of data on which
/// permissions depend.
[[nodiscard]] Time bootNow() noexcept;

/// Reads the wall clock. Only programs and adapters call this.
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
