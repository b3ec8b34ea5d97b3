// Builds the reports that a front sends, from the board and from the reports
// that it received.
#ifndef ZINNIAGAUGE_STORE_REPORT_BUILDER_H
#define ZINNIAGAUGE_STORE_REPORT_BUILDER_H

#include "zinniagauge/store/gossip.h"

#include <cstdint>

namespace zinniagauge {

/// The number of fronts that this one sums up: itself and its live members.
[[nodiscard]] std::uint32_t groupSize(const Gossip &gossip);

/// The id of this front in reports.
[[nodiscard]] std::uint64_t ownNode(const Gossip &gossip);

/// The bandwidth of this front's link, in Mbit/s; zero: unknown.
[[nodiscard]] std::uint32_t linkMbps(const Gossip &gossip);

/// What this front itself does.
[[nodiscard]] GossipReport makeOwnReport(Gossip &gossip);

/// The sums over this front and its members.
[[nodiscard]] GossipReport makeGroupReport(Gossip &gossip);

/// The sums over all fronts, for the members.
[[nodiscard]] GossipReport makeSummary(Gossip &gossip);

/// A partial report with freshness fields only, used for queries and responses.
[[nodiscard]] GossipReport makeShortReport(Gossip &gossip);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_STORE_REPORT_BUILDER_H
