// The controllers that read the table service and write the results to a
// front's board. All of them run on one event loop with its own thread.
#ifndef ZINNIAGAUGE_STORE_CONTROLLERS_H
#define ZINNIAGAUGE_STORE_CONTROLLERS_H

#include "zinniagauge/board/front_board.h"
#include "zinniagauge/board/store_era.h"
#include "zinniagauge/decide/backend_tracker.h"
#include "zinniagauge/decide/coordinator.h"
#include "zinniagauge/decide/store_era.h"
#include "zinniagauge/decide/zone_evacuation.h"
#include "zinniagauge/front/front_settings.h"
#include "zinniagauge/front/status_server.h"
#include "zinniagauge/net/loop.h"
#include "zinniagauge/observe/event_log.h"
#include "zinniagauge/observe/front_metrics.h"
#include "zinniagauge/store/gossip.h"
#include "zinniagauge/store/operator_rows.h"
#include "zinniagauge/store/pool_move_controller.h"
#include "zinniagauge/store/store_connection.h"
#include "zinniagauge/store/store_protocol.h"

#include <functional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace zinniagauge {

struct Controllers;

/// Keeps the board's plan up to date: reads the operators' table in full once,
/// then only its changes, from the table service or from the front that has
/// reported them.
struct PlanController {
  Controllers *Owner = nullptr;
  StoreConnection Connection;
  StoreConnection PeerConnection;
  LoopTimer Timer;
  OperatorRowLog Rows;     // As last read; passed on to other fronts.
  bool FromPeer = false;   // The request in progress is to PeerConnection.
  TableVersion PeerFailed; // Reported rows that PeerConnection didn't give.
  TableVersion NewestRow;  // Of the operators' rows; number zero: none.
  PlanRow Row;             // Of the plan, as last read.
  EvacuationOrders Evacuations;
  bool ReadsAll = false;         // The request in progress is a full read.
  bool FullyRead = false;        // ReadUpTo started from a full read.
  bool StoreUnreachable = false; // The last request failed.
  /// A front that doesn't read for others reads again then, unless there is
  /// news earlier.
  Time NextReadAt;
  Duration Backoff = Duration::zero();
  std::string_view LoggedSource; // Of the plan's confirmation, as last logged.
  TableVersion LoggedRows;
};

/// Reads the list of back ends, page by page: from the table service, or from
/// the front that reported a new list if this one doesn't read for others.
struct DiscoveryController {
  Controllers *Owner = nullptr;
  StoreConnection Connection;
  StoreConnection PeerConnection;
  bool FromPeer = false;   // The current reading is from PeerConnection.
  bool PeerFailed = false; // It didn't respond since the list was confirmed.
  std::vector<std::string> Bodies; // Responses of the current reading.
  /// Responses of the last complete reading, for other fronts.
  std::vector<std::string> ServedBodies;
  LoopTimer Timer;
  std::vector<Backend> BackendsRead; // Rows of the pages read so far.
  std::string NextKey;               // First key of the next page.
  Time ReadStartedAt; // Request time of the first page, by the loop's clock.
  Time ReadStartedAtBoot;    // The same time by bootNow.
  bool ReadOutdated = false; // The table service was restored since.
  BackendTracker Track;
  std::set<std::string> LoggedUnreadableRows; // Keys, each logged once.
  bool StoreUnreachable = false;
};

/// Reads the table of coordinators, and holds one of its slots if one of this
/// zone is free.
struct CoordinatorController {
  Controllers *Owner = nullptr;
  StoreConnection Connection;
  LoopTimer RenewTimer; // Of a coordinator.
  LoopTimer ClaimTimer;
  std::uint64_t Incarnation = 0;
  std::uint64_t Heartbeat = 0;
  std::uint64_t RandomState = 0;
  CoordinatorTable Table;
  bool HoldsSlot = false;
  bool ClaimDue = false; // A slot that is free at the next reading is claimed.
  std::vector<SlotWrite> VacantSlots; // Of this zone, by the last summary.
  Time LastReadAt;
  bool StoreUnreachable = false;
};

/// All controllers of a front.
struct Controllers {
  Controllers(FrontBoard &board, const StoreProtocol &protocol,
              const FrontSettings &settings, EventLog &log,
              FrontMetrics &metrics);
  Controllers(const Controllers &) = delete;
  Controllers &operator=(const Controllers &) = delete;

  FrontBoard &Board;
  const StoreProtocol &Protocol;
  FrontSettings Settings;
  EventLog &Log;
  FrontMetrics &Metrics;
  Loop EventLoop;
  StatusServer PeerServer; // Passes on what was read to other fronts.
  PlanController Plans;
  DiscoveryController Discovery;
  CoordinatorController Coordinators;
  Gossip PeerGossip;
  PoolMoveController Moves;
  std::function<void()> OnChange; // Called on Lp after a change of the board.
};

/// Opens the loop and starts all controllers. Fails with Unavailable.
[[nodiscard]] Result<void> startControllers(Controllers &ct);

/// Counts a request to the table service, and logs when the service becomes
/// unreachable or reachable again for \p use. \p err is null on success; \p
/// unreachable is the state of that use and is updated.
void recordStoreResult(Controllers &ct, bool &unreachable, std::string_view use,
                       const StoreResponse &response, const Error *err);

/// Compares the era that \p response names with the known one. A new one is
/// published and logged with \p use, and the controllers are told that what
/// they read of the one before no longer holds.
[[nodiscard]] EraOrder applyStoreEra(Controllers &ct,
                                     const StoreResponse &response,
                                     std::string_view use);

/// Called when the table service was restored from a copy.
void onStoreRestored(PlanController &pc);
void onStoreRestored(CoordinatorController &cc);
void onStoreRestored(DiscoveryController &dc);

void startPlanController(PlanController &pc);

/// The response to another front's request for operators' rows.
[[nodiscard]] StatusResponse serveRows(PlanController &pc,
                                       std::string_view path);

/// Applies the rows in \p rd that evacuate zones or end that. The reading was
/// requested at \p requestedat, by bootNow.
void applyEvacuationRows(PlanController &pc, const TableReadResult &rd,
                         Time requestedat);

void startDiscoveryController(DiscoveryController &dc);

/// The response to another front's request for a page of the list.
[[nodiscard]] StatusResponse servePage(const DiscoveryController &dc,
                                       std::string_view path);

/// Called when another front has reported that it read the list of back ends
/// while this one couldn't.
void applyReportedReadableTime(DiscoveryController &dc);

void startCoordinatorController(CoordinatorController &cc);

/// Reads the table of coordinators now, unless that was done recently.
void requestCoordinators(CoordinatorController &cc);

/// Called with the slots that a coordinator reports as vacant. Claims one of
/// this front's zone after a delay, unless another front does so first.
void considerVacantSlots(CoordinatorController &cc,
                         std::span<const SlotWrite> vacant);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_STORE_CONTROLLERS_H
