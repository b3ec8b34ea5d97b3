// Telling a back end that fails from one that is merely loaded: its results are
// held against those of its pool, and it is passed over for a while.
#ifndef ZINNIAGAUGE_DECIDE_OUTLIER_H
#define ZINNIAGAUGE_DECIDE_OUTLIER_H

#include "zinniagauge/time/clock.h"

#include <cstdint>

namespace zinniagauge {

/// When a back end is passed over.
struct OutlierLimits {
  double Weight = 0.12;        // Of one result in the averages.
  double ExcessFailures = 0.3; // Above the pool's share of failures.
  std::uint32_t MinResults = 6;
  std::uint32_t MaxConsecutiveLosses =
      2; // Connections lost or refused in a row.
  Duration InitialEjection = std::chrono::milliseconds(1500);
  Duration MaxEjection = std::chrono::seconds(8);
  double MaxEjectedFraction = 0.5; // Of a pool's back ends.
};

/// What one process has seen of one back end, or of a pool as a whole.
struct ResultStats {
  double FailureRate = 0; // Average share, recent results.
  std::uint32_t Results = 0;
  std::uint32_t ConsecutiveLosses = 0;
  Time EjectedUntil;
  Duration EjectionTime = Duration::zero(); // Doubles while it goes on failing.
};

/// Whether a back end is to be passed over at \p now.
[[nodiscard]] constexpr bool isEjected(const ResultStats &rec,
                                       Time now) noexcept {
  return now < rec.EjectedUntil;
}

/// Takes in a call that was answered in full. True: pass the back end over
/// from now on.
bool recordResult(ResultStats &rec, ResultStats &pool, bool failed,
                  const OutlierLimits &lim, Time now) noexcept;

/// Takes in a call whose connection was refused, reset, or stayed silent.
bool recordLostConnection(ResultStats &rec, const OutlierLimits &lim,
                          Time now) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_OUTLIER_H
