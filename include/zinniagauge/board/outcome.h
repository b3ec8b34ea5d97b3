// The outcome of a request, as reported to its caller.
#ifndef ZINNIAGAUGE_BOARD_OUTCOME_H
#define ZINNIAGAUGE_BOARD_OUTCOME_H

#include <cstdint>
#include <string_view>

namespace zinniagauge {

/// The outcome of a request.
enum class Outcome : std::uint8_t {
  Completed, ///< It ran, and the response is complete.
  Failed,    ///< It ran, and the endpoint reported a failure.
  NotRun,    ///< No byte of it can have reached an endpoint, or the endpoint
             ///< refused it before running it.
  Unknown,   ///< None of the other outcomes is certain.
};

/// The number of outcomes, for tables indexed by one.
inline constexpr std::size_t OutcomeCount = 4;

/// "completed", "failed", "not_run" or "unknown".
[[nodiscard]] constexpr std::string_view toString(Outcome oc) noexcept {
  switch (oc) {
  case Outcome::Completed:
    return "completed";
  case Outcome::Failed:
    return "failed";
  case Outcome::NotRun:
    return "not_run";
  case Outcome::Unknown:
    break;
  }
  return "unknown";
}

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_OUTCOME_H
