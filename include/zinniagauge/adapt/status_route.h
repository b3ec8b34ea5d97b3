// What an agent tells operators of its VM.
#ifndef ZINNIAGAUGE_ADAPT_STATUS_ROUTE_H
#define ZINNIAGAUGE_ADAPT_STATUS_ROUTE_H

#include "zinniagauge/adapt/operator_api.h"
#include "zinniagauge/adapt/settings.h"
#include "zinniagauge/board/board.h"
#include "zinniagauge/board/entry_report.h"

#include <functional>

namespace zinniagauge {

/// What the status is made of; the pointers outlive the route.
struct StatusSources {
  const AgentSettings *Settings = nullptr;
  const Board *SharedBoard = nullptr;
  const Cell<EntryReport> *Report = nullptr;
  std::function<bool()> IsTableReachable; // Whether the last read succeeded.
};

/// GET /v1/status: the VM, its bundle, its entry, members and moves.
[[nodiscard]] OperatorRoute statusRoute(StatusSources src);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_STATUS_ROUTE_H
