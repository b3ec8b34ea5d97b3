// The controller of version moves: reads orders and move records, evaluates the
// new version by the statistics of all fronts, and publishes its traffic share
// on the board. Each coordinator runs it, and each front that hears none;
// records are written by compare-and-swap, so only one front's write succeeds.
#ifndef ZINNIAGAUGE_STORE_POOL_MOVE_CONTROLLER_H
#define ZINNIAGAUGE_STORE_POOL_MOVE_CONTROLLER_H

#include "zinniagauge/decide/pool_move.h"
#include "zinniagauge/decide/version_evaluator.h"
#include "zinniagauge/net/loop.h"
#include "zinniagauge/store/store_connection.h"

#include <cstdint>
#include <map>
#include <string>

namespace zinniagauge {

struct Controllers;

/// The version moves that one front knows.
struct PoolMoveController {
  Controllers *Owner = nullptr;
  StoreConnection Connection;
  LoopTimer Timer;
  std::map<PoolId, VersionMoveOrder> Orders;
  /// Orders that differ from the known ones, read when the table service may
  /// lack what operators wrote.
  std::map<PoolId, VersionMoveOrder> HeldOrders;
  std::map<PoolId, MoveRecord> Records;       // By all that is known.
  std::map<PoolId, MoveRecord> StoredRecords; // As last read.
  std::uint64_t RecordsEra = 0;   // In which StoredRecords were read.
  std::int64_t LastServiceMs = 0; // The service's clock at the last read.
  Time LastReadAt;                // When Records were read; zero: never.
  Time NextReadAt;
  Time NextLogAt; // Of the evaluations.
  VersionEvaluator Evaluator;
  /// Why the move's new version is bad.
  std::map<MoveId, std::string> BadVersionReasons;
  bool StoreUnreachable = false;
};

/// Applies an operators' order to move a pool to a version, replacing the
/// pool's earlier order. An order that is already known changes nothing. While
/// \p maylack, the table service may have an older order than the known one, so
/// another one is held back.
void applyOrder(PoolMoveController &mc, VersionMoveOrder order, bool maylack);

/// Applies the orders that were held back. Called when the table service lacks
/// nothing any more.
void applyHeldOrders(PoolMoveController &mc);

/// Called when the table service was restored from a copy.
void onStoreRestored(PoolMoveController &mc);

/// Sets up the connection and the timer; the first order starts the timer.
void startPoolMoveController(PoolMoveController &mc);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_STORE_POOL_MOVE_CONTROLLER_H
