// Version moves of pools without a coordinating process. A move consists of an
// operator's order, one record that is written conditionally, and a share of
// the traffic that follows from the time since the record was started.
#ifndef ZINNIAGAUGE_DECIDE_POOL_MOVE_H
#define ZINNIAGAUGE_DECIDE_POOL_MOVE_H

#include "zinniagauge/board/pool_move.h"
#include "zinniagauge/time/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace zinniagauge {

/// An operator's order to move a pool's traffic to a version within a time
/// limit.
struct VersionMoveOrder {
  std::string PoolName;
  PoolId Pool;
  std::string Label;
  VersionId NewVersion;
  Duration TimeLimit = Duration::zero(); // From when the order was accepted.
  std::uint64_t Number = 0; // Number of the order's row, unique to the order.
};

/// The only record of a move, a row of the table service.
struct MoveRecord {
  MoveStage Stage = MoveStage::Waiting;
  std::string Label;
  std::uint64_t OrderNumber = 0; // Number of the order.
  std::int64_t StartedMs = 0;    // By the table service's clock.
  std::string RollbackReason;    // Empty unless it was rolled back.
  std::uint64_t RowVersion = 0;  // Zero: there is no row.
};

/// The share of a pool's calls that the new version gets until the move's final
/// phase. Operators limit a bad version to a tenth of the calls over the whole
/// move; the rest of that tenth is left for the final phase.
inline constexpr std::uint32_t TrialPermille = 60;

/// The longest final phase, in which the new version gets all calls, so that
/// calls at the old version can end before it is stopped.
inline constexpr Duration MaxFinalPhase = std::chrono::milliseconds(1200);

/// The final phase takes no more than the time limit divided by this.
inline constexpr int FinalPhaseDivisor = 20;

/// How long before its time limit a move is completed, which leaves time to
/// retry a lost write.
inline constexpr Duration CompletionMargin = std::chrono::milliseconds(1500);

/// The new version's share, in permille, when \p elapsed of the time limit of
/// \p order has passed.
[[nodiscard]] std::uint32_t newVersionShareAt(const VersionMoveOrder &order,
                                              MoveStage stage,
                                              Duration elapsed) noexcept;

/// The record to write next, given the one that was read and the table
/// service's time in milliseconds; nothing if the record needs no change. \p
/// bad says why the version is bad, or is empty.
[[nodiscard]] std::optional<MoveRecord>
nextMoveRecord(const VersionMoveOrder &order, const MoveRecord &read,
               std::int64_t servicems, const std::string &bad);

/// Counts of the calls that one process sent, by which it keeps the new version
/// within its share at every moment.
struct VersionSplit {
  MoveId Move;
  std::uint64_t SentTotal = 0;
  std::uint64_t SentToNew = 0;
};

/// Whether the next call goes to the new version.
[[nodiscard]] bool goesToNewVersion(const VersionSplit &split,
                                    const PoolMove &move) noexcept;

/// Counts a call that was sent to the new version, or else to another one.
void countSent(VersionSplit &split, const PoolMove &move, bool tonew) noexcept;

/// Drops the counts of pools without a running move from \p stats. The next
/// move is evaluated only by what is counted during it, and nothing else reads
/// these counts.
void dropEndedMoveStats(std::map<VersionStatsKey, VersionStatsCounts> &stats,
                        const PoolMoveList &moves);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_POOL_MOVE_H
