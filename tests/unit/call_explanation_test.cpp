#include "zinniagauge/adapt/log_text.h"

#include <catch2/catch.hpp>

#include <string>

using namespace zinniagauge;

namespace {

/// Two fronts; the first lost the table service, then a call to i-3 broke along
/// with another one.
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

TEST_CASE("logs of fronts are read, sorted and told from other text",
          "[call_story]") {
  const ParsedLog log = parseLog(Log);
  CHECK(log.Lines.size() == 10);
  CHECK(log.SkippedLines == 1);
  for (std::size_t n = 1; n < log.Lines.size(); ++n)
    CHECK(log.Lines[n - 1].Ms <= log.Lines[n].Ms);
  CHECK(fieldNumber(log.Lines[1], "attempt") == 1);
  CHECK(fieldNumber(log.Lines[1], "backend", -1) == -1);
}

TEST_CASE("a story has the call's lines and what its front knew",
          "[call_story]") {
  const ParsedLog log = parseLog(Log);
  const CallExplanation story = buildCallExplanation(log.Lines, "c1");
  CHECK(story.Node == "f1");
  CHECK(story.Cause == CallCause::OutcomeUnknown);
  CHECK(story.Steps.size() == 3);
  // Neither the other front's belief nor another back end's end is told.
  REQUIRE(story.StateChanges.size() == 2);
  CHECK(story.StateChanges[0].Event == "store_lost");
  CHECK(fieldText(story.StateChanges[1], "backend") == "i-3");
  CHECK(story.Reason.find("same second: 1") != std::string::npos);
  const std::string text = formatExplanation(story);
  CHECK(text.find("+200 ms  attempt_end") != std::string::npos);
  CHECK(text.find("  -100 ms  store_lost") != std::string::npos);
}

TEST_CASE("a call without an end, and one that nothing names, are said so",
          "[call_story]") {
  const ParsedLog log = parseLog(Log);
  CHECK(buildCallExplanation(log.Lines, "c3").Cause == CallCause::EndNotLogged);
  CHECK(buildCallExplanation(log.Lines, "c9").Cause == CallCause::NotLogged);
}

TEST_CASE("each reason of a refusal is a cause of its own", "[call_story]") {
  struct Case {
    std::string_view Why;
    CallCause Cause;
  };
  for (const Case &c : {Case{"no plan yet", CallCause::NoPlan},
                        Case{"stopping", CallCause::Stopping},
                        Case{"no socket left", CallCause::NoFileDescriptor},
                        Case{"unknown key", CallCause::UnknownKey},
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

TEST_CASE("a timeline has failures and beliefs of one back end in a span",
          "[call_story]") {
  const ParsedLog log = parseLog(Log);
  CHECK(buildTimeline(log.Lines, {"i-3", INT64_MIN, INT64_MAX}).size() == 3);
  CHECK(buildTimeline(log.Lines, {"i-3", 1150, 1250}).size() == 1);
  CHECK(buildTimeline(log.Lines, {"f2", INT64_MIN, INT64_MAX}).size() == 2);
}

TEST_CASE("causes are counted over calls, not lines", "[call_story]") {
  const auto counts = countCauses(parseLog(Log).Lines);
  REQUIRE(counts.size() == 3);
  for (const CauseCount &c : counts)
    CHECK(c.Calls == 1);
}
