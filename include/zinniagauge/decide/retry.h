// Limits on retries: how many a worker may add to its load, and the backoff
// before each.
#ifndef ZINNIAGAUGE_DECIDE_RETRY_H
#define ZINNIAGAUGE_DECIDE_RETRY_H

#include "zinniagauge/decide/random.h"
#include "zinniagauge/time/clock.h"

#include <cstdint>

namespace zinniagauge {

/// What one retry costs a RetryBudget, in thousandths of a retry.
inline constexpr std::uint32_t RetryCostMilli = 1000;

/// A token bucket that completed requests fill. Retries stay a small share of
/// the work that succeeds, so that they can't multiply an overload.
struct RetryBudget {
  std::uint32_t BalanceMilli = 10000;     // Available now.
  std::uint32_t MaxMilli = 100000;        // The bucket's size.
  std::uint32_t PerCompletionMilli = 100; // Added by a completed request.
};

/// Adds what one completed request earns.
void earnRetry(RetryBudget &rb) noexcept;

/// Takes one retry out of the budget; returns false if too little is left.
[[nodiscard]] bool spendRetry(RetryBudget &rb) noexcept;

/// Bounds of the exponential backoff before a retry.
struct Backoff {
  Duration Initial = std::chrono::milliseconds(10);
  Duration Max = std::chrono::seconds(1);
};

/// The wait before retry \p n, counted from 1: uniform between half and all of
/// a span that doubles with each retry. \p random is any random number.
[[nodiscard]] Duration backoffWait(const Backoff &bo, std::uint32_t n,
                                   std::uint64_t random) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_RETRY_H
