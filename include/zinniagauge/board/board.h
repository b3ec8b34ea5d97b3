// The blackboard of one process. Controllers read and write its sections and
// don't depend on each other.
#ifndef ZINNIAGAUGE_BOARD_BOARD_H
#define ZINNIAGAUGE_BOARD_BOARD_H

#include "zinniagauge/board/bundle.h"
#include "zinniagauge/board/burn.h"
#include "zinniagauge/board/cell.h"
#include "zinniagauge/board/counters.h"
#include "zinniagauge/board/endpoint.h"
#include "zinniagauge/board/member.h"
#include "zinniagauge/board/move.h"

namespace zinniagauge {

/// The shared state of one process. Each section is written by one controller;
/// any thread may read any section at any time without blocking.
struct Board {
  Cell<Bundle> ActiveBundle;    // Written by the bundle controller.
  Cell<MemberList> Members;     // Written by the membership controller.
  Cell<EndpointList> Endpoints; // Written by the endpoint controller.
  Cell<MoveList> Moves;         // Written by the move controller.
  Cell<BurnHistory> Burn;       // Written by the burn controller.
  Counters Counts;              // Incremented by any thread.
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_BOARD_H
