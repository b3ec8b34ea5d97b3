// The controller of version moves: follows orders and records, judges the new
// version by what all fronts saw, and puts its share on the board. Every front
// runs it; the record is written under a condition, so one of them prevails.
#ifndef ZINNIAGAUGE_STORE_MOVE_KEEPER_H
#define ZINNIAGAUGE_STORE_MOVE_KEEPER_H

#include "zinniagauge/decide/evidence.h"
#include "zinniagauge/decide/pool_move.h"
#include "zinniagauge/net/loop.h"
#include "zinniagauge/store/store_link.h"

#include <cstdint>
#include <map>
#include <string>

namespace zinniagauge {

struct Controllers;

/// The moves that one front knows.
struct MoveKeeper {
  Controllers *Owner = nullptr;
  StoreLink Link;
  LoopTimer Timer;
  std::map<PoolId, VersionOrder> Orders;
  std::map<PoolId, MoveRecord> Records; // As they were last read.
  std::int64_t ServiceMs = 0;           // By the service's clock,
  Time ReadAt;                          // when they were read; zero: never.
  Time NextRead;
  Judge Judged;
  std::map<MoveId, std::string> Bad; // Why a version is bad.
  bool Lost = false;
};

/// Operators gave an order; one that is known already changes nothing.
void takeOrder(MoveKeeper &mk, VersionOrder order);

void startMoves(MoveKeeper &mk);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_STORE_MOVE_KEEPER_H
