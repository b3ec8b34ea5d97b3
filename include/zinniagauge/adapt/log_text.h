// Parses the logs of fronts and formats explanations, counts and timelines.
#ifndef ZINNIAGAUGE_ADAPT_LOG_TEXT_H
#define ZINNIAGAUGE_ADAPT_LOG_TEXT_H

#include "zinniagauge/decide/call_explanation.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace zinniagauge {

/// The result of parsing one or more logs.
struct ParsedLog {
  std::vector<LogLine> Lines;   // Sorted by time.
  std::size_t SkippedLines = 0; // Not empty, but not a front's log line.
};

/// Parses \p text, which holds one JSON object per line. Text before the first
/// brace of a line is ignored, since log collectors put the machine's name
/// there.
[[nodiscard]] ParsedLog parseLog(std::string_view text);

/// Formats an explanation as plain text: the cause, then the call's lines with
/// their times relative to the first one.
[[nodiscard]] std::string formatExplanation(const CallExplanation &expl);

/// Formats an explanation as one JSON object with the members call, node,
/// cause, because, steps and around.
[[nodiscard]] std::string explanationJson(const CallExplanation &expl);

/// Formats one line for each cause, such as
/// "1200  no back end had room in time  (such as call c-7)".
[[nodiscard]] std::string formatCauses(const std::vector<CauseCount> &counts);

/// Formats the counts as a JSON array.
[[nodiscard]] std::string causesJson(const std::vector<CauseCount> &counts);

/// Formats the lines of a timeline as plain text, each with its node.
[[nodiscard]] std::string formatLines(const std::vector<LogLine> &lines);

/// Formats the lines of a timeline as a JSON array.
[[nodiscard]] std::string linesJson(const std::vector<LogLine> &lines);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_LOG_TEXT_H
