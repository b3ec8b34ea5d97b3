// Forecasts when a waiting call will be sent, and decides from it whether the
// call waits or is refused, and when a refused caller should return.
#ifndef ZINNIAGAUGE_DECIDE_ADMISSION_FORECAST_H
#define ZINNIAGAUGE_DECIDE_ADMISSION_FORECAST_H

#include "zinniagauge/time/clock.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace zinniagauge {

/// The rate at which one front sends the calls of a pool while some wait, as a
/// moving average. Time without waiting calls doesn't count.
struct ServiceRate {
  bool CallsWait = false;
  std::uint32_t Sends = 0; // Counted since the average was started.
  double Average = 0;      // Sends a second, not corrected for a short Span.
  Duration Span = Duration::zero();          // Time measured so far.
  Duration SinceLastSend = Duration::zero(); // Time measured since then.
  Time UpdatedAt;
};

/// Records whether calls wait for the pool from \p now on. Drops what was
/// measured before a long time without waiting calls.
void setCallsWait(ServiceRate &rate, bool wait, Time now) noexcept;

/// Counts a send at \p now if calls wait.
void countSend(ServiceRate &rate, Time now) noexcept;

/// The rate at \p now in calls a second; nothing until it is measured. Falls
/// quickly when sends stop.
[[nodiscard]] std::optional<double> sendsPerSecond(const ServiceRate &rate,
                                                   Time now) noexcept;

/// The calls that wait for a pool, as seen by a call that waits or would.
struct WaitingCalls {
  std::size_t Ahead = 0;       // At this front, of a better rank.
  std::size_t Own = 0;         // At this front, without the call itself.
  std::uint32_t Elsewhere = 0; // At all other fronts.
  std::uint32_t LivingFronts = 1;
  bool MostUrgent = false; // No calls elsewhere are of a better rank.
};

/// The time until a call behind \p waiting is sent if the front goes on to send
/// \p persecond calls a second.
[[nodiscard]] Duration forecastStart(const WaitingCalls &waiting,
                                     double persecond) noexcept;

/// How long a call remains useful.
struct WaitLimits {
  Time Arrived;
  Time Deadline;
  Duration LatencyTarget = Duration::zero();
  Duration ExpectedRun = Duration::zero(); // From its start to its end.
  bool MostUrgent = false;
  /// It may have run, so that a refusal wouldn't tell its caller anything.
  bool MayHaveRun = false;
  /// Its caller states less time than its route allows: it may have been
  /// refused before.
  bool LittleTimeLeft = false;
};

/// Why a call is refused.
enum class WaitRefusal : std::uint8_t {
  None,           ///< It isn't.
  TargetMissed,   ///< It would start too long after its latency target.
  DeadlineMissed, ///< It couldn't end before its deadline.
};

/// The name of \p reason in responses, logs and metrics.
[[nodiscard]] std::string_view toString(WaitRefusal reason) noexcept;

/// Whether a call waits.
struct WaitDecision {
  WaitRefusal Refusal = WaitRefusal::None;
  Time DecideAgainAt; // Of a call that waits.
};

/// Decides whether a call waits whose start is expected after \p forecast. \p
/// waiting: it has been accepted before, so that it isn't refused for a small
/// change of the forecast.
[[nodiscard]] WaitDecision decideAdmission(const WaitLimits &limits,
                                           Duration forecast, bool waiting,
                                           Time now) noexcept;

/// When the pool has room for the next caller that returns. Refused callers
/// are part of the backlog although they don't wait in a queue.
struct ReturnSchedule {
  Time RoomAt;
};

/// The time after which a refused caller should return: until the backlog and
/// the callers refused before leave room for it, spread at random so that
/// callers don't return together. At least \p least, and at most a third of the
/// time that the caller has left, which goes before \p least. \p random is the
/// state of a generator.
[[nodiscard]] Duration retryAfter(ReturnSchedule &schedule,
                                  const WaitLimits &limits, Duration forecast,
                                  double persecond, Duration least, Time now,
                                  std::uint64_t &random) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_ADMISSION_FORECAST_H
