// How long a back end may be silent before a call that may be repeated is sent
// to another.
#ifndef ZINNIAGAUGE_DECIDE_SILENCE_TIMEOUT_H
#define ZINNIAGAUGE_DECIDE_SILENCE_TIMEOUT_H

#include "zinniagauge/time/clock.h"

#include <algorithm>

namespace zinniagauge {

/// What is known of a call that waits for bytes.
struct SilenceFacts {
  bool ResponseStarted = false;  // Part of its answer has come.
  bool OtherCallsActive = false; // The back end answers other calls meanwhile.
  Duration LatencyTarget =
      Duration::zero();                  // Of the answer or its first event.
  Duration GapTarget = Duration::zero(); // Of the pause between events.
  Duration ExpectedFirstEvent =
      Duration::zero(); // Until the first event, by its work.
};

/// The least wait before a first byte; services answer within some 100 ms.
inline constexpr Duration MinFirstByteTimeout = std::chrono::milliseconds(400);

/// The least wait between two parts of an answer; callers leave a stream that
/// pauses for two seconds.
inline constexpr Duration MinGapTimeout = std::chrono::milliseconds(1000);

/// How long the back end may be silent on this connection.
[[nodiscard]] constexpr Duration
silenceTimeout(const SilenceFacts &facts) noexcept {
  const Duration base =
      facts.ResponseStarted
          ? std::max(MinGapTimeout, facts.GapTarget * 2)
          : std::max(MinFirstByteTimeout, facts.LatencyTarget) +
                facts.ExpectedFirstEvent * 2;
  // One that answers others is alive; then only this connection may be dead.
  return facts.OtherCallsActive ? base * 5 / 2 : base;
}

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_SILENCE_TIMEOUT_H
