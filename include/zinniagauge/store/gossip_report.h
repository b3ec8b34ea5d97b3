// The reports that fronts send to each other by UDP datagrams, and what a front
// derives from the reports that it received.
#ifndef ZINNIAGAUGE_STORE_GOSSIP_REPORT_H
#define ZINNIAGAUGE_STORE_GOSSIP_REPORT_H

#include "zinniagauge/board/address.h"
#include "zinniagauge/board/backend_limit.h"
#include "zinniagauge/board/crash_evidence.h"
#include "zinniagauge/board/load.h"
#include "zinniagauge/board/move.h"
#include "zinniagauge/board/pool_move.h"
#include "zinniagauge/board/relay_peer.h"
#include "zinniagauge/board/spend.h"
#include "zinniagauge/board/store_era.h"
#include "zinniagauge/decide/coordinator.h"
#include "zinniagauge/time/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace zinniagauge {

/// A front counts as live, and its loads are included, for this long after its
/// last report.
inline constexpr Duration FrontTimeout = std::chrono::milliseconds(1500);

/// The age in a report of what its sender never confirmed, or not for that
/// long.
inline constexpr std::uint32_t UnconfirmedAgeMs = 3'600'000;

/// Receivers reject larger reports. One datagram can't be much larger.
inline constexpr std::size_t MaxReportBytes = std::size_t{60} << 10U;

/// A list of relay peers and its lists of pools are read up to these sizes; a
/// front that can't reach more pools isn't listed.
inline constexpr std::size_t MaxRelaysRead = 64;
inline constexpr std::size_t MaxUnreachedPools = 64;

/// Who sends a report, and what it sums up.
enum class ReportKind : std::uint8_t {
  Group,   ///< A coordinator's, to other coordinators: itself and its members.
  Member,  ///< A front's own, to its coordinator.
  Summary, ///< A coordinator's, to its members: all fronts.
};

/// One report.
struct GossipReport {
  std::uint64_t Node = 0; // nameHash of the sender's name.
  std::uint64_t Incarnation = 0;
  std::uint64_t Heartbeat = 0;
  ReportKind Kind = ReportKind::Group;
  std::vector<BackendLoad> Loads;
  std::vector<PoolQueue> Queues; // In full, also in partial reports.
  std::vector<WorkspaceSpend> SpendTotals;
  std::vector<VersionStats> Stats; // Of pools with a running version move.
  /// All that the sender knows; empty in a partial report if that is unchanged.
  CrashEvidence Crashes;
  /// Likewise.
  BackendLimitList Limits;
  /// The fronts that accept relayed calls: the sender, and those it sums up.
  /// Sorted by node. Empty if unchanged: the receiver keeps the last ones.
  std::optional<std::vector<RelayPeer>> Relays;
  /// Of the newest operators' row the sender knows.
  TableVersion OperatorRows;
  /// Of the list of back ends the sender knows, and the era of that list.
  std::uint64_t BackendsDigest = 0;
  std::uint64_t BackendsEra = 0;
  /// Since OperatorRows were last confirmed.
  std::uint32_t OperatorRowAgeMs = 0;
  /// Since BackendsDigest was last confirmed.
  std::uint32_t BackendsDigestAgeMs = 0;
  /// For how long the sender has read the list of back ends without an outage;
  /// zero: unknown.
  std::uint32_t BackendsReadableMs = 0;
  /// In a query: the sender's bootNow, to be echoed.
  std::int64_t QuerySentAt = 0;
  /// In a response: QuerySentAt of the query.
  std::int64_t EchoedQuerySentAt = 0;
  /// In a response: Incarnation of the query's sender.
  std::uint64_t EchoedIncarnation = 0;
  std::uint32_t LinkMbps = 0;  // Of the sender's link; zero: unknown.
  bool IsFull = true;          // False: lists only what changed.
  std::uint32_t GroupSize = 1; // Group: fronts that it sums up.

