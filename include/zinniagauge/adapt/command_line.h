// Parses command lines with popt. One table of options defines both the parsing
// and the text of --help.
#ifndef ZINNIAGAUGE_ADAPT_COMMAND_LINE_H
#define ZINNIAGAUGE_ADAPT_COMMAND_LINE_H

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace zinniagauge {

/// Exit codes of all programs.
enum class ExitCode : int {
  Ok = 0,          ///< Success.
  Failed = 1,      ///< Rejected or failed; the error is on standard error.
  Usage = 2,       ///< Invalid command line, settings or bundle; nothing done.
  Unreachable = 3, ///< The agent or some of the nodes can't be reached.
  Conflict = 4,    ///< A concurrent change was committed first.
};

/// The value of \p code to return from main.
[[nodiscard]] constexpr int toInt(ExitCode code) noexcept {
  return static_cast<int>(code);
}

/// Points to the variable that receives an option's value. Its initial value is
/// the default. A list gets one more element each time the option is given.
using OptionTarget = std::variant<bool *, std::string *, std::uint64_t *,
                                  double *, std::vector<std::string> *>;

/// One option, given as "--Name VALUE" or, if its target is a bool, "--Name".
struct CommandOption {
  std::string Name;
  std::string ValueName; // Placeholder in --help that shows the unit or
                         // form of the value: "MS", "IP:PORT".
  std::string Help;      // One sentence without a full stop.
  OptionTarget Target;
};

/// What a program accepts. --help and --version are always accepted as well.
struct CommandLine {
  std::string Program;
  std::string Arguments; // Positional ones, such as "bundle show VERSION".
                         // Empty: none are accepted.
  std::string Summary;   // What the program does; lines of up to 78 columns.
  std::vector<CommandOption> Options;
  std::vector<ExitCode> ExitCodes; // Exit codes that it may return.
};

/// The result of parsing a command line.
struct ParsedCommand {
  std::optional<ExitCode> Exit; // If set, main returns it immediately.
  std::vector<std::string> Arguments;
};

/// Parses the command line and stores the values in the options' targets.
/// Prints errors and the texts of --help and --version; Exit is set in these
/// cases.
[[nodiscard]] ParsedCommand parseCommandLine(const CommandLine &line, int argc,
                                             const char *const *argv);

/// The text that --help prints.
[[nodiscard]] std::string helpText(const CommandLine &line);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_COMMAND_LINE_H
