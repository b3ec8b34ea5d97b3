#include "zinniagauge/decide/retry_window.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("repeats are a share of the calls of the window", "[retry]") {
  RetryWindow win;
  const RetryLimits al{0.2, 1, seconds(10)};
  const Time now(seconds(100));
  for (int n = 0; n < 50; ++n)
    countFirstSend(win, al, now);
  int taken = 0;
  while (takeRetry(win, al, now))
    ++taken;
  CHECK(taken == 11);
}

TEST_CASE("calls count no longer than a window", "[retry]") {
  RetryWindow win;
  const RetryLimits al{0.2, 0, seconds(10)};
  for (int n = 0; n < 50; ++n)
    countFirstSend(win, al, Time(seconds(100)));
  CHECK(takeRetry(win, al, Time(seconds(109))));
  CHECK_FALSE(takeRetry(win, al, Time(seconds(111))));
}

TEST_CASE("no span of the window's length holds more repeats than allowed",
          "[retry]") {
  RetryWindow win;
  const RetryLimits al{0.2, 5, seconds(10)};
  std::vector<Time> repeats;
  Time now(seconds(100));
  for (int n = 0; n < 3000; ++n) {
    now += milliseconds(20);
    countFirstSend(win, al, now);
    if (takeRetry(win, al, now))
      repeats.push_back(now);
  }
  for (std::size_t n = 0; n < repeats.size(); ++n) {
    std::size_t in = 0;
    while (n + in < repeats.size() &&
           repeats[n + in] < repeats[n] + seconds(10))
      ++in;
    // 500 calls a window; a slice of it may count on either side.
    REQUIRE(static_cast<double>(in) <= 500 * 0.2 + 5 + 500 * 0.2 / 20);
  }
}

TEST_CASE("all processes together keep to the budget", "[retry]") {
  const RetryLimits all{0.2, 52, seconds(10)};
  const Time now(seconds(100));
  for (const std::uint32_t fronts : {1U, 6U, 68U}) {
    int repeats = 0;
    int calls = 0;
    for (std::uint32_t n = 0; n < fronts; ++n) {
      RetryWindow win;
      const RetryLimits part = limitsPerProcess(all, fronts);
      for (int call = 0; call < 30; ++call, ++calls)
        countFirstSend(win, part, now);
      while (takeRetry(win, part, now))
        ++repeats;
    }
    CHECK(repeats <= calls * 0.2 + 52);
  }
}
