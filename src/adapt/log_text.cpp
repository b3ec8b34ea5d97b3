// Parses log lines and formats them for zinniactl.

#include "zinniagauge/adapt/log_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace zinniagauge {

namespace {

using nlohmann::ordered_json;

std::string valueText(const ordered_json &val) {
  return val.is_string() ? val.get<std::string>() : val.dump();
}

/// Parses one line into \p out. Returns false if it is not a front's log line,
/// that is, a JSON object with a node and an event.
bool parseLine(std::string_view text, LogLine &out) {
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

/// Appends a line such as "+120 ms  send  backend i-3, attempt 1", with its
/// time relative to \p startms.
void appendLine(std::string &out, const LogLine &line, std::int64_t startms) {
  const std::int64_t offsetms = line.Ms - startms;
  out.append(offsetms < 0 ? "  " : "  +")
      .append(std::to_string(offsetms))
      .append(" ms  ")
      .append(line.Event);
  const char *separator = "  ";
  for (const LogField &f : line.Fields) {
    if (f.Name == "call" || f.Value.empty())
      continue;
    out.append(separator).append(f.Name).append(" ").append(f.Value);
    separator = ", ";
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
    LogLine parsed;
    if (parseLine(line, parsed))
      out.Lines.push_back(std::move(parsed));
    else if (!line.empty())
      ++out.SkippedLines;
  }
  std::stable_sort(
      out.Lines.begin(), out.Lines.end(),
      [](const LogLine &a, const LogLine &b) { return a.Ms < b.Ms; });
  return out;
}

std::string formatExplanation(const CallExplanation &expl) {
  std::string out = "call " + expl.Id;
  if (!expl.Node.empty())
    out.append(" at ").append(expl.Node);
  out.append(": ").append(toString(expl.Cause)).append("\n");
  if (!expl.Reason.empty())
    out.append("  ").append(expl.Reason).append("\n");
  if (expl.Steps.empty())
    return out;
  const std::int64_t startms = expl.Steps.front().Ms;
  for (const LogLine &l : expl.Steps)
    appendLine(out, l, startms);
  if (!expl.StateChanges.empty())
    out.append("what its front came to believe around it:\n");
  for (const LogLine &l : expl.StateChanges)
    appendLine(out, l, startms);
  return out;
}

std::string explanationJson(const CallExplanation &expl) {
  ordered_json doc = {{"call", expl.Id},
                      {"node", expl.Node},
                      {"cause", toString(expl.Cause)},
                      {"because", expl.Reason},
                      {"steps", ordered_json::array()},
                      {"around", ordered_json::array()}};
  for (const LogLine &l : expl.Steps)
    doc["steps"].push_back(jsonOf(l));
  for (const LogLine &l : expl.StateChanges)
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
    appendLine(out, l, l.Ms);
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
