// Look-up of a back end's load.
#include "zinniagauge/board/load.h"

#include <algorithm>

namespace zinniagauge {

std::uint32_t waitingFor(const QueueList &queues, PoolId pool) noexcept {
  for (const PoolQueue &q : queues.List)
    if (q.Pool == pool)
      return q.Waiting;
  return 0;
}

BackendLoad findLoad(const LoadList &loads, EndpointId id) noexcept {
  const auto it = std::lower_bound(
      loads.List.begin(), loads.List.end(), id,
      [](const BackendLoad &l, EndpointId key) { return l.Id < key; });
  return it != loads.List.end() && it->Id == id ? *it
                                                : BackendLoad{id, 0, 0, 0, {}};
}

} // namespace zinniagauge
