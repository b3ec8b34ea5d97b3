// Outlier detection: a back end that fails more than its pool is ejected for a
// while. The comparison with the pool distinguishes a failing back end from one
// that is merely loaded.
#ifndef ZINNIAGAUGE_DECIDE_OUTLIER_H
#define ZINNIAGAUGE_DECIDE_OUTLIER_H

#include "zinniagauge/time/clock.h"

#include <cstdint>

namespace zinniagauge {

/// When a back end is ejected, and for how long.
struct OutlierLimits {
  double Weight = 0.12;        // Of one result in the moving averages.
  double ExcessFailures = 0.3; // Above the pool's failure rate.
  std::uint32_t MinResults = 6;
  /// Connections lost or refused in a row that eject a back end.
  std::uint32_t MaxConsecutiveLosses = 2;
  Duration InitialEjection = std::chrono::milliseconds(1500);
  Duration MaxEjection = std::chrono::seconds(8);
  double MaxEjectedFraction = 0.5; // Of a pool's back ends at a time.
};

/// The results of one back end, or of a pool as a whole, in one process.
struct ResultStats {
  double FailureRate = 0; // Moving average over recent results.
  std::uint32_t Results = 0;
  std::uint32_t ConsecutiveLosses = 0;
  Time EjectedUntil;
  Duration EjectionTime = Duration::zero(); // Doubles while it keeps failing.
};

/// Whether a back end is ejected at \p now.
[[nodiscard]] constexpr bool isEjected(const ResultStats &stats,
                                       Time now) noexcept {
  return now < stats.EjectedUntil;
}

/// Records a call that got a complete response. Returns true if the back end is
/// ejected from now on.
bool recordResult(ResultStats &stats, ResultStats &pool, bool failed,
                  const OutlierLimits &lim, Time now) noexcept;

/// Records a call whose connection was refused, reset or silent. Returns true
/// if the back end is ejected from now on.
bool recordLostConnection(ResultStats &stats, const OutlierLimits &lim,
                          Time now) noexcept;

/// Records a call that got an answer which can't be its own or breaks the
/// protocol: a failed result and a lost connection. Returns true if the back
/// end is ejected from now on.
bool recordWrongAnswer(ResultStats &stats, ResultStats &pool,
                       const OutlierLimits &lim, Time now) noexcept;

/// Ends an ejection that began at \p since or later, as what caused it wasn't
/// the back end's fault, and forgets the connections lost in a row.
void revokeEjection(ResultStats &stats, const OutlierLimits &lim,
                    Time since) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_OUTLIER_H
