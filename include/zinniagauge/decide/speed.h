// Estimates how fast an endpoint serves, from the times that entries measured.
#ifndef ZINNIAGAUGE_DECIDE_SPEED_H
#define ZINNIAGAUGE_DECIDE_SPEED_H

#include "zinniagauge/board/bundle.h"
#include "zinniagauge/board/ticket.h"

#include <cstdint>

namespace zinniagauge {

/// The learnt speed of one endpoint under its current load. Zero nanoseconds
/// means unknown; estimates then assume no service time.
struct Speed {
  double PrefillNanosPerToken = 0; // For an uncached prompt token.
  double DecodeNanosPerToken = 0;  // For an output token of one request.
  std::uint32_t Samples = 0;
};

/// The speed configured for \p ep in the bundle.
[[nodiscard]] Speed configuredSpeed(const EndpointSpec &ep) noexcept;

/// Updates \p sp from \p ret. \p estimated is the expected number of output
/// tokens, for services that report none. A sample gets a larger weight if the
/// current estimate is \p stale.
void updateSpeed(Speed &sp, const GrantReturn &ret, std::uint32_t estimated,
                 bool stale) noexcept;

/// Updates \p sp from a request with \p prompt prompt tokens and \p output
/// expected output tokens that is still unfinished after \p elapsed. Has no
/// effect unless that is longer than expected.
void updateSpeedFromUnfinished(Speed &sp, Duration elapsed,
                               std::uint32_t prompt,
                               std::uint32_t output) noexcept;

/// The expected time for \p prefill uncached prompt tokens and \p output output
/// tokens.
[[nodiscard]] Duration serviceTime(const Speed &sp, std::uint32_t prefill,
                                   std::uint32_t output) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_SPEED_H
