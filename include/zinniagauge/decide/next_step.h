// Decides what follows when an attempt at a back end has ended without a
// complete response.
#ifndef ZINNIAGAUGE_DECIDE_NEXT_STEP_H
#define ZINNIAGAUGE_DECIDE_NEXT_STEP_H

#include "zinniagauge/board/traffic_plan.h"

#include <cstdint>
#include <string_view>

namespace zinniagauge {

/// How an attempt ended.
enum class AttemptEnd : std::uint8_t {
  NotSent, ///< To no back end: no connection was established, or a relay peer
           ///< passed the call to none.
  NotRun,  ///< The back end reported that it hasn't run the call.
  Failed,  ///< The back end responded with a failure.
  Lost,    ///< The connection or the response broke off; the call may have run.
};

/// What to do next with a call.
enum class NextStep : std::uint8_t {
  Retry,          ///< Send the call to another back end.
  ForwardFailure, ///< Forward the back end's failure to the caller.
  Refuse,         ///< Respond that the call hasn't run and may be retried.
  ReportUnknown,  ///< Respond that the outcome is unknown.
  AbortStream, ///< Abort the caller's stream, so that it doesn't look complete.
};

/// The state of a call on which the next step depends.
struct CallFacts {
  CallKind Kind = CallKind::Safe;
  bool Resumable = false;
  bool ResponseStarted = false;   // Part of a response was sent to the caller.
  bool MayHaveRun = false;        // In one of the attempts so far.
  std::uint32_t SentAttempts = 0; // Attempts of which bytes may have been sent.
  std::uint32_t MaxAttempts = 1;  // The route's limit.
  std::uint32_t UnreachableAttempts = 0; // Attempts that got no connection.
  /// Rejections of a stream in progress that don't count in SentAttempts.
  std::uint32_t ForgivenRejections = 0;
  bool HasTimeLeft = true;
};

/// The number of unreachable back ends after which a call is refused.
inline constexpr std::uint32_t MaxUnreachableAttempts = 4;

/// The number of rejections that a stream in progress survives beyond its
/// attempts.
inline constexpr std::uint32_t MaxForgivenRejections = 4;

/// Whether a call may run more than once.
[[nodiscard]] bool isRetrySafe(const CallFacts &facts) noexcept;

/// Whether a further attempt is allowed, apart from the retry budget.
[[nodiscard]] bool mayRetry(const CallFacts &facts, AttemptEnd end) noexcept;

/// The next step. \p retry says whether mayRetry and the retry budget allowed
/// another attempt.
[[nodiscard]] NextStep nextStep(const CallFacts &facts, AttemptEnd end,
                                bool retry) noexcept;

[[nodiscard]] std::string_view toString(AttemptEnd end) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_NEXT_STEP_H
