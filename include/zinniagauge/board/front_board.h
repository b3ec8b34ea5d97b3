// The blackboard of a front: the request loop and the controllers read and
// write it, and know nothing of each other.
#ifndef ZINNIAGAUGE_BOARD_FRONT_BOARD_H
#define ZINNIAGAUGE_BOARD_FRONT_BOARD_H

#include "zinniagauge/board/backend.h"
#include "zinniagauge/board/cell.h"
#include "zinniagauge/board/demand.h"
#include "zinniagauge/board/load.h"
#include "zinniagauge/board/move.h"
#include "zinniagauge/board/pool_move.h"
#include "zinniagauge/board/traffic_plan.h"

#include <atomic>
#include <cstdint>

namespace zinniagauge {

/// What one front knows. Each section has one writing thread; any thread may
/// read any section at any time without waiting.
struct FrontBoard {
  Cell<TrafficPlan> Plan;       // Written by the plan controller.
  Cell<BackendList> Backends;   // Written by the discovery controller.
  Cell<AllowanceShares> Shares; // Written by the peer controller.
  Cell<PoolMoveList> PoolMoves; // Written by the controller of version moves.
  Cell<VersionStatsList> OwnStats; // Written by the request loop.
  Cell<LoadList> PeerLoads;        // Written by the gossip controller.
  Cell<LoadList> OwnLoads;         // Written by the request loop.
  Cell<DemandList> Demands;        // Written by the request loop.
  Cell<SpendList> OwnSpend;        // Written by the request loop.
  Cell<SpendList> PeerSpend;       // Written by the gossip controller.

  /// When the newest reading was asked for that proved the plan to be the
  /// latest: nanoseconds of bootNow; zero before the first.
  std::atomic<std::int64_t> PlanConfirmedAt{0};
  std::atomic<std::uint64_t> PlanVersion{0};

  /// Since when every living peer has been heard: the least of the times at
  /// which each was heard last, nanoseconds of monotonicNow.
  std::atomic<std::int64_t> OldestPeerReportAt{0};

  /// The newest of the operators' rows that was read; rises with each of them.
  std::atomic<std::uint64_t> OperatorRowVersion{0};
  /// A digest of the list of back ends that was read last, and when that was
  /// asked for, as PlanProven.
  std::atomic<std::uint64_t> BackendsDigest{0};
  std::atomic<std::int64_t> BackendsConfirmedAt{0};

  /// What a front that reads the table service said of these two, and the
  /// latest time at which it surely held, by bootNow of this machine. Written
  /// by the gossip controller.
  std::atomic<std::uint64_t> ReportedRowVersion{0};
  std::atomic<std::int64_t> ReportedRowVersionAt{0};
  std::atomic<std::uint64_t> ReportedBackendsDigest{0};
  std::atomic<std::int64_t> ReportedBackendsDigestAt{0};

  /// Whether this front reads the table service for others as well.
  std::atomic<bool> IsStoreReader{true};

  std::atomic<bool> Stopping{false}; // Written by whoever stops the process.
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_FRONT_BOARD_H
