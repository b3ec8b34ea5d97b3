// How many calls a back end gets while it is cold: for some seconds after its
// start it sustains only a small rate. All fronts keep to it together without
// messages: each gets permissions at its part of the rate, at times that don't
// depend on those of the others. Load: a zone whose back ends all return at
// once while every front has more calls than they sustain, with fronts that are
// new, paused or partitioned.
#ifndef ZINNIAGAUGE_DECIDE_COLD_START_H
#define ZINNIAGAUGE_DECIDE_COLD_START_H

#include "zinniagauge/board/ids.h"
#include "zinniagauge/time/clock.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace zinniagauge {

/// How many calls a cold back end tolerates in any second: its rate times
/// Factor, and Slack more.
struct ColdTolerance {
  bool Limited = false; // False: any number.
  double Factor = 1;
  double Slack = 0;
};

/// For how long a permission can be used. Longer than the period at which
/// waiting calls are checked, so that none is missed while calls wait; short,
/// so that fronts don't collect permissions that they use at the same time.
inline constexpr Duration ColdPermitLifetime = std::chrono::milliseconds(50);

/// How often a second with more calls than tolerated may begin, per second.
inline constexpr double MaxColdExcessRate = 1e-5;

/// Calls of the tolerance that aren't planned with: a restarted front doesn't
/// know when its predecessor sent its last one.
inline constexpr double ReservedColdCalls = 1;

/// The calls a second that \p fronts may send to one cold back end together so
/// that more than \p tolerated within any second are as rare as
/// MaxColdExcessRate; at most \p persecond.
[[nodiscard]] double coldBudget(double persecond, double tolerated,
                                std::uint32_t fronts) noexcept;

/// The permissions of one front for one cold back end. They are issued at
/// FirstAt and every Period after it; each can be used once, for
/// ColdPermitLifetime.
struct ColdPermits {
  Time FirstAt;
  Duration Period = Duration::zero(); // Zero: none are issued.
  std::int64_t NextNumber = 0;        // The first one that isn't used.
};

/// Issues permissions at \p persecond (zero: none) from \p now on. The first
/// one comes at a random time within the first period. Does nothing if they are
/// issued at that rate already.
void setColdRate(ColdPermits &permits, double persecond, Time now,
                 std::uint64_t &random) noexcept;

/// The earliest time from \p now on at which a permission can be used;
/// Time::max() if none is issued.
[[nodiscard]] Time nextPermitAt(const ColdPermits &permits, Time now) noexcept;

/// Uses the oldest permission that is valid at \p now, if there is one.
void usePermit(ColdPermits &permits, Time now) noexcept;

/// For how long the largest number of fronts that was known counts. Longer than
/// most partitions, during which a front hears from fewer.
inline constexpr Duration FrontCountMemory = std::chrono::minutes(5);

/// How long a front must have known the number of fronts before it uses it: the
/// first reports that it receives may be incomplete.
inline constexpr Duration FrontCountSettling = std::chrono::milliseconds(1500);

/// The number of fronts that counts for the division of a cold back end's rate.
struct FrontCount {
  std::uint32_t Current = 0; // The larger of this interval and the last one.
  std::uint32_t Previous = 0;
  Time IntervalBegan;
  Time KnownSince; // Time() while the number isn't known.
};

/// Records at \p now that \p fronts are known to live, with their reports
/// (\p informed) or without them.
void recordFrontCount(FrontCount &count, std::uint32_t fronts, bool informed,
                      Time now) noexcept;

/// The number of fronts to divide by at \p now; zero if it isn't known.
[[nodiscard]] std::uint32_t frontCount(const FrontCount &count,
                                       Time now) noexcept;

/// What one front knows of the cold phase of one back end.
struct ColdPhase {
  Time RowUntil;      // As its row says.
  Time RowSince;      // When the row began to say so.
  Time PresumedUntil; // After a loss of its connection, or an evacuation.
  Time PresumedSince;
  bool Unreachable = false; // Cold until it answers again, and after that.
  bool LoggedCold = false;
};

/// Takes over the end of the cold phase that the row of the back end states.
void setRowCold(ColdPhase &phase, Time until, Time now) noexcept;

/// Presumes at \p now that the back end is cold until \p until. Returns whether
/// that is longer than known.
bool presumeCold(ColdPhase &phase, Time until, Time now) noexcept;

/// The end of the cold phase as known at \p now; in the past if it is warm.
[[nodiscard]] Time coldUntil(const ColdPhase &phase, Time now) noexcept;

[[nodiscard]] inline bool isCold(const ColdPhase &phase, Time now) noexcept {
  return coldUntil(phase, now) > now;
}

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_COLD_START_H
