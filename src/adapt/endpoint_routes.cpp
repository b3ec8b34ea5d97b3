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
  if (!findEndpoint(shared.ActiveBundle.read(guard), rec.Id))
    return fail({ErrorCode::NotFound,
                 Step::Route,
                 {},
                 "the bundle in force has no endpoint called " + name});
  const EndpointState *st =
      findEndpointState(shared.Endpoints.read(guard), rec.Id);
  if (st)
    rec.Incarnation = st->Incarnation;
  return rec;
}

} // namespace

OperatorRoute drainRoute(const Board &shared, ExchangeThread &swaps) {
  return {"POST", "/v1/drains/",
          [&shared, &swaps](const OperatorCall &call) -> Result<std::string> {
            BOOST_LEAF_AUTO(rec, drainOf(shared, call.PathSuffix));
            swaps.post([rec](Exchange &ex) { recordEndpoint(ex, rec); });
            const std::string text = "drained by " + call.OperatorName;
            logChange({LogLevel::Info, Step::Route, call.PathSuffix, text});
            return nlohmann::json{{"endpoint", call.PathSuffix},
                                  {"draining", true}}
                .dump();
          }};
}

} // namespace zinniagauge