  // Only in summaries.
  /// Heartbeat of the receiver's last report that is included.
  std::uint64_t AckedHeartbeat = 0;
  std::uint32_t LivingFronts = 0;
  std::uint32_t HeardFronts = 0;            // Those of LivingFronts included.
  std::vector<CoordinatorRow> Coordinators; // Only Node, Zone and Address.
  std::vector<SlotWrite> VacantSlots;
  /// The version moves, if the sender knows their state.
  std::optional<std::vector<PoolMove>> Moves;
};

/// The loads of \p now that differ from \p before, both sorted by id; the age
/// of what a back end reported doesn't count. A load that is missing from \p
/// now is returned with all values zero.
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

/// The reports of one kind that were received so far.
struct GossipState {
  struct Peer {
    GossipReport LastReport;
    Time LastReportAt;
    bool FullReportReceived = false; // At least one full report was applied.
    Time RelaysChangedAt;            // When LastReport.Relays last changed.
  };
  std::map<std::uint64_t, Peer> Peers; // By node.
  /// Spent by earlier incarnations of all peers.
  std::map<WorkspaceId, std::uint64_t> EarlierIncarnationSpend;
  /// What peers spent before their first report.
  std::map<WorkspaceId, std::uint64_t> SpendBeforeFirstReport;
};

/// Applies a report. It is ignored unless it is newer than the last one of the
/// same incarnation. A partial report changes only the entries that it lists.
/// Relay peers are kept from report to report unless the sender was silent for
/// FrontTimeout.
/// Returns whether it was applied.
bool applyReport(GossipState &state, GossipReport rep, Time now);

/// Adds \p loads to \p sum; both are sorted by id. Of the times per event it
/// keeps the longest: a back end may have slowed down since a shorter one was
/// measured. Of what a back end reported it keeps the newest.
void addLoads(std::vector<BackendLoad> &sum,
              std::span<const BackendLoad> loads);

/// \p total without \p own, both sorted by id.
[[nodiscard]] std::vector<BackendLoad>
subtractLoads(std::span<const BackendLoad> total,
              std::span<const BackendLoad> own);

/// Adds \p queues to \p sum; both are sorted by pool.
void addQueues(std::vector<PoolQueue> &sum, std::span<const PoolQueue> queues);

/// \p total without \p own, both sorted by pool.
[[nodiscard]] std::vector<PoolQueue>
subtractQueues(std::span<const PoolQueue> total,
               std::span<const PoolQueue> own);

/// The sum of the queues of all peers whose last report is at most \p timeout
/// old.
[[nodiscard]] QueueList sumPeerQueues(const GossipState &state, Time now,
                                      Duration timeout);

/// The sum of the loads of all peers whose last report is at most \p timeout
/// old.
[[nodiscard]] LoadList sumPeerLoads(const GossipState &state, Time now,
                                    Duration timeout);

/// What all peers spent since their first report, and what they spent before
/// it. Neither total ever decreases.
[[nodiscard]] SpendList sumPeerSpend(const GossipState &state);

/// Adds the totals of \p more to \p sum; both are sorted by workspace.
void addSpend(std::vector<WorkspaceSpend> &sum,
              std::span<const WorkspaceSpend> more);

/// The number of fronts in the groups of the peers whose last report is at most
/// \p timeout old.
[[nodiscard]] std::uint32_t countFronts(const GossipState &state, Time now,
                                        Duration timeout);

/// Joins the spend totals of changing sources into totals that never decrease:
/// a source that replaces another contributes only what it adds from then on.
struct SpendMeter {
  std::uint64_t Source = 0;
  std::map<WorkspaceId, std::uint64_t> LastTotals;
  std::map<WorkspaceId, std::uint64_t> Accumulated;
};

/// Applies the totals \p now of \p source, and returns the joined totals.
[[nodiscard]] SpendList advance(SpendMeter &meter, std::uint64_t source,
                                std::span<const WorkspaceSpend> now);

/// A live coordinator.
struct ReaderCandidate {
  std::uint64_t Node = 0;
  std::uint32_t LinkMbps = 0; // Zero: unknown.
};

/// Selects the coordinators that read the table service for all others: the
/// first of the live ones, in an order that is the same on every front. Those
/// with wide links come first.
[[nodiscard]] std::vector<std::uint64_t>
selectStoreReaders(std::span<const ReaderCandidate> live);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_STORE_GOSSIP_REPORT_H
