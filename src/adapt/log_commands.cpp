// Reads log files and answers questions about the calls in them.

#include "zinniagauge/adapt/log_commands.h"

#include "zinniagauge/adapt/log_text.h"

#include <charconv>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

namespace zinniagauge {

namespace {

using Arguments = std::span<const std::string>;

CommandResult makeError(ExitCode exit, const std::string &text) {
  return {exit, {}, "zinniactl: " + text + "\n"};
}

std::string readAll(std::istream &in) {
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

/// The lines of log files, or the error if they can't be read.
struct LogFiles {
  ParsedLog Log;
  std::optional<CommandResult> Failure;
};

LogFiles readLogFiles(Arguments files) {
  std::string all;
  if (files.empty())
    all = readAll(std::cin);
  for (const std::string &name : files) {
    std::ifstream in(name);
    if (!in)
      return {
          {},
          makeError(ExitCode::Usage, "read at " + name + ": can't be opened")};
    all += readAll(in);
    all += '\n';
  }
  LogFiles out;
  out.Log = parseLog(all);
  if (out.Log.Lines.empty())
    out.Failure = makeError(ExitCode::Usage,
                            "read: no line of a front's log: give the standard "
                            "output of zinnia-front, a JSON object a line");
  return out;
}

/// Parses the value of --from or --to. Returns \p def if \p text is empty, and
/// nothing if it is not a number.
std::optional<std::int64_t> parseTime(const std::string &text,
                                      std::int64_t def) {
  if (text.empty())
    return def;
  std::int64_t val = 0;
  const char *end = text.data() + text.size();
  const auto res = std::from_chars(text.data(), end, val);
  if (res.ec != std::errc() || res.ptr != end)
    return std::nullopt;
  return val;
}

} // namespace

CommandResult explainCall(const CommandOptions &opt, Arguments args) {
  const LogFiles logs = readLogFiles(args.subspan(1));
  if (logs.Failure)
    return *logs.Failure;
  const CallExplanation expl = buildCallExplanation(logs.Log.Lines, args[0]);
  if (expl.Cause == CallCause::NotLogged)
    return makeError(
        ExitCode::Failed,
        "no line names the call " + args[0] +
            ": are these the logs of the front that took it, and is "
            "its log_level calls?");
  return {ExitCode::Ok,
          opt.Json ? explanationJson(expl) : formatExplanation(expl),
          {}};
}

CommandResult showCauses(const CommandOptions &opt, Arguments args) {
  const LogFiles logs = readLogFiles(args);
  if (logs.Failure)
    return *logs.Failure;
  const std::vector<CauseCount> counts = countCauses(logs.Log.Lines);
  return {
      ExitCode::Ok, opt.Json ? causesJson(counts) : formatCauses(counts), {}};
}

CommandResult showTimeline(const CommandOptions &opt, Arguments args) {
  const auto from = parseTime(opt.FromMs, INT64_MIN);
  const auto to = parseTime(opt.ToMs, INT64_MAX);
  if (!from || !to)
    return makeError(ExitCode::Usage,
                     "--from and --to take milliseconds of the "
                     "wall clock, as a line's ms");
  const LogFiles logs = readLogFiles(args.subspan(1));
  if (logs.Failure)
    return *logs.Failure;
  const auto lines = buildTimeline(logs.Log.Lines, {args[0], *from, *to});
  if (lines.empty())
    return makeError(ExitCode::Failed,
                     "no line of that span is about " + args[0]);
  return {ExitCode::Ok, opt.Json ? linesJson(lines) : formatLines(lines), {}};
}

} // namespace zinniagauge
