// The controller of version moves: follows orders and records, judges the new
// version by what all fronts saw, and puts its share on the board. Every front
// runs it; the record is written under a condition, so one of them prevails.
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

/// The moves that one front knows.
struct PoolMoveController {
  Controllers *Owner = nullptr;
  StoreConnection Connection;
  LoopTimer Timer;
  std::map<PoolId, VersionMoveOrder> Orders;
  std::map<PoolId, MoveRecord> Records; // As they were last read.
  std::int64_t LastServiceMs = 0;       // By the service's clock,
  Time LastReadAt;                      // when they were read; zero: never.
  Time NextReadAt;
  VersionEvaluator Evaluator;
  std::map<MoveId, std::string> BadVersionReasons; // Why a version is bad.
  bool StoreUnreachable = false;
};

/// Operators gave an order; one that is known already changes nothing.
void applyOrder(PoolMoveController &mk, VersionMoveOrder order);

void startPoolMoveController(PoolMoveController &mk);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_STORE_POOL_MOVE_CONTROLLER_H
