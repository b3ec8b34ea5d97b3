// The blackboard of a front. The request loop and the controllers read and
// write it and don't depend on each other.
#ifndef ZINNIAGAUGE_BOARD_FRONT_BOARD_H
#define ZINNIAGAUGE_BOARD_FRONT_BOARD_H

#include "zinniagauge/board/backend.h"
#include "zinniagauge/board/backend_limit.h"
#include "zinniagauge/board/cell.h"
#include "zinniagauge/board/crash_evidence.h"
#include "zinniagauge/board/evacuation.h"
#include "zinniagauge/board/load.h"
#include "zinniagauge/board/move.h"
#include "zinniagauge/board/pool_move.h"
#include "zinniagauge/board/relay_peer.h"
#include "zinniagauge/board/spend.h"
#include "zinniagauge/board/store_era.h"
#include "zinniagauge/board/traffic_plan.h"

#include <algorithm>
#include <atomic>
#include <cstdint>

namespace zinniagauge {

/// The shared state of one front. Each section is written by one thread; any
/// thread may read any section at any time without blocking.
struct FrontBoard {
  Cell<TrafficPlan> Plan;           // Written by the plan controller.
  Cell<BackendList> Backends;       // Written by the discovery controller.
  Cell<EvacuatedZones> Evacuations; // Written by the plan controller.
  Cell<PoolMoveList> PoolMoves; // Written by the controller of version moves.
  Cell<VersionStatsList> OwnStats;   // Written by the request loop.
  Cell<LoadList> PeerLoads;          // Written by the gossip controller.
  Cell<LoadList> OwnLoads;           // Written by the request loop.
  Cell<QueueList> PeerQueues;        // Written by the gossip controller.
  Cell<QueueList> OwnQueues;         // Written by the request loop.
  Cell<SpendList> OwnSpend;          // Written by the request loop.
  Cell<SpendList> PeerSpend;         // Written by the gossip controller.
  Cell<CrashEvidence> OwnCrashes;    // All that is known; by the request loop.
  Cell<CrashEvidence> PeerCrashes;   // Written by the gossip controller.
  Cell<BackendLimitList> OwnLimits;  // All that are known; by the request loop.
  Cell<BackendLimitList> PeerLimits; // Written by the gossip controller.
  Cell<UnreachedPools> OwnUnreached; // Written by the request loop.
  Cell<RelayPeerList> RelayPeers;    // Written by the gossip controller.

  Cell<StoreEra> TableEra; // Written by the controllers' thread.

  /// Of the plan that was confirmed last, by the reading that was requested
  /// last. Written by the plan controller, after the plan itself.
  Cell<PlanProof> Proof;
  std::atomic<std::uint64_t> PlanVersion{0};

  /// The fronts that are alive as far as is known, and those of them whose
  /// loads and spending are included in PeerLoads and PeerSpend, this one
  /// counted in both. Written by the gossip controller. The initial values
  /// apply until the table of coordinators has been read.
  std::atomic<std::uint32_t> LivingFronts{20};
  std::atomic<std::uint32_t> HeardFronts{1};
  /// When HeardFronts was determined, in nanoseconds of bootNow.
  std::atomic<std::int64_t> HeardAt{0};
  /// How long other fronts take to learn of a call that one front sends, in
  /// nanoseconds. Written by the gossip controller.
  std::atomic<std::int64_t> LoadDelay{25'000'000};

  /// The newest operators' row that was read. Written by the plan controller.
  Cell<ConfirmedVersion> OperatorRows;
  /// A response with later rows is arriving. Written by the plan controller.
  std::atomic<bool> OperatorRowsArriving{false};
  /// A digest of the last list of back ends that was read, and when that read
  /// was requested, in nanoseconds of bootNow.
  std::atomic<std::uint64_t> BackendsDigest{0};
  std::atomic<std::int64_t> BackendsConfirmedAt{0};
  std::atomic<std::uint64_t> BackendsEra{0}; // In which it was read.

  /// Since when this front has read the list without an outage, in nanoseconds
  /// of bootNow; zero while it keeps entries that may have lapsed in one.
  std::atomic<std::int64_t> BackendsReadableSince{0};
  /// When the reading after the latest outage was requested; zero if no entry
  /// is kept.
  std::atomic<std::int64_t> BackendsGraceFrom{0};
  /// The earliest time since which another front has read the list without an
  /// outage, as it reported after BackendsGraceFrom; zero: none did. Written by
  /// the gossip controller.
  std::atomic<std::int64_t> ReportedReadableSince{0};

  /// The newest operators' row, and the digest of the current era, that a front
  /// which reads the table service reported, each with the latest time at which
  /// it was certainly current, in nanoseconds of this machine's bootNow.
  /// Written by the gossip controller.
  Cell<ConfirmedVersion> ReportedOperatorRows;
  std::atomic<std::uint64_t> ReportedBackendsDigest{0};
  std::atomic<std::int64_t> ReportedBackendsDigestAt{0};

  /// What relayed calls must state; random, set before the threads start. Zero:
  /// this front accepts none.
  std::atomic<std::uint64_t> RelayToken{0};

  /// Whether this front also reads the table service on behalf of other fronts.
  std::atomic<bool> IsStoreReader{false};

  /// Set by the thread that stops the process.
  std::atomic<bool> Stopping{false};
};

/// Whether there are operators' rows that this front hasn't read, as far as it
/// knows.
[[nodiscard]] inline bool lacksOperatorRows(const FrontBoard &board,
                                            const ReadGuard &guard) noexcept {
  const ConfirmedVersion &own = board.OperatorRows.read(guard);
  return board.OperatorRowsArriving ||
         board.ReportedOperatorRows.read(guard).Version >
             std::max(own.Version, own.ReadUpTo);
}

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_FRONT_BOARD_H
