#include "zinniagauge/decide/retry_window.h"
#include "zinniagauge/decide/silence_timeout.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a long prompt is waited for longer", "[silence]") {
  SilenceFacts facts;
  facts.LatencyTarget = milliseconds(800);
  CHECK(silenceTimeout(facts) == milliseconds(800));
  facts.ExpectedFirstEvent = milliseconds(900);
  CHECK(silenceTimeout(facts) == milliseconds(2600));
}

TEST_CASE("no wait is shorter than a service may take", "[silence]") {
  SilenceFacts facts;
  facts.LatencyTarget = milliseconds(100);
  CHECK(silenceTimeout(facts) == MinFirstByteTimeout);
  facts.ResponseStarted = true;
  CHECK(silenceTimeout(facts) == MinGapTimeout);
}

TEST_CASE("a back end that answers others is waited for longer", "[silence]") {
  SilenceFacts facts;
  facts.ResponseStarted = true;
  facts.GapTarget = milliseconds(600);
  CHECK(silenceTimeout(facts) == milliseconds(1200));
  facts.OtherCallsActive = true;
  CHECK(silenceTimeout(facts) == seconds(3));
}

TEST_CASE("asking whether a repeat fits doesn't use it up", "[silence]") {
  RetryWindow win;
  const RetryLimits al{0, 1, seconds(10)};
  const Time now(seconds(100));
  CHECK(hasRetryBudget(win, al, now));
  CHECK(hasRetryBudget(win, al, now));
  CHECK(takeRetry(win, al, now));
  CHECK_FALSE(hasRetryBudget(win, al, now));
}
