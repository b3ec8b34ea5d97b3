// The commands of zinniactl.
#ifndef ZINNIAGAUGE_ADAPT_OPERATOR_COMMANDS_H
#define ZINNIAGAUGE_ADAPT_OPERATOR_COMMANDS_H

#include "zinniagauge/adapt/command_line.h"

#include <span>
#include <string>
#include <string_view>

namespace zinniagauge {

/// What every command is told.
struct CommandOptions {
  std::string AgentUrl;      // "http://ip:port" of an agent's operator API.
  std::string ApiKey;        // The operator's bearer key.
  bool Json = false;         // Print the answer's JSON text.
  std::string ParentVersion; // For proposals; empty: the present head.
  std::string HistoryLimit;  // For the history; empty: the agent's default.
  std::string FromMs;        // For a timeline, wall clock; empty: all.
  std::string ToMs;
};

/// What a command comes to.
struct CommandResult {
  ExitCode Exit = ExitCode::Ok;
  std::string StandardOutput; // For standard output.
  std::string
      StandardError; // For standard error: step, peer, what is wrong, the mend.
};

/// Does the command whose words are \p words, such as "bundle", "show", "3".
[[nodiscard]] CommandResult runCommand(const CommandOptions &opt,
                                       std::span<const std::string> words);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_OPERATOR_COMMANDS_H
