#include "zinniagauge/decide/next_step.h"

namespace zinniagauge {

bool isRetrySafe(const CallFacts &facts) noexcept {
  return facts.Kind == CallKind::Safe ||
         (facts.Kind == CallKind::Stream && facts.Resumable);
}

bool mayRetry(const CallFacts &facts, AttemptEnd end) noexcept {
  if (!facts.HasTimeLeft)
    return false;
  switch (end) {
  case AttemptEnd::NotSent:
    return facts.UnreachableAttempts < MaxUnreachableAttempts;
  case AttemptEnd::NotRun:
    return facts.SentAttempts < facts.MaxAttempts;
  case AttemptEnd::Failed:
  case AttemptEnd::Lost:
    return isRetrySafe(facts) && facts.SentAttempts < facts.MaxAttempts;
  }
  return false;
}

NextStep nextStep(const CallFacts &facts, AttemptEnd end, bool retry) noexcept {
  if (retry)
    return NextStep::Retry;
  if (facts.ResponseStarted)
    return NextStep::AbortStream;
  if (end == AttemptEnd::Failed)
    return NextStep::ForwardFailure;
  if (end == AttemptEnd::Lost || facts.MayHaveRun)
    return NextStep::ReportUnknown;
  return NextStep::Refuse;
}

std::string_view toString(AttemptEnd end) noexcept {
  switch (end) {
  case AttemptEnd::NotSent:
    return "not_sent";
  case AttemptEnd::NotRun:
    return "not_run";
  case AttemptEnd::Failed:
    return "failed";
  case AttemptEnd::Lost:
    break;
  }
  return "lost";
}

} // namespace zinniagauge
