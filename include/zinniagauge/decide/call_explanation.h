// Explains how calls ended and why, from the log lines of fronts alone.
#ifndef ZINNIAGAUGE_DECIDE_CALL_EXPLANATION_H
#define ZINNIAGAUGE_DECIDE_CALL_EXPLANATION_H

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace zinniagauge {

/// One field of a log line; a number is kept as decimal text.
struct LogField {
  std::string Name;
  std::string Value;
};

/// One line of a front's log.
struct LogLine {
  std::int64_t Ms = 0; // Unix milliseconds by its process's wall clock.
  std::string Node;
  std::string Event;
  std::vector<LogField> Fields; // In the order of the line.
};

/// The text of a field; empty if the line doesn't have it.
[[nodiscard]] std::string_view fieldText(const LogLine &line,
                                         std::string_view name) noexcept;

/// The number in a field, or \p none if the line has no such number.
[[nodiscard]] std::int64_t fieldNumber(const LogLine &line,
                                       std::string_view name,
                                       std::int64_t none = 0) noexcept;

/// Why a call ended as it did.
enum class CallCause : std::uint8_t {
  Served,           ///< The call succeeded.
  NotLogged,        ///< No log line has the call's id.
  EndNotLogged,     ///< The front logged no end of the call.
  MalformedRequest, ///< The request was malformed or isn't supported.
  NoPlan,           ///< The front had just started and had no plan.
  PlanOutdated,     ///< The front couldn't prove that its plan is the latest.
  NoRoute,          ///< The active plan has no such route.
  UnknownKey,       ///< The active plan has no such key.
  Stopping,         ///< The front was stopping.
  AllowanceSpent,   ///< All fronts together spent the workspace's allowance.
  ShareSpent,       ///< This front spent its share; not all fronts reported.
  NoCapacity,       ///< No back end had capacity before the call's wait ended.
  Quarantined,      ///< Calls like it had crashed back ends.
  NoFileDescriptor, ///< The front had no file descriptor left.
  ZoneEvacuated,    ///< The pool has back ends in evacuated zones only.
  BackendsRefused,  ///< Each back end tried reported that the call hasn't run.
  BackendsUnreachable, ///< No back end that was tried could be reached.
  BackendFailed,       ///< A back end responded with a failure.
  OutcomeUnknown,      ///< The call was sent, and no valid response came.
  TimedOut,            ///< The call's time limit passed at a back end.
  StreamBroken,        ///< The call's stream ended early.
  CallerDisconnected,  ///< The caller closed its connection.
};

[[nodiscard]] std::string_view toString(CallCause cause) noexcept;

/// What the logs show of one call.
struct CallExplanation {
  std::string Id;
  std::string Node; // The front that received it.
  CallCause Cause = CallCause::NotLogged;
  std::string Reason;         // The deciding values, in one sentence.
  std::vector<LogLine> Steps; // Lines with the call's id, in order.
  /// Lines on changes of its front's state around the time of the call.
  std::vector<LogLine> StateChanges;
};

/// Explains the call \p id. \p lines must be sorted by time and may come from
/// several fronts.
[[nodiscard]] CallExplanation
buildCallExplanation(std::span<const LogLine> lines, std::string_view id);

/// The number of calls with one cause.
struct CauseCount {
  CallCause Cause = CallCause::Served;
  std::size_t Calls = 0;
  std::string ExampleCallId; // The id of one of them.
};

/// The causes of all calls in \p lines, the most frequent first.
[[nodiscard]] std::vector<CauseCount>
countCauses(std::span<const LogLine> lines);

/// Selects the lines of a timeline.
struct TimelineQuery {
  std::string Name;                // Of a front or of a back end.
  std::int64_t FromMs = INT64_MIN; // Unix milliseconds, inclusive, as is ToMs.
  std::int64_t ToMs = INT64_MAX;
};

/// The lines that concern the front or back end q.Name, in the order of \p
/// lines: changes of a front's state, calls that failed, and ends of attempts.
[[nodiscard]] std::vector<LogLine> buildTimeline(std::span<const LogLine> lines,
                                                 const TimelineQuery &q);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_CALL_EXPLANATION_H
