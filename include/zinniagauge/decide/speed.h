// How fast an endpoint serves, learnt from what entries saw of their grants.
#ifndef ZINNIAGAUGE_DECIDE_SPEED_H
#define ZINNIAGAUGE_DECIDE_SPEED_H

#include "zinniagauge/board/bundle.h"
#include "zinniagauge/board/ticket.h"

#include <cstdint>

namespace zinniagauge {

/// The learnt speed of one endpoint under the load that it is given. Zero
/// nanoseconds: nothing is known, which estimates take for fast.
struct Speed {
  double PrefillNanosPerToken =
      0; // For one token of a prompt that isn't cached.
  double DecodeNanosPerToken = 0; // For one token of output, of one request.
  std::uint32_t Samples = 0;
};

/// The speed that the bundle states for \p ep.
[[nodiscard]] Speed configuredSpeed(const EndpointSpec &ep) noexcept;

/// Learns from \p ret; \p asked are the output tokens that were estimated, for
/// services that report none. If what is known is \p stale, the new sample
/// counts for more.
void updateSpeed(Speed &sp, const GrantReturn &ret, std::uint32_t asked,
                 bool stale) noexcept;

/// Learns that \p output tokens and the prompt weren't done after \p elapsed.
/// Says nothing unless that is longer than expected.
void updateSpeedFromUnfinished(Speed &sp, Duration elapsed,
                               std::uint32_t prompt,
                               std::uint32_t output) noexcept;

/// How long an endpoint of this speed takes for \p prefill tokens of prompt
/// that it has to compute and \p output tokens.
[[nodiscard]] Duration serviceTime(const Speed &sp, std::uint32_t prefill,
                                   std::uint32_t output) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_SPEED_H
