// The commands of zinniactl, apart from its command line.
#ifndef ZINNIAGAUGE_ADAPT_OPERATOR_COMMANDS_H
#define ZINNIAGAUGE_ADAPT_OPERATOR_COMMANDS_H

#include "zinniagauge/adapt/command_line.h"

#include <span>
#include <string>
#include <string_view>

namespace zinniagauge {

/// Options of the command line that apply to all commands.
struct CommandOptions {
  std::string AgentUrl;      // "http://ip:port" of an agent's operator API.
  std::string ApiKey;        // The operator's bearer key.
  bool Json = false;         // Print JSON instead of plain text.
  std::string ParentVersion; // Parent of a proposal; empty: the current head.
  std::string HistoryLimit;  // Versions to list; empty: the agent's default.
  std::string FromMs; // Start of a timeline, Unix milliseconds; empty: none.
  std::string ToMs;   // End of a timeline, Unix milliseconds; empty: none.
};

/// The result of a command, for main to print.
struct CommandResult {
  ExitCode Exit = ExitCode::Ok;
  std::string StandardOutput;
  std::string StandardError; // Step, peer, what failed and how to fix it.
};

/// Runs the command \p args, such as "bundle", "show", "3". A command that
/// calls an agent blocks until the response or the timeout of the call.
[[nodiscard]] CommandResult runCommand(const CommandOptions &opt,
                                       std::span<const std::string> args);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_OPERATOR_COMMANDS_H
