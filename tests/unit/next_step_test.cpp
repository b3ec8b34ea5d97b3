#include "zinniagauge/decide/next_step.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;

namespace {

CallFacts sentOnce(CallKind kind, bool resumable = false) {
  CallFacts f;
  f.Kind = kind;
  f.Resumable = resumable;
  f.Sent = 1;
  f.MostAttempts = 2;
  return f;
}

} // namespace

TEST_CASE("what may run once isn't sent again once it may have run", "[next]") {
  for (const auto &f :
       {sentOnce(CallKind::Unsafe), sentOnce(CallKind::Stream)}) {
    CHECK_FALSE(mayTryAgain(f, AttemptEnd::Lost));
    CHECK_FALSE(mayTryAgain(f, AttemptEnd::Failed));
    CHECK(mayTryAgain(f, AttemptEnd::NotRun));
    CHECK(mayTryAgain(f, AttemptEnd::NotSent));
  }
}

TEST_CASE("safe calls and streams that may be resumed are sent again",
          "[next]") {
  CHECK(mayTryAgain(sentOnce(CallKind::Safe), AttemptEnd::Lost));
  CHECK(mayTryAgain(sentOnce(CallKind::Stream, true), AttemptEnd::Lost));
}

TEST_CASE("attempts are bounded by the route", "[next]") {
  CallFacts f = sentOnce(CallKind::Safe);
  f.Sent = 2;
  for (const auto end :
       {AttemptEnd::NotRun, AttemptEnd::Failed, AttemptEnd::Lost})
    CHECK_FALSE(mayTryAgain(f, end));
}

TEST_CASE("only what surely hasn't run is refused as such", "[next]") {
  CallFacts f = sentOnce(CallKind::Unsafe);
  CHECK(nextStep(f, AttemptEnd::NotRun, false) == NextStep::Refuse);
  CHECK(nextStep(f, AttemptEnd::NotSent, false) == NextStep::Refuse);
  CHECK(nextStep(f, AttemptEnd::Lost, false) == NextStep::GiveUp);
  f.MayHaveRun = true;
  CHECK(nextStep(f, AttemptEnd::NotRun, false) == NextStep::GiveUp);
}

TEST_CASE("a stream that has begun is broken off, not answered", "[next]") {
  CallFacts f = sentOnce(CallKind::Stream, true);
  f.Begun = true;
  for (const auto end : {AttemptEnd::NotSent, AttemptEnd::NotRun,
                         AttemptEnd::Failed, AttemptEnd::Lost})
    CHECK(nextStep(f, end, false) == NextStep::BreakOff);
}
