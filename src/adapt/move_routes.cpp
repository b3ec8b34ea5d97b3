#include "zinniagauge/adapt/move_routes.h"

#include "zinniagauge/adapt/log.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace zinniagauge {

namespace {

/// Returns the state that orders the rollback of the move called \p name. Fails
/// with NotFound if the active bundle has no such move, or with Conflict if the
/// move has ended.
Result<MoveState> rollBackStateOf(const Board &shared, const std::string &name,
                                  const std::string &by) {
  const ReadGuard guard;
  MoveState order;
  order.Id = MoveId::of(name);
  order.VersionIsBad = true;
  order.BadReason = "taken back by " + by;
  const auto sameid = [&](const auto &m) { return m.Id == order.Id; };
  const auto &specs = shared.ActiveBundle.read(guard).Moves;
  if (std::none_of(specs.begin(), specs.end(), sameid))
    return fail({ErrorCode::NotFound,
                 Step::Move,
                 {},
                 "the bundle in force has no version move called " + name});
  const auto &states = shared.Moves.read(guard).Moves;
  const auto it = std::find_if(states.begin(), states.end(), sameid);
  if (it != states.end() && isFinal(it->Stage))
    return fail({ErrorCode::Conflict,
                 Step::Move,
                 {},
                 "the version move called " + name + " has ended"});
  return order;
}

} // namespace

OperatorRoute rollBackRoute(const Board &shared, ExchangeThread &exchange) {
  return {
      "POST", "/v1/take-backs/",
      [&shared, &exchange](const OperatorCall &call) -> Result<std::string> {
        Result<MoveState> order =
            rollBackStateOf(shared, call.PathSuffix, call.OperatorName);
        if (!order)
          return order.error();
        exchange.post([st = *order](Exchange &ex) { recordMove(ex, st); });
        logChange(
            {LogLevel::Info, Step::Move, call.PathSuffix, order->BadReason});
        return nlohmann::json{{"move", call.PathSuffix}, {"taken_back", true}}
            .dump();
      }};
}

} // namespace zinniagauge
