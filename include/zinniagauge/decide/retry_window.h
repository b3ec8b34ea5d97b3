// The budget of repeated sends, kept as a sliding window by each process.
#ifndef ZINNIAGAUGE_DECIDE_RETRY_WINDOW_H
#define ZINNIAGAUGE_DECIDE_RETRY_WINDOW_H

#include "zinniagauge/time/clock.h"

#include <array>
#include <cstdint>

namespace zinniagauge {

/// What repeats are allowed over all processes.
struct RetryLimits {
  double Ratio = 0.2; // Of the first sends in a window.
  double Slack = 0;   // Of this process, beyond that.
  Duration Window = std::chrono::seconds(10);
};

/// The part of \p all that one of \p processes may use. A tenth of the ratio
/// and a fifth of the slack are kept back: windows of the judgement slide, and
/// processes come and go.
[[nodiscard]] RetryLimits limitsPerProcess(const RetryLimits &all,
                                           std::uint32_t processes) noexcept;

/// Counts of one pool. Sends are counted in slices of the window.
struct RetryWindow {
  static constexpr std::size_t Slices = 20;
  struct Slice {
    std::int64_t Number = -1;
    std::uint32_t FirstSends = 0;
    std::uint32_t Retries = 0;
  };
  std::array<Slice, Slices> Ring{};
};

/// Notes a call's first send.
void countFirstSend(RetryWindow &win, const RetryLimits &al, Time now) noexcept;

/// Whether one more repeat fits.
[[nodiscard]] bool hasRetryBudget(const RetryWindow &win, const RetryLimits &al,
                                  Time now) noexcept;

/// Likewise; it is counted if so.
[[nodiscard]] bool takeRetry(RetryWindow &win, const RetryLimits &al,
                             Time now) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_RETRY_WINDOW_H
