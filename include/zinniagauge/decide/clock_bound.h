// Decides whether a grant may still be used, by an upper bound of the clock of
// the scheduler that issued it.
#ifndef ZINNIAGAUGE_DECIDE_CLOCK_BOUND_H
#define ZINNIAGAUGE_DECIDE_CLOCK_BOUND_H

#include "zinniagauge/board/ticket.h"
#include "zinniagauge/time/clock.h"

#include <cstdint>

namespace zinniagauge {

/// A bound from a ping that was sent longer ago than this is not used. Its
/// uncertainty grows with its age, so entries ping each scheduler every second.
inline constexpr Duration MaxBoundAge = std::chrono::seconds(10);

/// How much faster a scheduler's clock may run than this VM's, in parts per
/// million: several times the rate at which time daemons slew a clock.
inline constexpr std::int64_t MaxClockDriftPpm = 2000;

/// A measurement of a scheduler's clock by a ping. The scheduler read its clock
/// after the ping was sent, so at any later time `now` of this VM the
/// scheduler's clock shows at most `SchedulerTime + (now - SentAt)`, plus
/// drift.
struct ClockBound {
  VmId Scheduler;
  std::uint64_t Incarnation = 0; // Of the scheduler's process.
  Time SchedulerTime;            // The scheduler's clock, from its response.
  Time SentAt;           // This VM's clock, read before the ping was sent.
  bool Measured = false; // False: no ping has been answered yet.
};

/// The latest time that the scheduler's clock can show at \p now of this VM.
[[nodiscard]] Time latestSchedulerTime(const ClockBound &cb, Time now) noexcept;

/// Updates \p cb with \p measured, which may be newer or from a restarted
/// process. Of two bounds of one process the tighter one is kept, unless it is
/// older than half of MaxBoundAge.
void tighten(ClockBound &cb, const ClockBound &measured, Time now) noexcept;

/// Whether \p g may be used at \p now, that is, whether it certainly has not
/// expired on the clock of the scheduler that issued it. False if \p cb has no
/// measurement, is too old or belongs to another process than the grant, or if
/// \p now is before the ping.
[[nodiscard]] bool mayUse(const ClockBound &cb, const Grant &g,
                          Time now) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_CLOCK_BOUND_H
