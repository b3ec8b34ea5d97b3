// Gossip between fronts by UDP datagrams: reports on load, spend and version
// statistics, and the totals computed from them.
#ifndef ZINNIAGAUGE_STORE_GOSSIP_H
#define ZINNIAGAUGE_STORE_GOSSIP_H

#include "zinniagauge/board/address.h"
#include "zinniagauge/board/demand.h"
#include "zinniagauge/board/load.h"
#include "zinniagauge/board/move.h"
#include "zinniagauge/net/loop.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace zinniagauge {

struct Controllers;

/// One front's report to its peers.
struct GossipReport {
  std::uint64_t Node = 0; // nameHash of the sender's name.
  std::uint64_t Incarnation = 0;
  std::uint64_t Heartbeat = 0;
  std::vector<BackendLoad> Loads;
  std::vector<WorkspaceSpend> SpendTotals;
  std::vector<VersionStats> Stats; // Of pools with a running version move.
  /// Of the newest operators' row the sender knows.
  std::uint64_t OperatorRowVersion = 0;
  /// Of the list of back ends the sender knows.
  std::uint64_t BackendsDigest = 0;
  /// Since OperatorRowVersion was last confirmed.
  std::uint32_t OperatorRowAgeMs = 0;
  /// Since BackendsDigest was last confirmed.
  std::uint32_t BackendsDigestAgeMs = 0;
  /// In a query: the sender's bootNow, to be echoed.
  std::int64_t QuerySentAt = 0;
  /// In a response: QuerySentAt of the query.
  std::int64_t EchoedQuerySentAt = 0;
  bool IsFull = true; // False: lists only what changed.
};

/// The loads of \p now that differ from \p before, both sorted by id. A load
/// that is missing from \p now is returned with all values zero.
[[nodiscard]] std::vector<BackendLoad>
changedLoads(std::span<const BackendLoad> before,
             std::span<const BackendLoad> now);

/// A partial report with the loads, spend totals and version statistics of \p
/// now that differ from \p lastsent.
[[nodiscard]] GossipReport changesSince(const GossipReport &lastsent,
                                        const GossipReport &now);

/// Encodes \p rep as a datagram.
[[nodiscard]] std::string encodeReport(const GossipReport &rep);

/// The inverse of encodeReport; nullopt if \p raw isn't a valid report.
[[nodiscard]] std::optional<GossipReport>
decodeReport(std::span<const char> raw);

/// What the reports of the other fronts say so far.
struct GossipState {
  struct Peer {
    GossipReport LastReport;
    Time LastReportAt;
    bool FullReportReceived = false; // At least one full report was applied.
  };
  std::map<std::uint64_t, Peer> Peers; // By node.
  /// Spent by earlier incarnations of all peers.
  std::map<WorkspaceId, std::uint64_t> EarlierIncarnationSpend;
  /// What peers spent before their first report.
  std::map<WorkspaceId, std::uint64_t> SpendBeforeFirstReport;
};

/// Applies a report. It is ignored unless it is newer than the last one of the
/// same incarnation. A partial report changes only the entries that it lists.
void applyReport(GossipState &state, GossipReport rep, Time now);

/// The sum of the loads of all peers whose last report is at most \p timeout
/// old.
[[nodiscard]] LoadList sumPeerLoads(const GossipState &state, Time now,
                                    Duration timeout);

/// What all peers spent since their first report, and what they spent before
/// it. Neither total ever decreases.
[[nodiscard]] SpendList sumPeerSpend(const GossipState &state);

/// Selects the fronts that read the table service for all others: the first of
/// the live ones, in an order that is the same on every front. \p livenodes
/// holds node ids.
[[nodiscard]] std::vector<std::uint64_t>
selectStoreReaders(std::span<const std::uint64_t> livenodes);

/// The controller that sends and receives reports.
struct Gossip {
  Gossip() = default;
  Gossip(const Gossip &) = delete;
  Gossip &operator=(const Gossip &) = delete;
  ~Gossip();

  Controllers *Owner = nullptr;
  Watch Socket;
  LoopTimer Timer;
  LoopTimer QueryTimer;
  std::uint64_t Incarnation = 0;
  std::uint64_t Heartbeat = 0;
  Time LastSentAt;
  /// Source addresses of reports.
  std::map<std::uint64_t, PeerAddress> AddressByNode;
  GossipReport LastSentReport; // Partial reports are relative to it.
  GossipState PeerReports;
};

/// Sends the peers what has changed since the last report. Called when the
/// board's own loads have changed. Sends nothing if no load differs or if the
/// last report is too recent; a later report then covers the change.
void sendChanges(Gossip &gossip);

/// Opens the socket and starts the timers. Fails with Unavailable.
[[nodiscard]] Result<void> startGossip(Gossip &gossip);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_STORE_GOSSIP_H
