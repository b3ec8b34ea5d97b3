// Counts of requests per minute, from which the burn rate of each tier's
// service-level objective is computed.
#ifndef ZINNIAGAUGE_BOARD_BURN_H
#define ZINNIAGAUGE_BOARD_BURN_H

#include "zinniagauge/board/tier.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace zinniagauge {

/// Minutes of history that a process keeps: the longest window for which burn
/// is computed.
inline constexpr std::size_t BurnHistoryMinutes = 360;

/// Requests of one tier that ended, and how many of them met the tier's target.
struct TierCount {
  std::uint64_t Total = 0;
  std::uint64_t Good = 0;
};

/// A count for each tier, indexed by rank.
using TierCounts = std::array<TierCount, MaxTiers>;

/// Requests of one tier that ended within one minute.
struct BurnMinute {
  std::uint32_t Total = 0;
  std::uint32_t Good = 0;
};

/// The burn section of the board: a ring buffer of the last minutes of this
/// process. It is kept in memory only and starts empty with each process.
struct BurnHistory {
  std::array<std::array<BurnMinute, MaxTiers>, BurnHistoryMinutes> Minutes{};
  // The minute being counted and the minute in which counting began, in minutes
  // since the epoch of the monotonic clock; -1: none yet.
  std::int64_t NewestMinute = -1;
  std::int64_t OldestMinute = -1;
  TierCounts LastCounts{}; // The counters as they were last read.
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_BURN_H
