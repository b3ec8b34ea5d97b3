#include "zinniagauge/decide/retry_window.h"

#include <algorithm>

namespace zinniagauge {

namespace {

std::int64_t sliceNumber(const RetryLimits &lim, Time now) noexcept {
  const Duration len = lim.Window / static_cast<int>(RetryWindow::Slices);
  return now.time_since_epoch() / len;
}

RetryWindow::Slice &sliceAt(RetryWindow &win, std::int64_t number) noexcept {
  auto &sl = win.Ring[static_cast<std::size_t>(number) % RetryWindow::Slices];
  if (sl.Number != number)
    sl = {number, 0, 0};
  return sl;
}

} // namespace

RetryLimits limitsPerProcess(const RetryLimits &all,
                             std::uint32_t processes) noexcept {
  constexpr double RatioFraction = 0.9;
  constexpr double SlackFraction = 0.8;
  RetryLimits out = all;
  out.Ratio *= RatioFraction;
  out.Slack *= SlackFraction / std::max(processes, 1U);
  return out;
}

void countFirstSend(RetryWindow &win, const RetryLimits &lim,
                    Time now) noexcept {
  ++sliceAt(win, sliceNumber(lim, now)).FirstSends;
}

bool hasRetryBudget(const RetryWindow &win, const RetryLimits &lim,
                    Time now) noexcept {
  const std::int64_t number = sliceNumber(lim, now);
  double calls = 0;
  double retries = 0;
  for (const RetryWindow::Slice &sl : win.Ring) {
    if (number - sl.Number >= static_cast<std::int64_t>(RetryWindow::Slices))
      continue;
    calls += sl.FirstSends;
    retries += sl.Retries;
  }
  return retries + 1 <= calls * lim.Ratio + lim.Slack;
}

bool takeRetry(RetryWindow &win, const RetryLimits &lim, Time now) noexcept {
  if (!hasRetryBudget(win, lim, now))
    return false;
  ++sliceAt(win, sliceNumber(lim, now)).Retries;
  return true;
}

} // namespace zinniagauge
