// The limits that back ends in need name in their responses.
#ifndef ZINNIAGAUGE_BOARD_BACKEND_LIMIT_H
#define ZINNIAGAUGE_BOARD_BACKEND_LIMIT_H

#include "zinniagauge/board/ids.h"
#include "zinniagauge/time/clock.h"

#include <vector>

namespace zinniagauge {

/// What a back end said last of the calls that it takes from all fronts
/// together.
struct BackendLimit {
  EndpointId Id;
  double PerSecond = 0; // Zero: it names no limit any more.
  Time At;              // When that was last heard.
};

/// Limits sorted by back end. One that isn't listed has named none.
struct BackendLimitList {
  std::vector<BackendLimit> List;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_BACKEND_LIMIT_H
