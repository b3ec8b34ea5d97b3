// Look-up of a pool's version move.
#include "zinniagauge/board/pool_move.h"

#include <algorithm>

namespace zinniagauge {

const PoolMove *findMove(const PoolMoveList &moves, PoolId pool) noexcept {
  const auto it =
      std::find_if(moves.List.begin(), moves.List.end(),
                   [&](const PoolMove &m) { return m.Pool == pool; });
  return it == moves.List.end() ? nullptr : &*it;
}

} // namespace zinniagauge
