#include "zinniagauge/decide/outlier.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a back end that fails more than its pool is passed over",
          "[outlier]") {
  const OutlierLimits lim;
  ResultStats rec;
  ResultStats pool;
  const Time now(seconds(5));
  bool out = false;
  for (int n = 0; n < 20 && !out; ++n) {
    for (int other = 0; other < 3; ++other) {
      ResultStats good;
      recordResult(good, pool, false, lim, now);
    }
    out = recordResult(rec, pool, true, lim, now);
  }
  CHECK(out);
  CHECK(isEjected(rec, now + milliseconds(1)));
  CHECK_FALSE(isEjected(rec, now + seconds(2)));
}

TEST_CASE("a pool that fails as a whole is passed over in no part",
          "[outlier]") {
  const OutlierLimits lim;
  std::array<ResultStats, 4> recs;
  ResultStats pool;
  Time now(seconds(5));
  for (int n = 0; n < 400; ++n) {
    now += milliseconds(10);
    // One in seven fails everywhere, as some services do when all is well.
    const bool failed = n % 7 == 0;
    CHECK_FALSE(recordResult(recs.at(static_cast<std::size_t>(n) % 4), pool,
                             failed, lim, now));
  }
}

TEST_CASE("pauses grow while connections are lost again", "[outlier]") {
  const OutlierLimits lim;
  ResultStats rec;
  CHECK_FALSE(recordLostConnection(rec, lim, Time(seconds(1))));
  CHECK(recordLostConnection(rec, lim, Time(seconds(1))));
  CHECK(rec.EjectionTime == lim.InitialEjection);
  CHECK_FALSE(recordLostConnection(rec, lim, Time(seconds(4))));
  CHECK(recordLostConnection(rec, lim, Time(seconds(4))));
  CHECK(rec.EjectionTime == lim.InitialEjection * 2);
}
