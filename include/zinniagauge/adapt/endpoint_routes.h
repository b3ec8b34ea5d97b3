// The operator API's routes for endpoints.
#ifndef ZINNIAGAUGE_ADAPT_ENDPOINT_ROUTES_H
#define ZINNIAGAUGE_ADAPT_ENDPOINT_ROUTES_H

#include "zinniagauge/adapt/exchange_thread.h"
#include "zinniagauge/adapt/operator_api.h"
#include "zinniagauge/board/board.h"

namespace zinniagauge {

/// POST /v1/drains/NAME: the endpoint gets no new requests until it restarts.
/// The exchange spreads the order to the other VMs, so it works without the
/// platform. Both references outlive the route.
[[nodiscard]] OperatorRoute drainRoute(const Board &shared,
                                       ExchangeThread &exchange);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_ENDPOINT_ROUTES_H
