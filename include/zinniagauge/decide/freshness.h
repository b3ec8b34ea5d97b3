// How long the last reading of the operators' configuration may be relied on.
#ifndef ZINNIAGAUGE_DECIDE_FRESHNESS_H
#define ZINNIAGAUGE_DECIDE_FRESHNESS_H

#include "zinniagauge/time/clock.h"

#include <algorithm>

namespace zinniagauge {

/// The ages up to which a proof that no newer configuration exists is valid.
struct FreshnessLimits {
  /// To serve calls with keys.
  Duration MaxServeAge = std::chrono::milliseconds(3800);
  /// To reject a key or path as unknown.
  Duration MaxRejectAge = std::chrono::milliseconds(2200);
  bool FailClosed = true; // Refuse calls with keys beyond MaxServeAge.
};

/// What the age of a proof allows.
struct Freshness {
  bool MayServe = false;  // To serve calls with keys.
  bool MayReject = false; // To reject a key or path as unknown.
};

/// What the current proof allows at \p now. \p proven is the time when the
/// reading that gave the proof was requested, or zero if there is no proof yet.
/// Both times are of the clock that counts suspended time.
[[nodiscard]] constexpr Freshness freshnessAt(const FreshnessLimits &lim,
                                              Time proven, Time now) noexcept {
  if (proven == Time())
    return {};
  const Duration age = now - proven;
  return {!lim.FailClosed || age <= lim.MaxServeAge, age <= lim.MaxRejectAge};
}

/// The timing by which proofs are renewed.
struct ProofRenewal {
  /// How long a reading may wait for changes; its proof is that old when it
  /// arrives. The wait is short, since the proof is also sent to other
  /// processes, which read for themselves if it is older than MaxSharedAge.
  Duration LongPollWait;
  /// The age at which a process replaces a proof received from another by a
  /// reading of its own.
  Duration MaxSharedAge;
};

/// The timing with which no proof reaches the smaller age in \p lim, with time
/// left for the responses to arrive.
[[nodiscard]] constexpr ProofRenewal
proofRenewal(const FreshnessLimits &lim) noexcept {
  constexpr Duration MaxWait = std::chrono::milliseconds(250);
  constexpr Duration MaxAge = std::chrono::milliseconds(1700);
  const Duration limit = lim.FailClosed
                             ? std::min(lim.MaxServeAge, lim.MaxRejectAge)
                             : lim.MaxRejectAge;
  return {std::min(MaxWait, limit / 4), std::min(MaxAge, limit * 3 / 4)};
}

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_FRESHNESS_H
