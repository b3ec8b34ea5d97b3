#include "zinniagauge/adapt/log_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace zinniagauge {

namespace {

using nlohmann::ordered_json;

std::string valueText(const ordered_json &val) {
  return val.is_string() ? val.get<std::string>() : val.dump();
}

/// The line as a document; a discarded one if it isn't a front's.
bool readLine(std::string_view text, LogLine &out) {
  const std::size_t brace = text.find('{');
  if (brace == std::string_view::npos)
    return false;
  const ordered_json doc =
      ordered_json::parse(text.substr(brace), nullptr, false);
  if (!doc.is_object())
    return false;
  for (const auto &[key, val] : doc.items()) {
    if (key == "ms" && val.is_number_integer())
      out.Ms = val.get<std::int64_t>();
    else if (key == "node")
      out.Node = valueText(val);
    else if (key == "event")
      out.Event = valueText(val);
    else
      out.Fields.push_back({key, valueText(val)});
  }
  return !out.Event.empty() && !out.Node.empty();
}

ordered_json jsonOf(const LogLine &line) {
  ordered_json doc = {
      {"ms", line.Ms}, {"node", line.Node}, {"event", line.Event}};
  for (const LogField &f : line.Fields)
    doc[f.Name] = f.Value;
  return doc;
}

/// "+120 ms  send  backend i-3, attempt 1".
void printLine(std::string &out, const LogLine &line, std::int64_t from) {
  const std::int64_t after = line.Ms - from;
  out.append(after < 0 ? "  " : "  +")
      .append(std::to_string(after))
      .append(" ms  ")
      .append(line.Event);
  const char *gap = "  ";
  for (const LogField &f : line.Fields) {
    if (f.Name == "call" || f.Value.empty())
      continue;
    out.append(gap).append(f.Name).append(" ").append(f.Value);
    gap = ", ";
  }
  out.append("\n");
}

} // namespace

ParsedLog parseLog(std::string_view text) {
  ParsedLog out;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    LogLine read;
    if (readLine(line, read))
      out.Lines.push_back(std::move(read));
    else if (!line.empty())
      ++out.SkippedLines;
  }
  std::stable_sort(
      out.Lines.begin(), out.Lines.end(),
      [](const LogLine &a, const LogLine &b) { return a.Ms < b.Ms; });
  return out;
}

std::string formatExplanation(const CallExplanation &story) {
  std::string out = "call " + story.Id;
  if (!story.Node.empty())
    out.append(" at ").append(story.Node);
  out.append(": ").append(toString(story.Cause)).append("\n");
  if (!story.Reason.empty())
    out.append("  ").append(story.Reason).append("\n");
  if (story.Steps.empty())
    return out;
  const std::int64_t from = story.Steps.front().Ms;
  for (const LogLine &l : story.Steps)
    printLine(out, l, from);
  if (!story.StateChanges.empty())
    out.append("what its front came to believe around it:\n");
  for (const LogLine &l : story.StateChanges)
    printLine(out, l, from);
  return out;
}

std::string explanationJson(const CallExplanation &story) {
  ordered_json doc = {{"call", story.Id},
                      {"node", story.Node},
                      {"cause", toString(story.Cause)},
                      {"because", story.Reason},
                      {"steps", ordered_json::array()},
                      {"around", ordered_json::array()}};
  for (const LogLine &l : story.Steps)
    doc["steps"].push_back(jsonOf(l));
  for (const LogLine &l : story.StateChanges)
    doc["around"].push_back(jsonOf(l));
  return doc.dump() + "\n";
}

std::string formatCauses(const std::vector<CauseCount> &counts) {
  std::string out;
  for (const CauseCount &c : counts)
    out.append(std::to_string(c.Calls))
        .append("  ")
        .append(toString(c.Cause))
        .append("  (such as call ")
        .append(c.ExampleCallId)
        .append(")\n");
  return out;
}

std::string causesJson(const std::vector<CauseCount> &counts) {
  ordered_json doc = ordered_json::array();
  for (const CauseCount &c : counts)
    doc.push_back({{"calls", c.Calls},
                   {"cause", toString(c.Cause)},
                   {"example", c.ExampleCallId}});
  return doc.dump() + "\n";
}

std::string formatLines(const std::vector<LogLine> &lines) {
  std::string out;
  for (const LogLine &l : lines) {
    out.append(std::to_string(l.Ms)).append("  ").append(l.Node);
    printLine(out, l, l.Ms);
  }
  return out;
}

std::string linesJson(const std::vector<LogLine> &lines) {
  ordered_json doc = ordered_json::array();
  for (const LogLine &l : lines)
    doc.push_back(jsonOf(l));
  return doc.dump() + "\n";
}

} // namespace zinniagauge
