#include "zinniagauge/adapt/endpoint_routes.h"

#include "zinniagauge/adapt/log.h"

#include <nlohmann/json.hpp>

namespace zinniagauge {

namespace {

/// The order to drain the endpoint called \p name, as it runs now.
Result<EndpointRecord> drainOf(const Board &shared, const std::string &name) {
  const ReadGuard guard;
  EndpointRecord rec;
  rec.Id = EndpointId::of(name);
  rec.Draining = true;
  if (!findEndpoint(shared.InForce.read(guard), rec.Id))
    return fail({ErrorCode::NotFound,
                 Step::Route,
                 {},
                 "the bundle in force has no endpoint called " + name});
  const EndpointState *st = findState(shared.Endpoints.read(guard), rec.Id);
  if (st)
    rec.Incarnation = st->Incarnation;
  return rec;
}

} // namespace

OperatorRoute drainRoute(const Board &shared, ExchangeThread &swaps) {
  return {"POST", "/v1/drains/",
          [&shared, &swaps](const OperatorCall &call) -> Result<std::string> {
            BOOST_LEAF_AUTO(rec, drainOf(shared, call.Tail));
            swaps.post([rec](Exchange &ex) { noteEndpoint(ex, rec); });
            const std::string text = "drained by " + call.Operator;
            logChange({LogLevel::Info, Step::Route, call.Tail, text});
            return nlohmann::json{{"endpoint", call.Tail}, {"draining", true}}
                .dump();
          }};
}

} // namespace zinniagauge
