#include "zinniagauge/decide/next_step.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;

namespace {

CallFacts sentOnce(CallKind kind, bool resumable = false) {
  CallFacts f;
  f.Kind = kind;
  f.Resumable = resumable;
  f.SentAttempts = 1;
  f.MaxAttempts = 2;
  return f;
}

} // namespace

TEST_CASE("what may run once isn't sent again once it may have run", "[next]") {
  for (const auto &f :
       {sentOnce(CallKind::Unsafe), sentOnce(CallKind::Stream)}) {
    CHECK_FALSE(mayRetry(f, AttemptEnd::Lost));
    CHECK_FALSE(mayRetry(f, AttemptEnd::Failed));
    CHECK(mayRetry(f, AttemptEnd::NotRun));
    CHECK(mayRetry(f, AttemptEnd::NotSent));
  }
}

TEST_CASE("safe calls and streams that may be resumed are sent again",
          "[next]") {
  CHECK(mayRetry(sentOnce(CallKind::Safe), AttemptEnd::Lost));
  CHECK(mayRetry(sentOnce(CallKind::Stream, true), AttemptEnd::Lost));
}

TEST_CASE("attempts are bounded by the route", "[next]") {
  CallFacts f = sentOnce(CallKind::Safe);
  f.SentAttempts = 2;
  for (const auto end :
       {AttemptEnd::NotRun, AttemptEnd::Failed, AttemptEnd::Lost})
    CHECK_FALSE(mayRetry(f, end));
}

TEST_CASE("only what surely hasn't run is refused as such", "[next]") {
  CallFacts f = sentOnce(CallKind::Unsafe);
  CHECK(nextStep(f, AttemptEnd::NotRun, false) == NextStep::Refuse);
  CHECK(nextStep(f, AttemptEnd::NotSent, false) == NextStep::Refuse);
  CHECK(nextStep(f, AttemptEnd::Lost, false) == NextStep::ReportUnknown);
  f.MayHaveRun = true;
  CHECK(nextStep(f, AttemptEnd::NotRun, false) == NextStep::ReportUnknown);
}

TEST_CASE("a stream that has begun is broken off, not answered", "[next]") {
  CallFacts f = sentOnce(CallKind::Stream, true);
  f.ResponseStarted = true;
  for (const auto end : {AttemptEnd::NotSent, AttemptEnd::NotRun,
                         AttemptEnd::Failed, AttemptEnd::Lost})
    CHECK(nextStep(f, end, false) == NextStep::AbortStream);
}
