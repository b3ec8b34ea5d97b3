// The operator API's route for rolling back a version move.
#ifndef ZINNIAGAUGE_ADAPT_MOVE_ROUTES_H
#define ZINNIAGAUGE_ADAPT_MOVE_ROUTES_H

#include "zinniagauge/adapt/exchange_thread.h"
#include "zinniagauge/adapt/operator_api.h"
#include "zinniagauge/board/board.h"

namespace zinniagauge {

/// Returns the route POST /v1/take-backs/NAME, which rolls back a version move:
/// the new version receives no more traffic, and the move's leader ends the
/// move as rolled back. The order spreads by the exchange between nodes, so it
/// also works while the platform is unreachable. Both arguments outlive the
/// route.
[[nodiscard]] OperatorRoute rollBackRoute(const Board &shared,
                                          ExchangeThread &exchange);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_MOVE_ROUTES_H
