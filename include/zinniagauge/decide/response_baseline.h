// What the responses of a route usually take, and whether one is slow against
// that. A version may answer only some requests slowly: their mean hides it, as
// the times of one route differ by several times anyway.
#ifndef ZINNIAGAUGE_DECIDE_RESPONSE_BASELINE_H
#define ZINNIAGAUGE_DECIDE_RESPONSE_BASELINE_H

#include "zinniagauge/time/clock.h"

#include <cstdint>

namespace zinniagauge {

/// The times of one successful response.
struct ResponseTimes {
  Duration First = Duration::zero(); // From the send to the first byte.
  Duration Rest = Duration::zero();
  std::uint32_t Units = 0; // Events that Rest covers; zero if there are none.
};

/// Moving medians over the responses of a route. A mean would rise with the
/// responses of back ends that are several times slower than the others.
struct ResponseBaseline {
  double FirstMs = 0;
  double UnitMs = 0; // Per event after the first; zero: unknown.
  std::uint32_t Responses = 0;
};

/// A response that takes this many times the median is slow.
inline constexpr double SlowRatio = 4;

/// Responses before which none is slow.
inline constexpr std::uint32_t MinBaselineResponses = 5;

/// Whether a response is slow against \p base.
[[nodiscard]] bool isSlow(const ResponseBaseline &base,
                          const ResponseTimes &times) noexcept;

/// Adds a response.
void addResponse(ResponseBaseline &base, const ResponseTimes &times) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_RESPONSE_BASELINE_H
