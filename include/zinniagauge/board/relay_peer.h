// The other fronts that can pass calls on to back ends for a front that has
// lost its own connections to them.
#ifndef ZINNIAGAUGE_BOARD_RELAY_PEER_H
#define ZINNIAGAUGE_BOARD_RELAY_PEER_H

#include "zinniagauge/board/address.h"
#include "zinniagauge/board/ids.h"

#include <cstdint>
#include <vector>

namespace zinniagauge {

/// The pools whose back ends a front can't reach, sorted.
struct UnreachedPools {
  std::vector<PoolId> Pools;

  bool operator==(const UnreachedPools &) const = default;
};

/// A front that accepts relayed calls.
struct RelayPeer {
  std::uint64_t Node = 0; // nameHash of its name.
  ZoneId Zone;
  PeerAddress Address; // Where it accepts relayed calls.
  /// Random for each process; a relayed call must state it, so that no other
  /// process at this address serves it.
  std::uint64_t Token = 0;
  std::vector<PoolId> Unreached; // As UnreachedPools of that front.

  bool operator==(const RelayPeer &) const = default;
};

/// Relay peers without this front itself, sorted by node.
struct RelayPeerList {
  std::vector<RelayPeer> List;

  bool operator==(const RelayPeerList &) const = default;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_RELAY_PEER_H
