// Service-level burn rate: how fast a tier uses up the failures that its
// objective allows. A burn of 1 uses them up exactly by the end of the
// objective's period.
#ifndef ZINNIAGAUGE_DECIDE_BURN_H
#define ZINNIAGAUGE_DECIDE_BURN_H

#include "zinniagauge/board/burn.h"
#include "zinniagauge/board/counters.h"
#include "zinniagauge/time/clock.h"

#include <array>
#include <cstdint>
#include <span>

namespace zinniagauge {

/// The windows over which burn is computed, in minutes; shortest first.
inline constexpr std::array<std::uint32_t, 4> BurnWindowMinutes = {5, 30, 60,
                                                                   360};

/// The burn at which a month's allowed failures are used up in two days.
inline constexpr double FastBurn = 14.4;

/// The burn at which a month's allowed failures are used up in five days.
inline constexpr double SlowBurn = 6.0;

/// The alert level of a tier. A shorter window has to confirm the longer one,
/// so that the alert ends soon after its cause.
enum class BurnAlert : std::uint8_t {
  Ok,
  Slow, ///< Burn reaches SlowBurn over both 360 and 30 minutes.
  Fast, ///< Burn reaches FastBurn over both 60 and 5 minutes.
};

/// The counts of one tier, one for each of BurnWindowMinutes.
using WindowCounts = std::array<TierCount, BurnWindowMinutes.size()>;

/// Reads the current totals of each tier.
[[nodiscard]] TierCounts readTierCounts(const Counters &counts) noexcept;

/// Adds the requests since the last call to the minute of \p now. It should be
/// called several times a minute; minutes without a call stay empty.
void updateBurnHistory(BurnHistory &hist, const TierCounts &counts,
                       Time now) noexcept;

/// The number of minutes that \p hist covers, including the current one; at
/// most BurnHistoryMinutes.
[[nodiscard]] std::uint32_t historyMinutes(const BurnHistory &hist) noexcept;

/// The counts of the tier \p at over each window that ends with the newest
/// minute of \p hist.
[[nodiscard]] WindowCounts windowCounts(const BurnHistory &hist,
                                        Tier at) noexcept;

/// Adds the counts of another node to \p to.
void addWindowCounts(WindowCounts &to,
                     std::span<const TierCount> from) noexcept;

/// The fraction of bad requests divided by the fraction that \p objective
/// allows; 0 if there are none. An objective of 1 allows no bad request; a
/// single one then gives infinity, which exceeds every bound.
[[nodiscard]] double burnRate(const TierCount &count,
                              double objective) noexcept;

/// The alert level of a tier with the given counts.
[[nodiscard]] BurnAlert burnAlertOf(const WindowCounts &counts,
                                    double objective) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_BURN_H
