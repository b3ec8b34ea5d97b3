// Tests of what follows an attempt that ended without a complete response.
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

TEST_CASE("a call that may run only once isn't retried once it may have run",
          "[next]") {
  for (const auto &f :
       {sentOnce(CallKind::Unsafe), sentOnce(CallKind::Stream)}) {
    CHECK_FALSE(mayRetry(f, AttemptEnd::Lost));
    CHECK_FALSE(mayRetry(f, AttemptEnd::Failed));
    CHECK(mayRetry(f, AttemptEnd::NotRun));
    CHECK(mayRetry(f, AttemptEnd::NotSent));
  }
}

TEST_CASE("safe calls and resumable streams are retried", "[next]") {
  CHECK(mayRetry(sentOnce(CallKind::Safe), AttemptEnd::Lost));
  CHECK(mayRetry(sentOnce(CallKind::Stream, true), AttemptEnd::Lost));
}

TEST_CASE("the route limits the attempts", "[next]") {
  CallFacts f = sentOnce(CallKind::Safe);
  f.SentAttempts = 2;
  for (const auto end :
       {AttemptEnd::NotRun, AttemptEnd::Failed, AttemptEnd::Lost})
    CHECK_FALSE(mayRetry(f, end));
}

TEST_CASE("only a call that surely hasn't run is refused as such", "[next]") {
  CallFacts f = sentOnce(CallKind::Unsafe);
  CHECK(nextStep(f, AttemptEnd::NotRun, false) == NextStep::Refuse);
  CHECK(nextStep(f, AttemptEnd::NotSent, false) == NextStep::Refuse);
  CHECK(nextStep(f, AttemptEnd::Lost, false) == NextStep::ReportUnknown);
  f.MayHaveRun = true;
  CHECK(nextStep(f, AttemptEnd::NotRun, false) == NextStep::ReportUnknown);
}

TEST_CASE("a stream that has started is aborted", "[next]") {
  CallFacts f = sentOnce(CallKind::Stream, true);
  f.ResponseStarted = true;
  for (const auto end : {AttemptEnd::NotSent, AttemptEnd::NotRun,
                         AttemptEnd::Failed, AttemptEnd::Lost})
    CHECK(nextStep(f, end, false) == NextStep::AbortStream);
}
