#include "zinniagauge/adapt/endpoint_routes.h"

#include "zinniagauge/adapt/log.h"

#include <nlohmann/json.hpp>

namespace zinniagauge {

namespace {

/// The record that drains the current incarnation of the endpoint called
/// \p name. Fails with NotFound if the active bundle has no such endpoint.
Result<EndpointRecord> drainRecord(const Board &shared,
                                   const std::string &name) {
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

OperatorRoute drainRoute(const Board &shared, ExchangeThread &exchange) {
  return {
      "POST", "/v1/drains/",
      [&shared, &exchange](const OperatorCall &call) -> Result<std::string> {
        BOOST_LEAF_AUTO(rec, drainRecord(shared, call.PathSuffix));
        exchange.post([rec](Exchange &ex) { recordEndpoint(ex, rec); });
        const std::string text = "drained by " + call.OperatorName;
        logChange({LogLevel::Info, Step::Route, call.PathSuffix, text});
        return nlohmann::json{{"endpoint", call.PathSuffix}, {"draining", true}}
            .dump();
      }};
}

} // namespace zinniagauge
