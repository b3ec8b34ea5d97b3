// The operator API's route for the status of an agent's VM.
#ifndef ZINNIAGAUGE_ADAPT_STATUS_ROUTE_H
#define ZINNIAGAUGE_ADAPT_STATUS_ROUTE_H

#include "zinniagauge/adapt/operator_api.h"
#include "zinniagauge/adapt/settings.h"
#include "zinniagauge/board/board.h"
#include "zinniagauge/board/entry_report.h"

#include <functional>

namespace zinniagauge {

/// Where the status is read from; the pointees outlive the route.
struct StatusSources {
  const AgentSettings *Settings = nullptr;
  const Board *SharedBoard = nullptr;
  const Cell<EntryReport> *Report = nullptr;
  /// Whether the last read of the platform's table succeeded.
  std::function<bool()> IsTableReachable;
};

/// Returns the route GET /v1/status: the VM, its active bundle, the state of
/// its entry process, the members and the version moves.
[[nodiscard]] OperatorRoute statusRoute(StatusSources src);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_STATUS_ROUTE_H
