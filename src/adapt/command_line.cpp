// Maps the table of options to popt and converts the values.

#include "zinniagauge/adapt/command_line.h"

#include "zinniagauge/config.h"

#include <popt.h>

#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <sstream>
#include <string_view>

namespace zinniagauge {

namespace {

// Values by which popt identifies an option. The program's own options count up
// from FirstOption.
constexpr int HelpOption = 1;
constexpr int VersionOption = 2;
constexpr int FirstOption = 3;

struct ContextDeleter {
  void operator()(poptContext ctx) const noexcept { poptFreeContext(ctx); }
};
using Context = std::unique_ptr<poptContext_s, ContextDeleter>;

struct FreeDeleter {
  void operator()(char *text) const noexcept { std::free(text); }
};
using Text = std::unique_ptr<char, FreeDeleter>;

std::string_view exitCodeText(ExitCode code) noexcept {
  switch (code) {
  case ExitCode::Ok:
    return "done";
  case ExitCode::Failed:
    return "refused, or tried and failed; the error is on standard error";
  case ExitCode::Usage:
    return "wrong command line, settings or bundle; nothing was done";
  case ExitCode::Conflict:
    return "another change came first: look at the difference and try again";
  case ExitCode::Unreachable:
    break;
  }
  return "not all nodes, or not the agent, could be reached";
}

bool isFlag(const CommandOption &opt) noexcept {
  return std::holds_alternative<bool *>(opt.Target);
}

std::string defaultText(const OptionTarget &target) {
  if (const auto *text = std::get_if<std::string *>(&target))
    return **text;
  if (const auto *num = std::get_if<std::uint64_t *>(&target))
    return std::to_string(**num);
  if (const auto *num = std::get_if<double *>(&target)) {
    std::ostringstream out;
    out << **num;
    return out.str();
  }
  return {};
}

std::vector<poptOption> makePoptTable(const CommandLine &line) {
  std::vector<poptOption> table = {
      {"help", 'h', POPT_ARG_NONE, nullptr, HelpOption, nullptr, nullptr},
      {"version", 0, POPT_ARG_NONE, nullptr, VersionOption, nullptr, nullptr}};
  int val = FirstOption;
  for (const CommandOption &opt : line.Options)
    table.push_back(
        {opt.Name.c_str(), 0,
         isFlag(opt) ? unsigned{POPT_ARG_NONE} : unsigned{POPT_ARG_STRING},
         nullptr, val++, nullptr, nullptr});
  table.push_back(poptOption{nullptr, 0, 0, nullptr, 0, nullptr, nullptr});
  return table;
}

template <typename N> bool readNumber(std::string_view text, N &out) {
  const char *end = text.data() + text.size();
  const auto res = std::from_chars(text.data(), end, out);
  return !text.empty() && res.ec == std::errc() && res.ptr == end;
}

/// Converts \p text to the type of \p target and stores it there. Returns false
/// if it is not a valid number.
bool storeValue(const OptionTarget &target, std::string_view text) {
  if (const auto *flag = std::get_if<bool *>(&target))
    **flag = true;
  else if (const auto *word = std::get_if<std::string *>(&target))
    **word = text;
  else if (const auto *list = std::get_if<std::vector<std::string> *>(&target))
    (*list)->emplace_back(text);
  else if (const auto *num = std::get_if<std::uint64_t *>(&target))
    return readNumber(text, **num);
  else
    return readNumber(text, *std::get<double *>(target));
  return true;
}

ExitCode usageError(const CommandLine &line, std::string_view message) {
  std::fprintf(stderr, "%s: %.*s; try --help\n", line.Program.c_str(),
               static_cast<int>(message.size()), message.data());
  return ExitCode::Usage;
}

/// Handles the option that popt identifies by \p val. Returns an exit code if
/// the program must end.
std::optional<ExitCode> handleOption(const CommandLine &line, int val,
                                     const char *text) {
  if (val == HelpOption) {
    std::fputs(helpText(line).c_str(), stdout);
    return ExitCode::Ok;
  }
  if (val == VersionOption) {
    std::printf("%s %s\n", line.Program.c_str(), ZINNIAGAUGE_VERSION);
    return ExitCode::Ok;
  }
  const CommandOption &opt =
      line.Options[static_cast<std::size_t>(val - FirstOption)];
  if (storeValue(opt.Target, text ? text : ""))
    return std::nullopt;
  return usageError(line, "--" + opt.Name + ": \"" + (text ? text : "") +
                              "\" is no number for " + opt.ValueName);
}

} // namespace

ParsedCommand parseCommandLine(const CommandLine &line, int argc,
                               const char *const *argv) {
  ParsedCommand out;
  const auto table = makePoptTable(line);
  // popt declares argv as non-const but does not modify it.
  const Context ctx(poptGetContext(line.Program.c_str(), argc,
                                   const_cast<const char **>(argv),
                                   table.data(), 0));
  int val = 0;
  while ((val = poptGetNextOpt(ctx.get())) > 0) {
    const Text text(poptGetOptArg(ctx.get()));
    out.Exit = handleOption(line, val, text.get());
    if (out.Exit)
      return out;
  }
  if (val < -1) {
    const char *bad = poptBadOption(ctx.get(), POPT_BADOPTION_NOALIAS);
    out.Exit = usageError(line, std::string(bad) + ": " + poptStrerror(val));
    return out;
  }
  while (const char *arg = poptGetArg(ctx.get()))
    out.Arguments.emplace_back(arg);
  if (!out.Arguments.empty() && line.Arguments.empty())
    out.Exit =
        usageError(line, "unexpected argument \"" + out.Arguments[0] + "\"");
  return out;
}

std::string helpText(const CommandLine &line) {
  std::string text = "Usage: " + line.Program + " [OPTION...]";
  if (!line.Arguments.empty())
    text += " " + line.Arguments;
  text += "\n" + line.Summary + "\n\nOptions:\n";
  for (const CommandOption &opt : line.Options) {
    text += "  --" + opt.Name;
    if (!isFlag(opt))
      text += " " + opt.ValueName;
    text += "\n      " + opt.Help;
    const std::string defval = defaultText(opt.Target);
    if (!defval.empty())
      text += " (default: " + defval + ")";
    text += "\n";
  }
  text += "  --help\n      Print this text\n"
          "  --version\n      Print the version\n\nExit codes:\n";
  for (const ExitCode code : line.ExitCodes)
    text.append("  ")
        .append(std::to_string(toInt(code)))
        .append("  ")
        .append(std::string(exitCodeText(code)) + "\n");
  return text;
}

} // namespace zinniagauge
