// What fronts tell each other by datagrams, and what it adds up to.
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

/// One front's report.
struct GossipReport {
  std::uint64_t Node = 0; // nameHash of its name.
  std::uint64_t Incarnation = 0;
  std::uint64_t Heartbeat = 0;
  std::vector<BackendLoad> Loads;
  std::vector<WorkspaceSpend> SpendTotals;
  std::vector<VersionStats> Stats; // Of versions that are being moved to.
  std::uint64_t OperatorRowVersion =
      0;                            // Of the newest row of operators it knows.
  std::uint64_t BackendsDigest = 0; // Of the back ends as it knows them.
  std::uint32_t OperatorRowAgeMs = 0;    // Since Mark was surely the newest,
  std::uint32_t BackendsDigestAgeMs = 0; // and Digest that of the list.
  std::int64_t QuerySentAt =
      0; // A question: the asker's bootNow, to be echoed.
  std::int64_t EchoedQuerySentAt = 0; // An answer: the Ask that it answers.
  bool IsFull = true;                 // All is listed, not only what changed.
};

/// What of \p now differs from \p before, both sorted; a load that is no longer
/// listed is given without calls.
[[nodiscard]] std::vector<BackendLoad>
changedLoads(std::span<const BackendLoad> before,
             std::span<const BackendLoad> now);

/// \p now, less the loads, totals and evidence that \p said had told already.
[[nodiscard]] GossipReport changesSince(const GossipReport &said,
                                        const GossipReport &now);

/// \p rep as a datagram.
[[nodiscard]] std::string encodeReport(const GossipReport &rep);

/// The inverse of encodeReport; nothing if \p raw is no report.
[[nodiscard]] std::optional<GossipReport>
decodeReport(std::span<const char> raw);

/// What was heard of the other fronts.
struct GossipState {
  struct Peer {
    GossipReport LastReport;
    Time LastReportAt;
    bool FullReportReceived = false; // A whole report was among those taken in.
  };
  std::map<std::uint64_t, Peer> Peers; // By node.
  std::map<WorkspaceId, std::uint64_t>
      EarlierIncarnationSpend; // Spent by earlier lives.
  std::map<WorkspaceId, std::uint64_t>
      SpendBeforeFirstReport; // Spent before it was heard.
};

/// Takes in a report; older ones than the last of its life are passed over. One
/// that isn't whole changes only what it lists.
void applyReport(GossipState &book, GossipReport rep, Time now);

/// The loads of all peers that were heard within \p memory, added up.
[[nodiscard]] LoadList sumPeerLoads(const GossipState &book, Time now,
                                    Duration memory);

/// What all peers spent since they were heard first. It never falls.
[[nodiscard]] SpendList sumPeerSpend(const GossipState &book);

/// The fronts that read the table service for all: the first of those that
/// live, in an order that all agree on. \p living holds node ids.
[[nodiscard]] std::vector<std::uint64_t>
selectStoreReaders(std::span<const std::uint64_t> living);

/// Sends and receives reports.
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
  std::map<std::uint64_t, PeerAddress>
      AddressByNode;           // Where reports came from.
  GossipReport LastSentReport; // As the peers were told last.
  GossipState PeerReports;
};

/// The board's own loads have changed: tells the peers what changed.
void sendChanges(Gossip &go);

/// Opens the socket and starts. Fails with Unavailable.
[[nodiscard]] Result<void> startGossip(Gossip &go);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_STORE_GOSSIP_H
