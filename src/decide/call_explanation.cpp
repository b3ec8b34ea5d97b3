#include "zinniagauge/decide/call_explanation.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <optional>
#include <set>

namespace zinniagauge {

namespace {

/// How long before a call's first line a change of its front's state can still
/// explain it: the longest age at which a plan may be used, plus a margin.
constexpr std::int64_t MarginBeforeMs = 5000;

/// How long after a call's last line a change of its front's state can still
/// explain it: a back end that breaks is reported as gone soon after.
constexpr std::int64_t MarginAfterMs = 1000;

/// The most state changes that an explanation contains, so that it stays within
/// about a dozen lines.
constexpr std::size_t MaxStateChanges = 8;

/// If other calls were lost at the same back end within this span, the back end
/// broke and not just one connection.
constexpr std::int64_t CommonLossSpanMs = 1000;

using Lines = std::span<const LogLine>;

bool isCallLine(const LogLine &line) noexcept {
  return !fieldText(line, "call").empty();
}

const LogLine *lastOf(Lines lines, std::string_view event) noexcept {
  const LogLine *found = nullptr;
  for (const LogLine &l : lines)
    if (l.Event == event)
      found = &l;
  return found;
}

/// A field as "name 12"; empty if the line doesn't have it.
std::string formatField(const LogLine &line, std::string_view name) {
  const std::string_view text = fieldText(line, name);
  if (text.empty())
    return {};
  return std::string(name).append(" ").append(text);
}

std::string formatFields(const LogLine &line,
                         std::span<const std::string_view> names) {
  std::string out;
  for (const std::string_view name : names) {
    const std::string part = formatField(line, name);
    if (!part.empty())
      out.append(out.empty() ? "" : ", ").append(part);
  }
  return out;
}

/// A value of a log field that determines the cause by itself.
struct CauseWord {
  std::string_view Word;
  CallCause Cause;
};

/// The cause that \p word determines; nothing if it isn't among \p words.
std::optional<CallCause> causeFor(std::string_view word,
                                  std::span<const CauseWord> words) noexcept {
  for (const CauseWord &w : words)
    if (w.Word == word)
      return w.Cause;
  return std::nullopt;
}

/// Causes of calls that ended as "refused", by the field "why".
constexpr std::array<CauseWord, 11> Refusals = {
    CauseWord{"no plan yet", CallCause::NoPlan},
    CauseWord{"plan may be outdated", CallCause::PlanOutdated},
    CauseWord{"no such route", CallCause::NoRoute},
    CauseWord{"unknown key", CallCause::UnknownKey},
    CauseWord{"stopping", CallCause::Stopping},
    CauseWord{"allowance spent", CallCause::AllowanceSpent},
    CauseWord{"no back end had room in time", CallCause::NoCapacity},
    CauseWord{"call in quarantine", CallCause::Quarantined},
    CauseWord{"prompt part in quarantine", CallCause::Quarantined},
    CauseWord{"no socket left", CallCause::NoFileDescriptor},
    CauseWord{"zone evacuated", CallCause::ZoneEvacuated}};

/// Causes of all other calls, by the field "end".
constexpr std::array<CauseWord, 6> Endings = {
    CauseWord{"served", CallCause::Served},
    CauseWord{"backend_failed", CallCause::BackendFailed},
    CauseWord{"unknown", CallCause::OutcomeUnknown},
    CauseWord{"timed_out", CallCause::TimedOut},
    CauseWord{"broken_off", CallCause::StreamBroken},
    CauseWord{"caller_left", CallCause::CallerDisconnected}};

CallCause causeOfRefusal(const CallExplanation &expl, const LogLine &end) {
  const LogLine *spent = lastOf(expl.Steps, "allowance_spent");
  const LogLine *attempt = lastOf(expl.Steps, "attempt_end");
  const auto cause = causeFor(fieldText(end, "why"), Refusals);
  if (cause == CallCause::AllowanceSpent && spent &&
      fieldNumber(*spent, "peers_heard") == 0)
    return CallCause::ShareSpent;
  if (cause)
    return *cause;
  return attempt && fieldText(*attempt, "result") == "not_sent"
             ? CallCause::BackendsUnreachable
             : CallCause::BackendsRefused;
}

CallCause causeOf(const CallExplanation &expl) {
  if (expl.Steps.empty())
    return CallCause::NotLogged;
  if (lastOf(expl.Steps, "unreadable_request"))
    return CallCause::MalformedRequest;
  const LogLine *end = lastOf(expl.Steps, "call_end");
  if (!end)
    return CallCause::EndNotLogged;
  const std::string_view how = fieldText(*end, "end");
  if (how == "refused")
    return causeOfRefusal(expl, *end);
  return causeFor(how, Endings).value_or(CallCause::EndNotLogged);
}

/// The number of other calls with an attempt at \p backend that was lost around
/// \p ms.
std::size_t countOtherLosses(Lines lines, const CallExplanation &expl,
                             std::string_view backend, std::int64_t ms) {
  std::set<std::string_view> calls;
  for (const LogLine &l : lines)
    if (l.Event == "attempt_end" && fieldText(l, "backend") == backend &&
        fieldText(l, "result") == "lost" && fieldText(l, "call") != expl.Id &&
        std::abs(l.Ms - ms) <= CommonLossSpanMs)
      calls.insert(fieldText(l, "call"));
  return calls.size();
}

std::string attemptReason(Lines lines, const CallExplanation &expl) {
  const LogLine *at = lastOf(expl.Steps, "attempt_end");
  if (!at)
    return {};
  const std::string_view backend = fieldText(*at, "backend");
  std::string out(backend);
  out.append(": ").append(fieldText(*at, "why"));
  const std::size_t others = countOtherLosses(lines, expl, backend, at->Ms);
  if (fieldText(*at, "result") == "lost")
    out.append("; other calls that it lost in the same second: ")
        .append(std::to_string(others));
  constexpr std::array<std::string_view, 3> Limits = {"sent", "most",
                                                      "left_ms"};
  out.append("; not sent again with ").append(formatFields(*at, Limits));
  return out;
}

std::string lostStoreUses(const CallExplanation &expl) {
  std::string out;
  for (const LogLine &l : expl.StateChanges)
    if (l.Event == "store_lost")
      out.append("; table service lost for ")
          .append(fieldText(l, "use"))
          .append(": ")
          .append(fieldText(l, "detail"));
  return out;
}

std::string reasonOf(Lines lines, const CallExplanation &expl) {
  const LogLine *end = lastOf(expl.Steps, "call_end");
  constexpr std::array<std::string_view, 2> Proof = {"plan", "proof_ms"};
  constexpr std::array<std::string_view, 2> Key = {"plan", "route"};
  constexpr std::array<std::string_view, 3> Wait = {"route", "queue_ms",
                                                    "tokens"};
  constexpr std::array<std::string_view, 5> Spent = {
      "workspace", "cost", "level_all", "heard_permille", "rate_per_s"};
  constexpr std::array<std::string_view, 5> Stream = {
      "backend", "events", "first_ms", "gap_ms", "total_ms"};
  constexpr std::array<std::string_view, 2> Refused = {"status", "why"};
  switch (expl.Cause) {
  case CallCause::PlanOutdated:
    return formatFields(*end, Proof) + lostStoreUses(expl);
  case CallCause::NoRoute:
  case CallCause::UnknownKey:
    return formatFields(*end, Key);
  case CallCause::NoCapacity:
    return formatFields(*end, Wait);
  case CallCause::AllowanceSpent:
  case CallCause::ShareSpent:
    if (const LogLine *l = lastOf(expl.Steps, "allowance_spent"))
      return formatFields(*l, Spent);
    return {};
  case CallCause::BackendsRefused:
  case CallCause::BackendsUnreachable:
  case CallCause::BackendFailed:
  case CallCause::OutcomeUnknown:
    return attemptReason(lines, expl);
  case CallCause::StreamBroken:
  case CallCause::TimedOut: {
    const std::string attempt = attemptReason(lines, expl);
    return formatFields(*end, Stream) + (attempt.empty() ? "" : "; ") + attempt;
  }
  case CallCause::MalformedRequest:
    return formatFields(expl.Steps.front(), Refused);
  default:
    return {};
  }
}

/// Whether a line on a state change can concern the call of \p expl.
bool mayConcern(const LogLine &line, const CallExplanation &expl) {
  const std::string_view backend = fieldText(line, "backend");
  if (backend.empty())
    return true;
  return std::any_of(
      expl.Steps.begin(), expl.Steps.end(),
      [&](const LogLine &s) { return fieldText(s, "backend") == backend; });
}

/// Fills in the state changes of the call's front around the call. If there are
/// more than MaxStateChanges, only the last ones are kept.
void fillStateChanges(Lines lines, CallExplanation &expl) {
  if (expl.Steps.empty())
    return;
  const std::int64_t from = expl.Steps.front().Ms - MarginBeforeMs;
  const std::int64_t to = expl.Steps.back().Ms + MarginAfterMs;
  for (const LogLine &l : lines)
    if (l.Node == expl.Node && l.Ms >= from && l.Ms <= to && !isCallLine(l) &&
        mayConcern(l, expl))
      expl.StateChanges.push_back(l);
  if (expl.StateChanges.size() > MaxStateChanges)
    expl.StateChanges.erase(expl.StateChanges.begin(),
                            expl.StateChanges.end() -
                                static_cast<std::ptrdiff_t>(MaxStateChanges));
}

/// Whether a line of a call belongs in a timeline: the end of a failed call, or
/// the end of an attempt.
bool isFailure(const LogLine &line) noexcept {
  if (line.Event == "call_end")
    return fieldText(line, "end") != "served" &&
           fieldText(line, "end") != "caller_left";
  return line.Event == "attempt_end";
}

} // namespace

std::string_view fieldText(const LogLine &line,
                           std::string_view name) noexcept {
  for (const LogField &f : line.Fields)
    if (f.Name == name)
      return f.Value;
  return {};
}

std::int64_t fieldNumber(const LogLine &line, std::string_view name,
                         std::int64_t none) noexcept {
  const std::string_view text = fieldText(line, name);
  std::int64_t val = 0;
  const auto res = std::from_chars(text.data(), text.data() + text.size(), val);
  return res.ec == std::errc() && !text.empty() ? val : none;
}

std::string_view toString(CallCause cause) noexcept {
  constexpr std::array<std::string_view, 22> Names = {
      "served",
      "no line names the call",
      "its front logged no end of it",
      "the request could not be taken",
      "the front knew no plan yet",
      "the front could not prove its plan to be the latest",
      "the plan has no such route",
      "the plan has no such key",
      "the front was stopping",
      "the workspace's allowance was spent",
      "this front's share of the allowance was spent, others not heard",
      "no back end had room in time",
      "a part of its prompt had crashed back ends",
      "the front had no descriptor left",
      "all back ends of its pool are in evacuated zones",
      "each back end that was tried refused it",
      "no back end that was tried could be reached",
      "a back end answered with a failure",
      "it was sent and no sound answer came",
      "its time was over while a back end had it",
      "its stream ended early",
      "the caller closed its connection"};
  return Names[static_cast<std::size_t>(cause)];
}

CallExplanation buildCallExplanation(std::span<const LogLine> lines,
                                     std::string_view id) {
  CallExplanation expl;
  expl.Id = id;
  for (const LogLine &l : lines)
    if (fieldText(l, "call") == id)
      expl.Steps.push_back(l);
  if (!expl.Steps.empty())
    expl.Node = expl.Steps.front().Node;
  expl.Cause = causeOf(expl);
  fillStateChanges(lines, expl);
  expl.Reason = reasonOf(lines, expl);
  return expl;
}

std::vector<CauseCount> countCauses(std::span<const LogLine> lines) {
  std::map<std::string_view, CallExplanation> calls;
  for (const LogLine &l : lines)
    if (const std::string_view id = fieldText(l, "call"); !id.empty())
      calls[id].Steps.push_back(l);
  std::map<CallCause, CauseCount> counts;
  for (const auto &[id, expl] : calls) {
    CauseCount &c = counts[causeOf(expl)];
    ++c.Calls;
    c.ExampleCallId = id;
  }
  std::vector<CauseCount> out;
  out.reserve(counts.size());
  for (auto &[cause, c] : counts)
    out.push_back({cause, c.Calls, std::move(c.ExampleCallId)});
  std::stable_sort(out.begin(), out.end(),
                   [](const CauseCount &a, const CauseCount &b) {
                     return a.Calls > b.Calls;
                   });
  return out;
}

std::vector<LogLine> buildTimeline(std::span<const LogLine> lines,
                                   const TimelineQuery &q) {
  std::vector<LogLine> out;
  for (const LogLine &l : lines) {
    if (l.Ms < q.FromMs || l.Ms > q.ToMs)
      continue;
    if (isCallLine(l) && !isFailure(l))
      continue;
    if (l.Node == q.Name || fieldText(l, "backend") == q.Name)
      out.push_back(l);
  }
  return out;
}

} // namespace zinniagauge
