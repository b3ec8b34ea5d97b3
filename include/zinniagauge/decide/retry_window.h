// The retry budget, which each process keeps over a sliding window.
#ifndef ZINNIAGAUGE_DECIDE_RETRY_WINDOW_H
#define ZINNIAGAUGE_DECIDE_RETRY_WINDOW_H

#include "zinniagauge/time/clock.h"

#include <array>
#include <cstdint>

namespace zinniagauge {

/// How many retries are allowed.
struct RetryLimits {
  double Ratio = 0.2; // Retries for each first send in a window.
  double Slack = 0;   // Number of retries beyond that.
  Duration Window = std::chrono::seconds(10);
};

/// The limits of one process out of \p processes; \p all are the limits of all
/// of them together. A tenth of the ratio and a fifth of the slack are kept in
/// reserve, since the limits have to hold over a window that starts at any
/// time, and processes start and stop.
[[nodiscard]] RetryLimits limitsPerProcess(const RetryLimits &all,
                                           std::uint32_t processes) noexcept;

/// The sends to one pool, counted in slices of the window.
struct RetryWindow {
  static constexpr std::size_t Slices = 20;
  struct Slice {
    std::int64_t Number = -1;
    std::uint32_t FirstSends = 0;
    std::uint32_t Retries = 0;
  };
  std::array<Slice, Slices> Ring{};
};

/// Counts a call's first send.
void countFirstSend(RetryWindow &win, const RetryLimits &lim,
                    Time now) noexcept;

/// Whether one more retry is within the limits.
[[nodiscard]] bool hasRetryBudget(const RetryWindow &win,
                                  const RetryLimits &lim, Time now) noexcept;

/// Whether one more retry is within the limits; if so, it is counted.
[[nodiscard]] bool takeRetry(RetryWindow &win, const RetryLimits &lim,
                             Time now) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_RETRY_WINDOW_H
