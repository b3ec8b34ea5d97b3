// Command lines by popt: one table of options gives the parsing and --help.
#ifndef ZINNIAGAUGE_ADAPT_COMMAND_LINE_H
#define ZINNIAGAUGE_ADAPT_COMMAND_LINE_H

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace zinniagauge {

/// How every program ends.
enum class ExitCode : int {
  Ok = 0,          ///< Done.
  Failed = 1,      ///< Refused, or tried and failed; standard error says why.
  Usage = 2,       ///< Wrong command line, settings or bundle; nothing done.
  Unreachable = 3, ///< Not all nodes, or not the agent, could be reached.
  Conflict = 4,    ///< Another change came first.
};

/// \p code as main returns it.
[[nodiscard]] constexpr int toInt(ExitCode code) noexcept {
  return static_cast<int>(code);
}

/// Where an option's value goes. What it holds before is the default. A list
/// takes one more value each time that the option is given.
using OptionTarget = std::variant<bool *, std::string *, std::uint64_t *,
                                  double *, std::vector<std::string> *>;

/// One option, given as "--Name VALUE" or, if its target is a bool, "--Name".
struct CommandOption {
  std::string Name;
  std::string ValueName; // What to give, with its unit: "MS", "IP:PORT".
  std::string Help;      // One sentence without a full stop.
  OptionTarget Target;
};

/// What a program accepts. --help and --version are always among it.
struct CommandLine {
  std::string Program;
  std::string Arguments; // Besides options, such as "bundle show VERSION".
  std::string Summary;   // What the program does; lines of 78 columns.
  std::vector<CommandOption> Options;
  std::vector<ExitCode> ExitCodes; // The exit codes that it may end with.
};

/// What was read of a command line.
struct ParsedCommand {
  std::optional<ExitCode> Exit; // If set, main ends with it at once.
  std::vector<std::string> Arguments;
};

/// Reads the command line into the options' targets. After --help, --version or
/// an error, which it prints, Exit is set.
[[nodiscard]] ParsedCommand parseCommandLine(const CommandLine &line, int argc,
                                             const char *const *argv);

/// What --help prints.
[[nodiscard]] std::string helpText(const CommandLine &line);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_COMMAND_LINE_H
