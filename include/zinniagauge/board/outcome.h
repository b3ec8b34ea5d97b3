// What became of a request, as its caller is told.
#ifndef ZINNIAGAUGE_BOARD_OUTCOME_H
#define ZINNIAGAUGE_BOARD_OUTCOME_H

#include <cstdint>
#include <string_view>

namespace zinniagauge {

/// What became of a request.
enum class Outcome : std::uint8_t {
  Completed, ///< It ran, and the answer is whole.
  Failed,    ///< It ran, and the endpoint says that it failed.
  NotRun,    ///< No byte of it can have reached an endpoint, or the endpoint
             ///< itself refused it before running it.
  Unknown,   ///< None of the others is certain.
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
