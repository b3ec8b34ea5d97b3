// What operators can do with endpoints over HTTP.
#ifndef ZINNIAGAUGE_ADAPT_ENDPOINT_ROUTES_H
#define ZINNIAGAUGE_ADAPT_ENDPOINT_ROUTES_H

#include "zinniagauge/adapt/exchange_thread.h"
#include "zinniagauge/adapt/operator_api.h"
#include "zinniagauge/board/board.h"

namespace zinniagauge {

/// POST /v1/drains/NAME: the endpoint gets no new requests until it starts
/// anew. The order spreads by exchange, so it needs no platform. Both
/// references outlive the route.
[[nodiscard]] OperatorRoute drainRoute(const Board &shared,
                                       ExchangeThread &swaps);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_ENDPOINT_ROUTES_H
