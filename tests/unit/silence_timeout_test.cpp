// Tests of the silence timeout of a back end, and of asking for the retry
// budget.
#include "zinniagauge/decide/retry_window.h"
#include "zinniagauge/decide/silence_timeout.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a long prompt has a longer timeout", "[silence_timeout]") {
  SilenceFacts facts;
  facts.LatencyTarget = milliseconds(800);
  CHECK(silenceTimeout(facts) == milliseconds(800));
  facts.ExpectedFirstEvent = milliseconds(900);
  CHECK(silenceTimeout(facts) == milliseconds(2600));
}

TEST_CASE("no timeout is shorter than a service may take",
          "[silence_timeout]") {
  SilenceFacts facts;
  facts.LatencyTarget = milliseconds(100);
  CHECK(silenceTimeout(facts) == MinFirstByteTimeout);
  facts.ResponseStarted = true;
  CHECK(silenceTimeout(facts) == MinGapTimeout);
}

TEST_CASE("a back end that responds to other calls has a longer timeout",
          "[silence_timeout]") {
  SilenceFacts facts;
  facts.ResponseStarted = true;
  facts.GapTarget = milliseconds(600);
  CHECK(silenceTimeout(facts) == milliseconds(1200));
  facts.OtherCallsActive = true;
  CHECK(silenceTimeout(facts) == seconds(3));
}

TEST_CASE("checking the retry budget doesn't use it up", "[silence_timeout]") {
  RetryWindow win;
  const RetryLimits lim{0, 1, seconds(10)};
  const Time now(seconds(100));
  CHECK(hasRetryBudget(win, lim, now));
  CHECK(hasRetryBudget(win, lim, now));
  CHECK(takeRetry(win, lim, now));
  CHECK_FALSE(hasRetryBudget(win, lim, now));
}
