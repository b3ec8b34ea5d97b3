// Tests of the detection and ejection of failing back ends.
#include "zinniagauge/decide/outlier.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a back end that fails more than its pool is ejected", "[outlier]") {
  const OutlierLimits lim;
  ResultStats stats;
  ResultStats pool;
  const Time now(seconds(5));
  bool ejected = false;
  for (int n = 0; n < 20 && !ejected; ++n) {
    for (int other = 0; other < 3; ++other) {
      ResultStats good;
      recordResult(good, pool, false, lim, now);
    }
    ejected = recordResult(stats, pool, true, lim, now);
  }
  CHECK(ejected);
  CHECK(isEjected(stats, now + milliseconds(1)));
  CHECK_FALSE(isEjected(stats, now + seconds(2)));
}

TEST_CASE("no back end of a pool that fails as a whole is ejected",
          "[outlier]") {
  const OutlierLimits lim;
  std::array<ResultStats, 4> backends;
  ResultStats pool;
  Time now(seconds(5));
  for (int n = 0; n < 400; ++n) {
    now += milliseconds(10);
    // One call in seven fails at every back end, as at some services in normal
    // operation.
    const bool failed = n % 7 == 0;
    CHECK_FALSE(recordResult(backends.at(static_cast<std::size_t>(n) % 4), pool,
                             failed, lim, now));
  }
}

TEST_CASE("ejections get longer while connections are lost again",
          "[outlier]") {
  const OutlierLimits lim;
  ResultStats stats;
  CHECK_FALSE(recordLostConnection(stats, lim, Time(seconds(1))));
  CHECK(recordLostConnection(stats, lim, Time(seconds(1))));
  CHECK(stats.EjectionTime == lim.InitialEjection);
  CHECK_FALSE(recordLostConnection(stats, lim, Time(seconds(4))));
  CHECK(recordLostConnection(stats, lim, Time(seconds(4))));
  CHECK(stats.EjectionTime == lim.InitialEjection * 2);
}

// Guards against a back end that answers wrongly now and then being judged by
// its good answers in between alone.
TEST_CASE("a wrong answer counts as a failure and as a lost connection",
          "[outlier]") {
  const OutlierLimits lim;
  const Time now(seconds(5));
  ResultStats pool;
  ResultStats inarow;
  CHECK_FALSE(recordWrongAnswer(inarow, pool, lim, now));
  CHECK(recordWrongAnswer(inarow, pool, lim, now));
  ResultStats often;
  pool = {};
  bool ejected = false;
  for (int n = 0; n < 20 && !ejected; ++n) {
    ejected = recordWrongAnswer(often, pool, lim, now);
    if (!ejected)
      recordResult(often, pool, false, lim, now);
    for (int other = 0; other < 3; ++other) {
      ResultStats good;
      recordResult(good, pool, false, lim, now);
    }
  }
  CHECK(ejected);
}
