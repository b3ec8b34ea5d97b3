// Tests of the retry budget over a sliding window.
#include "zinniagauge/decide/retry_window.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("retries are limited to a share of the window's calls", "[retry]") {
  RetryWindow win;
  const RetryLimits lim{0.2, 1, seconds(10)};
  const Time now(seconds(100));
  for (int n = 0; n < 50; ++n)
    countFirstSend(win, lim, now);
  int taken = 0;
  while (takeRetry(win, lim, now))
    ++taken;
  CHECK(taken == 11);
}

TEST_CASE("calls count no longer than a window", "[retry]") {
  RetryWindow win;
  const RetryLimits lim{0.2, 0, seconds(10)};
  for (int n = 0; n < 50; ++n)
    countFirstSend(win, lim, Time(seconds(100)));
  CHECK(takeRetry(win, lim, Time(seconds(109))));
  CHECK_FALSE(takeRetry(win, lim, Time(seconds(111))));
}

TEST_CASE("no span of the window's length has more retries than allowed",
          "[retry]") {
  RetryWindow win;
  const RetryLimits lim{0.2, 5, seconds(10)};
  std::vector<Time> retries;
  Time now(seconds(100));
  for (int n = 0; n < 3000; ++n) {
    now += milliseconds(20);
    countFirstSend(win, lim, now);
    if (takeRetry(win, lim, now))
      retries.push_back(now);
  }
  for (std::size_t n = 0; n < retries.size(); ++n) {
    std::size_t count = 0;
    while (n + count < retries.size() &&
           retries[n + count] < retries[n] + seconds(10))
      ++count;
    // There are 500 calls in a window; the calls of one slice may count in
    // either of two windows.
    REQUIRE(static_cast<double>(count) <= 500 * 0.2 + 5 + 500 * 0.2 / 20);
  }
}

TEST_CASE("all processes together stay within the budget", "[retry]") {
  const RetryLimits all{0.2, 52, seconds(10)};
  const Time now(seconds(100));
  for (const std::uint32_t fronts : {1U, 6U, 68U}) {
    int retries = 0;
    int calls = 0;
    for (std::uint32_t n = 0; n < fronts; ++n) {
      RetryWindow win;
      const RetryLimits part = limitsPerProcess(all, fronts);
      for (int call = 0; call < 30; ++call, ++calls)
        countFirstSend(win, part, now);
      while (takeRetry(win, part, now))
        ++retries;
    }
    CHECK(retries <= calls * 0.2 + 52);
  }
}
