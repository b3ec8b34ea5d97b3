// How long what was last read of the operators' configuration may be relied on.
#ifndef ZINNIAGAUGE_DECIDE_FRESHNESS_H
#define ZINNIAGAUGE_DECIDE_FRESHNESS_H

#include "zinniagauge/time/clock.h"

namespace zinniagauge {

/// Ages up to which a proof that no newer configuration exists is good.
struct FreshnessLimits {
  Duration Serve = std::chrono::milliseconds(3800); // For calls with keys.
  Duration Deny = std::chrono::milliseconds(2200);  // To call a key or path
                                                    // unknown.
  bool FailClosed = true; // Calls with keys are refused beyond Serve.
};

/// What a proof of some age allows.
struct Freshness {
  bool MayServe = false; // Calls with keys.
  bool MayDeny = false;
};

/// \p proven: when the reading that proved it was asked for; \p now: both on
/// the clock that counts suspended time. No proof yet: \p proven is zero.
[[nodiscard]] constexpr Freshness freshnessAt(const FreshnessLimits &lim,
                                              Time proven, Time now) noexcept {
  if (proven == Time())
    return {};
  const Duration age = now - proven;
  return {!lim.FailClosed || age <= lim.Serve, age <= lim.Deny};
}

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_FRESHNESS_H
