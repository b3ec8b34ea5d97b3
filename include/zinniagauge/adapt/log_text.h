// The logs of fronts as text: reading them, and printing what they tell.
#ifndef ZINNIAGAUGE_ADAPT_LOG_TEXT_H
#define ZINNIAGAUGE_ADAPT_LOG_TEXT_H

#include "zinniagauge/decide/call_explanation.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace zinniagauge {

/// What was read of some logs.
struct ParsedLog {
  std::vector<LogLine> Lines;   // Sorted by time.
  std::size_t SkippedLines = 0; // Lines that are no log lines of a front.
};

/// Reads \p text, a JSON object a line. What comes before the first brace of a
/// line, such as the name of the machine that a collector puts there, is passed
/// over.
[[nodiscard]] ParsedLog parseLog(std::string_view text);

/// A story in plain lines: the cause, then the lines with times from its first.
[[nodiscard]] std::string formatExplanation(const CallExplanation &story);

/// The same as one JSON object: call, node, cause, because, steps, around.
[[nodiscard]] std::string explanationJson(const CallExplanation &story);

/// "1200  no back end had room in time  (such as call c-7)" a line, and the
/// same as a JSON list.
[[nodiscard]] std::string formatCauses(const std::vector<CauseCount> &counts);
[[nodiscard]] std::string causesJson(const std::vector<CauseCount> &counts);

/// Lines of a timeline, plain or as a JSON list.
[[nodiscard]] std::string formatLines(const std::vector<LogLine> &lines);
[[nodiscard]] std::string linesJson(const std::vector<LogLine> &lines);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_LOG_TEXT_H
