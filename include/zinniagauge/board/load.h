// How many calls run at back ends, and how fast these are, as known to one
// process.
#ifndef ZINNIAGAUGE_BOARD_LOAD_H
#define ZINNIAGAUGE_BOARD_LOAD_H

#include "zinniagauge/board/ids.h"
#include "zinniagauge/board/reported_load.h"

#include <cstdint>
#include <vector>

namespace zinniagauge {

/// The calls of one or several processes at one back end.
struct BackendLoad {
  EndpointId Id;
  std::uint32_t Running = 0;
  std::uint32_t PendingTokens = 0; // Prompt tokens that aren't processed yet.
  /// Microseconds for each event; zero: unknown.
  std::uint32_t MicrosPerEvent = 0;
  /// The newest that the back end said of itself, if it states its pace.
  ReportedLoad Reported = {};

  bool operator==(const BackendLoad &) const = default;
};

/// Loads sorted by back end. A back end that isn't listed has no load.
struct LoadList {
  std::vector<BackendLoad> List;
};

/// The calls of one or several processes that wait for a back end of a pool.
struct PoolQueue {
  PoolId Pool;
  std::uint32_t Waiting = 0;

  bool operator==(const PoolQueue &) const = default;
};

/// Queues sorted by pool. A pool that isn't listed has none.
struct QueueList {
  std::vector<PoolQueue> List;
};

/// The calls that wait for \p pool; zero if it isn't listed.
[[nodiscard]] std::uint32_t waitingFor(const QueueList &queues,
                                       PoolId pool) noexcept;

/// The load of \p id; zero if it isn't listed.
[[nodiscard]] BackendLoad findLoad(const LoadList &loads,
                                   EndpointId id) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_LOAD_H
