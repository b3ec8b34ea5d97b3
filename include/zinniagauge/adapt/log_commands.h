// The commands of zinniactl that read logs and ask no process.
#ifndef ZINNIAGAUGE_ADAPT_LOG_COMMANDS_H
#define ZINNIAGAUGE_ADAPT_LOG_COMMANDS_H

#include "zinniagauge/adapt/operator_commands.h"

#include <span>
#include <string>

namespace zinniagauge {

/// Tells of one call. \p words: its id, then files of logs; without any,
/// standard input. Failed if no line names the call.
[[nodiscard]] CommandResult explainCall(const CommandOptions &opt,
                                        std::span<const std::string> words);

/// Counts how calls ended and why. \p words: files of logs.
[[nodiscard]] CommandResult showCauses(const CommandOptions &opt,
                                       std::span<const std::string> words);

/// Tells what happened at a front or a back end. \p words: its name, then files
/// of logs.
[[nodiscard]] CommandResult showTimeline(const CommandOptions &opt,
                                         std::span<const std::string> words);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_LOG_COMMANDS_H
