// Whether a front reaches the back ends of a pool at all, as opposed to single
// back ends that have failed.
#ifndef ZINNIAGAUGE_DECIDE_REACHABILITY_H
#define ZINNIAGAUGE_DECIDE_REACHABILITY_H

#include "zinniagauge/board/ids.h"
#include "zinniagauge/time/clock.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace zinniagauge {

/// What a front's connections to the back ends of a pool show.
enum class PoolReach : std::uint8_t {
  Reached,          ///< Connections are established.
  NoNewConnections, ///< Older ones work, new ones fail at all back ends.
  Unreached,        ///< Nothing arrives, and new ones fail at all back ends.
};

/// The evidence on one pool.
struct PoolReachability {
  PoolReach State = PoolReach::Reached;
  Time LastConnectedAt;           // A connection was established.
  Time LastByteAt;                // Bytes arrived from any of its back ends.
  std::vector<EndpointId> Failed; // Since the last success, each once.
  Time FirstFailureAt;            // Of these.
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_REACHABILITY_H
