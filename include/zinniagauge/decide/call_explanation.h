// What became of one call, and why, told from the log lines of fronts alone.
#ifndef ZINNIAGAUGE_DECIDE_CALL_EXPLANATION_H
#define ZINNIAGAUGE_DECIDE_CALL_EXPLANATION_H

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace zinniagauge {

/// One field of a log line; numbers as their decimal text.
struct LogField {
  std::string Name;
  std::string Value;
};

/// One line of a front's log.
struct LogLine {
  std::int64_t Ms = 0; // Wall clock of its process, since the epoch.
  std::string Node;
  std::string Event;
  std::vector<LogField> Fields; // In the order of the line.
};

/// The text of a field; empty if the line lacks it.
[[nodiscard]] std::string_view fieldText(const LogLine &line,
                                         std::string_view name) noexcept;

/// The number in a field, or \p none if the line has no such number.
[[nodiscard]] std::int64_t fieldNumber(const LogLine &line,
                                       std::string_view name,
                                       std::int64_t none = 0) noexcept;

/// What decided how a call ended.
enum class CallCause : std::uint8_t {
  Served,              ///< It succeeded.
  NotLogged,           ///< No line names the call.
  EndNotLogged,        ///< Its front logged no end of it.
  MalformedRequest,    ///< The request wasn't one that is taken.
  NoPlan,              ///< The front had just started and knew no plan.
  PlanOutdated,        ///< The front couldn't prove its plan to be the latest.
  NoRoute,             ///< The plan in force has no such route.
  UnknownKey,          ///< The plan in force has no such key.
  Stopping,            ///< The front was told to stop.
  AllowanceSpent,      ///< All fronts together spent the workspace's allowance.
  ShareSpent,          ///< This front's share of it, as others weren't heard.
  NoCapacity,          ///< No back end had room before its wait was over.
  NoFileDescriptor,    ///< The front had no descriptor left.
  BackendsRefused,     ///< Each back end that was tried says it hasn't run.
  BackendsUnreachable, ///< No back end that was tried could be reached.
  BackendFailed,       ///< A back end answered with a failure of its own.
  OutcomeUnknown,      ///< It was sent, and no sound answer came.
  TimedOut,            ///< Its time ended while a back end had it.
  StreamBroken,        ///< Its stream ended early.
  CallerDisconnected,  ///< The caller closed its connection.
};

[[nodiscard]] std::string_view toString(CallCause cause) noexcept;

/// A call as the logs tell of it.
struct CallExplanation {
  std::string Id;
  std::string Node; // The front that took it.
  CallCause Cause = CallCause::NotLogged;
  std::string Reason;         // The figures that decided, in one sentence.
  std::vector<LogLine> Steps; // Lines that name the call, in order.
  std::vector<LogLine>
      StateChanges; // What its front came to believe meanwhile.
};

/// Tells of the call \p id. \p lines are sorted by time; those of several
/// fronts may be mixed.
[[nodiscard]] CallExplanation
buildCallExplanation(std::span<const LogLine> lines, std::string_view id);

/// How many calls ended by one cause.
struct CauseCount {
  CallCause Cause = CallCause::Served;
  std::size_t Calls = 0;
  std::string ExampleCallId; // The id of the last of them.
};

/// The causes of all calls that \p lines name, the most frequent first.
[[nodiscard]] std::vector<CauseCount>
countCauses(std::span<const LogLine> lines);

/// What a timeline is about.
struct TimelineQuery {
  std::string Name;                // Of a front or of a back end.
  std::int64_t FromMs = INT64_MIN; // Wall clock, inclusive.
  std::int64_t ToMs = INT64_MAX;
};

/// The lines on what a front believed, and on ended calls that a back end or a
/// front failed, that concern \p q.Name; sorted as \p lines.
[[nodiscard]] std::vector<LogLine> buildTimeline(std::span<const LogLine> lines,
                                                 const TimelineQuery &q);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_CALL_EXPLANATION_H
