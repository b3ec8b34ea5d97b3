// Whether a grant may still be used: an entry's upper bound of the clock of
// the scheduler that gave it.
#ifndef ZINNIAGAUGE_DECIDE_CLOCK_BOUND_H
#define ZINNIAGAUGE_DECIDE_CLOCK_BOUND_H

#include "zinniagauge/board/ticket.h"
#include "zinniagauge/time/clock.h"

#include <cstdint>

namespace zinniagauge {

/// A bound that comes from a ping sent longer ago than this is not used. Its
/// slack grows with its age, so entries ping each scheduler every second.
inline constexpr Duration MaxBoundAge = std::chrono::seconds(10);

/// How much faster a scheduler's clock may run than this VM's, in parts per
/// million: several times what time daemons slew by.
inline constexpr std::int64_t MaxClockDriftPpm = 2000;

/// What a ping told of a scheduler's clock. The scheduler read it after the
/// ping was sent, so at any later moment `now` of this VM the scheduler's
/// clock shows at most `Theirs + (now - Sent)`, and drift.
struct ClockBound {
  VmId Scheduler;
  std::uint64_t Incarnation = 0; // Of the scheduler's process.
  Time SchedulerTime;            // The scheduler's clock, from its answer.
  Time SentAt;                   // This VM's clock, read before the ping.
  bool Measured = false;         // False: no ping was answered yet.
};

/// The most that the scheduler's clock can show at \p now of this VM.
[[nodiscard]] Time latestSchedulerTime(const ClockBound &cb, Time now) noexcept;

/// Takes \p seen into \p cb, which may be newer or from a process that has
/// restarted. Keeps the tighter of two bounds of one process, unless it is
/// older than half of MaxBoundAge.
void tighten(ClockBound &cb, const ClockBound &seen, Time now) noexcept;

/// Whether \p g may still be used at \p now: surely before its end on the
/// clock of the scheduler that gave it. False if \p cb is not known, too old,
/// or of another process than the grant, or if \p now is before the ping.
[[nodiscard]] bool mayUse(const ClockBound &cb, const Grant &g,
                          Time now) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_CLOCK_BOUND_H
