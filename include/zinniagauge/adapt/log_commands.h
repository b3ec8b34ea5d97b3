// The commands of zinniactl that read log files and contact no process.
#ifndef ZINNIAGAUGE_ADAPT_LOG_COMMANDS_H
#define ZINNIAGAUGE_ADAPT_LOG_COMMANDS_H

#include "zinniagauge/adapt/operator_commands.h"

#include <span>
#include <string>

namespace zinniagauge {

/// Explains how one call ended and why. \p args holds the call's id, then log
/// files; without files, standard input is read. Returns Failed if no line
/// names the call.
[[nodiscard]] CommandResult explainCall(const CommandOptions &opt,
                                        std::span<const std::string> args);

/// Counts calls by the cause that ended them. \p args holds log files; without
/// files, standard input is read.
[[nodiscard]] CommandResult showCauses(const CommandOptions &opt,
                                       std::span<const std::string> args);

/// Prints the log lines about a front or a back end. \p args holds its name,
/// then log files; without files, standard input is read.
[[nodiscard]] CommandResult showTimeline(const CommandOptions &opt,
                                         std::span<const std::string> args);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_LOG_COMMANDS_H
