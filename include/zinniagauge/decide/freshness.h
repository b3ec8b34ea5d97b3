// How long what was last read of the operators' configuration may be relied on.
#ifndef ZINNIAGAUGE_DECIDE_FRESHNESS_H
#define ZINNIAGAUGE_DECIDE_FRESHNESS_H

#include "zinniagauge/time/clock.h"

#include <algorithm>

namespace zinniagauge {

/// Ages up to which a proof that no newer configuration exists is good.
struct FreshnessLimits {
  Duration MaxServeAge =
      std::chrono::milliseconds(3800);                   // For calls with keys.
  Duration MaxDenyAge = std::chrono::milliseconds(2200); // To call a key or
                                                         // path unknown.
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
  return {!lim.FailClosed || age <= lim.MaxServeAge, age <= lim.MaxDenyAge};
}

/// How proofs are renewed.
struct ProofRenewal {
  Duration LongPollWait; // A reading may wait for changes; its proof is as old
                         // then. Short: others are told of it, and read by
                         // themselves if what they are told is Old.
  Duration
      MaxSharedAge; // Age at which a proof of another's is replaced by an own.
};

/// The pace under which no proof reaches the tighter of \p lim, with time
/// left for the answers' way.
[[nodiscard]] constexpr ProofRenewal
proofRenewal(const FreshnessLimits &lim) noexcept {
  constexpr Duration MostWait = std::chrono::milliseconds(250);
  constexpr Duration MostOld = std::chrono::milliseconds(1700);
  const Duration least = lim.FailClosed
                             ? std::min(lim.MaxServeAge, lim.MaxDenyAge)
                             : lim.MaxDenyAge;
  return {std::min(MostWait, least / 4), std::min(MostOld, least * 3 / 4)};
}

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_FRESHNESS_H
