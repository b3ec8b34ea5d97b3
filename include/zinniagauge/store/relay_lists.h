// The lists of relay peers that a front sends with its reports, and the one
// that it derives from the reports of others.
#ifndef ZINNIAGAUGE_STORE_RELAY_LISTS_H
#define ZINNIAGAUGE_STORE_RELAY_LISTS_H

#include "zinniagauge/store/gossip.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace zinniagauge {

/// This front as a relay peer; empty if it accepts no relayed calls.
[[nodiscard]] std::vector<RelayPeer> ownRelays(const Gossip &gossip);

/// A coordinator's list for other coordinators: itself and its live members.
[[nodiscard]] std::vector<RelayPeer> groupRelays(const Gossip &gossip);

/// A coordinator's list for its member \p node, of KnownRelays.
[[nodiscard]] std::vector<RelayPeer> memberRelays(const Gossip &gossip,
                                                  std::uint64_t node);

/// When \p list must be sent to the recipients of \p stream because it differs
/// from the one that they have; Time::max() if it doesn't.
[[nodiscard]] Time changeDueAt(const RelayStream &stream,
                               std::span<const RelayPeer> list);

/// Whether the list that \p recipients have is due again although it is
/// unchanged.
[[nodiscard]] bool isRepeatDue(const RelayStream &stream, Time now,
                               std::size_t recipients);

/// \p list if a report to the \p recipients of \p stream must contain it at \p
/// now, which is then recorded; otherwise nothing.
[[nodiscard]] std::optional<std::vector<RelayPeer>>
nextRelays(RelayStream &stream, std::vector<RelayPeer> list, Time now,
           std::size_t recipients);

/// As nextRelays, for the report to the member \p node of \p members.
[[nodiscard]] std::optional<std::vector<RelayPeer>>
nextMemberRelays(Gossip &gossip, std::uint64_t node, GroupMember &member,
                 std::size_t members);

/// Brings KnownRelays up to date with the board and the reports received, and
/// publishes them if they have changed.
void refreshRelays(Gossip &gossip);

/// Completes the addresses in \p rep: a front that listens on all of its
/// addresses is reached at the one that it sends from, \p from. Drops fronts
/// that have no address.
void completeRelayAddresses(GossipReport &rep, PeerAddress from);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_STORE_RELAY_LISTS_H
