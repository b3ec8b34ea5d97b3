// The blackboard of one process: controllers read and write its sections, and
// know nothing of each other.
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

/// What one process knows. Each section has one writing controller; any thread
/// may read any section at any time without waiting.
struct Board {
  Cell<Bundle> ActiveBundle;    // Written by the bundle controller.
  Cell<MemberList> Members;     // Written by the membership controller.
  Cell<EndpointList> Endpoints; // Written by the endpoint controller.
  Cell<MoveList> Moves;         // Written by the move controller.
  Cell<BurnHistory> Burn;       // Written by the burn controller.
  Counters Counts;              // Added to by any thread.
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_BOARD_H
