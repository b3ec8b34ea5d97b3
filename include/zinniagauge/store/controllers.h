// The controllers of a front's board: they follow the table service and put on
// the board what it says. All run on one loop of their own.
#ifndef ZINNIAGAUGE_STORE_CONTROLLERS_H
#define ZINNIAGAUGE_STORE_CONTROLLERS_H

#include "zinniagauge/board/front_board.h"
#include "zinniagauge/decide/allowance.h"
#include "zinniagauge/decide/backend_tracker.h"
#include "zinniagauge/front/front_settings.h"
#include "zinniagauge/net/loop.h"
#include "zinniagauge/observe/event_log.h"
#include "zinniagauge/observe/front_metrics.h"
#include "zinniagauge/store/gossip.h"
#include "zinniagauge/store/pool_move_controller.h"
#include "zinniagauge/store/store_connection.h"
#include "zinniagauge/store/store_protocol.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace zinniagauge {

struct Controllers;

/// Follows the operators' plan: reads it whole once, then its changes.
struct PlanController {
  Controllers *Owner = nullptr;
  StoreConnection Connection;
  LoopTimer Timer;
  std::uint64_t StoreVersion = 0; // Of the table service, read up to here.
  std::uint64_t OperatorRowVersion = 0; // Of the newest row of operators.
  bool FullyRead = false;        // Version was reached by a whole reading.
  bool StoreUnreachable = false; // The last call failed.
  Duration Backoff = Duration::zero();
};

/// Reads the list of back ends.
struct DiscoveryController {
  Controllers *Owner = nullptr;
  StoreConnection Connection;
  LoopTimer Timer;
  std::vector<Backend> RowsRead; // Read so far.
  std::string NextKey;
  Time ReadStartedAt;     // For the first page,
  Time ReadStartedAtBoot; // by bootNow.
  BackendTracker Track;
  std::set<std::string> LoggedUnreadableRows; // Rows that were logged as such.
  bool StoreUnreachable = false;
};

/// Publishes this front and reads the others.
struct PeerController {
  Controllers *Owner = nullptr;
  StoreConnection Connection;
  LoopTimer Timer;
  std::uint64_t Incarnation = 0;
  std::uint64_t Heartbeat = 0;
  PeerDemandTable PeerDemands;
  bool StoreUnreachable = false;
};

/// All controllers of a front.
struct Controllers {
  Controllers(FrontBoard &board, const StoreProtocol &dialect,
              const FrontSettings &settings, EventLog &log,
              FrontMetrics &metrics);
  Controllers(const Controllers &) = delete;
  Controllers &operator=(const Controllers &) = delete;

  FrontBoard &Board;
  const StoreProtocol &Protocol;
  FrontSettings Settings;
  EventLog &Log;
  FrontMetrics &Metrics;
  Loop Lp;
  PlanController Plans;
  DiscoveryController Discovery;
  PeerController Peers;
  Gossip PeerGossip;
  PoolMoveController Moves;
  std::function<void()> OnChange; // The board has changed; on this loop.
};

/// Opens the loop and starts following. Fails with Unavailable.
[[nodiscard]] Result<void> startControllers(Controllers &ct);

/// Logs once that the table service was lost or is back for one use of it.
void recordStoreResult(Controllers &ct, bool &lost, std::string_view use,
                       const Error *err);

void startPlanController(PlanController &pf);
void startDiscoveryController(DiscoveryController &br);
void startPeerController(PeerController &pk);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_STORE_CONTROLLERS_H
