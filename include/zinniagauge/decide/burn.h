// Service-level burn: how fast a tier spends the failures that its objective
// allows. Burn 1 spends them evenly over the objective's period.
#ifndef ZINNIAGAUGE_DECIDE_BURN_H
#define ZINNIAGAUGE_DECIDE_BURN_H

#include "zinniagauge/board/burn.h"
#include "zinniagauge/board/counters.h"
#include "zinniagauge/time/clock.h"

#include <array>
#include <cstdint>
#include <span>

namespace zinniagauge {

/// The windows, in minutes, that burn is told over; shortest first.
inline constexpr std::array<std::uint32_t, 4> BurnWindowMinutes = {5, 30, 60,
                                                                   360};

/// Burn at which a month's allowed failures are gone in two days.
inline constexpr double FastBurn = 14.4;

/// Burn at which they are gone in five days.
inline constexpr double SlowBurn = 6.0;

/// What a tier's burn calls for. A window is confirmed by a shorter one, so
/// that the verdict ends soon after the cause does.
enum class BurnVerdict : std::uint8_t {
  Ok,
  Slow, ///< SlowBurn is passed over 360 and over 30 minutes.
  Fast, ///< FastBurn is passed over 60 and over 5 minutes.
};

/// A tier's counts, a count for each of BurnWindows.
using WindowCounts = std::array<TierCount, BurnWindowMinutes.size()>;

/// What \p counts says of each tier now.
[[nodiscard]] TierCounts readTierCounts(const Counters &counts) noexcept;

/// Counts into the minute of \p now what came since \p hist was last stepped.
/// Call it several times a minute; minutes in which it wasn't called are empty.
void updateBurnHistory(BurnHistory &hist, const TierCounts &counts,
                       Time now) noexcept;

/// How many minutes \p hist has counted, the present one with them; at most
/// BurnMinutes.
[[nodiscard]] std::uint32_t historyMinutes(const BurnHistory &hist) noexcept;

/// What \p hist knows of the tier of rank \p at over each window that ends
/// with the minute of its last step.
[[nodiscard]] WindowCounts windowCounts(const BurnHistory &hist,
                                        Tier at) noexcept;

/// Adds what another node counted.
void addWindowCounts(WindowCounts &to,
                     std::span<const TierCount> from) noexcept;

/// The share of bad requests over the share that \p objective allows; 0 if
/// there were none. An objective of 1 allows none, and any bad one passes
/// every bound.
[[nodiscard]] double burnRate(const TierCount &count,
                              double objective) noexcept;

/// The verdict on a tier.
[[nodiscard]] BurnVerdict verdictOf(const WindowCounts &counts,
                                    double objective) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_BURN_H
