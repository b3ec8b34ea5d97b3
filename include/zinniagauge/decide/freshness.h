// How long the last reading of the operators' configuration may be relied on.
#ifndef ZINNIAGAUGE_DECIDE_FRESHNESS_H
#define ZINNIAGAUGE_DECIDE_FRESHNESS_H

#include "zinniagauge/board/store_era.h"
#include "zinniagauge/time/clock.h"

#include <algorithm>
#include <cstdint>
#include <optional>

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
  bool MayRoute = false;  // To route calls at all.
  bool MayServe = false;  // To serve calls with keys.
  bool MayReject = false; // To reject a key or path as unknown.
};

/// The age at \p now of \p proof as one of the plan \p version; nothing if it
/// is none. The proof of a later plan says that this one is outdated; that of
/// an earlier one is from before this plan, which is newer. Times are of the
/// clock that counts suspended time.
[[nodiscard]] constexpr std::optional<Duration>
proofAge(const PlanProof &proof, std::uint64_t version, Time now) noexcept {
  if (proof.ConfirmedAt == 0 || proof.Version > version)
    return std::nullopt;
  return now - Time(Duration(proof.ConfirmedAt));
}

/// What a proof of age \p age allows; nothing: there is none. \p outdated: a
/// newer configuration is known to exist. It may have added what seems unknown,
/// and once the proof is older than MaxRejectAge it must be in force.
[[nodiscard]] constexpr Freshness freshnessOf(const FreshnessLimits &lim,
                                              std::optional<Duration> age,
                                              bool outdated = false) noexcept {
  if (!age)
    return {!outdated, false, false};
  const bool recent = *age <= lim.MaxRejectAge;
  const bool mayroute = recent || !outdated;
  return {mayroute, mayroute && (!lim.FailClosed || *age <= lim.MaxServeAge),
          recent && !outdated};
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
  /// How long a response may take, on top of LongPollWait, before it ends or
  /// goes on to arrive.
  Duration ResponseTimeout;
};

/// How often a process checks whether a proof received from another is still
/// recent enough.
inline constexpr Duration ProofCheckPeriod = std::chrono::milliseconds(100);

/// The backoff after the first failed reading.
inline constexpr Duration MinReadBackoff = std::chrono::milliseconds(80);

/// The timing with which no proof reaches the smaller age in \p lim, even if
/// the response to one reading is lost. Limits under two seconds leave no room
/// for that.
[[nodiscard]] constexpr ProofRenewal
proofRenewal(const FreshnessLimits &lim) noexcept {
  constexpr Duration MaxWait = std::chrono::milliseconds(250);
  constexpr Duration MaxAge = std::chrono::milliseconds(1700);
  // The service responds within some milliseconds, and within 250 ms when it is
  // slow, for which a connection and a request need two responses.
  constexpr Duration MaxResponseTime = std::chrono::milliseconds(700);
  // Of the reading that follows on a lost one, over a new connection.
  constexpr Duration ReadingTime = std::chrono::milliseconds(100);
  const Duration limit = lim.FailClosed
                             ? std::min(lim.MaxServeAge, lim.MaxRejectAge)
                             : lim.MaxRejectAge;
  const Duration timeout = std::min(MaxResponseTime, limit / 3);
  const Duration withoneloss =
      limit - ProofCheckPeriod - timeout - MinReadBackoff - ReadingTime;
  return {std::min(MaxWait, limit / 4),
          std::min(MaxAge, limit >= std::chrono::seconds(2) ? withoneloss
                                                            : limit * 3 / 4),
          timeout};
}

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_FRESHNESS_H
