// What operators can do with version moves over HTTP.
#ifndef ZINNIAGAUGE_ADAPT_MOVE_ROUTES_H
#define ZINNIAGAUGE_ADAPT_MOVE_ROUTES_H

#include "zinniagauge/adapt/exchange_thread.h"
#include "zinniagauge/adapt/operator_api.h"
#include "zinniagauge/board/board.h"

namespace zinniagauge {

/// POST /v1/take-backs/NAME: the version that the move leads to gets no more
/// traffic, and its leader ends the move as taken back. The order spreads by
/// exchange, so it holds without the platform too. Both references outlive the
/// route.
[[nodiscard]] OperatorRoute rollBackRoute(const Board &shared,
                                          ExchangeThread &swaps);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_MOVE_ROUTES_H
