// The text form of errors.
#include "zinniagauge/board/error.h"

#include <array>

namespace zinniagauge {

namespace {

constexpr std::array<std::string_view, 14> StepNames = {
    "settings", "receive", "authorise", "route",   "admit",
    "claim",    "connect", "dispatch",  "answer",  "reply",
    "bundle",   "move",    "exchange",  "platform"};

constexpr std::array<std::string_view, 11> CodeNames = {
    "invalid",   "denied",     "not_found",   "conflict",
    "too_large", "overloaded", "unavailable", "timed_out",
    "broken",    "gone",       "stopping"};

} // namespace

std::string_view toString(Step step) noexcept {
  return StepNames[static_cast<std::size_t>(step)];
}

std::string_view toString(ErrorCode code) noexcept {
  return CodeNames[static_cast<std::size_t>(code)];
}

std::string describe(const Error &err) {
  std::string text(toString(err.FailedStep));
  if (!err.Peer.empty())
    text.append(" at ").append(err.Peer);
  text.append(": ").append(toString(err.Code));
  if (!err.Detail.empty())
    text.append(": ").append(err.Detail);
  return text;
}

} // namespace zinniagauge
