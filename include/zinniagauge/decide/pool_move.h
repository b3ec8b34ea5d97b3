// Leading a version move of a pool without a leader: an order, one record that
// is written under a condition, and a share that follows from the time since
// the record was begun.
#ifndef ZINNIAGAUGE_DECIDE_POOL_MOVE_H
#define ZINNIAGAUGE_DECIDE_POOL_MOVE_H

#include "zinniagauge/board/pool_move.h"
#include "zinniagauge/time/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace zinniagauge {

/// What operators ask: the pool's traffic is to be at a version in time.
struct VersionMoveOrder {
  std::string PoolName;
  PoolId Pool;
  std::string Label;
  VersionId NewVersion;
  Duration TimeLimit = Duration::zero(); // From when the order was accepted.
  std::uint64_t Number = 0; // Of the row; another order has another.
};

/// The one record of a move.
struct MoveRecord {
  MoveStage Stage = MoveStage::Waiting;
  std::string Label;
  std::uint64_t OrderNumber = 0; // The order's Number.
  std::int64_t StartedMs = 0;    // By the table service's clock.
  std::string RollbackReason;    // Of a move that was taken back.
  std::uint64_t RowVersion = 0;  // Of the row; zero: there is none.
};

/// The part of a pool's calls that the new version gets until the move's last
/// phase. Operators bound what a bad version may get at a tenth over the whole
/// move; what is left is for the last phase.
inline constexpr std::uint32_t TrialPermille = 60;

/// The longest last phase, in which the new version gets all calls so that
/// those at the old one can end before it is stopped.
inline constexpr Duration MaxFinalPhase = std::chrono::milliseconds(1200);

/// Its part of the time limit, if that is less.
inline constexpr int FinalPhaseDivisor = 20;

/// How long before its time limit a move is ended: a write that is lost is
/// tried again.
inline constexpr Duration CompletionMargin = std::chrono::milliseconds(1500);

/// The share of the new version when \p elapsed has passed of \p order.
[[nodiscard]] std::uint32_t newVersionShareAt(const VersionMoveOrder &order,
                                              MoveStage stage,
                                              Duration elapsed) noexcept;

/// The record to write next, given the one that was read and the service's
/// time; nothing if it stands. \p bad says why the version is bad, or is empty.
[[nodiscard]] std::optional<MoveRecord>
nextMoveRecord(const VersionMoveOrder &order, const MoveRecord &read,
               std::int64_t servicems, const std::string &bad);

/// Counts of one process that keep a version to its share at every moment.
struct VersionSplit {
  MoveId Move;
  std::uint64_t SentTotal = 0;
  std::uint64_t SentToNew = 0;
};

/// Whether the next call goes to the new version.
[[nodiscard]] bool goesToNewVersion(const VersionSplit &gate,
                                    const PoolMove &move) noexcept;

/// A call was sent to the new version or to another.
void countSent(VersionSplit &gate, const PoolMove &move, bool tonew) noexcept;

/// Drops from \p seen what was counted for pools without a running move: the
/// next move is judged by what is seen during it, and nobody asks for the rest.
void dropEndedMoveStats(std::map<VersionStatsKey, VersionStatsCounts> &seen,
                        const PoolMoveList &moves);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_POOL_MOVE_H
