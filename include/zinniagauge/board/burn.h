// How requests did, minute by minute: what service-level burn is computed from.
#ifndef ZINNIAGAUGE_BOARD_BURN_H
#define ZINNIAGAUGE_BOARD_BURN_H

#include "zinniagauge/board/tier.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace zinniagauge {

/// How many minutes a process remembers: the longest window.
inline constexpr std::size_t BurnHistoryMinutes = 360;

/// Requests of one tier that ended, and how many of them did well.
struct TierCount {
  std::uint64_t Total = 0;
  std::uint64_t Good = 0;
};

/// A count for each tier, by rank.
using TierCounts = std::array<TierCount, MaxTiers>;

/// One minute of one tier.
struct BurnMinute {
  std::uint32_t Total = 0;
  std::uint32_t Good = 0;
};

/// The burn section of the board: the last minutes of this process, in a ring.
/// It starts empty with the process; nothing is kept elsewhere.
struct BurnHistory {
  std::array<std::array<BurnMinute, MaxTiers>, BurnHistoryMinutes> Minutes{};
  std::int64_t NewestMinute =
      -1; // The minute that is counted now; -1: none yet.
  std::int64_t OldestMinute =
      -1;                  // The minute in which counting began; likewise.
  TierCounts LastCounts{}; // The counters when they were last read.
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_BURN_H
