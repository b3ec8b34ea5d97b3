// Which fronts another front is told of as relay peers, if it can't be told of
// all.
#ifndef ZINNIAGAUGE_DECIDE_RELAY_SELECTION_H
#define ZINNIAGAUGE_DECIDE_RELAY_SELECTION_H

#include "zinniagauge/board/relay_peer.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace zinniagauge {

/// Selects at most \p count of \p all, sorted by node. One front of each zone
/// comes first, then others; in both, those that reach all pools precede the
/// rest. Among equals the choice is the same each time for one \p seed, and
/// spread evenly over seeds.
[[nodiscard]] std::vector<RelayPeer>
selectRelays(std::span<const RelayPeer> all, std::uint64_t seed,
             std::size_t count);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_RELAY_SELECTION_H
