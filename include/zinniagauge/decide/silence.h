// How long a back end may be silent before a call that may be repeated is sent
// to another.
#ifndef ZINNIAGAUGE_DECIDE_SILENCE_H
#define ZINNIAGAUGE_DECIDE_SILENCE_H

#include "zinniagauge/time/clock.h"

#include <algorithm>

namespace zinniagauge {

/// What is known of a call that waits for bytes.
struct SilenceFacts {
  bool Begun = false;       // Part of its answer has come.
  bool OthersHeard = false; // The back end answers other calls meanwhile.
  Duration Target = Duration::zero();    // Of the answer or its first event.
  Duration GapTarget = Duration::zero(); // Of the pause between events.
  Duration Expected = Duration::zero();  // Until the first event, by its work.
};

/// The least wait before a first byte; services answer within some 100 ms.
inline constexpr Duration LeastFirst = std::chrono::milliseconds(400);

/// The least wait between two parts of an answer; callers leave a stream that
/// pauses for two seconds.
inline constexpr Duration LeastGap = std::chrono::milliseconds(1000);

/// How long the back end may be silent on this connection.
[[nodiscard]] constexpr Duration
toleratedSilence(const SilenceFacts &facts) noexcept {
  const Duration base =
      facts.Begun ? std::max(LeastGap, facts.GapTarget * 2)
                  : std::max(LeastFirst, facts.Target) + facts.Expected * 2;
  // One that answers others is alive; then only this connection may be dead.
  return facts.OthersHeard ? base * 5 / 2 : base;
}

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_SILENCE_H
