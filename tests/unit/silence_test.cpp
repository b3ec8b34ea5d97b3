#include "zinniagauge/decide/retry_window.h"
#include "zinniagauge/decide/silence.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a long prompt is waited for longer", "[silence]") {
  SilenceFacts facts;
  facts.Target = milliseconds(800);
  CHECK(toleratedSilence(facts) == milliseconds(800));
  facts.Expected = milliseconds(900);
  CHECK(toleratedSilence(facts) == milliseconds(2600));
}

TEST_CASE("no wait is shorter than a service may take", "[silence]") {
  SilenceFacts facts;
  facts.Target = milliseconds(100);
  CHECK(toleratedSilence(facts) == LeastFirst);
  facts.Begun = true;
  CHECK(toleratedSilence(facts) == LeastGap);
}

TEST_CASE("a back end that answers others is waited for longer", "[silence]") {
  SilenceFacts facts;
  facts.Begun = true;
  facts.GapTarget = milliseconds(600);
  CHECK(toleratedSilence(facts) == milliseconds(1200));
  facts.OthersHeard = true;
  CHECK(toleratedSilence(facts) == seconds(3));
}

TEST_CASE("asking whether a repeat fits doesn't use it up", "[silence]") {
  RetryWindow win;
  const RetryAllowance al{0, 1, seconds(10)};
  const Time now(seconds(100));
  CHECK(fitsRepeat(win, al, now));
  CHECK(fitsRepeat(win, al, now));
  CHECK(takeRepeat(win, al, now));
  CHECK_FALSE(fitsRepeat(win, al, now));
}
