#include "zinniagauge/adapt/log_commands.h"

#include "zinniagauge/adapt/log_text.h"

#include <charconv>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

namespace zinniagauge {

namespace {

using Words = std::span<const std::string>;

CommandResult refuse(ExitCode exit, const std::string &text) {
  return {exit, {}, "zinniactl: " + text + "\n"};
}

std::string readAll(std::istream &in) {
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

/// The logs in \p files, or why they can't be read.
struct ReadLogs {
  ParsedLog Text;
  std::optional<CommandResult> Failure;
};

ReadLogs readLogs(Words files) {
  std::string all;
  if (files.empty())
    all = readAll(std::cin);
  for (const std::string &name : files) {
    std::ifstream in(name);
    if (!in)
      return {{},
              refuse(ExitCode::Usage, "read at " + name + ": can't be opened")};
    all += readAll(in);
    all += '\n';
  }
  ReadLogs out;
  out.Text = parseLog(all);
  if (out.Text.Lines.empty())
    out.Failure = refuse(ExitCode::Usage,
                         "read: no line of a front's log: give the standard "
                         "output of zinnia-front, a JSON object a line");
  return out;
}

/// "--from" and "--to"; \p none if \p text is empty, nothing if it is wrong.
std::optional<std::int64_t> timeOf(const std::string &text, std::int64_t none) {
  if (text.empty())
    return none;
  std::int64_t val = 0;
  const char *end = text.data() + text.size();
  const auto res = std::from_chars(text.data(), end, val);
  if (res.ec != std::errc() || res.ptr != end)
    return std::nullopt;
  return val;
}

} // namespace

CommandResult explainCall(const CommandOptions &opt, Words words) {
  const ReadLogs logs = readLogs(words.subspan(1));
  if (logs.Failure)
    return *logs.Failure;
  const CallExplanation story = buildCallExplanation(logs.Text.Lines, words[0]);
  if (story.Cause == CallCause::NotLogged)
    return refuse(ExitCode::Failed,
                  "no line names the call " + words[0] +
                      ": are these the logs of the front that took it, and is "
                      "its log_level calls?");
  return {ExitCode::Ok,
          opt.Json ? explanationJson(story) : formatExplanation(story),
          {}};
}

CommandResult showCauses(const CommandOptions &opt, Words words) {
  const ReadLogs logs = readLogs(words);
  if (logs.Failure)
    return *logs.Failure;
  const std::vector<CauseCount> counts = countCauses(logs.Text.Lines);
  return {
      ExitCode::Ok, opt.Json ? causesJson(counts) : formatCauses(counts), {}};
}

CommandResult showTimeline(const CommandOptions &opt, Words words) {
  const auto from = timeOf(opt.FromMs, INT64_MIN);
  const auto to = timeOf(opt.ToMs, INT64_MAX);
  if (!from || !to)
    return refuse(ExitCode::Usage, "--from and --to take milliseconds of the "
                                   "wall clock, as a line's ms");
  const ReadLogs logs = readLogs(words.subspan(1));
  if (logs.Failure)
    return *logs.Failure;
  const auto lines = buildTimeline(logs.Text.Lines, {words[0], *from, *to});
  if (lines.empty())
    return refuse(ExitCode::Failed,
                  "no line of that span is about " + words[0]);
  return {ExitCode::Ok, opt.Json ? linesJson(lines) : formatLines(lines), {}};
}

} // namespace zinniagauge
