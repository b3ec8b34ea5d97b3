#include "zinniagauge/decide/retry.h"

#include <algorithm>

namespace zinniagauge {

void earnRetry(RetryBudget &rb) noexcept {
  rb.BalanceMilli =
      std::min(rb.MaxMilli, rb.BalanceMilli + rb.PerCompletionMilli);
}

bool spendRetry(RetryBudget &rb) noexcept {
  if (rb.BalanceMilli < RetryCostMilli)
    return false;
  rb.BalanceMilli -= RetryCostMilli;
  return true;
}

Duration backoffWait(const Backoff &bo, std::uint32_t n,
                     std::uint64_t random) noexcept {
  constexpr std::uint32_t MaxDoublings = 20;
  const std::uint32_t doublings = std::min(n > 0 ? n - 1 : 0, MaxDoublings);
  const Duration span =
      std::min(bo.Max, bo.Initial * (std::int64_t{1} << doublings));
  const std::int64_t half = span.count() / 2;
  return Duration(half + static_cast<std::int64_t>(
                             random % static_cast<std::uint64_t>(half + 1)));
}

} // namespace zinniagauge
