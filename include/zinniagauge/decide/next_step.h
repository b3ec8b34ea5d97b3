// What follows when an attempt at a back end has ended without a whole answer.
#ifndef ZINNIAGAUGE_DECIDE_NEXT_STEP_H
#define ZINNIAGAUGE_DECIDE_NEXT_STEP_H

#include "zinniagauge/board/traffic_plan.h"

#include <cstdint>
#include <string_view>

namespace zinniagauge {

/// How an attempt ended.
enum class AttemptEnd : std::uint8_t {
  NotSent, ///< No byte left: no connection came to be.
  NotRun,  ///< The back end says that it hasn't run the call.
  Failed,  ///< The back end answered with a failure of its own.
  Lost,    ///< The connection or the answer broke; the call may have run.
};

/// What the owner of a call does next.
enum class NextStep : std::uint8_t {
  Retry,          ///< Send it to another back end.
  ForwardFailure, ///< Give the back end's own failure to the caller.
  Refuse,         ///< Tell the caller that it hasn't run and may come back.
  ReportUnknown,  ///< Tell the caller that the outcome isn't known.
  AbortStream,    ///< End the caller's stream so that it doesn't look whole.
};

/// What is known of a call.
struct CallFacts {
  CallKind Kind = CallKind::Safe;
  bool Resumable = false;
  bool ResponseStarted = false;   // Part of an answer went to the caller.
  bool MayHaveRun = false;        // In some attempt so far.
  std::uint32_t SentAttempts = 0; // Attempts whose bytes may have left.
  std::uint32_t MaxAttempts = 1;  // Of the route.
  std::uint32_t UnreachableAttempts = 0; // Attempts that found no connection.
  bool HasTimeLeft = true;
};

/// Back ends that one call may find unreachable before it is refused.
inline constexpr std::uint32_t MaxUnreachableAttempts = 4;

/// Whether a call may run more than once.
[[nodiscard]] bool isRetrySafe(const CallFacts &facts) noexcept;

/// Whether a further attempt is allowed at all, budget aside.
[[nodiscard]] bool mayRetry(const CallFacts &facts, AttemptEnd end) noexcept;

/// What to do, given whether mayTryAgain and the retry budget allowed another
/// attempt.
[[nodiscard]] NextStep nextStep(const CallFacts &facts, AttemptEnd end,
                                bool again) noexcept;

[[nodiscard]] std::string_view toString(AttemptEnd end) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_NEXT_STEP_H
