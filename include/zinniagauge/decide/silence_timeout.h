// How long a back end may be silent before a call that is safe to retry is sent
// to another one.
#ifndef ZINNIAGAUGE_DECIDE_SILENCE_TIMEOUT_H
#define ZINNIAGAUGE_DECIDE_SILENCE_TIMEOUT_H

#include "zinniagauge/time/clock.h"

#include <algorithm>

namespace zinniagauge {

/// The state of a call that waits for bytes from its back end.
struct SilenceFacts {
  bool ResponseStarted = false;  // Part of the response has arrived.
  bool OtherCallsActive = false; // The back end responds to other calls.
  /// Target for the response or its first event.
  Duration LatencyTarget = Duration::zero();
  Duration GapTarget = Duration::zero(); // Target for the gap between events.
  /// Estimated time to the first event, from the call's work.
  Duration ExpectedFirstEvent = Duration::zero();
};

/// The shortest timeout for the first byte; services respond within about 100
/// ms.
inline constexpr Duration MinFirstByteTimeout = std::chrono::milliseconds(400);

/// The shortest timeout between two parts of a response; callers abandon a
/// stream that pauses for two seconds.
inline constexpr Duration MinGapTimeout = std::chrono::milliseconds(1000);

/// How long the back end may be silent on this connection.
[[nodiscard]] constexpr Duration
silenceTimeout(const SilenceFacts &facts) noexcept {
  const Duration base =
      facts.ResponseStarted
          ? std::max(MinGapTimeout, facts.GapTarget * 2)
          : std::max(MinFirstByteTimeout, facts.LatencyTarget) +
                facts.ExpectedFirstEvent * 2;
  // A back end that responds to other calls is alive; only this connection may
  // be dead.
  return facts.OtherCallsActive ? base * 5 / 2 : base;
}

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_SILENCE_TIMEOUT_H
