// Version moves of pools that are led by the table service: each process knows
// the same record and works out the same share.
#ifndef ZINNIAGAUGE_BOARD_POOL_MOVE_H
#define ZINNIAGAUGE_BOARD_POOL_MOVE_H

#include "zinniagauge/board/ids.h"
#include "zinniagauge/board/move.h"

#include <cstdint>
#include <vector>

namespace zinniagauge {

/// What a process may send to the new version of a pool.
struct PoolMove {
  PoolId Pool;
  MoveId Id;
  VersionId NewVersion;
  MoveStage Stage = MoveStage::Waiting;
  std::uint32_t SharePermille = 0; // Of the pool's calls.

  bool operator==(const PoolMove &) const = default;
};

/// The moves section of a front's board.
struct PoolMoveList {
  std::vector<PoolMove> List;
};

/// The move of \p pool, or null.
[[nodiscard]] const PoolMove *findMove(const PoolMoveList &moves,
                                       PoolId pool) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_POOL_MOVE_H
