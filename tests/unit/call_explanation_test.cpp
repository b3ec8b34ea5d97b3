// Tests of explanations and timelines of calls from the log lines of fronts.
#include "zinniagauge/adapt/log_text.h"

#include <catch2/catch.hpp>

#include <string>

using namespace zinniagauge;

namespace {

/// The log of two fronts. The first lost the table service; then its call to
/// i-3 was lost, at about the same time as another call to i-3.
constexpr std::string_view Log =
    R"(front-1 | {"ms":900,"node":"f1","event":"store_lost","use":"plan","detail":"status 503"}
{"ms":1000,"node":"f1","event":"send","call":"c1","backend":"i-3","attempt":1}
{"ms":1010,"node":"f2","event":"store_lost","use":"backends"}
not a line
{"ms":1200,"node":"f1","event":"attempt_end","call":"c1","backend":"i-3","result":"lost","why":"reset","again":0,"sent":1,"most":1,"left_ms":400}
{"ms":1100,"node":"f2","event":"attempt_end","call":"c2","backend":"i-3","result":"lost","why":"reset","again":1,"sent":1,"most":2,"left_ms":300}
{"ms":1201,"node":"f1","event":"call_end","call":"c1","end":"unknown","status":502,"why":"reset"}
{"ms":1300,"node":"f1","event":"backend","backend":"i-3","state":"gone"}
{"ms":1300,"node":"f1","event":"backend","backend":"i-4","state":"gone"}
{"ms":1400,"node":"f2","event":"call_end","call":"c2","end":"served","status":200,"why":""}
{"ms":1500,"node":"f2","event":"send","call":"c3","backend":"i-4","attempt":1}
)";

} // namespace

TEST_CASE(
    "log lines of fronts are parsed and sorted, and other lines are skipped",
    "[call_explanation]") {
  const ParsedLog log = parseLog(Log);
  CHECK(log.Lines.size() == 10);
  CHECK(log.SkippedLines == 1);
  for (std::size_t n = 1; n < log.Lines.size(); ++n)
    CHECK(log.Lines[n - 1].Ms <= log.Lines[n].Ms);
  CHECK(fieldNumber(log.Lines[1], "attempt") == 1);
  CHECK(fieldNumber(log.Lines[1], "backend", -1) == -1);
}

TEST_CASE("an explanation has the call's lines and its front's state changes",
          "[call_explanation]") {
  const ParsedLog log = parseLog(Log);
  const CallExplanation expl = buildCallExplanation(log.Lines, "c1");
  CHECK(expl.Node == "f1");
  CHECK(expl.Cause == CallCause::OutcomeUnknown);
  CHECK(expl.Steps.size() == 3);
  // State changes of the other front or about another back end are left out.
  REQUIRE(expl.StateChanges.size() == 2);
  CHECK(expl.StateChanges[0].Event == "store_lost");
  CHECK(fieldText(expl.StateChanges[1], "backend") == "i-3");
  CHECK(expl.Reason.find("same second: 1") != std::string::npos);
  const std::string text = formatExplanation(expl);
  CHECK(text.find("+200 ms  attempt_end") != std::string::npos);
  CHECK(text.find("  -100 ms  store_lost") != std::string::npos);
}

TEST_CASE("calls without a logged end or without any line are reported as such",
          "[call_explanation]") {
  const ParsedLog log = parseLog(Log);
  CHECK(buildCallExplanation(log.Lines, "c3").Cause == CallCause::EndNotLogged);
  CHECK(buildCallExplanation(log.Lines, "c9").Cause == CallCause::NotLogged);
}

TEST_CASE("each reason of a refusal gives a cause of its own",
          "[call_explanation]") {
  struct Case {
    std::string_view Why;
    CallCause Cause;
  };
  for (const Case &c :
       {Case{"no plan yet", CallCause::NoPlan},
        Case{"stopping", CallCause::Stopping},
        Case{"no socket left", CallCause::NoFileDescriptor},
        Case{"zone evacuated", CallCause::ZoneEvacuated},
        Case{"unknown key", CallCause::UnknownKey},
        Case{"call in quarantine", CallCause::Quarantined},
        Case{"prompt part in quarantine", CallCause::Quarantined},
        Case{"allowance spent", CallCause::AllowanceSpent}}) {
    std::string line = R"({"ms":1,"node":"f","event":"call_end","call":"c",)";
    line.append(R"("end":"refused","status":503,"why":")")
        .append(c.Why)
        .append("\"}");
    CHECK(buildCallExplanation(parseLog(line).Lines, "c").Cause == c.Cause);
  }
  const ParsedLog own = parseLog(
      R"({"ms":1,"node":"f","event":"allowance_spent","call":"c","peers_heard":0}
{"ms":1,"node":"f","event":"call_end","call":"c","end":"refused","why":"allowance spent"})");
  CHECK(buildCallExplanation(own.Lines, "c").Cause == CallCause::ShareSpent);
}

TEST_CASE(
    "a timeline has the failures and state changes of one back end in a span",
    "[call_explanation]") {
  const ParsedLog log = parseLog(Log);
  CHECK(buildTimeline(log.Lines, {"i-3", INT64_MIN, INT64_MAX}).size() == 3);
  CHECK(buildTimeline(log.Lines, {"i-3", 1150, 1250}).size() == 1);
  CHECK(buildTimeline(log.Lines, {"f2", INT64_MIN, INT64_MAX}).size() == 2);
}

TEST_CASE("causes are counted by call, not by line", "[call_explanation]") {
  const auto counts = countCauses(parseLog(Log).Lines);
  REQUIRE(counts.size() == 3);
  for (const CauseCount &c : counts)
    CHECK(c.Calls == 1);
}
