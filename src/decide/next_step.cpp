#include "zinniagauge/decide/next_step.h"

namespace zinniagauge {

bool mayRepeat(const CallFacts &facts) noexcept {
  return facts.Kind == CallKind::Safe ||
         (facts.Kind == CallKind::Stream && facts.Resumable);
}

bool mayTryAgain(const CallFacts &facts, AttemptEnd end) noexcept {
  if (!facts.TimeLeft)
    return false;
  switch (end) {
  case AttemptEnd::NotSent:
    return facts.Unreached < MostUnreached;
  case AttemptEnd::NotRun:
    return facts.Sent < facts.MostAttempts;
  case AttemptEnd::Failed:
  case AttemptEnd::Lost:
    return mayRepeat(facts) && facts.Sent < facts.MostAttempts;
  }
  return false;
}

NextStep nextStep(const CallFacts &facts, AttemptEnd end, bool again) noexcept {
  if (again)
    return NextStep::Again;
  if (facts.Begun)
    return NextStep::BreakOff;
  if (end == AttemptEnd::Failed)
    return NextStep::PassOn;
  if (end == AttemptEnd::Lost || facts.MayHaveRun)
    return NextStep::GiveUp;
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
