// Version moves of pools, coordinated through the table service: each process
// reads the same record and computes the same share from it.
#ifndef ZINNIAGAUGE_BOARD_POOL_MOVE_H
#define ZINNIAGAUGE_BOARD_POOL_MOVE_H

#include "zinniagauge/board/ids.h"
#include "zinniagauge/board/move.h"

#include <cstdint>
#include <vector>

namespace zinniagauge {

/// The share of a pool's calls that a process may send to the new version.
struct PoolMove {
  PoolId Pool;
  MoveId Id;
  VersionId NewVersion;
  MoveStage Stage = MoveStage::Waiting;
  std::uint32_t SharePermille = 0;

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
